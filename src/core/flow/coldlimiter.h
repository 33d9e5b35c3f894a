#pragma once

#include "core/coldbudget.h"
#include "core/flow/routetable.h"
#include "core/flow/upstreamentry.h"

#include <cstdint>
#include <map>
#include <vector>

namespace damaskhall {

/// What became of the new flows that met cold upstreams of one service.
struct ColdCounters
{
    /// Placed on a cold upstream, within this instance's share.
    std::uint64_t placed = 0;
    /// Placed on another upstream while a cold one that was evaluated had no share left; it might
    /// not have been chosen otherwise.
    std::uint64_t moved = 0;
    /// Refused because only cold upstreams without share were left.
    std::uint64_t refused = 0;
    /// This instance's share, in new flows per second, of the upstream asked about last.
    std::uint32_t share = 0;
};

/// Limits the new flows to cold upstreams of services whose declaration asks for it. All other
/// services are unaffected.
/// Deterministic. Thread safety: none.
class ColdLimiter
{
public:
    explicit ColdLimiter(const ColdBudgetOptions &options);

    /// Replaces the members of the fleet.
    void handleMembers(const std::vector<MemberView> &members, Milliseconds now);
    /// Begins the choice of an upstream of @p service.
    void beginChoice(const RouteTable &routes, ServiceId service, Milliseconds now);
    /// Returns true if @p record may receive the flow. Precondition: a choice has begun.
    bool mayReceive(const UpstreamRecord &record);
    /// Ends the choice; @p record is the chosen upstream, or null.
    void endChoice(const UpstreamRecord *record);
    /// Removes expired records; call about every 100 ms.
    void tick(Milliseconds now);

    /// Counters of the services that have met a cold upstream.
    const std::map<ServiceId, ColdCounters> &counters() const { return m_counters; }

private:
    bool isLimited(const UpstreamRecord &record) const;

    ColdBudget m_budget;
    std::map<ServiceId, ColdCounters> m_counters;
    /// Of the choice that has begun.
    ServiceId m_service;
    Milliseconds m_now;
    /// Zero if the service has no limit.
    double m_perSecond = 0;
    bool m_hasSkipped = false;
};

} // namespace damaskhall
