#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/milliseconds.h"

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace damaskhall {

enum class RouteKind : std::uint8_t {
    Idempotent,
    NonIdempotent,
    Upload,
};

/// Share of a route's new flows that a service receives, relative to the other shares.
struct ServiceShare
{
    ServiceId service;
    std::uint32_t weight = 0;
};

/// A public address and the services that its flows are sent to.
struct Route
{
    std::string name;
    /// Not empty; all weights are above zero.
    std::vector<ServiceShare> shares;
    RouteKind kind = RouteKind::Idempotent;
    /// Maximum time of an answer that meets the route's latency target.
    Milliseconds target;
    Milliseconds timeout;
    /// Zero is the most urgent. A route that declares none is not refused before any other.
    std::uint32_t priority = 0;
};

/// Limit of the new flows that an upstream receives after its start.
struct WarmupLimit
{
    Milliseconds duration;
    /// New flows per second that a cold upstream bears; above zero.
    double perSecond = 0;

    bool operator==(const WarmupLimit &) const = default;
};

/// Desired state declared by the operators. Applied as a whole, in ascending order of revisions.
/// Thread safety: immutable once shared.
struct RouteTable
{
    Revision revision;
    std::unordered_map<Endpoint, Route> routes;
    /// Names of services, for logs and metrics.
    std::unordered_map<ServiceId, std::string> serviceNames;
    /// Services whose cold upstreams are limited; the others have no entry.
    std::unordered_map<ServiceId, WarmupLimit> warmupLimits;
    /// Flows without packets for this long may be removed.
    Milliseconds idleTimeout;

    /// Returns the route, or null.
    const Route *find(Endpoint address) const;
    /// Returns the name of a service, or "unknown".
    std::string serviceName(ServiceId service) const;
    /// Returns the services that are declared or to which a route leads.
    std::set<ServiceId> services() const;
};

/// Chooses the service for a new flow: one of the route's shares, by weight.
/// Preconditions: @p route has at least one share; @p random is uniformly distributed.
/// Thread safety: reentrant.
ServiceId chooseService(const Route &route, std::uint64_t random);

/// Returns true if the route sends new flows to @p service. Thread safety: reentrant.
bool routesTo(const Route &route, ServiceId service);

} // namespace damaskhall
