#pragma once

#include "base/random.h"

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace damaskhall::measure {

inline constexpr std::size_t WorkshopUpstreams = 14;
inline constexpr std::uint32_t SlotsPerUpstream = 2;
inline constexpr std::uint32_t FleetBalancers = 9;
/// Mean service times in milliseconds of the fastest and slowest upstream: capacities 4 to 1.
inline constexpr double FastestMeanMs = 25;
inline constexpr double SlowestMeanMs = 100;

/// Returns the mean service time in milliseconds per upstream; capacities are evenly spaced between
/// the slowest and the fastest.
inline std::vector<double> meanServiceTimes(std::size_t upstreams = WorkshopUpstreams)
{
    std::vector<double> means;
    for (std::size_t i = 0; i < upstreams; ++i) {
        const double position = static_cast<double>(i) / static_cast<double>(upstreams - 1);
        const double rate = 1 / SlowestMeanMs + (1 / FastestMeanMs - 1 / SlowestMeanMs) * position;
        means.push_back(1 / rate);
    }
    return means;
}

/// Returns requests per millisecond that all upstreams together can run.
inline double capacityPerMs(const std::vector<double> &means)
{
    double rate = 0;
    for (const double mean : means) {
        rate += SlotsPerUpstream / mean;
    }
    return rate;
}

/// One request of a run; all policies of the run see the same ones.
struct Arrival
{
    double atMs = 0;
    std::uint32_t sender = 0;
    /// Service time in units of the mean of the upstream that runs it; exponential with mean 1.
    double work = 1;
};

inline double exponential(const RandomSource &random, double mean)
{
    return -std::log(1.0 - randomUnit(random)) * mean;
}

/// Returns Poisson arrivals at @p load (1 is the whole capacity) for @p durationMs.
inline std::vector<Arrival> poissonArrivals(const RandomSource &random, double load,
                                            double durationMs)
{
    const double gapMs = 1 / (load * capacityPerMs(meanServiceTimes()));
    std::vector<Arrival> arrivals;
    for (double at = exponential(random, gapMs); at < durationMs;
         at += exponential(random, gapMs)) {
        const auto sender = static_cast<std::uint32_t>(randomBelow(random, FleetBalancers));
        arrivals.push_back({at, sender, exponential(random, 1)});
    }
    return arrivals;
}

} // namespace damaskhall::measure
