#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/milliseconds.h"

#include <compare>
#include <cstdint>
#include <functional>

namespace damaskhall {

/// One start of an upstream. A restarted process may keep its id; nothing of the earlier start
/// holds for it.
struct UpstreamKey
{
    UpstreamId id;
    Incarnation born;

    constexpr auto operator<=>(const UpstreamKey &) const = default;
};

/// What an upstream says of itself in the platform's store. Thread safety: a plain value.
struct UpstreamEntry
{
    UpstreamKey key;
    ServiceId service;
    Endpoint endpoint;
    DataCentreId dataCentre;
    /// Requests that it works on at the same time; at least 1.
    std::uint32_t slots = 1;
    bool isLeaving = false;
    /// How much longer it works slowly after its start.
    Milliseconds warmupLeft;

    bool operator==(const UpstreamEntry &) const = default;
};

/// What the directory believes of an upstream.
enum class UpstreamHealth : std::uint8_t {
    /// Gets new flows.
    Ready,
    /// Its entry is missing, but the platform was away: gets new flows only if no other can.
    Unconfirmed,
    /// Keeps its flows, gets no new ones.
    Leaving,
    /// Its entry is gone; flows that it may still hold are forwarded.
    Gone,
    /// Another process is known to run in its place: its flows are lost.
    Replaced,
};

/// Directory record: the last entry and what it is worth.
struct UpstreamRecord
{
    UpstreamEntry entry;
    UpstreamHealth health = UpstreamHealth::Ready;
    /// Until then the upstream works slowly.
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
