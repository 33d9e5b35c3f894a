#include "core/dispatch/shard.h"

#include <algorithm>
#include <cmath>

namespace damaskhall {

namespace {

/// Bounds memory; the admission check keeps queues far shorter.
constexpr std::size_t MaxWaitingPerClass = 8'192;
constexpr double RoundTripGain = 1.0 / 8;
/// A lost Permit or Execute is retransmitted after 200 ms; such samples do not measure the path.
constexpr double MaxRoundTripMs = 100;
/// Learned limits overestimate the capacity while a higher limit is on trial.
constexpr double UsableCapacityShare = 0.8;
/// About one admission in the last three seconds.
constexpr double MinActiveRatePerMs = 0.05 / 1'000;
constexpr int WaitIterations = 16;

} // namespace

Shard::Shard(ShardKey key)
    : m_key(key)
    , m_queue(MaxWaitingPerClass)
{
}

bool Shard::mayIssuePermit(Milliseconds now) const
{
    const double expected = std::ceil(m_completions.rate(now) * m_permitRoundTrip);
    const std::size_t allowed = m_selector.freeSlots(now) + static_cast<std::size_t>(expected);
    return m_selector.hasUsableUpstream(now) && outstandingAdmissions() < allowed;
}

bool Shard::mayStartUpload(Milliseconds now) const
{
    return outstandingAdmissions() < m_selector.freeSlots(now);
}

void Shard::onPermitSettled()
{
    m_permits -= m_permits > 0 ? 1 : 0;
}

void Shard::recordPermitRoundTrip(Milliseconds elapsed)
{
    const double sample = std::min(static_cast<double>(elapsed.value), MaxRoundTripMs);
    const bool isFirst = m_permitRoundTrip == 0;
    m_permitRoundTrip += isFirst ? sample : (sample - m_permitRoundTrip) * RoundTripGain;
}

Milliseconds Shard::permitRoundTrip() const
{
    return {std::llround(m_permitRoundTrip)};
}

void Shard::countAdmission(const QueueEntry &entry, Milliseconds now)
{
    ClassRate &rate = m_classRates[entry.workClass];
    rate.target = entry.target;
    rate.admissions.count(now);
}

std::optional<Milliseconds> Shard::expectedWait(const QueueEntry &entry, Milliseconds now) const
{
    const std::size_t ahead = m_queue.countAhead(entry, now) + outstandingAdmissions() + 1;
    const std::size_t free = m_selector.freeSlots(now);
    if (ahead <= free) {
        return 0_ms;
    }
    const double rate =
            std::max(m_completions.rate(now), m_selector.capacity(now) * UsableCapacityShare);
    if (rate <= 0) {
        return std::nullopt;
    }
    // Later arrivals of a class with a shorter target go first if they arrive within the difference
    // of the targets. Each iteration adds those that arrive during the wait estimated so far.
    const auto present = static_cast<double>(ahead - free);
    double wait = present / rate;
    for (int iteration = 0; iteration < WaitIterations; ++iteration) {
        double overtaking = 0;
        for (const auto &[id, other] : m_classRates) {
            const auto targetDifference = static_cast<double>((entry.target - other.target).value);
            overtaking += other.admissions.rate(now) *
                          std::clamp(wait, 0.0, std::max(targetDifference, 0.0));
        }
        wait = (present + overtaking) / rate;
    }
    return Milliseconds{std::llround(wait)};
}

std::optional<Milliseconds> Shard::shortestTargetBelow(Milliseconds target, Milliseconds now) const
{
    std::optional<Milliseconds> shortest;
    for (const auto &[id, other] : m_classRates) {
        const bool isActive = other.admissions.rate(now) > MinActiveRatePerMs;
        if (isActive && other.target < shortest.value_or(target)) {
            shortest = other.target;
        }
    }
    return shortest;
}

bool Shard::isIdle() const
{
    return m_queue.size() == 0 && outstandingAdmissions() == 0 && m_selector.slotsInUse() == 0;
}

} // namespace damaskhall
