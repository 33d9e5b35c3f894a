#pragma once

#include "core/flow/flowpacket.h"
#include "core/flow/routetable.h"
#include "core/flow/upstreamentry.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace damaskhall {

/// Returns the cookie of flows of @p route that @p upstream holds; never zero. It is a pure
/// function, so any balancer finds the upstream of any flow again, also after a restart of all.
/// Thread safety: reentrant.
FlowCookie flowCookie(UpstreamKey upstream, Endpoint route);

/// Snapshot of the control state that traffic threads decide with. Immutable after publication, so
/// it may be read from any thread.
class FlowView
{
public:
    FlowView() = default;
    /// Preconditions: @p routes is not null; @p records are sorted by key.
    FlowView(std::shared_ptr<const RouteTable> routes, std::vector<UpstreamRecord> records,
             bool isCurrent);

    /// True once a declaration and a complete list of upstreams are known.
    bool isUsable() const { return m_routes != nullptr; }
    /// True if the platform confirmed the declaration recently, so that what it lacks is known not
    /// to exist.
    bool isCurrent() const { return m_isCurrent; }
    /// Precondition: isUsable().
    const RouteTable &routes() const { return *m_routes; }
    const std::vector<UpstreamRecord> &upstreams() const { return m_records; }

    /// Returns the record of an upstream, or null.
    const UpstreamRecord *find(UpstreamKey key) const;
    /// Returns the upstream that @p cookie names for flows of @p route, or null. If several
    /// upstreams have that cookie, one that the route leads to is taken.
    const UpstreamRecord *findByCookie(FlowCookie cookie, Endpoint route) const;
    /// Returns the upstreams of a service that may get new flows, as indices into upstreams().
    const std::vector<std::uint32_t> &candidates(ServiceId service) const;
    /// Returns those of one data centre.
    const std::vector<std::uint32_t> &candidates(ServiceId service, DataCentreId dataCentre) const;

private:
    struct Candidates
    {
        std::vector<std::uint32_t> all;
        std::map<DataCentreId, std::vector<std::uint32_t>> byDataCentre;
    };

    struct CookieIndex
    {
        /// Cookie without the part that depends on the route.
        std::uint32_t base = 0;
        std::uint32_t record = 0;
    };

    std::shared_ptr<const RouteTable> m_routes;
    std::vector<UpstreamRecord> m_records;
    bool m_isCurrent = false;
    /// Sorted by base.
    std::vector<CookieIndex> m_cookies;
    std::unordered_map<ServiceId, Candidates> m_candidates;
};

} // namespace damaskhall
