#pragma once

#include "base/endpoint.h"
#include "base/result.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <asio/io_context.hpp>

namespace damaskhall {

/// TCP connection that carries framed messages in both directions.
/// Thread safety: all calls come from the thread that runs the io_context.
class FrameStream
{
public:
    struct Handlers
    {
        /// Called for each message; the view is valid only during the call.
        std::function<void(std::string_view message)> received;
        /// Called once, when the connection could not be established, was closed by the peer or
        /// failed.
        std::function<void()> closed;
    };

    /// Starts connecting to @p peer. Preconditions: both handlers are set.
    static std::unique_ptr<FrameStream> connect(asio::io_context &context, Endpoint peer,
                                                Handlers handlers);
    ~FrameStream();
    FrameStream(const FrameStream &) = delete;
    FrameStream &operator=(const FrameStream &) = delete;

    /// Sends one message. Returns false if the connection is not established or its send buffer is
    /// full; in that case no byte of the message is written.
    bool send(std::string_view message);

    bool isConnected() const;
    Endpoint peer() const;

private:
    friend class FrameListener;
    struct Private;
    explicit FrameStream(std::shared_ptr<Private> d);
    std::shared_ptr<Private> m_d;
};

/// Accepts framed TCP connections. Thread safety: as FrameStream.
class FrameListener
{
public:
    /// Called with each accepted connection; returns the handlers for it.
    using Acceptor = std::function<FrameStream::Handlers(FrameStream *stream)>;

    /// Listens on @p local. The listener owns the accepted connections until they close. Errors:
    /// System with Step::OpenSocket.
    static Result<std::unique_ptr<FrameListener>> open(asio::io_context &context, Endpoint local,
                                                       Acceptor acceptor);
    ~FrameListener();
    FrameListener(const FrameListener &) = delete;
    FrameListener &operator=(const FrameListener &) = delete;

private:
    struct Private;
    explicit FrameListener(std::shared_ptr<Private> d);
    std::shared_ptr<Private> m_d;
};

} // namespace damaskhall
