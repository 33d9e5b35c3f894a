#include "core/dispatch/concurrencylimit.h"

#include <algorithm>

namespace damaskhall {

namespace {

constexpr std::uint32_t MaxLimit = 64;
constexpr Milliseconds FirstBackOff = 1_s;
/// A trial above the actual capacity costs a shed request, or queueing for some requests.
constexpr Milliseconds MaxBackOff = 120_s;
/// Completions per tolerated shed at a level that works: upstreams also shed for transient reasons,
/// and lowering the limit costs far more than a retry.
constexpr std::uint32_t ShedCreditCost = 16;
constexpr std::uint32_t MaxShedCredit = 64;
/// Timeouts of requests that were sent together lower the limit only once.
constexpr Milliseconds TimeoutCooldown = 1_s;
/// Beyond this number of samples, the weight of the older ones is halved.
constexpr std::uint32_t MaxSamples = 1'024;
/// For exponential service times, the relative difference of two means of n samples has a standard
/// deviation of sqrt(2 / n). This number, divided by the square of the difference to detect, is
/// the number of samples for which that difference is three standard deviations.
constexpr double SamplesForUnitDifference = 18;

/// Level with which the latency at the limit is compared: half of the limit, rounded up.
std::uint32_t baselineLevel(std::uint32_t limit)
{
    return (limit + 1) / 2;
}

/// Relative rise of latency above which the limit is too high. If the baseline level already uses
/// all slots, latency grows in proportion to the requests in flight, and otherwise it stays the
/// same; the threshold is halfway between these two cases.
double latencyRiseThreshold(std::uint32_t limit)
{
    return (static_cast<double>(limit) / baselineLevel(limit) - 1) / 2;
}

double samplesNeeded(std::uint32_t limit)
{
    const double difference = latencyRiseThreshold(limit);
    return SamplesForUnitDifference / (difference * difference);
}

/// Completions at full use without a failure that confirm a level when the baseline level gets too
/// few samples. The second slot is confirmed early: upstreams that learn it at different times
/// would otherwise seem unequally busy.
double completionsToConfirm(std::uint32_t limit)
{
    return limit <= 2 ? 4 : 2 * samplesNeeded(limit);
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit()
    : m_levels(2)
{
}

void ConcurrencyLimit::onAnswer(std::uint32_t inFlight, Milliseconds latency, Milliseconds now)
{
    LevelStats &level = m_levels[std::clamp(inFlight, 1U, m_limit)];
    if (level.samples == MaxSamples) {
        level.samples /= 2;
        level.latencySum /= 2;
    }
    ++level.samples;
    level.latencySum += static_cast<double>(latency.value);
    const LatencyTrend trend = latencyTrend();
    if (trend == LatencyTrend::Rising) {
        recordFailure(m_limit, now);
        lowerTo(m_limit - 1);
        return;
    }
    if (trend == LatencyTrend::Steady) {
        m_levels[m_limit].backOff = 0_ms;
        m_confirmedLimit = m_limit;
    }
    onCompletion(inFlight, now);
}

void ConcurrencyLimit::onCompletion(std::uint32_t inFlight, Milliseconds now)
{
    if (inFlight < m_limit) {
        return;
    }
    LevelStats &level = m_levels[m_limit];
    ++level.completions;
    level.shedCredit = std::min(level.shedCredit + 1, MaxShedCredit);
    if (level.completions >= completionsToConfirm(m_limit)) {
        level.backOff = 0_ms;
        m_confirmedLimit = m_limit;
    }
    tryRaise(now);
}

void ConcurrencyLimit::onShed(std::uint32_t inFlight, Milliseconds now)
{
    const std::uint32_t level = std::clamp(inFlight, 1U, m_limit);
    if (m_levels[level].shedCredit >= ShedCreditCost) {
        m_levels[level].shedCredit -= ShedCreditCost;
        return;
    }
    recordFailure(level, now);
    lowerTo(std::max(level, 2U) - 1);
}

void ConcurrencyLimit::onTimeout(Milliseconds now)
{
    if (m_lastTimeout > 0_ms && now - m_lastTimeout < TimeoutCooldown) {
        return;
    }
    m_lastTimeout = now;
    LevelStats &level = m_levels[m_limit];
    level.retryAt = now + TimeoutCooldown;
    lowerTo(std::max(m_limit, 2U) - 1);
}

void ConcurrencyLimit::tryRaise(Milliseconds now)
{
    const LevelStats &level = m_levels[m_limit];
    const bool isUsed = level.completions >= m_limit;
    if (!isUsed || m_limit == MaxLimit || !hasEnoughSamples()) {
        return;
    }
    if (m_levels.size() <= m_limit + 1) {
        m_levels.resize(m_limit + 2);
    }
    LevelStats &next = m_levels[m_limit + 1];
    if (now < next.retryAt) {
        return;
    }
    next.completions = 0;
    m_confirmedLimit = m_limit;
    ++m_limit;
}

ConcurrencyLimit::LatencyTrend ConcurrencyLimit::latencyTrend() const
{
    if (m_limit < 2) {
        return LatencyTrend::Undecided;
    }
    const LevelStats &baseline = m_levels[baselineLevel(m_limit)];
    const LevelStats &full = m_levels[m_limit];
    const double needed = samplesNeeded(m_limit);
    if (baseline.samples < needed || full.samples < needed) {
        return LatencyTrend::Undecided;
    }
    const double ratio = full.meanLatency() / baseline.meanLatency();
    return ratio > 1 + latencyRiseThreshold(m_limit) ? LatencyTrend::Rising : LatencyTrend::Steady;
}

bool ConcurrencyLimit::hasEnoughSamples() const
{
    // The second slot is tried at once, so that a new dispatcher soon has capacity again. Uploads
    // add no samples. Under a lasting overload the baseline level gets none, so the trend may stay
    // undecided; the samples of this level then serve as the baseline of a higher one.
    const LevelStats &level = m_levels[m_limit];
    if (m_limit == 1 || level.samples == 0) {
        return true;
    }
    return level.samples >= std::max(samplesNeeded(m_limit), samplesNeeded(m_limit + 1));
}

void ConcurrencyLimit::recordFailure(std::uint32_t failed, Milliseconds now)
{
    LevelStats &level = m_levels[failed];
    level.backOff = std::clamp(level.backOff * 2, FirstBackOff, MaxBackOff);
    level.shedCredit = 0;
    level.retryAt = now + level.backOff;
    level.samples = 0;
    level.latencySum = 0;
}

void ConcurrencyLimit::lowerTo(std::uint32_t limit)
{
    m_limit = std::min(m_limit, limit);
    m_confirmedLimit = std::min(m_confirmedLimit, m_limit);
}

} // namespace damaskhall
