#include "node/upstreampath.h"

#include "wire/framecodec.h"

#include <gtest/gtest.h>
#include <vector>

namespace damaskhall {
namespace {

constexpr std::uint32_t Loopback = 0x7f000001;
/// Maximum number of rounds of 5 ms, far more than any test needs; a path that does not complete by
/// then fails the test.
constexpr int MaxRounds = 2'000;
constexpr UpstreamIdentity Expected{UpstreamId{1}, ServiceId{10}};

// Upstream that answers probes with a given identity and records all other frames.
class RecordingUpstream
{
public:
    RecordingUpstream(asio::io_context &context, UpstreamIdentity identity)
    {
        const auto record = [this](std::string_view message, Endpoint) {
            handle(message, nullptr);
        };
        auto datagrams = UdpPort::open(context, {Loopback, 0}, record);
        EXPECT_TRUE(datagrams.has_value());
        m_datagrams = std::move(datagrams.assume_value());
        auto listener = FrameListener::open(context, address(), [this](FrameStream *stream) {
            const auto received = [this, stream](std::string_view m) { handle(m, stream); };
            return FrameStream::Handlers{received, [] {}};
        });
        EXPECT_TRUE(listener.has_value());
        m_listener = std::move(listener.assume_value());
        m_identity = identity;
    }

    Endpoint address() const { return m_datagrams->local(); }

    std::vector<Frame> frames;
    int probes = 0;

private:
    void handle(std::string_view message, FrameStream *stream)
    {
        const Frame frame = decodeFrame(message).assume_value();
        const auto *probe = std::get_if<Probe>(&frame);
        if (!probe) {
            frames.push_back(frame);
            return;
        }
        ++probes;
        stream->send(encodeFrame(ProbeReply{probe->nonce, m_identity.id, m_identity.service}));
    }

    UpstreamIdentity m_identity;
    std::unique_ptr<UdpPort> m_datagrams;
    std::unique_ptr<FrameListener> m_listener;
};

class UpstreamPathTest : public ::testing::Test
{
protected:
    UpstreamPath::Handlers handlers()
    {
        UpstreamPath::Handlers result;
        result.received = [](PathChannel, std::string_view) {};
        result.written = [](const Frame &) {};
        result.notWritten = [this](const UpstreamRequest &, ReplyStatus) { ++notWritten; };
        result.identityMismatched = [this] { ++identityMismatched; };
        return result;
    }

    // Sends a request and a flow frame to @p address repeatedly until @p isDone returns true.
    void sendUntil(Endpoint address, const std::function<bool()> &isDone)
    {
        UpstreamPath path(context, Clock(), address, Expected, handlers());
        for (int i = 0; i < MaxRounds && !isDone(); ++i) {
            path.send(UpstreamRequest{AttemptId{1}, Expected.service, {}, {}, 5_s, "claim"},
                      PathChannel::Stream, Clock().now());
            path.send(Forwarded<FeedData>{{}, Expected.service, {"token", "data"}},
                      PathChannel::Datagram, Clock().now());
            path.tick();
            path.flush();
            context.run_for(std::chrono::milliseconds(5));
        }
    }

    asio::io_context context;
    int notWritten = 0;
    int identityMismatched = 0;
};

// Guards against a request or feed packet that reaches another service at the reused address of a
// stopped upstream.
TEST_F(UpstreamPathTest, SendsNothingToAnotherUpstreamAtSameAddress)
{
    RecordingUpstream other(context, {UpstreamId{2}, ServiceId{20}});
    sendUntil(other.address(), [&] { return identityMismatched >= 3; });
    EXPECT_GE(identityMismatched, 3);
    EXPECT_GE(other.probes, 3);
    EXPECT_TRUE(other.frames.empty());
    EXPECT_GT(notWritten, 0);
}

// Guards against an identity check that also blocks work for the expected upstream.
TEST_F(UpstreamPathTest, SendsToTheExpectedUpstream)
{
    RecordingUpstream upstream(context, Expected);
    sendUntil(upstream.address(), [&] { return upstream.frames.size() >= 4; });
    EXPECT_GE(upstream.frames.size(), 4U);
    EXPECT_EQ(identityMismatched, 0);
}

} // namespace
} // namespace damaskhall
