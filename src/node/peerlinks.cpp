#include "node/peerlinks.h"

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
constexpr std::chrono::seconds SilenceLimit{3};
/// A connection without requests is closed after this time: pulls are rare, and heartbeats to
/// every past peer would cost more than a new connection.
constexpr std::chrono::seconds IdleLimit{5};
/// Hello is short; a longer first message is foreign.
constexpr std::size_t MaxHelloBytes = 64;
constexpr std::size_t MaxInboundLinks = 256;
constexpr std::size_t ReadBufferBytes = 16'384;
/// Bytes that wait to be written to one peer. A peer that reads too slowly is disconnected.
constexpr std::size_t MaxPendingBytes = 2 * MaxStreamMessageBytes;

tcp::endpoint toAsio(Endpoint endpoint)
{
    return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

} // namespace

struct PeerLinks::Shared : std::enable_shared_from_this<PeerLinks::Shared>
{
    Shared(asio::io_context &ioContext, InstanceId instance, Hooks linkHooks, ControlHooks counters)
        : context(ioContext)
        , acceptor(ioContext)
        , self(instance)
        , hooks(std::move(linkHooks))
        , controlHooks(std::move(counters))
    {
    }

    void accept();

    asio::io_context &context;
    tcp::acceptor acceptor;
    InstanceId self;
    Hooks hooks;
    ControlHooks controlHooks;
    std::map<Endpoint, std::shared_ptr<Link>> outbound;
    std::set<std::shared_ptr<Link>> inbound;
    bool isClosed = false;
};

/// One connection, opened by either side.
class PeerLinks::Link : public std::enable_shared_from_this<PeerLinks::Link>
{
public:
    Link(std::shared_ptr<Shared> shared, tcp::socket socket, std::optional<Endpoint> peer)
        : m_shared(std::move(shared))
        , m_socket(std::move(socket))
        , m_peer(peer)
        , m_timer(m_shared->context)
        , m_framing(MaxHelloBytes)
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
        waitTimer();
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
            waitTimer();
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
                    self->m_framing.append({self->m_buffer.data(), size});
                    self->handleMessages();
                    if (!self->m_isClosed) {
                        self->read();
                    }
                });
    }

    void handleMessages()
    {
        while (!m_isClosed) {
            auto next = m_framing.next();
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
        if (isHello == m_hasHello) {
            refuse({ErrorCode::Malformed, Step::ReceiveMessage, "", "Hello expected once, first"});
            return;
        }
        if (isHello) {
            m_hasHello = true;
            m_framing.setMaxMessageBytes(MaxStreamMessageBytes);
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
        const auto reply = m_shared->hooks.answer(message);
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
        const bool isVersion = error.code == ErrorCode::VersionMismatch;
        m_shared->controlHooks.countEvent(isVersion ? ControlEvent::VersionRefused
                                                    : ControlEvent::MessageRefused);
        m_mayReconnect = false;
        fail();
    }

    void waitTimer()
    {
        m_timer.expires_after(HeartbeatInterval);
        m_timer.async_wait([self = shared_from_this()](const std::error_code &error) {
            if (!error && !self->m_isClosed) {
                self->checkTime();
            }
        });
    }

    void checkTime()
    {
        const auto now = SteadyClock::now();
        if (now - m_lastReceived >= SilenceLimit) {
            fail();
            return;
        }
        if (m_peer && m_requests.empty() && now - m_lastUsed >= IdleLimit) {
            close();
            remove();
            return;
        }
        if (m_isOpen) {
            write(Heartbeat{});
        }
        if (!m_isClosed) {
            waitTimer();
        }
    }

    // Ends the connection. Unanswered requests are repeated once on a new connection; all requests
    // only read, so that a repetition does no harm.
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
            auto next = std::make_shared<Link>(m_shared, tcp::socket(m_shared->context), m_peer);
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
    StreamReader m_framing;
    std::array<char, ReadBufferBytes> m_buffer{};
    std::deque<std::string> m_pending;
    std::size_t m_pendingBytes = 0;
    std::deque<StreamMessage> m_requests;
    SteadyClock::time_point m_lastReceived;
    SteadyClock::time_point m_lastUsed;
    bool m_isOpen = false;
    bool m_isClosed = false;
    bool m_hasHello = false;
    bool m_mayReconnect = true;
};

void PeerLinks::Shared::accept()
{
    acceptor.async_accept(
            [self = shared_from_this()](const std::error_code &error, tcp::socket socket) {
                if (self->isClosed || error == asio::error::operation_aborted) {
                    return;
                }
                if (!error && self->inbound.size() < MaxInboundLinks) {
                    auto link = std::make_shared<Link>(self, std::move(socket), std::nullopt);
                    self->inbound.insert(link);
                    link->start();
                }
                self->accept();
            });
}

Result<std::unique_ptr<PeerLinks>> PeerLinks::open(asio::io_context &context, Endpoint local,
                                                   InstanceId self, const Hooks &hooks,
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
    return std::unique_ptr<PeerLinks>(new PeerLinks(std::move(shared)));
}

PeerLinks::PeerLinks(std::shared_ptr<Shared> shared)
    : m_shared(std::move(shared))
{
}

PeerLinks::~PeerLinks()
{
    m_shared->isClosed = true;
    std::error_code ignored;
    m_shared->acceptor.close(ignored);
    const auto outbound = std::exchange(m_shared->outbound, {});
    for (const auto &[peer, link] : outbound) {
        link->close();
    }
    const auto inbound = std::exchange(m_shared->inbound, {});
    for (const auto &link : inbound) {
        link->close();
    }
}

void PeerLinks::request(Endpoint peer, const StreamMessage &message)
{
    auto &link = m_shared->outbound[peer];
    if (link) {
        link->request(message);
        return;
    }
    link = std::make_shared<Link>(m_shared, tcp::socket(m_shared->context), peer);
    const std::shared_ptr<Link> started = link;
    started->request(message);
    started->start();
}

} // namespace damaskhall
