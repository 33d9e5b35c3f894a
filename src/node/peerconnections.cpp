#include "node/peerconnections.h"

#include "wire/controlcodec.h"
#include "wire/streamframing.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace damaskhall {

namespace {

using asio::ip::tcp;
using SteadyClock = std::chrono::steady_clock;

constexpr std::chrono::seconds HeartbeatInterval{1};
constexpr std::chrono::seconds ReceiveTimeout{3};
/// A connection without requests is closed after this time: pulls are rare, and heartbeats to every
/// former peer would cost more than a new connection.
constexpr std::chrono::seconds IdleTimeout{5};
/// Hello is short; a longer first message belongs to another protocol.
constexpr std::size_t MaxHelloBytes = 64;
constexpr std::size_t MaxInboundConnections = 256;
constexpr std::size_t ReadBufferBytes = 16'384;
/// Maximum number of bytes queued for one peer. A peer that reads too slowly is disconnected.
constexpr std::size_t MaxPendingBytes = 2 * MaxStreamMessageBytes;

tcp::endpoint toAsio(Endpoint endpoint)
{
    return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

} // namespace

struct PeerConnections::Shared : std::enable_shared_from_this<PeerConnections::Shared>
{
    Shared(asio::io_context &ioContext, InstanceId instance, Hooks connectionHooks,
           ControlHooks counters)
        : context(ioContext)
        , acceptor(ioContext)
        , self(instance)
        , hooks(std::move(connectionHooks))
        , controlHooks(std::move(counters))
    {
    }

    void accept();

    asio::io_context &context;
    tcp::acceptor acceptor;
    InstanceId self;
    Hooks hooks;
    ControlHooks controlHooks;
    std::map<Endpoint, std::shared_ptr<Connection>> outbound;
    std::set<std::shared_ptr<Connection>> inbound;
    bool isClosed = false;
};

/// One connection, opened by either side.
class PeerConnections::Connection : public std::enable_shared_from_this<PeerConnections::Connection>
{
public:
    Connection(std::shared_ptr<Shared> shared, tcp::socket socket, std::optional<Endpoint> peer)
        : m_shared(std::move(shared))
        , m_socket(std::move(socket))
        , m_peer(peer)
        , m_timer(m_shared->context)
        , m_reader(MaxHelloBytes)
        , m_lastReceived(SteadyClock::now())
        , m_lastUsed(m_lastReceived)
    {
    }

    void start()
    {
        if (!m_peer) {
            begin();
            return;
        }
        startTimer();
        m_socket.async_connect(toAsio(*m_peer),
                               [self = shared_from_this()](const std::error_code &error) {
                                   if (self->m_isClosed) {
                                       return;
                                   }
                                   error ? self->fail() : self->begin();
                               });
    }

    void request(const StreamMessage &message)
    {
        m_requests.push_back(message);
        m_lastUsed = SteadyClock::now();
        if (m_isOpen) {
            write(message);
        }
    }

    void close()
    {
        if (std::exchange(m_isClosed, true)) {
            return;
        }
        std::error_code ignored;
        m_socket.close(ignored);
        m_timer.cancel(ignored);
    }

private:
    void begin()
    {
        m_isOpen = true;
        std::error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
        write(Hello{ControlProtocolVersion, m_shared->self});
        for (const StreamMessage &message : m_requests) {
            write(message);
        }
        if (!m_peer) {
            startTimer();
        }
        read();
    }

    void write(const StreamMessage &message)
    {
        m_pendingBytes +=
                m_pending.emplace_back(frameForStream(encodeStreamMessage(message))).size();
        if (m_pendingBytes > MaxPendingBytes) {
            fail();
            return;
        }
        if (m_pending.size() == 1) {
            writeNext();
        }
    }

    void writeNext()
    {
        asio::async_write(m_socket, asio::buffer(m_pending.front()),
                          [self = shared_from_this()](const std::error_code &error, std::size_t) {
                              if (self->m_isClosed) {
                                  return;
                              }
                              if (error) {
                                  self->fail();
                                  return;
                              }
                              self->m_pendingBytes -= self->m_pending.front().size();
                              self->m_pending.pop_front();
                              if (!self->m_pending.empty()) {
                                  self->writeNext();
                              }
                          });
    }

    void read()
    {
        m_socket.async_read_some(
                asio::buffer(m_buffer),
                [self = shared_from_this()](const std::error_code &error, std::size_t size) {
                    if (self->m_isClosed) {
                        return;
                    }
                    if (error) {
                        self->fail();
                        return;
                    }
                    self->m_lastReceived = SteadyClock::now();
                    self->m_reader.append({self->m_buffer.data(), size});
                    self->handleMessages();
                    if (!self->m_isClosed) {
                        self->read();
                    }
                });
    }

    void handleMessages()
    {
        while (!m_isClosed) {
            auto next = m_reader.next();
            if (!next) {
                refuse(next.assume_error());
                return;
            }
            if (!next.assume_value()) {
                return;
            }
            const auto message = decodeStreamMessage(*next.assume_value());
            if (!message) {
                refuse(message.assume_error());
                return;
            }
            handle(message.assume_value());
        }
    }

    void handle(const StreamMessage &message)
    {
        const bool isHello = std::holds_alternative<Hello>(message);
        if (isHello == m_hasReceivedHello) {
            refuse({ErrorCode::Malformed, Step::ReceiveMessage, "",
                    "Hello is not the first message or was repeated"});
            return;
        }
        if (isHello) {
            m_hasReceivedHello = true;
            m_reader.setMaxMessageBytes(MaxStreamMessageBytes);
            return;
        }
        if (std::holds_alternative<Heartbeat>(message)) {
            return;
        }
        m_lastUsed = SteadyClock::now();
        m_peer ? handleReply(message) : handleRequest(message);
    }

