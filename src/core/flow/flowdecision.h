#pragma once

#include "core/flow/flowpacket.h"
#include "core/flow/upstreamentry.h"

#include <cstdint>
#include <string_view>

namespace damaskhall {

enum class FlowAction : std::uint8_t {
    Forward,
    /// Tells the client at once that the flow cannot continue. No request of the flow has run here.
    Reset,
    /// Keeps the packet until the declaration and the upstreams are known.
    Hold,
    Drop,
};

/// Reason for a decision. The names are counter labels and log field values.
enum class FlowReason : std::uint8_t {
    /// New flow, placed according to load.
    Placed,
    /// Retransmitted opening packet, forwarded to the same upstream as the first.
    OpeningRepeated,
    /// Retransmitted opening packet, forwarded to another upstream because the first one is silent
    /// or leaving, or its data centre is evacuated.
    OpeningMoved,
    /// Packet of a flow in this balancer's flow table.
    Established,
    /// Packet of a flow that another balancer opened; the upstream was found by the cookie.
    Recovered,
    /// Packet of a flow in this balancer's flow table whose upstream has restarted since. The
    /// current incarnation received it: it may hold the flow, or else resets it.
    UpstreamRestarted,
    /// The declaration or the upstreams are not known yet.
    NotStarted,
    /// Opening packet; no declared route has this address.
    NoRoute,
    /// As NoRoute, but the platform has not confirmed the declaration recently, or a newer one is
    /// known to exist.
    NoRouteUnconfirmed,
    /// The route was removed while the flow was open.
    RouteRemoved,
    /// The service has no upstream that may receive new flows.
    NoUpstream,
    /// As NoUpstream, but the list of upstreams may be out of date.
    NoUpstreamUnconfirmed,
    /// All data centres with upstreams of the service are evacuated, as a recent read of the store
    /// confirms; otherwise NoUpstreamUnconfirmed.
    AllEvacuated,
    /// Only cold upstreams are left, and they have received what they bear.
    ColdLimit,
    /// The service is overloaded, and more urgent flows go first.
    Overload,
    /// Opening packet of an upload while this instance's link has a backlog. The client sends a
    /// copy
    /// within 200 to 400 ms.
    LinkBacklog,
    /// Another upstream has taken the address of the flow's upstream.
    UpstreamReplaced,
    /// The flow's upstream responds neither to packets nor to connection attempts; the client may
    /// retry at another one.
    UpstreamUnreachable,
    /// No known upstream has this cookie.
    UnknownCookie,
    /// The packet carries no cookie and belongs to no known flow.
    NoCookie,
    /// The packet cannot be decoded.
    Malformed,
};
inline constexpr int FlowReasonCount = 21;

/// Returns the name in lower case with underscores. Thread safety: reentrant.
std::string_view toString(FlowAction action);
/// Returns the name in lower case with underscores. Thread safety: reentrant.
std::string_view toString(FlowReason reason);

/// How to handle one packet. Thread safety: a plain value.
struct FlowDecision
{
    FlowAction action = FlowAction::Drop;
    FlowReason reason = FlowReason::Malformed;
    /// Forward: the upstream that receives the packet. Reset because of an upstream: that one, if
    /// it is known.
    UpstreamKey upstream;
    /// Set for Forward only: the upstream's address, and the cookie to write into the packet.
    Endpoint endpoint;
    FlowCookie cookie;
    /// Revision of the declaration that the decision is based on; zero if none was known.
    Revision declaration;
};

} // namespace damaskhall
