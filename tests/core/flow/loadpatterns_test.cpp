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
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        FlowFleet fleet(workshop(seed));
        fleet.runUntil(10_s);
        fleet.loseAllBalancers(1400_ms, 400_ms);
        fleet.runUntil(20_s);
        for (const char *load : {"feed", "claim"}) {
            for (Milliseconds from = 9_s; from < 15_s; from += 500_ms) {
                const FlowOutcome outcome = fleet.outcome(load, from, from + 500_ms);
                std::cout << load << " " << from.value << " asked " << outcome.asked << " in time "
                          << outcome.inTime << " late " << outcome.late << " failed "
                          << outcome.failed << " sheds " << outcome.sheds << "\n";
            }
        }
        const auto all = fleet.outcome("", 10_s, 14_s);
        std::cout << "all " << all.asked << " " << all.shareInTime() << " late " << all.late
                  << " failed " << all.failed << " sheds " << all.sheds << " imbalance "
                  << fleet.imbalance() << "\n";
    }
}

} // namespace
} // namespace damaskhall::fakes
