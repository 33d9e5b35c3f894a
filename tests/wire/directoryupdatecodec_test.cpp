#include "wire/directoryupdatecodec.h"

#include "core/flow/evacuationtable.h"
#include "support/flowfixture.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

DirectoryUpdate makeUpdate(std::size_t changes)
{
    DirectoryUpdate update;
    update.origin = {7};
    update.sequence = 1'800'000'000'123;
    update.age = 40_ms;
    update.from = {1000, {3}};
    update.to = {1200, {3}};
    update.declaration = {9};
    for (std::size_t i = 0; i < changes; ++i) {
        const auto index = static_cast<std::uint32_t>(i);
        if (i % 3 == 2) {
            update.changes.push_back(
                    {{1100 + i, {3}}, UpstreamRemoval{{i, 0xf0000000 + index}, {}}});
        } else {
            UpstreamEntry entry = test::makeEntry(0x1122334455667700 + i, 1'800'000'000'000);
            entry.key.id.keyHash = 0xf0000000 + index;
            entry.warmupLeft = 1500_ms;
            entry.isLeaving = i % 2 == 0;
            update.changes.push_back({{1100 + i, {3}}, entry});
        }
    }
    return update;
}

// Guards against an update that says something else at its receiver.
TEST(DirectoryUpdateCodec, KeepsAllFields)
{
    const DirectoryUpdate update = makeUpdate(MaxDirectoryUpdateChanges);
    const std::string bytes = encodeDirectoryUpdate(update);
    EXPECT_LE(bytes.size(), 1200U) << "must fit into one datagram";
    const auto decoded = decodeDirectoryUpdate(bytes);
    ASSERT_TRUE(decoded) << toString(decoded.assume_error());
    const DirectoryUpdate &read = decoded.assume_value();
    EXPECT_EQ(read.origin, update.origin);
    EXPECT_EQ(read.sequence, update.sequence);
    EXPECT_EQ(read.age, update.age);
    EXPECT_EQ(read.from, update.from);
    EXPECT_EQ(read.to, update.to);
    EXPECT_EQ(read.declaration, update.declaration);
    ASSERT_EQ(read.changes.size(), update.changes.size());
    for (std::size_t i = 0; i < read.changes.size(); ++i) {
        EXPECT_EQ(read.changes[i].revision, update.changes[i].revision);
        ASSERT_EQ(read.changes[i].content.index(), update.changes[i].content.index());
        if (const auto *entry = std::get_if<UpstreamEntry>(&read.changes[i].content)) {
            EXPECT_EQ(*entry, std::get<UpstreamEntry>(update.changes[i].content));
        }
        if (const auto *removal = std::get_if<UpstreamRemoval>(&read.changes[i].content)) {
            EXPECT_EQ(removal->id, std::get<UpstreamRemoval>(update.changes[i].content).id);
        }
    }
}

// Guards against an instance that its peers do not tell of an evacuation, and against updates that
// no longer fit into a datagram.
TEST(DirectoryUpdateCodec, KeepsTheEvacuatedDataCentres)
{
    DirectoryUpdate update = makeUpdate(MaxDirectoryUpdateChanges);
    const std::size_t bytesWithout = encodeDirectoryUpdate(update).size();
    update.evacuations = {{{0xf2345678}, 1'800'000'000}, {{7}, 0}};
    const std::string bytes = encodeDirectoryUpdate(update);
    EXPECT_LE(bytes.size(), bytesWithout + 20) << "12 to 20 bytes for each valid one";
    EXPECT_LE(bytes.size(), 1200U) << "must fit into one datagram";
    const auto decoded = decodeDirectoryUpdate(bytes);
    ASSERT_TRUE(decoded) << toString(decoded.assume_error());
    EXPECT_EQ(decoded.assume_value().evacuations, update.evacuations);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        EXPECT_FALSE(decodeDirectoryUpdate(std::string_view(bytes).substr(0, length)));
    }
}

// Guards against memory that a foreign datagram fills, and against a set that is taken from a
// version without one.
TEST(DirectoryUpdateCodec, RefusesInvalidSetsOfEvacuations)
{
    DirectoryUpdate update = makeUpdate(0);
    update.evacuations.resize(EvacuationTable::MaxSize);
    EXPECT_TRUE(decodeDirectoryUpdate(encodeDirectoryUpdate(update)));
    update.evacuations.resize(EvacuationTable::MaxSize + 1);
    EXPECT_EQ(decodeDirectoryUpdate(encodeDirectoryUpdate(update)).assume_error().code,
              ErrorCode::Malformed);
    update.evacuations.clear();
    std::string odd = encodeDirectoryUpdate(update);
    // The empty set is the last byte; an array of one element follows instead.
    odd.back() = '\x91';
    odd += '\x07';
    EXPECT_EQ(decodeDirectoryUpdate(odd).assume_error().code, ErrorCode::Malformed);
    std::string earlier = encodeDirectoryUpdate(update);
    earlier.front() = '\xd2';
    EXPECT_EQ(decodeDirectoryUpdate(earlier).assume_error().code, ErrorCode::VersionMismatch);
}

// Guards against foreign datagrams that are read as an update.
TEST(DirectoryUpdateCodec, RefusesWhatIsNotNews)
{
    const std::string bytes = encodeDirectoryUpdate(makeUpdate(4));
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        EXPECT_FALSE(decodeDirectoryUpdate(std::string_view(bytes).substr(0, length)));
    }
    EXPECT_FALSE(decodeDirectoryUpdate(bytes + "x"));
    EXPECT_FALSE(decodeDirectoryUpdate(std::string(3000, '\xd2')));
    std::string other = bytes;
    other[0] = '\xd1';
    EXPECT_EQ(decodeDirectoryUpdate(other).assume_error().code, ErrorCode::VersionMismatch);
    for (std::size_t i = 1; i < bytes.size(); ++i) {
        std::string broken = bytes;
        broken[i] = static_cast<char>(broken[i] ^ 0xff);
        (void)decodeDirectoryUpdate(broken);
    }
}

} // namespace
} // namespace damaskhall
