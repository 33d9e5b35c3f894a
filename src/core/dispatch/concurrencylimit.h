#pragma once

#include "base/milliseconds.h"

#include <cstdint>
#include <vector>

namespace damaskhall {

/// Adaptive limit on the requests in flight at one upstream. Starts at 1, increases while the limit
/// is fully used without sheds or rising latency, and decreases on a shed, a rise of latency or a
/// timeout. A level, which is a number of requests in flight, is retried after a failure with a
/// back-off that doubles each time. Thread safety: none. @c now must not decrease.
class ConcurrencyLimit
{
public:
    ConcurrencyLimit();

    std::uint32_t value() const { return m_limit; }
    /// Highest level confirmed by measurements; below value() while a higher level is on trial.
    std::uint32_t confirmedLimit() const { return m_confirmedLimit; }

    /// @p inFlight is the number of requests at the upstream when this one was sent, including it.
    void onAnswer(std::uint32_t inFlight, Milliseconds latency, Milliseconds now);
    /// As onAnswer(), for work whose duration doesn't depend on load, such as uploads.
    void onCompletion(std::uint32_t inFlight, Milliseconds now);
    /// The upstream refused a request; @p inFlight as for onAnswer().
    void onShed(std::uint32_t inFlight, Milliseconds now);
    void onTimeout(Milliseconds now);

private:
    /// Measurements and back-off of one level.
    struct LevelStats
    {
        std::uint32_t samples = 0;
        double latencySum = 0;
        /// Completions at full use since the limit was last raised to this level.
        std::uint32_t completions = 0;
        /// Credit for transient sheds: increases by one per completion at full use.
        std::uint32_t shedCredit = 0;
        Milliseconds backOff;
        Milliseconds retryAt;

        double meanLatency() const { return latencySum / samples; }
    };

    enum class LatencyTrend : std::uint8_t {
        /// Too few samples at one of the two compared levels.
        Undecided,
        Steady,
        Rising,
    };

    LatencyTrend latencyTrend() const;
    bool hasEnoughSamples() const;
    void tryRaise(Milliseconds now);
    void recordFailure(std::uint32_t level, Milliseconds now);
    void lowerTo(std::uint32_t limit);

    std::uint32_t m_limit = 1;
    std::uint32_t m_confirmedLimit = 1;
    Milliseconds m_lastTimeout;
    /// Index is the number of requests in flight; index 0 is unused.
    std::vector<LevelStats> m_levels;
};

} // namespace damaskhall
