#include "core/flow/routetable.h"

#include <algorithm>

namespace damaskhall {

const Route *RouteTable::find(Endpoint address) const
{
    const auto found = routes.find(address);
    return found == routes.end() ? nullptr : &found->second;
}

std::string RouteTable::serviceName(ServiceId service) const
{
    const auto found = serviceNames.find(service);
    return found == serviceNames.end() ? "unknown" : found->second;
}

std::set<ServiceId> RouteTable::services() const
{
    std::set<ServiceId> services;
    for (const auto &[id, name] : serviceNames) {
        services.insert(id);
    }
    for (const auto &[address, route] : routes) {
        for (const ServiceShare &share : route.shares) {
            services.insert(share.service);
        }
    }
    return services;
}

ServiceId chooseService(const Route &route, std::uint64_t random)
{
    std::uint64_t total = 0;
    for (const ServiceShare &share : route.shares) {
        total += share.weight;
    }
    if (total == 0) {
        return route.shares.front().service;
    }
    std::uint64_t position = random % total;
    for (const ServiceShare &share : route.shares) {
        if (position < share.weight) {
            return share.service;
        }
        position -= share.weight;
    }
    return route.shares.back().service;
}

bool routesTo(const Route &route, ServiceId service)
{
    return std::any_of(route.shares.begin(), route.shares.end(),
                       [service](const ServiceShare &share) { return share.service == service; });
}

} // namespace damaskhall
