#pragma once

#include "base/milliseconds.h"
#include "core/reasons.h"

namespace damaskhall {

// Rules that the caller's state machines share.

/// Time after which an unanswered frame is sent again.
inline constexpr Milliseconds ResendInterval = 200_ms;
/// Requests and uploads that are unanswered for this long move to a new local port.
inline constexpr Milliseconds RequestPortSilence = 1_s;
/// Feeds whose keepalive is unanswered for this long move to a new local port.
inline constexpr Milliseconds FeedPortSilence = 3_s;
/// Refusals without a sign of life in between after which the upstream of a token counts as gone.
/// One balancer whose upstream directory lags refuses as well, while the others forward.
inline constexpr unsigned RefusalsUntilUpstreamGone = 3;

/// Returns true for refusals that another try can overcome: the state of the system changes by
/// itself. Thread safety: reentrant.
constexpr bool isTemporary(RefusalReason reason)
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
