#pragma once

#include "base/endpoint.h"
#include "core/dispatch/dispatcher.h"
#include "core/routingview.h"
#include "core/status.h"

#include <memory>
#include <string>

namespace damaskhall {

/// What one balancer reports to operators. Thread safety: a plain value.
struct NodeStatus
{
    InstanceId self;
    Incarnation incarnation;
    std::string dataCentre;
    bool isLeaving = false;
    /// False while calls to the platform fail.
    bool isPlatformReachable = true;
    /// Never null.
    std::shared_ptr<const RoutingView> view = std::make_shared<const RoutingView>();
    DispatcherLoad load;
    TrafficStatus traffic;
};

/// Returns the JSON object of GET /status. Thread safety: reentrant.
std::string formatStatus(const NodeStatus &status);

/// Thread safety: reentrant.
const char *toString(MemberState state);

} // namespace damaskhall
