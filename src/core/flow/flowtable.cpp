#include "core/flow/flowtable.h"

#include <tsl/robin_map.h>

namespace damaskhall {

struct FlowTable::Private
{
    explicit Private(UpstreamLedger &upstreamLedger)
        : ledger(upstreamLedger)
    {
    }

    void count(const Flow &flow, int change)
    {
        const auto step = static_cast<std::uint32_t>(change);
        UpstreamAccount &account = ledger.at(flow.account);
        account.openingFlows += flow.phase == FlowPhase::Opening && flow.isCounted ? step : 0;
        account.openFlows += flow.phase == FlowPhase::Open ? step : 0;
        account.busyFlows += flow.isBusy && flow.isCounted ? step : 0;
        if (account.busyFlows == 0) {
            account.stalledSince.reset();
        }
    }

    static bool isOver(const Flow &flow, const Times &times, Milliseconds now)
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

    /// Time since the opening or request under way was sent.
    static Milliseconds inFlightSince(const Flow &flow)
    {
        return flow.phase == FlowPhase::Opening ? flow.lastOpeningAt : flow.requestAt;
    }

    UpstreamLedger &ledger;
    tsl::robin_map<FlowKey, Flow, std::hash<FlowKey>> flows;
};

FlowTable::FlowTable(UpstreamLedger &ledger)
    : m_d(std::make_unique<Private>(ledger))
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
    flow.account = m_d->ledger.open(upstream);
    flow.phase = phase;
    flow.lastSeen = now;
    flow.lastOpeningAt = now;
    m_d->count(flow, 1);
    return m_d->flows.insert_or_assign(key, flow).first.value();
}

void FlowTable::erase(const FlowKey &key)
{
    const auto found = m_d->flows.find(key);
    if (found != m_d->flows.end()) {
        m_d->count(found->second, -1);
        m_d->flows.erase(found);
    }
}

void FlowTable::setPhase(Flow &flow, FlowPhase phase)
{
    m_d->count(flow, -1);
    flow.phase = phase;
    flow.isCounted = true;
    m_d->count(flow, 1);
}

void FlowTable::setBusy(Flow &flow, bool isBusy)
{
    m_d->count(flow, -1);
    flow.isBusy = isBusy;
    flow.isCounted = true;
    m_d->count(flow, 1);
}

void FlowTable::move(Flow &flow, const UpstreamEntry &upstream)
{
    m_d->count(flow, -1);
    flow.upstream = upstream.key;
    flow.account = m_d->ledger.open(upstream);
    m_d->count(flow, 1);
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
        if (Private::isOver(it->second, times, now)) {
            m_d->count(it->second, -1);
            it = m_d->flows.erase(it);
        } else {
            stopCounting(it.value(), times, now);
            ++it;
        }
    }
}

void FlowTable::stopCounting(Flow &flow, const Times &times, Milliseconds now)
{
    const bool isInFlight = flow.isBusy || flow.phase == FlowPhase::Opening;
    if (isInFlight && flow.isCounted && now - Private::inFlightSince(flow) >= times.inFlight) {
        m_d->count(flow, -1);
        flow.isCounted = false;
        m_d->count(flow, 1);
    }
}

std::size_t FlowTable::size() const
{
    return m_d->flows.size();
}

} // namespace damaskhall
