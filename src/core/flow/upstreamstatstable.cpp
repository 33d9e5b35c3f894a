#include "core/flow/upstreamstatstable.h"

#include <algorithm>
#include <cmath>

namespace damaskhall {

namespace {

/// Weight of one sample in the smoothed answer time of an upstream: averages over about the last
/// four answers.
constexpr double AnswerTimeWeight = 0.25;
/// Weight of one sample in the mean over all upstreams: averages over about the last hundred
/// answers.
constexpr double MeanAnswerTimeWeight = 0.01;
/// Weight of one tick in the busy share of a flow: averages over several seconds.
constexpr double BusyWeight = 0.02;
/// Weight of one answer in the refusal share of an upstream, and in that of its service.
constexpr double RefusalWeight = 0.4;
constexpr double MeanRefusalWeight = 0.03;
/// Time after which half of a refusal share has lapsed: an instance of a large fleet meets an
/// upstream every few seconds, and an upstream that has recovered must be tried again.
constexpr Milliseconds RefusalHalfLife = 5_s;
/// Excess over the service's refusal share from which an upstream gets less work: a route may have
/// some answers that are as short and quick as refusals, two of which in a row are chance.
constexpr double MinRefusalExcess = 0.3;
/// Upper bound of the refusal factor: an upstream that refuses everything still gets a few flows.
constexpr double MaxRefusalFactor = 32.0;
/// Refusal share from which an upstream is shown in the metrics, and how many are shown.
constexpr double ShownRefusalShare = 0.02;
constexpr std::size_t MaxShownUpstreams = 16;

} // namespace

void UpstreamStatsTable::handleView(const FlowView &view)
{
    for (const UpstreamRecord &record : view.upstreams()) {
        open(record.entry);
    }
    for (auto it = m_index.begin(); it != m_index.end();) {
        const UpstreamStats &stats = m_stats[it->second];
        const bool isUnused = stats.openFlows + stats.openingFlows + stats.busyFlows == 0;
        if (isUnused && !view.find(it->first)) {
            m_free.push_back(it->second);
            it = m_index.erase(it);
        } else {
            ++it;
        }
    }
}

UpstreamStatsId UpstreamStatsTable::open(const UpstreamEntry &entry)
{
    const auto [found, isNew] = m_index.try_emplace(entry.key, 0);
    if (!isNew) {
        return {found->second};
    }
    if (m_free.empty()) {
        found->second = static_cast<std::uint32_t>(m_stats.size());
        m_stats.emplace_back();
    } else {
        found->second = m_free.back();
        m_free.pop_back();
    }
    m_stats[found->second] = UpstreamStats{};
    m_stats[found->second].key = entry.key;
    m_stats[found->second].service = entry.service;
    return {found->second};
}

const UpstreamStats *UpstreamStatsTable::find(UpstreamKey key) const
{
    const auto found = m_index.find(key);
    return found == m_index.end() ? nullptr : &m_stats[found->second];
}

std::optional<UpstreamStatsId> UpstreamStatsTable::findId(UpstreamKey key) const
{
    const auto found = m_index.find(key);
    return found == m_index.end() ? std::nullopt : std::optional(UpstreamStatsId{found->second});
}

void UpstreamStatsTable::recordOpening(UpstreamStatsId id, Milliseconds now)
{
    UpstreamStats &stats = at(id);
    if (!stats.silentSince) {
        stats.silentSince = now;
    } else {
        ++stats.unansweredOpenings;
    }
    stats.lastOpeningAt = now;
}

void UpstreamStatsTable::recordRequest(UpstreamStatsId id, Milliseconds now)
{
    UpstreamStats &stats = at(id);
    if (!stats.stalledSince) {
        stats.stalledSince = now;
    }
}

void UpstreamStatsTable::recordLiveness(UpstreamStatsId id, Milliseconds now)
{
    UpstreamStats &stats = at(id);
    stats.lastAliveAt = now;
    stats.silentSince.reset();
    stats.unreachableAt.reset();
    stats.unansweredOpenings = 0;
    if (stats.busyFlows > 0) {
        stats.stalledSince = now;
    } else {
        stats.stalledSince.reset();
    }
}

void UpstreamStatsTable::recordAnswer(UpstreamStatsId id, AnswerKind kind, Milliseconds duration,
                                      Milliseconds now)
{
    UpstreamStats &stats = at(id);
    if (kind != AnswerKind::Unknown) {
        const double refused = kind == AnswerKind::Refused ? 1.0 : 0.0;
        const double share = refusalShare(stats, now);
        stats.refusalShare = share + RefusalWeight * (refused - share);
        stats.refusalSampledAt = now;
        double &meanShare = m_meanRefusalShares[stats.service];
        meanShare += MeanRefusalWeight * (refused - meanShare);
    }
    if (kind == AnswerKind::Refused) {
        return;
    }
    const auto sample = static_cast<double>(duration.value);
    stats.answerTime = stats.answerTime == 0
                               ? sample
                               : stats.answerTime + AnswerTimeWeight * (sample - stats.answerTime);
    stats.sampledAt = now;
    double &mean = m_meanAnswerTimes[stats.service];
    mean = mean == 0 ? sample : mean + MeanAnswerTimeWeight * (sample - mean);
}

double UpstreamStatsTable::meanAnswerTime(ServiceId service) const
{
    const auto found = m_meanAnswerTimes.find(service);
    return found == m_meanAnswerTimes.end() ? 0 : found->second;
}

double UpstreamStatsTable::refusalShare(const UpstreamStats &stats, Milliseconds now)
{
    if (stats.refusalShare == 0) {
        return 0;
    }
    const auto age = static_cast<double>((now - stats.refusalSampledAt).value);
    return stats.refusalShare * std::exp2(-age / static_cast<double>(RefusalHalfLife.value));
}

double UpstreamStatsTable::meanRefusalShare(ServiceId service) const
{
    const auto found = m_meanRefusalShares.find(service);
    return found == m_meanRefusalShares.end() ? 0 : found->second;
}

double UpstreamStatsTable::refusalFactor(const UpstreamStats &stats, Milliseconds now) const
{
    if (stats.refusalShare == 0) {
        return 1.0;
    }
    const double share = refusalShare(stats, now);
    if (share - meanRefusalShare(stats.service) < MinRefusalExcess) {
        return 1.0;
    }
    const double served = 1.0 - share;
    const double usual = 1.0 - meanRefusalShare(stats.service);
    return std::clamp(usual / std::max(served, 1e-3), 1.0, MaxRefusalFactor);
}

std::vector<CapacityStatus::RefusingUpstream>
UpstreamStatsTable::refusingUpstreams(Milliseconds now) const
{
    std::vector<CapacityStatus::RefusingUpstream> found;
    for (const auto &[key, index] : m_index) {
        const UpstreamStats &stats = m_stats[index];
        const double share = refusalShare(stats, now);
        if (share >= ShownRefusalShare) {
            found.push_back({key, share, now - stats.refusalSampledAt});
        }
    }
    const std::size_t count = std::min(found.size(), MaxShownUpstreams);
    const auto end = found.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(found.begin(), end, found.end(),
                      [](const auto &a, const auto &b) { return a.refusalShare > b.refusalShare; });
    found.resize(count);
    return found;
}

void UpstreamStatsTable::tick()
{
    std::uint32_t open = 0;
    std::uint32_t busy = 0;
    for (const auto &[key, index] : m_index) {
        open += m_stats[index].openFlows;
        busy += m_stats[index].busyFlows;
    }
    if (open > 0) {
        const double share = static_cast<double>(busy) / open;
        m_meanBusyShare += BusyWeight * (share - m_meanBusyShare);
    }
}

} // namespace damaskhall
