#pragma once

#include "base/milliseconds.h"
#include "core/reasons.h"

namespace damaskhall {

// Retransmission and retry rules shared by the feed, request and upload clients.

/// Interval at which an unanswered frame is retransmitted.
inline constexpr Milliseconds RetransmitInterval = 200_ms;
/// A request or upload that is unanswered for this long switches to a new local port.
inline constexpr Milliseconds RequestPortChangeTimeout = 1_s;
/// A feed whose keepalive is unanswered for this long switches to a new local port.
inline constexpr Milliseconds FeedPortChangeTimeout = 3_s;
/// Number of refusals, with no frame from the upstream in between, after which the upstream of a
/// token is considered gone. One refusal is no proof: a balancer whose upstream directory is out of
/// date refuses too, while the others still forward.
inline constexpr unsigned ConsecutiveRefusalLimit = 3;

/// Returns true if a retry can succeed because the cause of the refusal can clear by itself.
/// Thread safety: reentrant.
constexpr bool isRetryable(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::QueueFull:
    case RefusalReason::NoUpstream:
    case RefusalReason::Leaving:
    case RefusalReason::UpstreamShed:
    case RefusalReason::ExpiredToken:
        return true;
    default:
        return false;
    }
}

} // namespace damaskhall
