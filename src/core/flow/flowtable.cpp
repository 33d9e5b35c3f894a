#include "core/flow/flowtable.h"

#include <tsl/robin_map.h>

namespace damaskhall {

struct FlowTable::Private
{
    explicit Private(UpstreamStatsTable &upstreamLedger)
        : upstreamStats(upstreamLedger)
    {
    }

    void adjustFlowCounts(const Flow &flow, int change)
    {
        const auto step = static_cast<std::uint32_t>(change);
        UpstreamStats &stats = upstreamStats.at(flow.statsId);
        stats.openingFlows += flow.phase == FlowPhase::Opening && flow.isCountedAsLoad ? step : 0;
        stats.openFlows += flow.phase == FlowPhase::Open ? step : 0;
        stats.busyFlows += flow.isBusy && flow.isCountedAsLoad ? step : 0;
        if (stats.busyFlows == 0) {
            stats.stalledSince.reset();
        }
    }

    static bool isExpired(const Flow &flow, const Times &times, Milliseconds now)
    {
        const Milliseconds idle = now - flow.lastSeen;
        switch (flow.phase) {
        case FlowPhase::Opening:
            return idle >= times.opening;
        case FlowPhase::Closing:
            return idle >= times.closing;
        case FlowPhase::Open:
            break;
        }
        return idle >= times.idle;
    }

    /// Returns when the pending opening packet or request was sent.
    static Milliseconds inFlightStart(const Flow &flow)
    {
        return flow.phase == FlowPhase::Opening ? flow.lastOpeningAt : flow.requestAt;
    }

    UpstreamStatsTable &upstreamStats;
    tsl::robin_map<FlowKey, Flow, std::hash<FlowKey>> flows;
};

FlowTable::FlowTable(UpstreamStatsTable &upstreamStats)
    : m_d(std::make_unique<Private>(upstreamStats))
{
}

FlowTable::~FlowTable() = default;

Flow *FlowTable::find(const FlowKey &key)
{
    const auto found = m_d->flows.find(key);
    return found == m_d->flows.end() ? nullptr : &found.value();
}

Flow &FlowTable::insert(const FlowKey &key, const UpstreamEntry &upstream, FlowPhase phase,
                        Milliseconds now)
{
    Flow flow;
    flow.upstream = upstream.key;
    flow.statsId = m_d->upstreamStats.open(upstream);
    flow.phase = phase;
    flow.firstSeen = now;
    flow.lastSeen = now;
    flow.lastOpeningAt = now;
    m_d->adjustFlowCounts(flow, 1);
    return m_d->flows.insert_or_assign(key, flow).first.value();
}

void FlowTable::erase(const FlowKey &key)
{
    const auto found = m_d->flows.find(key);
    if (found != m_d->flows.end()) {
        m_d->adjustFlowCounts(found->second, -1);
        m_d->flows.erase(found);
    }
}

void FlowTable::setPhase(Flow &flow, FlowPhase phase)
{
    m_d->adjustFlowCounts(flow, -1);
    flow.phase = phase;
    flow.isCountedAsLoad = true;
    m_d->adjustFlowCounts(flow, 1);
}

void FlowTable::setBusy(Flow &flow, bool isBusy)
{
    m_d->adjustFlowCounts(flow, -1);
    flow.isBusy = isBusy;
    flow.isCountedAsLoad = true;
    m_d->adjustFlowCounts(flow, 1);
}

void FlowTable::move(Flow &flow, const UpstreamEntry &upstream)
{
    m_d->adjustFlowCounts(flow, -1);
    flow.upstream = upstream.key;
    flow.statsId = m_d->upstreamStats.open(upstream);
    m_d->adjustFlowCounts(flow, 1);
}

void FlowTable::forEach(const std::function<void(const FlowKey &, const Flow &)> &visit) const
{
    for (const auto &[key, flow] : m_d->flows) {
        visit(key, flow);
    }
}

void FlowTable::tick(const Times &times, Milliseconds now)
{
    for (auto it = m_d->flows.begin(); it != m_d->flows.end();) {
        if (Private::isExpired(it->second, times, now)) {
            m_d->adjustFlowCounts(it->second, -1);
            it = m_d->flows.erase(it);
        } else {
            expireLoad(it.value(), times, now);
            ++it;
        }
    }
}

void FlowTable::expireLoad(Flow &flow, const Times &times, Milliseconds now)
{
    const bool isInFlight = flow.isBusy || flow.phase == FlowPhase::Opening;
    if (isInFlight && flow.isCountedAsLoad &&
        now - Private::inFlightStart(flow) >= times.inFlight) {
        m_d->adjustFlowCounts(flow, -1);
        flow.isCountedAsLoad = false;
        m_d->adjustFlowCounts(flow, 1);
    }
}

std::size_t FlowTable::size() const
{
    return m_d->flows.size();
}

} // namespace damaskhall
