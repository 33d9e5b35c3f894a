#include "wire/controlcodec.h"

#include "base/random.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

ControlDatagram fullDatagram()
{
    const MemberUpdate member{InstanceId{4000},
                              Incarnation{1'790'000'000'000},
                              70'000,
                              MemberState::Suspect,
                              {0xffffffff, 65535},
                              {0xffffffff, 65535}};
    const UpstreamUpdate upstream{
            UpstreamId{1ULL << 40}, {0xffffffff, 65535}, ServiceId{0xffffffff}, true, 70'000};
    ControlDatagram datagram;
    datagram.gossip.dataCentre = DataCentreId{0xffffffff};
    datagram.gossip.sender = member;
    datagram.gossip.revision = Revision{1'000'000};
    datagram.gossip.digest = ~std::uint64_t{0};
    datagram.gossip.members.assign(MaxMemberUpdates, member);
    datagram.gossip.upstreams.assign(MaxUpstreamUpdates, upstream);
    datagram.body = PingReq{1U << 31, InstanceId{7}, {0x7f000001, 8001}};
    return datagram;
}

std::vector<StreamMessage> streamMessages()
{
    const ControlDatagram datagram = fullDatagram();
    ConfigDelta delta;
    delta.base = Revision{3};
    delta.revision = Revision{5};
    delta.change = "change-5";
    delta.contentHash = 99;
    delta.changed.push_back({"[service a]", std::string("text\0more", 9)});
    delta.removed.emplace_back("[service b]");
    return {Hello{ControlProtocolVersion, InstanceId{3}},
            Heartbeat{},
            ConfigPull{Revision{3}},
            delta,
            StatePull{},
            StateSnapshot{datagram.gossip.members, datagram.gossip.upstreams}};
}

TEST(ControlCodec, KeepsMessagesOverARoundTrip)
{
    const ControlDatagram datagram = fullDatagram();
    const auto decoded = decodeControlDatagram(encodeControlDatagram(datagram));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded.assume_value(), datagram);
    for (const StreamMessage &message : streamMessages()) {
        const auto copy = decodeStreamMessage(encodeStreamMessage(message));
        ASSERT_TRUE(copy.has_value()) << message.index();
        EXPECT_EQ(copy.assume_value(), message);
    }
}

// Guards against datagrams that are fragmented on the way and so lost more often.
TEST(ControlCodec, KeepsTheLargestDatagramUnderOnePacket)
{
    EXPECT_LE(encodeControlDatagram(fullDatagram()).size(), 1'400U);
}

// Guards against input that ends the process or is taken for a message.
TEST(ControlCodec, RefusesTruncatedAndAlteredInput)
{
    const std::string datagram = encodeControlDatagram(fullDatagram());
    for (std::size_t size = 0; size < datagram.size(); ++size) {
        EXPECT_FALSE(decodeControlDatagram(datagram.substr(0, size)).has_value()) << size;
    }
    const RandomSource random = seededRandom(5);
    for (int i = 0; i < 20'000; ++i) {
        std::string altered = datagram;
        altered[1 + randomBelow(random, altered.size() - 1)] = static_cast<char>(random());
        static_cast<void>(decodeControlDatagram(altered));
        std::string stream = encodeStreamMessage(streamMessages().at(i % 6));
        stream[randomBelow(random, stream.size())] = static_cast<char>(random());
        static_cast<void>(decodeStreamMessage(stream));
    }
    // Announces an array of 2^32 - 1 elements.
    EXPECT_FALSE(decodeStreamMessage("\xdd\xff\xff\xff\xff").has_value());
    EXPECT_FALSE(decodeStreamMessage("GET / HTTP/1.1\r\n\r\n").has_value());
}

// Guards against a message of another protocol version that is read as one of this version.
TEST(ControlCodec, TellsAnotherVersionFromNoise)
{
    std::string datagram = encodeControlDatagram(fullDatagram());
    datagram[0] = static_cast<char>(static_cast<unsigned char>(datagram[0]) + 1);
    EXPECT_EQ(decodeControlDatagram(datagram).assume_error().code, ErrorCode::VersionMismatch);
    const Hello hello{ControlProtocolVersion + 1, InstanceId{3}};
    EXPECT_EQ(decodeStreamMessage(encodeStreamMessage(hello)).assume_error().code,
              ErrorCode::VersionMismatch);
}

} // namespace
} // namespace damaskhall
