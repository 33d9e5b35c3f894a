#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/milliseconds.h"

#include <compare>
#include <cstdint>
#include <functional>

namespace damaskhall {

/// Identifies one incarnation of an upstream. A restarted process may keep its id, but shares no
/// state with its earlier incarnation. Packets name only the id, so they reach the incarnation that
/// runs when they arrive, whichever one the balancer knows.
struct UpstreamKey
{
    UpstreamId id;
    Incarnation born;

    constexpr auto operator<=>(const UpstreamKey &) const = default;
};

/// The entry that an upstream writes into the platform's store. Thread safety: a plain value.
struct UpstreamEntry
{
    UpstreamKey key;
    ServiceId service;
    Endpoint endpoint;
    DataCentreId dataCentre;
    /// Number of requests that it processes concurrently; at least 1.
    std::uint32_t slots = 1;
    bool isLeaving = false;
    /// Remaining time for which it processes requests slowly after its start.
    Milliseconds warmupLeft;

    bool operator==(const UpstreamEntry &) const = default;
};

/// State of an upstream according to the directory.
enum class UpstreamHealth : std::uint8_t {
    /// Receives new flows.
    Ready,
    /// Its entry is missing, but the platform was unreachable: receives new flows only if no other
    /// upstream can.
    Unconfirmed,
    /// Keeps its flows, receives no new ones.
    Leaving,
    /// Its entry is gone. Packets of flows that it may still hold are forwarded.
    Gone,
    /// Another process is known to run in its place: another upstream, or a later incarnation,
    /// which may hold flows that were opened before its entry was read.
    Replaced,
};

/// Last entry of an upstream and its state.
struct UpstreamRecord
{
    UpstreamEntry entry;
    UpstreamHealth health = UpstreamHealth::Ready;
    /// The upstream processes requests slowly until then.
    Milliseconds warmupEnd;

    bool operator==(const UpstreamRecord &) const = default;
};

} // namespace damaskhall

template <>
struct std::hash<damaskhall::UpstreamKey>
{
    std::size_t operator()(const damaskhall::UpstreamKey &key) const noexcept
    {
        constexpr std::uint64_t Multiplier = 0x9e3779b97f4a7c15;
        return static_cast<std::size_t>(key.id.value * Multiplier ^ key.born.value);
    }
};
