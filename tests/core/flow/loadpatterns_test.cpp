#include "fakes/flowfleet.h"

#include <gtest/gtest.h>

namespace damaskhall::fakes {
namespace {

constexpr ServiceId BoardService{10};
constexpr int Seeds = 10;
constexpr Milliseconds Trouble = 10_s;

// Three data centres of five upstreams with two slots each, at 45% load: feeds on long flows and
// claims on a flow each. The shares are targets of docs/overload.md.
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

// Replays one load pattern with several seeds and adds up what became of the requests.
class LoadPatterns : public ::testing::Test
{
protected:
    template <typename Start>
    void replay(Start start, Milliseconds until = 18_s)
    {
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            m_fleets.push_back(std::make_unique<FlowFleet>(workshop(seed)));
            FlowFleet &fleet = *m_fleets.back();
            fleet.runUntil(Trouble);
            start(fleet);
            fleet.runUntil(until);
        }
    }

    FlowOutcome outcome(const std::string &load, Milliseconds from, Milliseconds until) const
    {
        FlowOutcome sum;
        for (const auto &fleet : m_fleets) {
            const FlowOutcome one = fleet->outcome(load, from, until);
            sum.asked += one.asked;
            sum.inTime += one.inTime;
            sum.late += one.late;
            sum.failed += one.failed;
            sum.sheds += one.sheds;
        }
        return sum;
    }

private:
    std::vector<std::unique_ptr<FlowFleet>> m_fleets;
};

// Guards against a policy that harms ordinary days.
TEST_F(LoadPatterns, QuietDay)
{
    replay([](FlowFleet &) {});
    EXPECT_GE(outcome("", 2_s, 16_s).shareInTime(), 0.99);
}

// Guards against a backlog that makes fresh work late long after an outage of all balancers.
TEST_F(LoadPatterns, ReturnAfterOutage)
{
    replay([](FlowFleet &fleet) { fleet.loseAllBalancers(1400_ms, 400_ms); });
    // The last balancer is back after 1.8 s; upstream queues drain within a second.
    EXPECT_GE(outcome("", Trouble + 2800_ms, 16_s).shareInTime(), 0.98);
}

// Guards against new flows that join the queues of upstreams that have become slow.
TEST_F(LoadPatterns, SlowUpstreams)
{
    replay([](FlowFleet &fleet) { fleet.slowUpstreams(1, 6); });
    EXPECT_GE(outcome("claim", Trouble + 1_s, 17_s).shareInTime(), 0.95);
    EXPECT_EQ(outcome("", Trouble, 16_s).failed, 0);
}

// Guards against new flows that run into upstreams that answer nothing, before anybody says so.
TEST_F(LoadPatterns, SilentUpstreams)
{
    replay([](FlowFleet &fleet) { fleet.silenceUpstreams(1, 4_s); });
    EXPECT_GE(outcome("claim", Trouble + 1_s, 17_s).shareInTime(), 0.95);
}

// Guards against a data centre that drowns while others have room.
TEST_F(LoadPatterns, LoadShiftsToOneDataCentre)
{
    replay([](FlowFleet &fleet) {
        fleet.scaleLoad(0, 2.0);
        fleet.scaleLoad(1, 0.5);
        fleet.scaleLoad(2, 0.5);
    });
    EXPECT_GE(outcome("", Trouble + 1_s, 17_s).shareInTime(), 0.95);
}

// Guards against a rush on upstreams that are new, empty and slow.
TEST_F(LoadPatterns, UpstreamsAreReplacedOneAfterTheOther)
{
    replay([](FlowFleet &fleet) { fleet.replaceUpstreams(3, 1_s, 2_s, 1.6); });
    EXPECT_GE(outcome("", Trouble, 17_s).shareInTime(), 0.97);
}

// Guards against useful work that breaks down at a load near all capacity.
TEST_F(LoadPatterns, Burst)
{
    replay([](FlowFleet &fleet) {
        for (int dataCentre = 0; dataCentre < 3; ++dataCentre) {
            fleet.scaleLoad(dataCentre, 2.0);
        }
    });
    EXPECT_GE(outcome("", Trouble, 17_s).shareInTime(), 0.9);
}

} // namespace
} // namespace damaskhall::fakes
