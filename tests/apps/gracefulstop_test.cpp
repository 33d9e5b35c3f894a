#include "apps/gracefulstop.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

struct Stop
{
    Milliseconds now;
    Milliseconds workUntil;
    Milliseconds signalAt = 100_s;
    int announcements = 0;

    StopReport run(Milliseconds limit)
    {
        const GracefulStopHooks hooks{[this] { ++announcements; },
                                      [this] {
                                          return DispatcherLoad{0, 0, now < workUntil ? 1U : 0U, 0};
                                      },
                                      [this](Milliseconds duration) {
                                          now += duration;
                                          return now >= signalAt;
                                      }};
        return runGracefulStop(hooks, Clock([this] { return now; }), limit);
    }
};

// Guards against an idle balancer that is gone before the fabric stops sending to it.
TEST(GracefulStop, WaitsUntilOthersHaveNoticed)
{
    Stop stop;
    EXPECT_EQ(stop.run(30_s).reason, "complete");
    EXPECT_GE(stop.now, MinLeavingTime);
    EXPECT_EQ(stop.announcements, 1);
}

// Guards against a stop that interrupts a request, and against one that reports nothing when the
// limit or a second signal interrupts it.
TEST(GracefulStop, WaitsForWorkUpToTheLimit)
{
    Stop slow;
    slow.workUntil = 12_s;
    EXPECT_TRUE(slow.run(30_s).interrupted.isEmpty());
    EXPECT_GE(slow.now, 12_s);

    SCOPED_TRACE("work that never ends");
    Stop endless;
    endless.workUntil = 1000_s;
    const StopReport limited = endless.run(5_s);
    EXPECT_EQ(limited.reason, "stop_limit");
    EXPECT_EQ(limited.interrupted.sent, 1U);
    EXPECT_LE(endless.now, 5100_ms);

    SCOPED_TRACE("a second signal");
    Stop impatient;
    impatient.workUntil = 1000_s;
    impatient.signalAt = 1_s;
    const StopReport second = impatient.run(30_s);
    EXPECT_EQ(second.reason, "second signal");
    EXPECT_EQ(describe(second.interrupted), "waiting=0 permitted=0 sent=1 uploads=0");
    EXPECT_EQ(impatient.now, 1_s);
}

} // namespace
} // namespace damaskhall
