#include "node/upstreampath.h"

#include "wire/framecodec.h"

#include <gtest/gtest.h>
#include <vector>

namespace damaskhall {
namespace {

constexpr std::uint32_t Loopback = 0x7f000001;
/// Far more rounds of 5 ms than any of the tests needs; a path that never gets there fails it.
constexpr int MaxRounds = 2'000;
constexpr UpstreamIdentity Expected{UpstreamId{1}, ServiceId{10}};

// Upstream that answers probes with a given identity and keeps all other frames.
class ProbedUpstream
{
public:
    ProbedUpstream(asio::io_context &context, UpstreamIdentity identity)
    {
        const auto keep = [this](std::string_view message, Endpoint) { handle(message, nullptr); };
        auto datagrams = UdpPort::open(context, {Loopback, 0}, keep);
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

    // Sends a request and a flow frame to @p address again and again until @p isDone.
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

// Guards against a request or feed packet that reaches the service which took over the address of
// an upstream that is gone.
TEST_F(UpstreamPathTest, SendsNothingToAnotherUpstreamAtSameAddress)
{
    ProbedUpstream other(context, {UpstreamId{2}, ServiceId{20}});
    sendUntil(other.address(), [&] { return identityMismatched >= 3; });
    EXPECT_GE(identityMismatched, 3);
    EXPECT_GE(other.probes, 3);
    EXPECT_TRUE(other.frames.empty());
    EXPECT_GT(notWritten, 0);
}

// Guards against a check that keeps work from the right upstream as well.
TEST_F(UpstreamPathTest, SendsToTheExpectedUpstream)
{
    ProbedUpstream upstream(context, Expected);
    sendUntil(upstream.address(), [&] { return upstream.frames.size() >= 4; });
    EXPECT_GE(upstream.frames.size(), 4U);
    EXPECT_EQ(identityMismatched, 0);
}

} // namespace
} // namespace damaskhall
