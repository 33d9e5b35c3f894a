#include "core/flow/placement.h"

#include <algorithm>
#include <limits>

namespace damaskhall {

namespace {

/// Longest usual time from an opening packet to the client's acknowledgment: a few round trips
/// between data centres.
constexpr Milliseconds OpeningPatience = 60_ms;
/// Pause before a silent upstream gets a flow again; doubles with each unanswered try.
constexpr Milliseconds RetryPause = 500_ms;
constexpr std::uint32_t MaxRetryDoublings = 3;
/// How much slower an upstream works while it warms up, as far as nothing better is known.
constexpr double WarmupFactor = 1.6;
/// An upstream this many times slower than the mean counts as slow; below it, it is spread of work.
constexpr double SlowRatio = 2.0;
/// Bound of the slowness factor, so that a single very late answer does not exclude for long.
constexpr double MaxSlowFactor = 12.0;
/// Age after which an answer time says nothing any more: long flows keep it younger.
constexpr Milliseconds SampleLifetime = 3_s;
/// Work per slot that an upstream of another data centre must have less than one of the own.
constexpr double RemotePenalty = 2.0;
/// Upstreams of the own data centre, and of all, that a new flow is weighed for in a large fleet,
/// so that a choice costs the same in any. Enough that an idle one is in the sample at usual loads.
constexpr std::size_t OwnSample = 40;
constexpr std::size_t RemoteSample = 16;
/// Share of the cost that is random, so that balancers with the same view choose differently.
constexpr double JitterShare = 0.15;

bool isRetryDue(const UpstreamAccount &account, Milliseconds now)
{
    const std::uint32_t doublings = std::min(account.failedTries, MaxRetryDoublings);
    return now - account.lastOpeningAt >= RetryPause * (1 << doublings);
}

} // namespace

Placement::Placement(DataCentreId dataCentre)
    : m_dataCentre(dataCentre)
{
}

bool Placement::isSilent(const UpstreamAccount &account, Milliseconds now)
{
    return account.unreachableAt.has_value() ||
           (account.silentSince && now - *account.silentSince > OpeningPatience);
}

double Placement::cost(const UpstreamRecord &record, const UpstreamLedger &ledger,
                       Milliseconds now) const
{
    const UpstreamAccount *account = ledger.find(record.entry.key);
    if (!account) {
        return 0;
    }
    const double load =
            account->busyFlows + account->openingFlows + account->openFlows * ledger.busyPerFlow();
    double factor = 1.0;
    const double mean = ledger.meanAnswerTime(record.entry.service);
    if (mean > 0 && account->answerTime > 0 && now - account->sampledAt < SampleLifetime) {
        factor = account->answerTime / mean;
    }
    if (mean > 0 && account->stalledSince) {
        const auto stalled = static_cast<double>((now - *account->stalledSince).value);
        factor = std::max(factor, stalled / mean);
    }
    factor = factor < SlowRatio ? 1.0 : std::min(factor, MaxSlowFactor);
    if (now < record.warmupEnd) {
        factor = std::max(factor, WarmupFactor);
    }
    return (load + 0.5) * factor / record.entry.slots;
}

void Placement::consider(Search &search, const std::vector<std::uint32_t> &candidates,
                         std::size_t most) const
{
    const std::size_t count = std::min(candidates.size(), most);
    // Records are sorted by id, which says nothing of the load, so neighbours are a fair sample.
    std::size_t next =
            count < candidates.size() ? randomBelow(search.random, candidates.size()) : 0;
    for (std::size_t i = 0; i < count; ++i) {
        consider(search, search.view.upstreams()[candidates[next]]);
        next = next + 1 == candidates.size() ? 0 : next + 1;
    }
}

void Placement::consider(Search &search, const UpstreamRecord &record) const
{
    const UpstreamAccount *account = search.ledger.find(record.entry.key);
    Suitability suitability = Suitability::Good;
    if (search.avoided == record.entry.key) {
        suitability = Suitability::Avoided;
    } else if (account && isSilent(*account, search.now) && !isRetryDue(*account, search.now)) {
        suitability = Suitability::Silent;
    } else if (record.health == UpstreamHealth::Unconfirmed) {
        suitability = Suitability::Unconfirmed;
    }
    double price = cost(record, search.ledger, search.now);
    if (record.entry.dataCentre != m_dataCentre) {
        price += RemotePenalty;
    }
    price *= 1.0 + JitterShare * randomUnit(search.random);
    if (!search.best || suitability < search.suitability ||
        (suitability == search.suitability && price < search.price)) {
        search.best = &record;
        search.suitability = suitability;
        search.price = price;
    }
}

const UpstreamRecord *Placement::choose(const FlowView &view, const UpstreamLedger &ledger,
                                        ServiceId service, std::optional<UpstreamKey> avoided,
                                        Milliseconds now, const RandomSource &random) const
{
    Search search{view, ledger, avoided, now, random};
    const std::vector<std::uint32_t> &all = view.candidates(service);
    if (all.size() > OwnSample + RemoteSample) {
        consider(search, view.candidates(service, m_dataCentre), OwnSample);
        consider(search, all, RemoteSample);
        if (search.best && search.suitability == Suitability::Good) {
            return search.best;
        }
    }
    consider(search, all, all.size());
    return search.best;
}

} // namespace damaskhall
