#pragma once

#include "base/ids.h"
#include "base/milliseconds.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace damaskhall {

// Snapshots for operators, as plain data.

struct UpstreamStatus
{
    UpstreamId id;
    ServiceId service;
    /// Learned concurrency limit and requests in flight.
    std::uint32_t limit = 0;
    std::uint32_t inFlight = 0;
    /// Share of the learned slots that is busy, 0 to 1, over a decaying window.
    double busyShare = 0;
    bool inUse = true;
    /// Why the upstream is in or out of use, as a short phrase.
    std::string reason;
};

struct ClassStatus
{
    ServiceId service;
    ClassId workClass;
    std::size_t waiting = 0;
    std::uint64_t targetMet = 0;
    std::uint64_t targetMissed = 0;
};

struct TrafficStatus
{
    std::vector<UpstreamStatus> upstreams;
    std::vector<ClassStatus> classes;
};

} // namespace damaskhall
