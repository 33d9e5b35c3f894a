#pragma once

#include "base/endpoint.h"
#include "base/ids.h"

#include <compare>
#include <cstdint>
#include <functional>

namespace damaskhall {

/// Value that a balancer writes into the packets of a flow. Both ends copy it into their packets.
/// Zero: no cookie.
using FlowCookie = StrongId<struct FlowCookieTag, std::uint32_t>;

/// Both endpoints of a flow as seen by the client.
struct FlowKey
{
    Endpoint client;
    /// Public address of the route, not that of an upstream.
    Endpoint route;

    constexpr auto operator<=>(const FlowKey &) const = default;
};

/// Decoded header of a client's packet. Thread safety: a plain value.
struct FlowPacket
{
    FlowKey key;
    bool isOpening = false;
    bool isClosing = false;
    bool isReset = false;
    std::uint32_t sequence = 0;
    /// Sequence number up to which the client has received the response. Not set in opening
    /// packets.
    std::uint32_t acknowledgment = 0;
    /// Number of retransmissions of an opening packet: zero for the first transmission.
    std::uint32_t copy = 0;
    /// Payload size in bytes.
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
