#include "platform/packetcodec.h"

#include <gtest/gtest.h>

namespace damaskhall::platform {
namespace {

std::string bytes(const std::vector<int> &values)
{
    return {values.begin(), values.end()};
}

// Example from the platform's documentation: an opening packet from 100.64.0.7:40001 to
// 198.18.0.1:443.
const std::string Opening = bytes({0xd5, 0xc3, 0xb2, 0xa1, 0x40, 0x00, 0xbb, 0x01, 0x41, 0x9c, 0x07,
                                   0x00, 0x40, 0x64, 0x01, 0x00, 0x12, 0xc6, 0x44, 0x33, 0x22, 0x11,
                                   0,    0,    0,    0,    0,    0,    0,    0,    0,    0});
// The documented reset packet in reply to it.
const std::string Reset = bytes({0,    0,    0,    0,    0x20, 0x00, 0x41, 0x9c, 0xbb, 0x01, 0x01,
                                 0x00, 0x12, 0xc6, 0x07, 0x00, 0x40, 0x64, 0,    0,    0,    0,
                                 0,    0,    0,    0,    0,    0,    0,    0,    0,    0});

// Guards against reading header fields at other offsets or in another byte order than the platform
// writes them.
TEST(PacketCodecTest, DecodesTheDocumentedExample)
{
    const auto packet = packetCodec().decode(Opening);
    ASSERT_TRUE(packet);
    EXPECT_TRUE(packet->isOpening);
    EXPECT_FALSE(packet->isReset);
    EXPECT_EQ(toString(packet->key.client), "100.64.0.7:40001");
    EXPECT_EQ(toString(packet->key.route), "198.18.0.1:443");
    EXPECT_EQ(packet->sequence, 0x11223344U);
    EXPECT_EQ(packet->length, 0);
}

// Guards against reset packets that clients reject.
TEST(PacketCodecTest, WritesTheDocumentedReset)
{
    std::string output;
    packetCodec().writeReset(*packetCodec().decode(Opening), output);
    EXPECT_EQ(output, Reset);
}

// Guards against changes to forwarded packets: apart from the prefixed upstream id and the cookie,
// the upstream must receive what the sender wrote.
TEST(PacketCodecTest, ChangesOnlyTheCookieOfAForwardedPacket)
{
    std::string packet = Opening;
    packet[26] = 3;
    packet += "abc";
    FlowDecision decision;
    decision.upstream.id.value = 0x0102030405060708;
    decision.cookie.value = 0xa1b2c3d4;
    std::string output = "left over";
    packetCodec().writeForwarded(packet, decision, output);
    ASSERT_EQ(output.size(), packet.size() + 8);
    EXPECT_EQ(output.substr(0, 8), bytes({1, 2, 3, 4, 5, 6, 7, 8}));
    EXPECT_EQ(output.substr(8, 28), packet.substr(0, 28));
    EXPECT_EQ(output.substr(36, 4), bytes({0xd4, 0xc3, 0xb2, 0xa1}));
    EXPECT_EQ(output.substr(40), "abc");
}

// Guards against reads beyond the end of malformed datagrams.
TEST(PacketCodecTest, RejectsInvalidLengths)
{
    for (std::size_t length = 0; length < Opening.size(); ++length) {
        EXPECT_FALSE(packetCodec().decode(std::string_view(Opening).substr(0, length)));
    }
    EXPECT_FALSE(packetCodec().decode(Opening + "x")) << "the header declares an empty payload";
    EXPECT_FALSE(packetCodec().decode(std::string(2000, '\0')));
}

} // namespace
} // namespace damaskhall::platform
