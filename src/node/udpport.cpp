#include "node/udpport.h"

#include <array>
#include <asio/ip/udp.hpp>
#include <system_error>

namespace damaskhall {

namespace {

/// Kernel buffers in bytes: a burst of some thousand packets must survive a busy moment.
constexpr int SocketBufferBytes = 4 * 1024 * 1024;
/// Datagrams read per wake-up, so that timers run under load.
constexpr int MaxBatch = 64;
constexpr std::size_t ReadBufferBytes = 65'536;

asio::ip::udp::endpoint toAsio(Endpoint endpoint)
{
    return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

Endpoint fromAsio(const asio::ip::udp::endpoint &endpoint)
{
    return {endpoint.address().to_v4().to_uint(), endpoint.port()};
}

} // namespace

struct UdpPort::Private : std::enable_shared_from_this<UdpPort::Private>
{
    Private(asio::io_context &context, Receiver callback)
        : socket(context)
        , receiver(std::move(callback))
    {
    }

    void waitReadable()
    {
        socket.async_wait(asio::ip::udp::socket::wait_read,
                          [self = shared_from_this()](const std::error_code &error) {
                              if (!error && self->socket.is_open()) {
                                  self->readBatch();
                                  self->waitReadable();
                              }
                          });
    }

    void readBatch()
    {
        for (int i = 0; i < MaxBatch && socket.is_open(); ++i) {
            asio::ip::udp::endpoint from;
            std::error_code error;
            const std::size_t size = socket.receive_from(asio::buffer(buffer), from, 0, error);
            if (error == asio::error::would_block) {
                return;
            }
            // Other errors are ICMP reports about earlier sends to closed ports.
            if (!error) {
                receiver({buffer.data(), size}, fromAsio(from));
            }
        }
    }

    asio::ip::udp::socket socket;
    Receiver receiver;
    std::array<char, ReadBufferBytes> buffer{};
};

Result<std::unique_ptr<UdpPort>> UdpPort::open(asio::io_context &context, Endpoint local,
                                               Receiver receiver)
{
    auto d = std::make_shared<Private>(context, std::move(receiver));
    std::error_code error;
    d->socket.open(asio::ip::udp::v4(), error);
    if (!error) {
        d->socket.bind(toAsio(local), error);
    }
    if (error) {
        return Error{ErrorCode::System, Step::OpenSocket, toString(local), error.message()};
    }
    std::error_code ignored;
    d->socket.set_option(asio::socket_base::receive_buffer_size(SocketBufferBytes), ignored);
    d->socket.set_option(asio::socket_base::send_buffer_size(SocketBufferBytes), ignored);
    d->socket.non_blocking(true, ignored);
    d->waitReadable();
    return std::unique_ptr<UdpPort>(new UdpPort(std::move(d)));
}

UdpPort::UdpPort(std::shared_ptr<Private> d)
    : m_d(std::move(d))
{
}

UdpPort::~UdpPort()
{
    std::error_code ignored;
    m_d->socket.close(ignored);
}

void UdpPort::send(std::string_view datagram, Endpoint to)
{
    std::error_code ignored;
    m_d->socket.send_to(asio::buffer(datagram.data(), datagram.size()), toAsio(to), 0, ignored);
}

Endpoint UdpPort::local() const
{
    std::error_code ignored;
    return fromAsio(m_d->socket.local_endpoint(ignored));
}

} // namespace damaskhall
