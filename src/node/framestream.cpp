#include "node/framestream.h"

#include "wire/framecodec.h"
#include "wire/streamframing.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <map>
#include <system_error>
#include <utility>

namespace damaskhall {

namespace {

/// Maximum number of bytes queued for a slow peer; later messages would be outdated when sent.
constexpr std::size_t MaxPendingBytes = 1'048'576;
constexpr std::size_t ReadBufferBytes = 16'384;

asio::ip::tcp::endpoint toAsio(Endpoint endpoint)
{
    return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

Endpoint fromAsio(const asio::ip::tcp::endpoint &endpoint)
{
    return {endpoint.address().to_v4().to_uint(), endpoint.port()};
}

} // namespace

struct FrameStream::Private : std::enable_shared_from_this<FrameStream::Private>
{
    Private(asio::ip::tcp::socket connection, Endpoint peerEndpoint)
        : socket(std::move(connection))
        , peer(peerEndpoint)
        , reader(MaxDatagramBytes)
    {
    }

    void connect()
    {
        socket.async_connect(toAsio(peer), [self = shared_from_this()](const std::error_code &e) {
            if (e) {
                self->close();
                return;
            }
            self->startReading();
        });
    }

    void startReading()
    {
        std::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        isConnected = true;
        read();
    }

    void read()
    {
        socket.async_read_some(
                asio::buffer(buffer),
                [self = shared_from_this()](const std::error_code &error, std::size_t size) {
                    if (error || !self->deliver({self->buffer.data(), size})) {
                        self->close();
                        return;
                    }
                    self->read();
                });
    }

    // Returns false if the stream is malformed and cannot be read further.
    bool deliver(std::string_view bytes)
    {
        reader.append(bytes);
        while (true) {
            const auto message = reader.next();
            if (!message) {
                return false;
            }
            if (!message.assume_value()) {
                return true;
            }
            if (isOpen) {
                handlers.received(*message.assume_value());
            }
        }
    }

    bool send(std::string_view message)
    {
        if (!isConnected || pending.size() + writing.size() > MaxPendingBytes) {
            return false;
        }
        pending += frameForStream(message);
        if (writing.empty()) {
            write();
        }
        return true;
    }

    void write()
    {
        std::swap(pending, writing);
        asio::async_write(socket, asio::buffer(writing),
                          [self = shared_from_this()](const std::error_code &error, std::size_t) {
                              self->writing.clear();
                              if (error) {
                                  self->close();
                              } else if (!self->pending.empty()) {
                                  self->write();
                              }
                          });
    }

    void close()
    {
        isConnected = false;
        std::error_code ignored;
        socket.close(ignored);
        if (std::exchange(isOpen, false)) {
            handlers.closed();
        }
    }

    asio::ip::tcp::socket socket;
    Endpoint peer;
    StreamReader reader;
    Handlers handlers;
    std::array<char, ReadBufferBytes> buffer{};
    std::string pending;
    std::string writing;
    bool isConnected = false;
    /// False once the handlers must no longer be called.
    bool isOpen = true;
};

std::unique_ptr<FrameStream> FrameStream::connect(asio::io_context &context, Endpoint peer,
                                                  Handlers handlers)
{
    auto d = std::make_shared<Private>(asio::ip::tcp::socket(context), peer);
    d->handlers = std::move(handlers);
    d->connect();
    return std::unique_ptr<FrameStream>(new FrameStream(std::move(d)));
}

FrameStream::FrameStream(std::shared_ptr<Private> d)
    : m_d(std::move(d))
{
}

FrameStream::~FrameStream()
{
    m_d->isOpen = false;
    m_d->close();
}

bool FrameStream::send(std::string_view message)
{
    return m_d->send(message);
}

bool FrameStream::isConnected() const
{
    return m_d->isConnected;
}

Endpoint FrameStream::peer() const
{
    return m_d->peer;
}

struct FrameListener::Private : std::enable_shared_from_this<FrameListener::Private>
{
    Private(asio::io_context &ioContext, Acceptor callback)
        : context(ioContext)
        , acceptor(ioContext)
        , accept(std::move(callback))
    {
    }

    void waitForConnection()
    {
        acceptor.async_accept([self = shared_from_this()](const std::error_code &error,
                                                          asio::ip::tcp::socket socket) {
            if (!self->acceptor.is_open()) {
                return;
            }
            if (!error) {
                self->add(std::move(socket));
            }
            self->waitForConnection();
        });
    }

    void add(asio::ip::tcp::socket socket)
    {
        std::error_code error;
        const auto remote = socket.remote_endpoint(error);
        if (error) {
            return;
        }
        auto d = std::make_shared<FrameStream::Private>(std::move(socket), fromAsio(remote));
        auto stream = std::unique_ptr<FrameStream>(new FrameStream(d));
        FrameStream *key = stream.get();
        d->handlers = accept(key);
        const auto closed = d->handlers.closed;
        d->handlers.closed = [self = weak_from_this(), key, closed] {
            closed();
            // Destroyed later: a method of the stream is still on the call stack.
            if (const auto listener = self.lock()) {
                asio::post(listener->context, [listener, key] { listener->streams.erase(key); });
            }
        };
        streams[key] = std::move(stream);
        d->startReading();
    }

    asio::io_context &context;
    asio::ip::tcp::acceptor acceptor;
    Acceptor accept;
    std::map<FrameStream *, std::unique_ptr<FrameStream>> streams;
};

Result<std::unique_ptr<FrameListener>> FrameListener::open(asio::io_context &context,
                                                           Endpoint local, Acceptor acceptor)
{
    auto d = std::make_shared<Private>(context, std::move(acceptor));
    std::error_code error;
    d->acceptor.open(asio::ip::tcp::v4(), error);
    if (!error) {
        d->acceptor.set_option(asio::socket_base::reuse_address(true), error);
        d->acceptor.bind(toAsio(local), error);
    }
    if (!error) {
        d->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return Error{ErrorCode::System, Step::OpenSocket, toString(local), error.message()};
    }
    d->waitForConnection();
    return std::unique_ptr<FrameListener>(new FrameListener(std::move(d)));
}

FrameListener::FrameListener(std::shared_ptr<Private> d)
    : m_d(std::move(d))
{
}

FrameListener::~FrameListener()
{
    std::error_code ignored;
    m_d->acceptor.close(ignored);
    m_d->streams.clear();
}

} // namespace damaskhall
