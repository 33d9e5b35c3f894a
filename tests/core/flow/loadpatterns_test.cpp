#include "fakes/flowfleet.h"

#include "support/flowfixture.h"

#include <gtest/gtest.h>
#include <iostream>

namespace damaskhall::fakes {
namespace {

constexpr ServiceId BoardService{10};

FlowFleetOptions workshop(std::uint64_t seed)
{
    FlowFleetOptions options;
    options.seed = seed;
    options.loads = {
            {"feed", {1, 443}, BoardService, 97, true, 30_ms, 150_ms, 1500_ms, 2, true},
            {"claim", {2, 443}, BoardService, 28, false, 39_ms, 200_ms, 2_s, 2, false},
    };
    return options;
}

TEST(LoadPatterns, Explore)
{
    int asked = 0, inTime = 0, late = 0, failed = 0, sheds = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FlowFleet fleet(workshop(seed));
        fleet.runUntil(10_s);
        fleet.loseAllBalancers(1400_ms, 400_ms);
        fleet.runUntil(16_s);
        const auto all = fleet.outcome("", 11400_ms, 13400_ms);
        asked += all.asked;
        inTime += all.inTime;
        late += all.late;
        failed += all.failed;
        sheds += all.sheds;
    }
    std::cout << "outage: asked " << asked << " in time " << inTime << " late " << late
              << " failed " << failed << " sheds " << sheds << "\n";
    asked = inTime = late = failed = sheds = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        FlowFleet fleet(workshop(seed));
        fleet.runUntil(10_s);
        for (int dc = 0; dc < 3; ++dc)
            fleet.scaleLoad(dc, 2.6);
        fleet.runUntil(15_s);
        for (int dc = 0; dc < 3; ++dc)
            fleet.scaleLoad(dc, 1);
        fleet.runUntil(20_s);
        const auto all = fleet.outcome("", 10_s, 17_s);
        asked += all.asked;
        inTime += all.inTime;
        late += all.late;
        failed += all.failed;
        sheds += all.sheds;
    }
    std::cout << "burst: asked " << asked << " in time " << inTime << " late " << late << " failed "
              << failed << " sheds " << sheds << "\n";
    asked = inTime = late = failed = sheds = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        FlowFleet fleet(workshop(seed));
        fleet.runUntil(10_s);
        fleet.slowUpstreams(1, 6);
        fleet.runUntil(20_s);
        const auto all = fleet.outcome("", 10_s, 17_s);
        asked += all.asked;
        inTime += all.inTime;
        late += all.late;
        failed += all.failed;
        sheds += all.sheds;
    }
    std::cout << "slow: asked " << asked << " in time " << inTime << " late " << late << " failed "
              << failed << " sheds " << sheds << "\n";
    asked = inTime = late = failed = sheds = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        FlowFleet fleet(workshop(seed));
        fleet.runUntil(10_s);
        fleet.silenceUpstreams(1, 4_s);
        fleet.runUntil(20_s);
        const auto all = fleet.outcome("", 10_s, 17_s);
        asked += all.asked;
        inTime += all.inTime;
        late += all.late;
        failed += all.failed;
        sheds += all.sheds;
    }
    std::cout << "silent: asked " << asked << " in time " << inTime << " late " << late
              << " failed " << failed << " sheds " << sheds << "\n";
    asked = inTime = late = failed = sheds = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        FlowFleet fleet(workshop(seed));
        fleet.runUntil(10_s);
        fleet.scaleLoad(0, 2.5);
        fleet.scaleLoad(1, 0.4);
        fleet.scaleLoad(2, 0.4);
        fleet.runUntil(20_s);
        const auto all = fleet.outcome("", 11_s, 17_s);
        asked += all.asked;
        inTime += all.inTime;
        late += all.late;
        failed += all.failed;
        sheds += all.sheds;
    }
    std::cout << "shift: asked " << asked << " in time " << inTime << " late " << late << " failed "
              << failed << " sheds " << sheds << "\n";
}

} // namespace
} // namespace damaskhall::fakes
