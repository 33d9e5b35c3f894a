#include "node/peerconnections.h"

#include "io/udpport.h"
#include "node/framestream.h"
#include "wire/controlcodec.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

constexpr std::uint32_t Loopback = 0x7f000001;

Endpoint freeEndpoint(asio::io_context &context)
{
    auto port = UdpPort::open(context, {Loopback, 0}, [](std::string_view, Endpoint) {});
    return port.assume_value()->local();
}

// Peer that sends nothing after the Hello on its first connection, and replies on later ones.
class UnresponsivePeer
{
public:
    explicit UnresponsivePeer(asio::io_context &context)
        : m_endpoint(freeEndpoint(context))
    {
        auto listener = FrameListener::open(context, m_endpoint, [this](FrameStream *stream) {
            const bool isUnresponsive = ++connectionCount == 1;
            const auto received = [stream, isUnresponsive](std::string_view bytes) {
                answer(*stream, decodeStreamMessage(std::string(bytes)).assume_value(),
                       isUnresponsive);
            };
            return FrameStream::Handlers{received, [] {}};
        });
        EXPECT_TRUE(listener.has_value());
        m_listener = std::move(listener.assume_value());
    }

    Endpoint endpoint() const { return m_endpoint; }

    int connectionCount = 0;

private:
    static void answer(FrameStream &stream, const StreamMessage &message, bool isUnresponsive)
    {
        if (std::holds_alternative<Hello>(message)) {
            stream.send(encodeStreamMessage(Hello{ControlProtocolVersion, InstanceId{2}}));
        } else if (std::holds_alternative<StatePull>(message) && !isUnresponsive) {
            stream.send(encodeStreamMessage(StateSnapshot{}));
        }
    }

    Endpoint m_endpoint;
    std::unique_ptr<FrameListener> m_listener;
};

// Guards against a pull that never completes on a connection whose state a device between the two
// peers has lost.
TEST(PeerConnections, ReplacesUnresponsiveConnectionAndRetriesPull)
{
    asio::io_context context;
    UnresponsivePeer peer(context);
    int reconnects = 0;
    int replies = 0;
    int failures = 0;
    PeerConnections::Hooks hooks;
    hooks.answerRequest = [](const StreamMessage &) -> std::optional<StreamMessage> { return {}; };
    hooks.handleReply = [&](Endpoint, const StreamMessage &message) {
        replies += std::holds_alternative<StateSnapshot>(message) ? 1 : 0;
    };
    hooks.handleFailure = [&](Endpoint) { ++failures; };
    ControlHooks controlHooks;
    controlHooks.random = seededRandom(1);
    controlHooks.countRetry = [&](RetryReason reason) {
        reconnects += reason == RetryReason::PeerReconnect ? 1 : 0;
    };
    controlHooks.countEvent = [](ControlEvent) {};
    auto connections = PeerConnections::open(context, freeEndpoint(context), InstanceId{1}, hooks,
                                             controlHooks);
    ASSERT_TRUE(connections.has_value());
    connections.assume_value()->request(peer.endpoint(), StatePull{});
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (replies + failures == 0 && std::chrono::steady_clock::now() < end) {
        context.run_for(std::chrono::milliseconds(50));
    }
    EXPECT_EQ(replies, 1);
    EXPECT_EQ(failures, 0);
    EXPECT_EQ(reconnects, 1);
    EXPECT_EQ(peer.connectionCount, 2);
}

} // namespace
} // namespace damaskhall
