#include "core/flow/placement.h"

#include <algorithm>
#include <limits>

namespace damaskhall {

namespace {

/// Longest usual time from an opening packet to the client's acknowledgment: a few round trips
/// between data centres.
constexpr Milliseconds OpeningAnswerTimeout = 60_ms;
/// Delay after which a silent upstream receives a flow again; doubles with each unanswered opening
/// packet.
constexpr Milliseconds SilentRetryDelay = 500_ms;
constexpr std::uint32_t MaxRetryDoublings = 3;
/// Cost factor of an upstream that is warming up, unless its measured factor is higher.
constexpr double WarmupFactor = 1.6;
/// Ratio to the mean answer time from which an upstream counts as slow; lower ratios are normal
/// variation.
constexpr double SlowRatio = 2.0;
/// Upper bound of the slowness factor, so that a single very late answer does not exclude an
/// upstream for long.
constexpr double MaxSlowFactor = 12.0;
/// Age at which an answer time expires; long-lived flows renew it sooner.
constexpr Milliseconds SampleLifetime = 3_s;
/// Cost added to upstreams outside of the own data centre, or of the one that a flow prefers, in
/// units of work per slot.
constexpr double RemotePenalty = 2.0;
/// Number of upstreams of the own data centre, and of all, that are evaluated for a new flow in a
/// large fleet, so that the effort does not grow with the fleet. At usual loads the samples are
/// large enough to contain an idle upstream.
constexpr std::size_t OwnSample = 40;
constexpr std::size_t RemoteSample = 16;
/// Random share of the cost, so that balancers with the same view choose differently.
constexpr double JitterShare = 0.15;

/// Cost factor of an upstream that is passed over because it refuses more than the others of its
/// service; it is chosen if the others have far more work.
constexpr double PassedOverFactor = 12.0;

bool isRetryDue(const UpstreamStats &stats, Milliseconds now)
{
    const std::uint32_t doublings = std::min(stats.unansweredOpenings, MaxRetryDoublings);
    return now - stats.lastOpeningAt >= SilentRetryDelay * (1 << doublings);
}

} // namespace

Placement::Placement(DataCentreId dataCentre)
    : m_dataCentre(dataCentre)
{
}

bool Placement::isSilent(const UpstreamStats &stats, Milliseconds now)
{
    return stats.unreachableAt.has_value() ||
           (stats.silentSince && now - *stats.silentSince > OpeningAnswerTimeout);
}

double Placement::cost(const UpstreamRecord &record, const UpstreamStatsTable &upstreamStats,
                       Milliseconds now) const
{
    const UpstreamStats *stats = upstreamStats.find(record.entry.key);
    if (!stats) {
        return 0;
    }
    const double load = stats->busyFlows + stats->openingFlows +
                        stats->openFlows * upstreamStats.meanBusyShare();
    double factor = 1.0;
    const double mean = upstreamStats.meanAnswerTime(record.entry.service);
    if (mean > 0 && stats->answerTime > 0 && now - stats->sampledAt < SampleLifetime) {
        factor = stats->answerTime / mean;
    }
    if (mean > 0 && stats->stalledSince) {
        const auto stalled = static_cast<double>((now - *stats->stalledSince).value);
        factor = std::max(factor, stalled / mean);
    }
    factor = factor < SlowRatio ? 1.0 : std::min(factor, MaxSlowFactor);
    if (now < record.warmupEnd) {
        factor = std::max(factor, WarmupFactor);
    }
    return (load + 0.5) * factor / record.entry.slots;
}

void Placement::evaluate(Selection &selection, const std::vector<std::uint32_t> &candidates,
                         std::size_t maxCount) const
{
    const std::size_t count = std::min(candidates.size(), maxCount);
    // Records are sorted by id, which is independent of the load, so consecutive records are an
    // unbiased sample.
    std::size_t next =
            count < candidates.size() ? randomBelow(selection.random, candidates.size()) : 0;
    for (std::size_t i = 0; i < count; ++i) {
        evaluate(selection, selection.view.upstreams()[candidates[next]]);
        next = next + 1 == candidates.size() ? 0 : next + 1;
    }
}

void Placement::evaluate(Selection &selection, const UpstreamRecord &record) const
{
    if (!selection.cold.mayReceive(record)) {
        return;
    }
    const UpstreamStats *stats = selection.upstreamStats.find(record.entry.key);
    Suitability suitability = Suitability::Good;
    if (selection.avoided == record.entry.key) {
        suitability = Suitability::Avoided;
    } else if (stats && isSilent(*stats, selection.now) && !isRetryDue(*stats, selection.now)) {
        suitability = Suitability::Silent;
    } else if (record.health == UpstreamHealth::Unconfirmed) {
        suitability = Suitability::Unconfirmed;
    }
    double candidateCost = cost(record, selection.upstreamStats, selection.now);
    if (record.entry.dataCentre != selection.home) {
        candidateCost += RemotePenalty;
    }
    // In a large fleet an instance has no open work at most upstreams, so that any higher cost
    // would exclude an upstream. Passing it over at random makes its work proportional.
    const double refusalFactor =
            stats ? selection.upstreamStats.refusalFactor(*stats, selection.now) : 1.0;
    if (refusalFactor > 1.0 && randomUnit(selection.random) * refusalFactor >= 1.0) {
        candidateCost *= PassedOverFactor;
    }
    candidateCost *= 1.0 + JitterShare * randomUnit(selection.random);
    if (!selection.best || suitability < selection.suitability ||
        (suitability == selection.suitability && candidateCost < selection.bestCost)) {
        selection.best = &record;
        selection.suitability = suitability;
        selection.bestCost = candidateCost;
    }
}

const UpstreamRecord *Placement::choose(const FlowView &view,
                                        const UpstreamStatsTable &upstreamStats, ServiceId service,
                                        std::optional<UpstreamKey> avoided,
                                        std::optional<DataCentreId> preferred, ColdLimiter &cold,
                                        Milliseconds now, const RandomSource &random) const
{
    Selection selection{view, upstreamStats, avoided, preferred.value_or(m_dataCentre),
                        cold, now,           random};
    const std::vector<std::uint32_t> &all = view.candidates(service);
    if (all.size() > OwnSample + RemoteSample) {
        evaluate(selection, view.candidates(service, selection.home), OwnSample);
        evaluate(selection, all, RemoteSample);
        if (selection.best && selection.suitability == Suitability::Good) {
            return selection.best;
        }
    }
    evaluate(selection, all, all.size());
    return selection.best;
}

} // namespace damaskhall
