#pragma once

#include "core/flow/flowpacket.h"
#include "core/flow/routetable.h"
#include "core/flow/upstreamentry.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace damaskhall {

/// Returns the cookie for flows of @p route at @p upstream; never zero. As this is a pure function,
/// any balancer can find the upstream of any flow, even after all balancers have restarted. It does
/// not depend on the incarnation: packets reach a restarted upstream under its id, and only the
/// upstream knows which flows it still holds. Thread safety: reentrant.
FlowCookie flowCookie(UpstreamId upstream, Endpoint route);

/// Snapshot of the control state that traffic threads base their decisions on. Immutable after
/// publication, so it may be read from any thread.
class FlowView
{
public:
    FlowView() = default;
    /// Preconditions: @p routes is not null; @p records are sorted by key.
    /// @p evacuated: data centres that may receive no new flows.
    FlowView(std::shared_ptr<const RouteTable> routes, std::vector<UpstreamRecord> records,
             bool isCurrent, std::set<DataCentreId> evacuated = {});

    /// True if a declaration and a complete list of upstreams are known.
    bool isUsable() const { return m_routes != nullptr; }
    /// True if the platform has confirmed the declaration recently, so that a route or upstream
    /// that it lacks is known not to exist.
    bool isCurrent() const { return m_isCurrent; }
    /// Precondition: isUsable().
    const RouteTable &routes() const { return *m_routes; }
    const std::vector<UpstreamRecord> &upstreams() const { return m_records; }

    /// Returns the record of an upstream, or null.
    const UpstreamRecord *find(UpstreamKey key) const;
    /// Returns the incarnation of an upstream that may hold flows of @p key: that one, unless it is
    /// replaced, or the one that runs under its id. If none may, returns the last one known, or
    /// null.
    const UpstreamRecord *findHolder(UpstreamKey key) const;
    /// Returns the incarnation that runs under an id. As findHolder() if none does.
    const UpstreamRecord *findCurrent(UpstreamId id) const;
    /// Returns the current incarnation of the upstream with @p cookie for flows of @p route, or
    /// null. If several upstreams have that cookie, one of a service that the route sends flows to
    /// is preferred, then one of a declared service, then the one in the better state.
    const UpstreamRecord *findByCookie(FlowCookie cookie, Endpoint route) const;
    /// Returns true if @p dataCentre may receive no new flows.
    bool isEvacuated(DataCentreId dataCentre) const { return m_evacuated.contains(dataCentre); }
    /// Returns true if a service has upstreams in evacuated data centres that could otherwise
    /// receive new flows.
    bool hasEvacuatedUpstreams(ServiceId service) const
    {
        return m_evacuatedServices.contains(service);
    }
    /// Returns the upstreams of a service that may receive new flows, as indices into upstreams().
    /// Those of evacuated data centres are not among them.
    const std::vector<std::uint32_t> &candidates(ServiceId service) const;
    /// As above, limited to one data centre.
    const std::vector<std::uint32_t> &candidates(ServiceId service, DataCentreId dataCentre) const;

private:
    struct Candidates
    {
        std::vector<std::uint32_t> all;
        std::map<DataCentreId, std::vector<std::uint32_t>> byDataCentre;
    };

    struct CookieIndex
    {
        /// Hash of the upstream: the cookie before it is combined with the route's hash.
        std::uint32_t base = 0;
        /// Index of the current incarnation.
        std::uint32_t record = 0;
    };

    void indexCookies();
    bool isBetterMatch(const UpstreamRecord &record, const UpstreamRecord &other,
                       Endpoint route) const;

    std::shared_ptr<const RouteTable> m_routes;
    std::vector<UpstreamRecord> m_records;
    bool m_isCurrent = false;
    std::set<DataCentreId> m_evacuated;
    /// Services of which an upstream is excluded because of an evacuation.
    std::unordered_set<ServiceId> m_evacuatedServices;
    /// Sorted by base.
    std::vector<CookieIndex> m_cookies;
    std::unordered_map<ServiceId, Candidates> m_candidates;
};

} // namespace damaskhall
