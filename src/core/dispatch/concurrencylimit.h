#pragma once

#include "base/milliseconds.h"

#include <cstdint>
#include <vector>

namespace damaskhall {

/// Learned number of requests that an upstream runs at once. Starts at 1, grows while the limit is
/// fully used without sheds or rising latency, and falls on a shed, on a rise of latency or on a
/// timeout. A level that failed is tried again after a time that doubles at each failure.
/// Thread safety: none. @c now must not decrease.
class ConcurrencyLimit
{
public:
    ConcurrencyLimit();

    std::uint32_t value() const { return m_limit; }
    /// Highest level that has proved itself; below value() while a higher one is on trial.
    std::uint32_t proven() const { return m_proven; }

    /// @p inFlight counts the requests at the upstream when this one was sent, including it.
    void onAnswer(std::uint32_t inFlight, Milliseconds latency, Milliseconds now);
    /// As onAnswer(), for work whose duration says nothing about load, such as uploads.
    void onCompletion(std::uint32_t inFlight, Milliseconds now);
    /// The upstream refused a request; @p inFlight as for onAnswer().
    void onShed(std::uint32_t inFlight, Milliseconds now);
    void onTimeout(Milliseconds now);

private:
    /// What is known about running a certain number of requests at once.
    struct Level
    {
        std::uint32_t samples = 0;
        double latencySum = 0;
        /// Completions at full use since the limit last rose to this level.
        std::uint32_t completions = 0;
        /// Allowance for passing sheds: grows by one per completion at full use.
        std::uint32_t credit = 0;
        Milliseconds backOff;
        Milliseconds nextTry;

        double meanLatency() const { return latencySum / samples; }
    };

    enum class Verdict : std::uint8_t {
        /// Too few samples at one of the two levels.
        Open,
        Good,
        LatencyRises,
    };

    Verdict judge() const;
    bool isMeasured() const;
    void grow(Milliseconds now);
    void fail(std::uint32_t level, Milliseconds now);
    void lowerTo(std::uint32_t limit);

    std::uint32_t m_limit = 1;
    std::uint32_t m_proven = 1;
    Milliseconds m_lastTimeout;
    /// Index is the number of requests in flight; index 0 is unused.
    std::vector<Level> m_levels;
};

} // namespace damaskhall
