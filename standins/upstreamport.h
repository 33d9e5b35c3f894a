#pragma once

#include "silentpaths.h"

#include "base/clock.h"
#include "io/udpport.h"
#include "node/framestream.h"
#include "wire/framecodec.h"

#include <functional>
#include <memory>
#include <set>
#include <string_view>

/// Where a frame came from: a TCP connection, or a UDP endpoint if @c stream is null.
struct Origin
{
    damaskhall::FrameStream *stream = nullptr;
    damaskhall::Endpoint endpoint;
};

/// UDP socket and TCP listener of an upstream at the same port. Thread safety: none.
class UpstreamPort
{
public:
    using Receiver = std::function<void(const damaskhall::Frame &, const Origin &)>;

    /// Precondition: @p receiver is set.
    UpstreamPort(SilentPaths silentPaths, Receiver receiver)
        : m_silentPaths(std::move(silentPaths))
        , m_receiver(std::move(receiver))
    {
    }

    damaskhall::Result<void> open(asio::io_context &context, damaskhall::Endpoint local)
    {
        using namespace damaskhall;
        const auto onDatagram = [this](std::string_view datagram, Endpoint from) {
            receive(datagram, {nullptr, from});
        };
        BOOST_OUTCOME_TRY(datagrams, UdpPort::open(context, local, onDatagram));
        m_datagrams = std::move(datagrams);
        const auto onAccept = [this](FrameStream *stream) { return accept(stream); };
        BOOST_OUTCOME_TRY(listener, FrameListener::open(context, local, onAccept));
        m_listener = std::move(listener);
        return success();
    }

    /// Replies to where a frame came from; lost if that connection is closed.
    void reply(const damaskhall::Frame &frame, const Origin &origin)
    {
        if (m_silentPaths.drops(origin.endpoint, m_clock.now())) {
            return;
        }
        if (!origin.stream) {
            sendDatagram(frame, origin.endpoint);
        } else if (m_streams.count(origin.stream) > 0) {
            origin.stream->send(damaskhall::encodeFrame(frame));
        }
    }

    void sendDatagram(const damaskhall::Frame &frame, damaskhall::Endpoint to)
    {
        m_datagrams->send(damaskhall::encodeFrame(frame), to);
    }

private:
    damaskhall::FrameStream::Handlers accept(damaskhall::FrameStream *stream)
    {
        m_streams.insert(stream);
        const auto received = [this, stream](std::string_view message) {
            receive(message, {stream, stream->peer()});
        };
        return {received, [this, stream] { m_streams.erase(stream); }};
    }

    void receive(std::string_view message, const Origin &origin)
    {
        const auto frame = damaskhall::decodeFrame(message);
        if (frame && !m_silentPaths.drops(origin.endpoint, m_clock.now())) {
            m_receiver(frame.assume_value(), origin);
        }
    }

    damaskhall::Clock m_clock;
    SilentPaths m_silentPaths;
    Receiver m_receiver;
    std::set<damaskhall::FrameStream *> m_streams;
    std::unique_ptr<damaskhall::UdpPort> m_datagrams;
    std::unique_ptr<damaskhall::FrameListener> m_listener;
};
