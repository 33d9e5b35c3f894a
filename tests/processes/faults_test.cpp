#include "processes/fleet.h"

#include <chrono>
#include <csignal>
#include <gtest/gtest.h>
#include <thread>

namespace damaskhall::processes {
namespace {

constexpr const char *Queue = "workshop-board/queue";
constexpr const char *Claim = "workshop-board/claim";
constexpr const char *Artwork = "pattern-desk/artwork";
constexpr std::uint64_t Feeds = 20;

void pause(int milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

class FaultsTest : public ::testing::Test
{
protected:
    void SetUp() override { ASSERT_TRUE(fleet.start(3)) << fleet.output(); }

    /// Checks what holds under every fault: no feed broken, no claim run twice or after a refusal,
    /// each answer belongs to its request, every upload is stored.
    void expectInvariants(std::map<std::string, TableRow> &table)
    {
        ASSERT_EQ(table.size(), 3U) << fleet.output();
        EXPECT_EQ(table[Queue].opened, Feeds) << fleet.output();
        EXPECT_EQ(table[Queue].broken, 0U) << fleet.output();
        EXPECT_GT(table[Claim].answered, 0U) << fleet.output();
        EXPECT_EQ(table[Claim].doubled, 0U) << fleet.output();
        EXPECT_EQ(table[Claim].falselyRefused, 0U) << fleet.output();
        EXPECT_EQ(table[Claim].lost, 0U) << fleet.output();
        EXPECT_EQ(table[Artwork].answered, table[Artwork].asked) << fleet.output();
        EXPECT_EQ(table[Artwork].lost, 0U) << fleet.output();
    }

    /// Checks that a planned change interrupted no request.
    void expectNothingInterrupted(std::map<std::string, TableRow> &table)
    {
        expectInvariants(table);
        EXPECT_EQ(table[Claim].unknown, 0U) << fleet.output();
        EXPECT_EQ(table[Claim].answered, table[Claim].asked) << fleet.output();
    }

    Fleet fleet;
};

TEST_F(FaultsTest, KillOfOneBalancerBreaksNoFeedAndDoublesNoClaim)
{
    fleet.startCallers(6);
    pause(2'000);
    fleet.balancer(2).kill();
    auto table = fleet.finishCallers();
    expectInvariants(table);
}

// Guards against a process that resumes with old timers and sends or answers wrongly.
TEST_F(FaultsTest, BalancerThatIsStoppedAndContinuedDoublesNoClaim)
{
    fleet.startCallers(8);
    pause(1'500);
    fleet.balancer(1).signal(SIGSTOP);
    pause(4'000);
    fleet.balancer(1).signal(SIGCONT);
    auto table = fleet.finishCallers();
    expectInvariants(table);
}

TEST_F(FaultsTest, RollingReplacementOfAllBalancersInterruptsNothing)
{
    fleet.startCallers(10);
    for (int old = 1; old <= 3; ++old) {
        ASSERT_NE(fleet.addBalancer(), 0) << fleet.output();
        pause(500);
        fleet.balancer(old).signal(SIGTERM);
        EXPECT_EQ(fleet.balancer(old).wait(40), 0) << fleet.output();
    }
    auto table = fleet.finishCallers();
    expectNothingInterrupted(table);
}

TEST_F(FaultsTest, DrainOfAnUpstreamInterruptsNothing)
{
    fleet.startCallers(6);
    pause(1'500);
    fleet.upstream(1).signal(SIGUSR1);
    fleet.upstream(5).signal(SIGUSR1);
    auto table = fleet.finishCallers();
    expectNothingInterrupted(table);
}

class SilentPathTest : public FaultsTest
{
protected:
    // Six seconds after its start each upstream ignores all senders that it knows; new ones work.
    void SetUp() override
    {
        ASSERT_TRUE(fleet.start(3, {"--silent-after-ms", "6000"})) << fleet.output();
    }
};

// Guards against connections that are never replaced, and against a claim that is sent again on the
// new connection.
TEST_F(SilentPathTest, AllPathsToUpstreamsGoSilentAndNothingBreaksOrRunsTwice)
{
    fleet.startCallers(10);
    auto table = fleet.finishCallers();
    expectInvariants(table);
}

TEST_F(FaultsTest, PlatformOutageChangesNothingForCallers)
{
    fleet.startCallers(6);
    pause(1'500);
    fleet.platform().kill();
    auto table = fleet.finishCallers();
    expectNothingInterrupted(table);
}

} // namespace
} // namespace damaskhall::processes
