#pragma once

#include "base/clock.h"
#include "core/control/pathcontroller.h"
#include "core/messages.h"
#include "io/udpport.h"
#include "node/framestream.h"

#include <functional>
#include <memory>
#include <vector>

namespace damaskhall {

/// Who must answer at the other end of a path.
struct UpstreamIdentity
{
    UpstreamId id;
    ServiceId service;
};

/// Connections of one balancer to one upstream: a TCP connection and a UDP socket, opened when they
/// are first used. A new connection first carries a probe; other frames, datagrams included, are
/// sent only while a connection stands whose probe the expected upstream has answered. Addresses
/// are reused, and a frame must not reach the service that took one over. Thread safety: all calls
/// come from the thread that runs the io_context.
class UpstreamPath
{
public:
    struct Handlers
    {
        /// Called for each message that arrives; the view is valid only during the call.
        std::function<void(PathChannel channel, std::string_view message)> received;
        /// Called when a frame was written.
        std::function<void(const Frame &frame)> written;
        /// Called for a request of which no byte was written, with the reason as the upstream
        /// would give it: Expired if its deadline has passed, otherwise Shed.
        std::function<void(const UpstreamRequest &request, ReplyStatus status)> notWritten;
        /// Called when another upstream answered at the address.
        std::function<void()> mismatched;
    };

    /// Preconditions: all handlers are set; they must not destroy the object.
    UpstreamPath(asio::io_context &context, Clock clock, Endpoint peer, UpstreamIdentity identity,
                 Handlers handlers);
    UpstreamPath(const UpstreamPath &) = delete;
    UpstreamPath &operator=(const UpstreamPath &) = delete;

    Endpoint peer() const { return m_peer; }

    /// Sends a frame that was decided at @p decidedAt. Datagrams wait for flush().
    void send(const Frame &frame, PathChannel channel, Milliseconds decidedAt);

    /// Sends queued datagrams.
    void flush();

    /// Writes what waited for the connection, and gives up a connection attempt that takes too
    /// long. Call at least every 10 ms.
    void tick();

    /// Opens new connections for the next frames. The old ones stay open until the next
    /// replacement, so that replies on their way still arrive.
    void replace();

private:
    struct Waiting
    {
        Frame frame;
        PathChannel channel = PathChannel::Stream;
        Milliseconds decidedAt;
    };

    bool isVerified() const;
    void handleMessage(std::string_view message, unsigned generation);
    void verify(const ProbeReply &reply);
    void dropClosedStream();
    void write(const Waiting &entry);
    void writeOnStream(const Frame &frame, Milliseconds decidedAt);
    void queueDatagram(const Frame &frame);
    void connect();
    void openDatagrams();
    void giveUp(std::vector<Waiting> &frames);
    void reportNotWritten(const Frame &frame, ReplyStatus status);

    asio::io_context &m_context;
    Clock m_clock;
    Endpoint m_peer;
    UpstreamIdentity m_identity;
    Handlers m_handlers;
    std::unique_ptr<FrameStream> m_stream;
    std::unique_ptr<FrameStream> m_oldStream;
    std::unique_ptr<UdpPort> m_datagrams;
    std::unique_ptr<UdpPort> m_oldDatagrams;
    /// Frames for a connection that is not verified yet.
    std::vector<Waiting> m_waiting;
    bool m_isClosed = false;
    bool m_isProbeSent = false;
    bool m_isIdentified = false;
    Milliseconds m_connectStarted;
    Milliseconds m_nextConnect;
    /// Raised with each connection, so that an old one's end is told from the current one's.
    unsigned m_generation = 0;
};

} // namespace damaskhall
