#include "fakes/loadpatterns.h"

#include <gtest/gtest.h>

namespace damaskhall::fakes {
namespace {

constexpr std::uint64_t Seeds = 10;

class LoadPatterns : public ::testing::TestWithParam<LoadPattern>
{
protected:
    /// Replays the pattern with several seeds and adds up the outcomes of the requests.
    static FlowOutcome outcome(bool isPlacedAtRandom = false)
    {
        FlowOutcome sum;
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            FlowFleetOptions options = workshopFleet(seed);
            options.isPlacedAtRandom = isPlacedAtRandom;
            const FlowOutcome one = replay(GetParam(), options);
            sum.asked += one.asked;
            sum.inTime += one.inTime;
            sum.late += one.late;
            sum.failed += one.failed;
        }
        return sum;
    }
};

// Guards against a policy that helps one load pattern and misses the target of another.
TEST_P(LoadPatterns, ReachesItsTarget)
{
    EXPECT_GE(outcome().shareInTime(), GetParam().target);
}

// Guards against collected statistics that make placement worse than choosing at random.
TEST_P(LoadPatterns, IsNoWorseThanRandomPlacement)
{
    // Two sets of replays differ by less than this where placement does not matter.
    constexpr double Noise = 0.005;
    EXPECT_GE(outcome().shareInTime() + Noise, outcome(true).shareInTime());
}

INSTANTIATE_TEST_SUITE_P(Overload, LoadPatterns, ::testing::ValuesIn(loadPatterns()),
                         [](const auto &pattern) { return pattern.param.name; });

// Guards against requests that fail at a slow upstream instead of being late.
TEST(LoadPattern, SlowUpstreamsLoseNothing)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        FlowFleet fleet(workshopFleet(seed));
        fleet.runUntil(TroubleAt);
        fleet.slowUpstreams(1, 6);
        fleet.runUntil(18_s);
        EXPECT_EQ(fleet.outcome("", TroubleAt, 16_s).failed, 0) << "seed " << seed;
    }
}

} // namespace
} // namespace damaskhall::fakes
