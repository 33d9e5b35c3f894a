#include "core/dispatch/concurrencylimit.h"

#include <algorithm>

namespace damaskhall {

namespace {

constexpr std::uint32_t MaxLimit = 64;
constexpr Milliseconds FirstBackOff = 1_s;
/// Each trial of a level above the real capacity costs one shed request.
constexpr Milliseconds MaxBackOff = 64_s;
/// Timeouts of requests that were sent together count once.
constexpr Milliseconds TimeoutInterval = 1_s;
/// Samples for a comparison at limit 2. With exponential service times the means of 128 samples
/// differ by 12% (one standard deviation), a quarter of the rise that queueing at level 2 causes.
constexpr std::uint32_t SamplesAtTwo = 128;

} // namespace

void ConcurrencyLimit::onAnswer(std::uint32_t inFlight, Milliseconds latency, Milliseconds now)
{
    Mean &mean = inFlight >= m_limit ? m_atLimit : m_belowLimit;
    ++mean.count;
    mean.sum += static_cast<double>(latency.value);
    judgeLatency(now);
    onCompletion(inFlight, now);
}

void ConcurrencyLimit::onCompletion(std::uint32_t inFlight, Milliseconds now)
{
    if (inFlight < m_limit) {
        return;
    }
    ++m_fullAnswers;
    if (m_fullAnswers < m_limit || now < m_nextGrowth || m_limit == MaxLimit) {
        return;
    }
    ++m_limit;
    m_fullAnswers = 0;
    clearSamples();
}

void ConcurrencyLimit::onShed(std::uint32_t inFlight, Milliseconds now)
{
    const std::uint32_t accepted = std::max(inFlight, 2U) - 1;
    lower(std::min(m_limit, accepted), inFlight, now);
}

void ConcurrencyLimit::onTimeout(Milliseconds now)
{
    if (m_lastTimeout > 0_ms && now - m_lastTimeout < TimeoutInterval) {
        return;
    }
    m_lastTimeout = now;
    lower(std::max(m_limit, 2U) - 1, m_limit, now);
}

void ConcurrencyLimit::judgeLatency(Milliseconds now)
{
    if (m_limit < 2) {
        return;
    }
    // One request more than the upstream's n slots waits 1/n of a service time on average. The
    // threshold is half of that; the samples needed grow with its inverse square.
    const std::uint32_t below = m_limit - 1;
    const std::uint32_t needed = SamplesAtTwo * below * below;
    if (m_atLimit.count < needed || m_belowLimit.count < needed) {
        return;
    }
    const double threshold = 1 + 0.5 / below;
    const bool hasRisen = m_atLimit.value() > m_belowLimit.value() * threshold;
    if (hasRisen) {
        lower(below, m_limit, now);
        return;
    }
    clearSamples();
}

void ConcurrencyLimit::lower(std::uint32_t limit, std::uint32_t failedLevel, Milliseconds now)
{
    const bool isRepeated = failedLevel == m_failedLevel;
    m_backOff = isRepeated ? std::min(m_backOff * 2, MaxBackOff) : FirstBackOff;
    m_failedLevel = failedLevel;
    m_nextGrowth = now + m_backOff;
    m_limit = limit;
    m_fullAnswers = 0;
    clearSamples();
}

void ConcurrencyLimit::clearSamples()
{
    m_atLimit = {};
    m_belowLimit = {};
}

} // namespace damaskhall