    void handleRequest(const StreamMessage &message)
    {
        const auto reply = m_shared->hooks.answerRequest(message);
        if (!reply) {
            refuse({ErrorCode::Malformed, Step::ReceiveMessage, "", "not a request"});
            return;
        }
        write(*reply);
    }

    void handleReply(const StreamMessage &message)
    {
        if (m_requests.empty()) {
            refuse({ErrorCode::Malformed, Step::ReceiveMessage, "", "reply without a request"});
            return;
        }
        m_requests.pop_front();
        m_shared->hooks.handleReply(*m_peer, message);
    }

    void refuse(const Error &error)
    {
        const bool isVersionMismatch = error.code == ErrorCode::VersionMismatch;
        m_shared->controlHooks.countEvent(isVersionMismatch ? ControlEvent::VersionRefused
                                                            : ControlEvent::MessageRefused);
        m_mayReconnect = false;
        fail();
    }

    void startTimer()
    {
        m_timer.expires_after(HeartbeatInterval);
        m_timer.async_wait([self = shared_from_this()](const std::error_code &error) {
            if (!error && !self->m_isClosed) {
                self->checkTimeouts();
            }
        });
    }

    void checkTimeouts()
    {
        const auto now = SteadyClock::now();
        if (now - m_lastReceived >= ReceiveTimeout) {
            fail();
            return;
        }
        if (m_peer && m_requests.empty() && now - m_lastUsed >= IdleTimeout) {
            close();
            remove();
            return;
        }
        if (m_isOpen) {
            write(Heartbeat{});
        }
        if (!m_isClosed) {
            startTimer();
        }
    }

    // Closes the connection. Unanswered requests are retried once on a new connection; all requests
    // are read-only, so a retry is safe.
    void fail()
    {
        if (m_isClosed) {
            return;
        }
        close();
        const auto self = shared_from_this();
        remove();
        if (!m_peer || m_requests.empty()) {
            return;
        }
        if (m_isOpen && m_mayReconnect && !m_shared->isClosed) {
            m_shared->controlHooks.countRetry(RetryReason::PeerReconnect);
            auto next =
                    std::make_shared<Connection>(m_shared, tcp::socket(m_shared->context), m_peer);
            next->m_requests = std::move(m_requests);
            next->m_mayReconnect = false;
            m_shared->outbound[*m_peer] = next;
            next->start();
            return;
        }
        m_shared->hooks.handleFailure(*m_peer);
    }

    void remove()
    {
        if (!m_peer) {
            m_shared->inbound.erase(shared_from_this());
            return;
        }
        const auto found = m_shared->outbound.find(*m_peer);
        if (found != m_shared->outbound.end() && found->second.get() == this) {
            m_shared->outbound.erase(found);
        }
    }

    std::shared_ptr<Shared> m_shared;
    tcp::socket m_socket;
    /// Set on the side that opened the connection.
    std::optional<Endpoint> m_peer;
    asio::steady_timer m_timer;
    StreamReader m_reader;
    std::array<char, ReadBufferBytes> m_buffer{};
    std::deque<std::string> m_pending;
    std::size_t m_pendingBytes = 0;
    std::deque<StreamMessage> m_requests;
    SteadyClock::time_point m_lastReceived;
    SteadyClock::time_point m_lastUsed;
    bool m_isOpen = false;
    bool m_isClosed = false;
    bool m_hasReceivedHello = false;
    bool m_mayReconnect = true;
};

void PeerConnections::Shared::accept()
{
    acceptor.async_accept([self = shared_from_this()](const std::error_code &error,
                                                      tcp::socket socket) {
        if (self->isClosed || error == asio::error::operation_aborted) {
            return;
        }
        if (!error && self->inbound.size() < MaxInboundConnections) {
            auto connection = std::make_shared<Connection>(self, std::move(socket), std::nullopt);
            self->inbound.insert(connection);
            connection->start();
        }
        self->accept();
    });
}

Result<std::unique_ptr<PeerConnections>> PeerConnections::open(asio::io_context &context,
                                                               Endpoint local, InstanceId self,
                                                               const Hooks &hooks,
                                                               const ControlHooks &controlHooks)
{
    auto shared = std::make_shared<Shared>(context, self, hooks, controlHooks);
    std::error_code error;
    shared->acceptor.open(tcp::v4(), error);
    if (!error) {
        shared->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        shared->acceptor.bind(toAsio(local), error);
    }
    if (!error) {
        shared->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return Error{ErrorCode::System, Step::OpenSocket, toString(local), error.message()};
    }
    shared->accept();
    return std::unique_ptr<PeerConnections>(new PeerConnections(std::move(shared)));
}

PeerConnections::PeerConnections(std::shared_ptr<Shared> shared)
    : m_shared(std::move(shared))
{
}

PeerConnections::~PeerConnections()
{
    m_shared->isClosed = true;
    std::error_code ignored;
    m_shared->acceptor.close(ignored);
    const auto outbound = std::exchange(m_shared->outbound, {});
    for (const auto &[peer, connection] : outbound) {
        connection->close();
    }
    const auto inbound = std::exchange(m_shared->inbound, {});
    for (const auto &connection : inbound) {
        connection->close();
    }
}

void PeerConnections::request(Endpoint peer, const StreamMessage &message)
{
    auto &connection = m_shared->outbound[peer];
    if (connection) {
        connection->request(message);
        return;
    }
    connection = std::make_shared<Connection>(m_shared, tcp::socket(m_shared->context), peer);
    const std::shared_ptr<Connection> started = connection;
    started->request(message);
    started->start();
}

} // namespace damaskhall
