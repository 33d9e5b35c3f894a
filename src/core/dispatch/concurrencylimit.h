#pragma once

#include "base/milliseconds.h"

#include <cstdint>

namespace damaskhall {

/// Learned number of requests that an upstream runs at once. Starts at 1, grows while the limit is
/// fully used without sheds or rising latency, and falls on a shed or timeout. A level that failed
/// is tried again after a time that doubles at each failure of the same level.
/// Thread safety: none. @c now must not decrease.
class ConcurrencyLimit
{
public:
    std::uint32_t value() const { return m_limit; }

    /// @p inFlight counts the requests at the upstream when this one was sent, including it.
    void onAnswer(std::uint32_t inFlight, Milliseconds latency, Milliseconds now);
    /// As onAnswer(), for work whose duration says nothing about load, such as uploads.
    void onCompletion(std::uint32_t inFlight, Milliseconds now);
    /// The upstream refused a request; @p inFlight as for onAnswer().
    void onShed(std::uint32_t inFlight, Milliseconds now);
    void onTimeout(Milliseconds now);

private:
    struct Mean
    {
        std::uint32_t count = 0;
        double sum = 0;

        double value() const { return sum / count; }
    };

    void judgeLatency(Milliseconds now);
    void lower(std::uint32_t limit, std::uint32_t failedLevel, Milliseconds now);
    void clearSamples();

    std::uint32_t m_limit = 1;
    /// Answers at full use since the last change.
    std::uint32_t m_fullAnswers = 0;
    std::uint32_t m_failedLevel = 0;
    Milliseconds m_backOff;
    Milliseconds m_nextGrowth;
    Milliseconds m_lastTimeout;
    /// Latency of requests sent at full use and below it.
    Mean m_atLimit;
    Mean m_belowLimit;
};

} // namespace damaskhall
