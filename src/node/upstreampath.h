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

/// Identity that the peer of a path must prove.
struct UpstreamIdentity
{
    UpstreamId id;
    ServiceId service;
};

/// Connections of one balancer to one upstream: a TCP connection and a UDP socket, opened when they
/// are first used. A new connection first carries a probe; other frames, datagrams included, are
/// sent only while the expected upstream has answered the probe of an established connection.
/// Addresses are reused, and a frame must not reach another service that now has the address.
/// Thread safety: all calls come from the thread that runs the io_context.
class UpstreamPath
{
public:
    struct Handlers
    {
        /// Called for each message that arrives; the view is valid only during the call.
        std::function<void(PathChannel channel, std::string_view message)> received;
        /// Called when a frame was written.
        std::function<void(const Frame &frame)> written;
        /// Called for a request of which no byte was written, with the status that an upstream
        /// would return: Expired if its deadline has passed, otherwise Shed.
        std::function<void(const UpstreamRequest &request, ReplyStatus status)> notWritten;
        /// Called when another upstream answered the probe.
        std::function<void()> identityMismatched;
    };

    /// Preconditions: all handlers are set; they must not destroy the object.
    UpstreamPath(asio::io_context &context, Clock clock, Endpoint peer, UpstreamIdentity identity,
                 Handlers handlers);
    UpstreamPath(const UpstreamPath &) = delete;
    UpstreamPath &operator=(const UpstreamPath &) = delete;

    Endpoint peer() const { return m_peer; }

    /// Sends a frame. @p decidedAt is the time at which the remaining time of a request was
    /// determined. Datagrams are queued until flush().
    void send(const Frame &frame, PathChannel channel, Milliseconds decidedAt);

    /// Sends queued datagrams.
    void flush();

    /// Writes the frames queued for the connection, and aborts a connection attempt that times out.
    /// Call at least every 10 ms.
    void tick();

    /// Uses new connections for the next frames. The old ones stay open until the next replacement,
    /// so that replies in transit still arrive.
    void replace();

private:
    struct QueuedFrame
    {
        Frame frame;
        PathChannel channel = PathChannel::Stream;
        Milliseconds decidedAt;
    };

    bool isVerified() const;
    void handleMessage(std::string_view message, unsigned generation);
    void verifyIdentity(const ProbeReply &reply);
    void dropClosedStream();
    void write(const QueuedFrame &entry);
    void writeOnStream(const Frame &frame, Milliseconds decidedAt);
    void queueDatagram(const Frame &frame);
    void connect();
    void openDatagrams();
    void rejectFrames(std::vector<QueuedFrame> &frames);
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
    /// Frames queued until the identity of the peer is verified.
    std::vector<QueuedFrame> m_queuedFrames;
    bool m_isClosed = false;
    bool m_isProbeSent = false;
    bool m_isIdentityVerified = false;
    Milliseconds m_connectStarted;
    Milliseconds m_nextConnect;
    /// Incremented with each connection, to distinguish events of an old connection from those of
    /// the current one.
    unsigned m_generation = 0;
};

} // namespace damaskhall
