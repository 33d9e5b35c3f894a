#pragma once

#include "base/clock.h"
#include "core/dispatch/dispatcher.h"

#include <functional>
#include <string>

namespace damaskhall {

/// Time for which a stopping balancer stays at least, so that peers and the fabric notice that it
/// is leaving: the platform's list lags by 0.5 s, a failed registration is repeated after up to
/// 0.4 s, and senders read the list about once a second.
inline constexpr Milliseconds MinLeavingTime{2500};

struct GracefulStopHooks
{
    /// Announces that the instance is leaving and stops dispatching.
    std::function<void()> beginLeaving;
    /// Returns the work that the dispatcher still holds.
    std::function<DispatcherLoad()> load;
    /// Waits up to the given time; returns true if a signal arrived.
    std::function<bool(Milliseconds)> waitForSignal;
};

struct StopReport
{
    /// Work that was interrupted; empty after a complete stop.
    DispatcherLoad interrupted;
    /// "complete", "second signal" or "stop_limit".
    std::string reason;
};

/// Announces the stop and waits until no work is left, at least MinLeavingTime and at most
/// @p limit, or until a signal arrives. Precondition: all hooks are set.
StopReport runGracefulStop(const GracefulStopHooks &hooks, const Clock &clock, Milliseconds limit);

/// Returns what was interrupted in one line. Thread safety: reentrant.
std::string describe(const DispatcherLoad &load);

} // namespace damaskhall
