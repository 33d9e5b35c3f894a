#include "core/flow/flowdecision.h"

namespace damaskhall {

std::string_view toString(FlowAction action)
{
    switch (action) {
    case FlowAction::Forward:
        return "forward";
    case FlowAction::Reset:
        return "reset";
    case FlowAction::Hold:
        return "hold";
    case FlowAction::Drop:
        break;
    }
    return "drop";
}

std::string_view toString(FlowReason reason)
{
    switch (reason) {
    case FlowReason::Placed:
        return "placed";
    case FlowReason::OpeningRepeated:
        return "opening_repeated";
    case FlowReason::OpeningMoved:
        return "opening_moved";
    case FlowReason::Established:
        return "established";
    case FlowReason::Recovered:
        return "recovered";
    case FlowReason::UpstreamRestarted:
        return "upstream_restarted";
    case FlowReason::NotStarted:
        return "not_started";
    case FlowReason::NoRoute:
        return "no_route";
    case FlowReason::NoRouteUnconfirmed:
        return "no_route_unconfirmed";
    case FlowReason::RouteRemoved:
        return "route_removed";
    case FlowReason::NoUpstream:
        return "no_upstream";
    case FlowReason::NoUpstreamUnconfirmed:
        return "no_upstream_unconfirmed";
    case FlowReason::AllEvacuated:
        return "all_evacuated";
    case FlowReason::ColdLimit:
        return "cold_limit";
    case FlowReason::Overload:
        return "overload";
    case FlowReason::LinkBacklog:
        return "link_backlog";
    case FlowReason::UpstreamReplaced:
        return "upstream_replaced";
    case FlowReason::UpstreamUnreachable:
        return "upstream_unreachable";
    case FlowReason::UnknownCookie:
        return "unknown_cookie";
    case FlowReason::NoCookie:
        return "no_cookie";
    case FlowReason::Malformed:
        break;
    }
    return "malformed";
}

} // namespace damaskhall
