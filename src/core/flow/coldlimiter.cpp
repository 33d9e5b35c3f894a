#include "core/flow/coldlimiter.h"

namespace damaskhall {

namespace {

// The same at every instance, as it selects the members that have a share. A restarted upstream
// selects others, so that one unreachable member does not take part in each of its warm-ups.
std::uint64_t budgetKey(UpstreamKey key)
{
    constexpr std::uint64_t Multiplier = 0x9e3779b97f4a7c15;
    return key.id.value ^ key.born.value * Multiplier;
}

} // namespace

ColdLimiter::ColdLimiter(const ColdBudgetOptions &options)
    : m_budget(options)
{
}

void ColdLimiter::handleMembers(const std::vector<MemberView> &members, Milliseconds now)
{
    m_budget.setMembers(members, now);
}

void ColdLimiter::beginChoice(const RouteTable &routes, ServiceId service, Milliseconds now)
{
    const auto limit = routes.warmupLimits.find(service);
    m_perSecond = limit == routes.warmupLimits.end() ? 0 : limit->second.perSecond;
    m_service = service;
    m_now = now;
    m_hasSkipped = false;
    if (m_perSecond > 0) {
        // Counters start at zero, so that the first increase is visible as a rate.
        m_counters.try_emplace(service);
    }
}

bool ColdLimiter::isLimited(const UpstreamRecord &record) const
{
    return m_perSecond > 0 && m_now < record.warmupEnd;
}

bool ColdLimiter::mayReceive(const UpstreamRecord &record)
{
    if (!isLimited(record)) {
        return true;
    }
    const std::uint64_t key = budgetKey(record.entry.key);
    m_counters[m_service].share = m_budget.share(key, m_perSecond, m_now);
    const bool hasRoom = m_budget.hasRoom(key, m_perSecond, m_now);
    m_hasSkipped = m_hasSkipped || !hasRoom;
    return hasRoom;
}

void ColdLimiter::endChoice(const UpstreamRecord *record)
{
    if (record && isLimited(*record)) {
        m_budget.recordUse(budgetKey(record->entry.key), m_now);
        ++m_counters[m_service].placed;
    } else if (m_hasSkipped) {
        ++(record ? m_counters[m_service].moved : m_counters[m_service].refused);
    }
}

void ColdLimiter::tick(Milliseconds now)
{
    m_budget.tick(now);
}

} // namespace damaskhall
