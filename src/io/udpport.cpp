#include "io/udpport.h"

#include "io/systemaddress.h"

#include <algorithm>
#include <array>
#include <asio/ip/udp.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <system_error>
#include <utility>
#include <vector>

namespace damaskhall {

namespace {

/// Kernel buffers in bytes: a burst of some thousand packets must survive a busy moment.
constexpr int SocketBufferBytes = 4 * 1024 * 1024;
/// Datagrams per system call.
constexpr std::size_t BatchSize = 64;
/// Batches read per wake-up, so that timers run under load.
constexpr int MaxBatches = 4;
constexpr std::size_t ReadBufferBytes = 65'536;

asio::ip::udp::endpoint toAsio(Endpoint endpoint)
{
    return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

/// Headers and buffers of one recvmmsg() call. One per thread serves all of its sockets; pages of
/// the buffers that no datagram reaches cost no memory.
struct ReadBatch
{
    ReadBatch()
        // Not initialised: a write would make every page cost memory.
        : bytes(std::make_unique_for_overwrite<char[]>(BatchSize * ReadBufferBytes))
    {
        for (std::size_t i = 0; i < BatchSize; ++i) {
            parts[i] = {bytes.get() + i * ReadBufferBytes, ReadBufferBytes};
            headers[i].msg_hdr.msg_iov = &parts[i];
            headers[i].msg_hdr.msg_iovlen = 1;
            headers[i].msg_hdr.msg_name = &senders[i];
        }
    }

    int receive(int socket)
    {
        for (mmsghdr &header : headers) {
            header.msg_hdr.msg_namelen = sizeof(sockaddr_in);
        }
        return recvmmsg(socket, headers.data(), BatchSize, MSG_DONTWAIT, nullptr);
    }

    std::string_view datagram(std::size_t i) const
    {
        return {static_cast<const char *>(parts[i].iov_base), headers[i].msg_len};
    }

    std::unique_ptr<char[]> bytes;
    std::array<iovec, BatchSize> parts{};
    std::array<sockaddr_in, BatchSize> senders{};
    std::array<mmsghdr, BatchSize> headers{};
};

ReadBatch &threadReadBatch()
{
    thread_local ReadBatch batch;
    return batch;
}

} // namespace

struct UdpPort::Private : std::enable_shared_from_this<UdpPort::Private>
{
    struct Queued
    {
        std::string datagram;
        sockaddr_in to{};
    };

    Private(asio::io_context &context, Receiver callback, std::function<void()> end)
        : socket(context)
        , receiver(std::move(callback))
        , batchEnd(std::move(end))
    {
    }

    void waitReadable()
    {
        socket.async_wait(asio::ip::udp::socket::wait_read,
                          [self = shared_from_this()](const std::error_code &error) {
                              if (!error && self->socket.is_open()) {
                                  self->readBatches();
                                  self->waitReadable();
                              }
                          });
    }

    void readBatches()
    {
        ReadBatch &batch = threadReadBatch();
        for (int i = 0; i < MaxBatches && socket.is_open(); ++i) {
            const int count = batch.receive(socket.native_handle());
            // Errors other than an empty socket are ICMP reports about earlier sends.
            for (int j = 0; j < count && socket.is_open(); ++j) {
                receiver(batch.datagram(j), fromSystem(batch.senders[j]));
            }
            if (batchEnd && socket.is_open()) {
                batchEnd();
            }
            if (count < static_cast<int>(BatchSize)) {
                return;
            }
        }
    }

    void flush()
    {
        std::size_t begin = 0;
        while (begin < used) {
            begin += sendBatch(begin, std::min(used - begin, BatchSize));
        }
        used = 0;
    }

    // Returns the number of datagrams that are dealt with: at least one.
    std::size_t sendBatch(std::size_t begin, std::size_t count)
    {
        std::array<iovec, BatchSize> parts;
        std::array<mmsghdr, BatchSize> headers{};
        for (std::size_t i = 0; i < count; ++i) {
            Queued &entry = queued[begin + i];
            parts[i] = {entry.datagram.data(), entry.datagram.size()};
            headers[i].msg_hdr.msg_iov = &parts[i];
            headers[i].msg_hdr.msg_iovlen = 1;
            if (!isConnected) {
                headers[i].msg_hdr.msg_name = &entry.to;
                headers[i].msg_hdr.msg_namelen = sizeof(entry.to);
            }
        }
        const int sent = sendmmsg(socket.native_handle(), headers.data(),
                                  static_cast<unsigned>(count), MSG_DONTWAIT);
        // The first datagram that the system does not take is lost.
        return sent <= 0 ? 1 : static_cast<std::size_t>(sent);
    }

    asio::ip::udp::socket socket;
    Receiver receiver;
    std::function<void()> batchEnd;
    /// The first @c used entries wait for flush(); the others keep their buffers.
    std::vector<Queued> queued;
    std::size_t used = 0;
    bool isConnected = false;
};

Result<std::unique_ptr<UdpPort>> UdpPort::open(asio::io_context &context, Endpoint local,
                                               Receiver receiver, std::function<void()> batchEnd)
{
    auto d = std::make_shared<Private>(context, std::move(receiver), std::move(batchEnd));
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

void UdpPort::connect(Endpoint peer)
{
    std::error_code error;
    m_d->socket.connect(toAsio(peer), error);
    m_d->isConnected = !error;
}

void UdpPort::send(std::string_view datagram, Endpoint to)
{
    queue(std::string(datagram), to);
    flush();
}

void UdpPort::queue(std::string datagram, Endpoint to)
{
    prepare(to) = std::move(datagram);
}

std::string &UdpPort::prepare(Endpoint to)
{
    if (m_d->used == m_d->queued.size()) {
        m_d->queued.emplace_back();
    }
    Private::Queued &entry = m_d->queued[m_d->used++];
    entry.to = toSystem(to);
    entry.datagram.clear();
    return entry.datagram;
}

void UdpPort::flush()
{
    m_d->flush();
}

Endpoint UdpPort::local() const
{
    std::error_code ignored;
    const auto endpoint = m_d->socket.local_endpoint(ignored);
    return {endpoint.address().to_v4().to_uint(), endpoint.port()};
}

} // namespace damaskhall
