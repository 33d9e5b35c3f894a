#include "apps/gracefulstop.h"

namespace damaskhall {

namespace {

constexpr Milliseconds PollInterval = 50_ms;

} // namespace

StopReport runGracefulStop(const GracefulStopHooks &hooks, const Clock &clock, Milliseconds limit)
{
    const Milliseconds start = clock.now();
    hooks.beginLeaving();
    while (true) {
        const Milliseconds elapsed = clock.now() - start;
        const DispatcherLoad load = hooks.load();
        if (load.isEmpty() && elapsed >= MinLeavingTime) {
            return {{}, "complete"};
        }
        if (elapsed >= limit) {
            return {load, load.isEmpty() ? "complete" : "stop_limit"};
        }
        if (hooks.waitForSignal(PollInterval)) {
            return {hooks.load(), "second signal"};
        }
    }
}

std::string describe(const DispatcherLoad &load)
{
    return "waiting=" + std::to_string(load.waiting) +
           " permitted=" + std::to_string(load.permitted) + " sent=" + std::to_string(load.sent) +
           " uploads=" + std::to_string(load.uploads);
}

} // namespace damaskhall
