#include "wire/changesrequestcodec.h"

#include "wire/directoryupdatecodec.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

// Guards against a request that asks for other changes than its sender lacks.
TEST(ChangesRequestCodec, RoundTrips)
{
    for (const std::uint64_t revision : {std::uint64_t{0}, std::uint64_t{200}, ~std::uint64_t{0}}) {
        const ChangesRequest request{{revision, {revision / 2}}};
        const std::string bytes = encodeChangesRequest(request);
        EXPECT_TRUE(isChangesRequestDatagram(bytes));
        EXPECT_FALSE(isDirectoryUpdateDatagram(bytes));
        const auto decoded = decodeChangesRequest(bytes);
        ASSERT_TRUE(decoded);
        EXPECT_EQ(decoded.assume_value(), request);
    }
}

// Guards against a crash on bytes from the network that are not a request.
TEST(ChangesRequestCodec, RefusesOtherBytes)
{
    const std::string bytes = encodeChangesRequest({{1234567, {3}}});
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        EXPECT_FALSE(decodeChangesRequest(std::string_view(bytes).substr(0, length)));
    }
    EXPECT_FALSE(decodeChangesRequest(bytes + "x"));
    EXPECT_FALSE(decodeChangesRequest(std::string(2000, '\xe2')));
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        for (int value = 0; value < 256; ++value) {
            std::string broken = bytes;
            broken[i] = static_cast<char>(value);
            (void)decodeChangesRequest(broken);
        }
    }
}

} // namespace
} // namespace damaskhall
