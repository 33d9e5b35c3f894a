#include "node/upstreampath.h"

#include "wire/framecodec.h"

#include <utility>

namespace damaskhall {

namespace {

/// Maximum number of frames queued while a connection is being established.
constexpr std::size_t MaxQueuedFrames = 256;
/// Time limit for connecting and for verifying the identity of the peer.
constexpr Milliseconds ConnectTimeout = 1_s;
/// Minimum time between two connection attempts to one upstream.
constexpr Milliseconds ReconnectInterval = 200_ms;
/// Nonce of the probe that requests the peer's identity; other probes have random nonces.
constexpr std::uint64_t IdentityNonce = 0;

} // namespace

UpstreamPath::UpstreamPath(asio::io_context &context, Clock clock, Endpoint peer,
                           UpstreamIdentity identity, Handlers handlers)
    : m_context(context)
    , m_clock(std::move(clock))
    , m_peer(peer)
    , m_identity(identity)
    , m_handlers(std::move(handlers))
{
}

void UpstreamPath::send(const Frame &frame, PathChannel channel, Milliseconds decidedAt)
{
    dropClosedStream();
    if (!m_stream && m_clock.now() >= m_nextConnect) {
        connect();
    }
    if (!m_stream || m_queuedFrames.size() >= MaxQueuedFrames) {
        reportNotWritten(frame, ReplyStatus::Shed);
    } else if (isVerified() && m_queuedFrames.empty()) {
        write({frame, channel, decidedAt});
    } else {
        m_queuedFrames.push_back({frame, channel, decidedAt});
    }
}

void UpstreamPath::flush()
{
    if (m_datagrams) {
        m_datagrams->flush();
    }
}

bool UpstreamPath::isVerified() const
{
    return m_isIdentityVerified && m_stream && m_stream->isConnected();
}

void UpstreamPath::dropClosedStream()
{
    if (std::exchange(m_isClosed, false)) {
        m_stream.reset();
        m_isIdentityVerified = false;
    }
}

void UpstreamPath::write(const QueuedFrame &entry)
{
    if (entry.channel == PathChannel::Stream) {
        writeOnStream(entry.frame, entry.decidedAt);
    } else {
        queueDatagram(entry.frame);
    }
}

void UpstreamPath::queueDatagram(const Frame &frame)
{
    if (!m_datagrams) {
        openDatagrams();
    }
    if (m_datagrams) {
        m_datagrams->queue(encodeFrame(frame), m_peer);
        m_handlers.written(frame);
    }
}

void UpstreamPath::writeOnStream(const Frame &frame, Milliseconds decidedAt)
{
    const auto *request = std::get_if<UpstreamRequest>(&frame);
    if (!request) {
        if (m_stream->send(encodeFrame(frame))) {
            m_handlers.written(frame);
        }
        return;
    }
    // Checked again here: a process that was suspended since the decision must not send expired
    // requests.
    UpstreamRequest current = *request;
    current.remaining = request->remaining - (m_clock.now() - decidedAt);
    if (current.remaining <= 0_ms) {
        reportNotWritten(frame, ReplyStatus::Expired);
    } else if (m_stream->send(encodeFrame(current))) {
        m_handlers.written(current);
    } else {
        reportNotWritten(frame, ReplyStatus::Shed);
    }
}

void UpstreamPath::tick()
{
    dropClosedStream();
    if (m_stream && m_stream->isConnected() && !m_isProbeSent) {
        m_isProbeSent = m_stream->send(encodeFrame(Probe{IdentityNonce}));
    }
    if (m_queuedFrames.empty()) {
        return;
    }
    std::vector<QueuedFrame> frames;
    std::swap(frames, m_queuedFrames);
    if (isVerified()) {
        for (const QueuedFrame &entry : frames) {
            write(entry);
        }
        return;
    }
    if (!m_stream || m_clock.now() - m_connectStarted >= ConnectTimeout) {
        m_stream.reset();
        m_isIdentityVerified = false;
        rejectFrames(frames);
        return;
    }
    std::swap(frames, m_queuedFrames);
}

void UpstreamPath::replace()
{
    std::vector<QueuedFrame> frames;
    std::swap(frames, m_queuedFrames);
    rejectFrames(frames);
    m_oldStream = std::move(m_stream);
    m_oldDatagrams = std::move(m_datagrams);
    m_isClosed = false;
    m_isIdentityVerified = false;
    m_nextConnect = m_clock.now();
}

void UpstreamPath::connect()
{
    m_connectStarted = m_clock.now();
    m_nextConnect = m_connectStarted + ReconnectInterval;
    m_isProbeSent = false;
    m_isIdentityVerified = false;
    const unsigned generation = ++m_generation;
    FrameStream::Handlers handlers;
    handlers.received = [this, generation](std::string_view message) {
        handleMessage(message, generation);
    };
    handlers.closed = [this, generation] {
        // Destroyed later: a method of the stream is still on the call stack.
        m_isClosed = m_isClosed || generation == m_generation;
    };
    m_stream = FrameStream::connect(m_context, m_peer, std::move(handlers));
}

void UpstreamPath::handleMessage(std::string_view message, unsigned generation)
{
    if (generation != m_generation || m_isIdentityVerified) {
        m_handlers.received(PathChannel::Stream, message);
        return;
    }
    const Result<Frame> frame = decodeFrame(message);
    const auto *reply = frame ? std::get_if<ProbeReply>(&frame.assume_value()) : nullptr;
    if (reply) {
        verifyIdentity(*reply);
    }
}

void UpstreamPath::verifyIdentity(const ProbeReply &reply)
{
    m_isIdentityVerified = reply.upstream == m_identity.id && reply.service == m_identity.service;
    if (!m_isIdentityVerified) {
        m_isClosed = true;
        m_handlers.identityMismatched();
    }
}

void UpstreamPath::openDatagrams()
{
    const auto receiver = [this](std::string_view datagram, Endpoint) {
        m_handlers.received(PathChannel::Datagram, datagram);
    };
    auto port = UdpPort::open(m_context, {}, receiver);
    if (port) {
        m_datagrams = std::move(port.assume_value());
        m_datagrams->connect(m_peer);
    }
}

void UpstreamPath::rejectFrames(std::vector<QueuedFrame> &frames)
{
    for (const QueuedFrame &entry : frames) {
        reportNotWritten(entry.frame, ReplyStatus::Shed);
    }
}

void UpstreamPath::reportNotWritten(const Frame &frame, ReplyStatus status)
{
    if (const auto *request = std::get_if<UpstreamRequest>(&frame)) {
        m_handlers.notWritten(*request, status);
    }
}

} // namespace damaskhall
