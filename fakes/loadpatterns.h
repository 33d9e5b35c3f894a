#pragma once

#include "fakes/flowfleet.h"

#include <functional>
#include <string>
#include <vector>

namespace damaskhall::fakes {

/// A situation of docs/overload.md that the placement of flows answers, as a replay.
struct LoadPattern
{
    std::string name;
    /// Starts the trouble; FlowFleet::now() is TroubleAt.
    std::function<void(FlowFleet &)> start;
    /// Requests that count: those of this load, or of all if it is empty ...
    std::string load;
    /// ... that are asked in [from, until).
    Milliseconds from;
    Milliseconds until;
    /// Share of them that is answered in time.
    double target = 0;
    /// Least share of the capacity that is used in that time.
    double usedCapacity = 0;
};

/// When the trouble of each pattern starts.
inline constexpr Milliseconds TroubleAt = 10_s;

/// Three data centres of five upstreams with two slots each, at 45% load: feeds on long flows and
/// claims on a flow each. Thread safety: reentrant.
FlowFleetOptions workshopFleet(std::uint64_t seed);

/// As workshopFleet(), with urgent transactions and less urgent lookups on a flow each, and feeds
/// on long flows. Admission is controlled. Thread safety: reentrant.
FlowFleetOptions prioritisedFleet(std::uint64_t seed);

/// Three data centres of 20 upstreams with two slots each, at 45% load, most of it short flows, so
/// that an instance sees a small share: @p instances are those of each data centre.
FlowFleetOptions districtFleet(std::uint64_t seed, int instances);

/// One data centre at 1.5 times its capacity, while the others have spare capacity for it.
void startBurst(FlowFleet &fleet);
/// Upstreams of speeds 0.6, 1.0 and 1.6, and the load of two data centres 55% above and below
/// usual.
void startUnevenWaves(FlowFleet &fleet);

/// Returns all patterns of workshopFleet(). Thread safety: reentrant.
std::vector<LoadPattern> loadPatterns();

/// Returns the patterns of prioritisedFleet(), in which upstreams refuse. The transactions count.
/// Thread safety: reentrant.
std::vector<LoadPattern> overloadPatterns();

/// Replays @p pattern with one seed and returns what became of the requests that count.
/// Thread safety: reentrant.
FlowOutcome replay(const LoadPattern &pattern, const FlowFleetOptions &options);

} // namespace damaskhall::fakes
