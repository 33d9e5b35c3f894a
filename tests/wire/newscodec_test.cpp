#include "wire/newscodec.h"

#include "support/flowfixture.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

DirectoryNews makeNews(std::size_t changes)
{
    DirectoryNews news;
    news.origin = {7};
    news.sequence = 1'800'000'000'123;
    news.age = 40_ms;
    news.from = {1000};
    news.to = {1200};
    news.declaration = {9};
    for (std::size_t i = 0; i < changes; ++i) {
        if (i % 3 == 2) {
            news.changes.push_back({{1100 + i}, UpstreamRemoval{{i}, {}}});
        } else {
            UpstreamEntry entry = test::makeEntry(0x1122334455667700 + i, 1'800'000'000'000);
            entry.warmupLeft = 1500_ms;
            entry.isLeaving = i % 2 == 0;
            news.changes.push_back({{1100 + i}, entry});
        }
    }
    return news;
}

// Guards against news that says something else at its receiver.
TEST(NewsCodec, KeepsAllFields)
{
    const DirectoryNews news = makeNews(MaxNewsChanges);
    const std::string bytes = encodeNews(news);
    EXPECT_LE(bytes.size(), 1200U) << "must fit into one datagram";
    const auto decoded = decodeNews(bytes);
    ASSERT_TRUE(decoded) << toString(decoded.assume_error());
    const DirectoryNews &read = decoded.assume_value();
    EXPECT_EQ(read.origin, news.origin);
    EXPECT_EQ(read.sequence, news.sequence);
    EXPECT_EQ(read.age, news.age);
    EXPECT_EQ(read.from, news.from);
    EXPECT_EQ(read.to, news.to);
    EXPECT_EQ(read.declaration, news.declaration);
    ASSERT_EQ(read.changes.size(), news.changes.size());
    for (std::size_t i = 0; i < read.changes.size(); ++i) {
        EXPECT_EQ(read.changes[i].revision, news.changes[i].revision);
        ASSERT_EQ(read.changes[i].content.index(), news.changes[i].content.index());
        if (const auto *entry = std::get_if<UpstreamEntry>(&read.changes[i].content)) {
            EXPECT_EQ(*entry, std::get<UpstreamEntry>(news.changes[i].content));
        }
    }
}

// Guards against foreign datagrams that are read as news.
TEST(NewsCodec, RefusesWhatIsNotNews)
{
    const std::string bytes = encodeNews(makeNews(4));
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        EXPECT_FALSE(decodeNews(std::string_view(bytes).substr(0, length)));
    }
    EXPECT_FALSE(decodeNews(bytes + "x"));
    EXPECT_FALSE(decodeNews(std::string(3000, '\xd1')));
    std::string other = bytes;
    other[0] = '\xd2';
    EXPECT_EQ(decodeNews(other).assume_error().code, ErrorCode::VersionMismatch);
    for (std::size_t i = 1; i < bytes.size(); ++i) {
        std::string broken = bytes;
        broken[i] = static_cast<char>(broken[i] ^ 0xff);
        (void)decodeNews(broken);
    }
}

} // namespace
} // namespace damaskhall
