#pragma once

#include "core/flow/flowpacket.h"
#include "core/flow/upstreamentry.h"

#include <cstdint>
#include <string_view>

namespace damaskhall {

enum class FlowAction : std::uint8_t {
    Forward,
    /// Tell the client at once that the flow cannot go on; no request of it has run here.
    Reset,
    /// Keep the packet until more is known.
    Hold,
    Drop,
};

/// Why a packet was treated as it was. The names are labels of counters and fields of log lines.
enum class FlowReason : std::uint8_t {
    /// New flow, placed by load.
    Placed,
    /// Copy of an opening packet, sent where the first one went.
    OpeningRepeated,
    /// Copy of an opening packet, sent elsewhere: the first upstream is silent or leaving.
    OpeningMoved,
    /// Packet of a flow that this balancer knows.
    Established,
    /// Packet of a flow that another balancer opened, found by its cookie.
    Recovered,
    /// Declaration or upstreams are not known yet.
    NotStarted,
    /// No declared route has this address.
    NoRoute,
    /// As NoRoute, but the platform has not confirmed the declaration lately.
    NoRouteUnconfirmed,
    /// The route was removed while the flow was open.
    RouteRemoved,
    /// No upstream of the service may get a flow.
    NoUpstream,
    /// As NoUpstream, but the list of upstreams may be out of date.
    NoUpstreamUnconfirmed,
    /// Another process runs in place of the flow's upstream.
    UpstreamReplaced,
    /// The flow's upstream answers neither packets nor connection attempts; its client may ask
    /// another one.
    UpstreamUnreachable,
    /// The cookie names no known upstream.
    UnknownCookie,
    /// The packet has no cookie and belongs to no known flow.
    NoCookie,
    /// The packet cannot be read.
    Malformed,
};
inline constexpr int FlowReasonCount = 16;

/// Returns the name in lower case with underscores. Thread safety: reentrant.
std::string_view toString(FlowAction action);
/// Returns the name in lower case with underscores. Thread safety: reentrant.
std::string_view toString(FlowReason reason);

/// What to do with one packet. Thread safety: a plain value.
struct FlowDecision
{
    FlowAction action = FlowAction::Drop;
    FlowReason reason = FlowReason::Malformed;
    /// Forward: receiver and the cookie to write.
    UpstreamKey upstream;
    Endpoint endpoint;
    FlowCookie cookie;
    /// Declaration that decided; zero: none was known.
    Revision declaration;
};

} // namespace damaskhall
