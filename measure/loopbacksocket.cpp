#include "measure/loopbacksocket.h"

#include "io/systemaddress.h"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <system_error>
#include <unistd.h>

namespace damaskhall::measure {

namespace {

constexpr int BufferBytes = 4 * 1024 * 1024;
constexpr int ReceiveTimeoutUs = 10'000;

} // namespace

LoopbackSocket::LoopbackSocket()
    : m_socket(::socket(AF_INET, SOCK_DGRAM, 0))
{
    const sockaddr_in wanted = toSystem({INADDR_LOOPBACK, 0});
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    const bool isBound =
            m_socket >= 0 &&
            ::bind(m_socket, reinterpret_cast<const sockaddr *>(&wanted), sizeof(wanted)) == 0 &&
            ::getsockname(m_socket, reinterpret_cast<sockaddr *>(&bound), &size) == 0;
    if (!isBound) {
        throw std::runtime_error("cannot open a loopback socket: " +
                                 std::system_category().message(errno));
    }
    m_local = fromSystem(bound);
    const timeval timeout{0, ReceiveTimeoutUs};
    ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    ::setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &BufferBytes, sizeof(BufferBytes));
    ::setsockopt(m_socket, SOL_SOCKET, SO_SNDBUF, &BufferBytes, sizeof(BufferBytes));
}

LoopbackSocket::~LoopbackSocket()
{
    ::close(m_socket);
}

void LoopbackSocket::send(std::string_view datagram, Endpoint to)
{
    const sockaddr_in address = toSystem(to);
    ::sendto(m_socket, datagram.data(), datagram.size(), 0,
             reinterpret_cast<const sockaddr *>(&address), sizeof(address));
}

std::optional<std::pair<std::string_view, Endpoint>> LoopbackSocket::receive()
{
    return receiveWith(0);
}

std::optional<std::pair<std::string_view, Endpoint>> LoopbackSocket::poll()
{
    return receiveWith(MSG_DONTWAIT);
}

std::optional<std::pair<std::string_view, Endpoint>> LoopbackSocket::receiveWith(int flags)
{
    sockaddr_in from{};
    socklen_t size = sizeof(from);
    const ssize_t received = ::recvfrom(m_socket, m_buffer.data(), m_buffer.size(), flags,
                                        reinterpret_cast<sockaddr *>(&from), &size);
    if (received < 0) {
        return std::nullopt;
    }
    const std::string_view datagram(m_buffer.data(), static_cast<std::size_t>(received));
    return std::pair(datagram, fromSystem(from));
}

Endpoint freeLoopbackEndpoint()
{
    return LoopbackSocket().local();
}

} // namespace damaskhall::measure
