#include "wire/framecodec.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

TEST(FrameCodec, KeepsTheMessageOverARoundTrip)
{
    const Execute execute{RequestId{7}, "permit", 250_ms, std::string("a\0b", 3)};
    const Frame frame = Relayed<Execute>{{0x7f000001, 9000}, 2, execute};
    const Result<Frame> decoded = decodeFrame(encodeFrame(frame));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded.assume_value(), frame);
}

TEST(FrameCodec, RefusesEveryTruncationOfADatagram)
{
    const std::string datagram = encodeFrame(Reserve{RequestId{1}, {2}, {3}, {4}, 5_s, 0_ms});
    for (std::size_t size = 0; size < datagram.size(); ++size) {
        EXPECT_FALSE(decodeFrame(datagram.substr(0, size)).has_value()) << size;
    }
}

TEST(FrameCodec, TellsAnotherVersionFromNoise)
{
    std::string datagram = encodeFrame(Probe{1});
    datagram[0] = static_cast<char>(static_cast<unsigned char>(datagram[0]) + 1);
    const auto otherVersion = decodeFrame(datagram);
    ASSERT_FALSE(otherVersion.has_value());
    EXPECT_EQ(otherVersion.assume_error().code, ErrorCode::VersionMismatch);
}

} // namespace
} // namespace damaskhall
