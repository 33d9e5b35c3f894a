#include "processes/fleet.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <thread>

namespace damaskhall::processes {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr int Balancers = 3;
constexpr int Done = 0;
constexpr int Refused = 1;
/// Above the duration of a watch, so that none from before is pending.
constexpr int WatchEndMs = 1'500;
/// A declaration is in force everywhere within 3 s of a running fleet; machines that run tests are
/// slower.
constexpr auto InForceLimit = std::chrono::seconds(10);
constexpr auto ObservedAfterwards = std::chrono::seconds(3);

void pause(int milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

/// Balancers whose platform is restored from a copy that lacks an accepted declaration.
class RestoredPlatformTest : public ::testing::Test
{
protected:
    void SetUp() override { ASSERT_TRUE(fleet.start(Balancers)) << fleet.output(); }

    /// Applies a declaration with this target through one balancer; returns the exit status.
    int apply(int balancer, const std::string &target, const std::vector<std::string> &options = {})
    {
        std::ifstream example(std::string(DAMASKHALL_SOURCE_DIR) + "/examples/kandy.ini");
        std::stringstream text;
        text << example.rdbuf();
        std::string declaration = text.str();
        const std::string line = "answer_within = 2 s";
        declaration.replace(declaration.find(line), line.size(), "answer_within = " + target);
        std::vector<std::string> arguments{"apply", fleet.writeFile("next.ini", declaration)};
        arguments.insert(arguments.end(), options.begin(), options.end());
        return fleet.runCtl(balancer, arguments);
    }

    /// Observes the balancers until all of them state @p target; checks that none of them returns
    /// to a lower revision.
    bool isInForce(const std::vector<int> &balancers, const std::string &target,
                   SteadyClock::duration limit = InForceLimit)
    {
        const auto end = SteadyClock::now() + limit;
        while (SteadyClock::now() < end) {
            if (observe(balancers, target)) {
                return true;
            }
            pause(50);
        }
        return false;
    }

    bool observe(const std::vector<int> &balancers, const std::string &target)
    {
        bool haveAll = true;
        for (const int balancer : balancers) {
            const DeclarationInForce seen = fleet.declarationOf(balancer);
            if (seen.revision > 0) {
                EXPECT_GE(seen.revision, m_highestSeen[balancer]) << "balancer " << balancer;
                m_highestSeen[balancer] = std::max(m_highestSeen[balancer], seen.revision);
            }
            haveAll = haveAll && seen.text.find("answer_within = " + target) != std::string::npos;
        }
        return haveAll;
    }

    /// Checks that the declaration with @p target stays in force at all balancers.
    void expectItStays(const std::string &target)
    {
        const auto end = SteadyClock::now() + ObservedAfterwards;
        while (SteadyClock::now() < end) {
            ASSERT_TRUE(observe(All, target)) << "not in force everywhere: " << target;
            pause(200);
        }
    }

    /// Makes the platform return to its keys of this time.
    void restorePlatform(SteadyClock::time_point time)
    {
        const auto age =
                std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - time);
        ASSERT_TRUE(fleet.restorePlatform(Milliseconds{age.count()})) << fleet.output();
    }

    const std::vector<int> All{1, 2, 3};
    Fleet fleet;

private:
    std::map<int, std::uint64_t> m_highestSeen;
};

// Guards against balancers that return to the copy's declaration, and against a reader whose watch
// waits for a version that the restored key has not reached again.
TEST_F(RestoredPlatformTest, DeclarationAppliedAfterItIsInForceEverywhere)
{
    const auto beforeChange = SteadyClock::now();
    ASSERT_EQ(apply(1, "3 s"), Done) << fleet.output();
    ASSERT_TRUE(isInForce(All, "3 s")) << fleet.output();
    restorePlatform(beforeChange);
    expectItStays("3 s");

    EXPECT_EQ(apply(2, "4 s"), Refused) << fleet.output();
    const std::string inForce = std::to_string(fleet.declarationOf(2).revision);
    EXPECT_EQ(apply(2, "4 s", {"--above-revision", inForce}), Done) << fleet.output();
    EXPECT_TRUE(isInForce(All, "4 s")) << fleet.output();
    expectItStays("4 s");
}

// Guards against an accepted declaration that balancers ignore because its revision was given out
// before the restoration, to a change that the asked balancer never heard of.
TEST_F(RestoredPlatformTest, RevisionIsNotGivenOutAgainToAnotherChange)
{
    fleet.balancer(3).signal(SIGSTOP);
    pause(WatchEndMs);
    const auto beforeChange = SteadyClock::now();
    ASSERT_EQ(apply(1, "3 s"), Done) << fleet.output();
    ASSERT_TRUE(isInForce({1, 2}, "3 s")) << fleet.output();
    restorePlatform(beforeChange);

    fleet.balancer(1).signal(SIGSTOP);
    fleet.balancer(2).signal(SIGSTOP);
    fleet.balancer(3).signal(SIGCONT);
    EXPECT_EQ(apply(3, "4 s"), Done) << fleet.output();
    fleet.balancer(1).signal(SIGCONT);
    fleet.balancer(2).signal(SIGCONT);
    EXPECT_TRUE(isInForce(All, "4 s")) << fleet.output();
    expectItStays("4 s");
}

} // namespace
} // namespace damaskhall::processes
