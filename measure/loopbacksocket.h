#pragma once

#include "base/endpoint.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace damaskhall::measure {

/// Blocking UDP socket on 127.0.0.1 with a short receive timeout, for load generators.
/// Thread safety: one thread may send while another receives.
class LoopbackSocket
{
public:
    /// Binds an ephemeral port. Throws std::runtime_error if that fails.
    LoopbackSocket();
    ~LoopbackSocket();
    LoopbackSocket(const LoopbackSocket &) = delete;
    LoopbackSocket &operator=(const LoopbackSocket &) = delete;

    Endpoint local() const { return m_local; }
    void send(std::string_view datagram, Endpoint to);
    /// Returns the next datagram and its sender, or nothing after 10 ms. The view is valid until
    /// the next call.
    std::optional<std::pair<std::string_view, Endpoint>> receive();
    /// Like receive(), but returns at once.
    std::optional<std::pair<std::string_view, Endpoint>> poll();

private:
    std::optional<std::pair<std::string_view, Endpoint>> receiveWith(int flags);

    int m_socket = -1;
    Endpoint m_local;
    std::array<char, 65'536> m_buffer{};
};

/// Returns an endpoint on 127.0.0.1 whose port was free a moment ago.
Endpoint freeLoopbackEndpoint();

} // namespace damaskhall::measure
