#pragma once

#include "base/endpoint.h"
#include "base/ids.h"

#include <compare>
#include <cstdint>
#include <functional>

namespace damaskhall {

/// Value that a balancer writes into the packets of a flow and that both ends return in theirs.
/// Zero: none.
using FlowCookie = StrongId<struct FlowCookieTag, std::uint32_t>;

/// Two ends of a flow as the client addresses it.
struct FlowKey
{
    Endpoint client;
    /// Public address of the route, not that of an upstream.
    Endpoint route;

    constexpr auto operator<=>(const FlowKey &) const = default;
};

/// Head of a client's packet, decoded. Thread safety: a plain value.
struct FlowPacket
{
    FlowKey key;
    bool isOpening = false;
    bool isClosing = false;
    bool isReset = false;
    std::uint32_t sequence = 0;
    /// Sequence number up to which the client has received the answer. Not set in opening packets.
    std::uint32_t acknowledgment = 0;
    /// Transmission of an opening packet: zero for the first, then one more for each copy.
    std::uint32_t copy = 0;
    /// Bytes of data.
    std::uint16_t length = 0;
    FlowCookie cookie;
};

} // namespace damaskhall

template <>
struct std::hash<damaskhall::FlowKey>
{
    std::size_t operator()(const damaskhall::FlowKey &key) const noexcept
    {
        // Fibonacci hashing: client ports and route addresses differ in few bits.
        constexpr std::uint64_t Multiplier = 0x9e3779b97f4a7c15;
        const std::uint64_t client = std::uint64_t{key.client.address} << 16 | key.client.port;
        const std::uint64_t route = std::uint64_t{key.route.address} << 16 | key.route.port;
        const std::uint64_t mixed = (client * Multiplier ^ route) * Multiplier;
        return static_cast<std::size_t>(mixed ^ mixed >> 32);
    }
};
