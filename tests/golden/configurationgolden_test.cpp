#include "support/goldenfile.h"

#include "fakes/controlcluster.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

using namespace fakes;

constexpr std::uint32_t Balancers = 9;
constexpr std::uint32_t Services = 10;
constexpr Milliseconds Step = 50_ms;

// Runs a data centre of nine balancers and notes each event and each change of the revision in
// force at a balancer.
class ConfigurationGolden : public ::testing::Test
{
protected:
    ConfigurationGolden()
        : cluster(ControlClusterOptions{5, Balancers, 1_ms, 3_ms, 0})
    {
        cluster.accept(1, controlDeclaration(Services, 1));
    }

    void note(const std::string &event)
    {
        story.push_back(std::to_string(cluster.now().value) + " " + event);
    }

    void accept(std::uint64_t revision)
    {
        note("operator: accepted at revision " + std::to_string(revision));
        cluster.accept(revision,
                       controlDeclaration(Services, static_cast<std::uint32_t>(revision)));
    }

    void setPlatformDown(bool isDown)
    {
        note(isDown ? "platform: down" : "platform: up");
        cluster.setPlatformDown(isDown);
    }

    void runFor(Milliseconds duration)
    {
        for (const Milliseconds end = cluster.now() + duration; cluster.now() < end;) {
            cluster.runFor(Step);
            noteRevisions();
        }
    }

    void noteRevisions()
    {
        for (std::uint32_t i = 0; i < Balancers; ++i) {
            const std::uint64_t revision =
                    cluster.isRunning(i) ? cluster.plane(i).config().revision().value : 0;
            if (revision != revisions.at(i)) {
                revisions.at(i) = revision;
                const std::string what =
                        revision == 0 ? "nothing" : "revision " + std::to_string(revision);
                note("balancer" + std::to_string(i) + ": " + what + " in force");
            }
        }
    }

    void finish(const std::string &name, std::uint64_t revision)
    {
        EXPECT_TRUE(cluster.allHaveRevision(revision));
        EXPECT_EQ(cluster.reverts(), 0U);
        tests::expectGolden(name, story);
    }

    ControlCluster cluster;
    std::array<std::uint64_t, Balancers> revisions{};
    std::vector<std::string> story;
};

// Guards against a side of a cut that misses a change, or takes an older one over, on the return.
TEST_F(ConfigurationGolden, CutForAnHourWithAChangeOnTheWay)
{
    cluster.startAll();
    runFor(20_s);
    note("network: balancers 0 to 3 are cut off, the platform is down");
    cluster.setPlatformDown(true);
    for (std::uint32_t i = 0; i < 4; ++i) {
        cluster.setGroup(i, 1);
    }
    runFor(1'800_s);
    setPlatformDown(false);
    accept(2);
    runFor(1'800_s);
    note("network: whole again");
    for (std::uint32_t i = 0; i < 4; ++i) {
        cluster.setGroup(i, 0);
    }
    runFor(10_s);
    accept(3);
    runFor(10_s);
    finish("configuration_cut", 3);
}

// Guards against an instance that cannot serve because the platform is down when it starts.
TEST_F(ConfigurationGolden, InstanceStartsDuringAnOutage)
{
    cluster.startAll();
    runFor(20_s);
    setPlatformDown(true);
    note("balancer4: killed");
    cluster.kill(4);
    runFor(10_s);
    note("balancer4: started again without any state");
    cluster.restart(4);
    runFor(10_s);
    EXPECT_EQ(cluster.view(4)->members.size(), Balancers);
    finish("configuration_outage_start", 1);
}

// Guards against a platform that was restored from a backup and takes a change back.
TEST_F(ConfigurationGolden, PlatformReturnsWithOlderData)
{
    cluster.startAll();
    runFor(20_s);
    accept(2);
    runFor(3_s);
    setPlatformDown(true);
    runFor(5_s);
    note("platform: restored with revision 1");
    cluster.restorePlatform(1, controlDeclaration(Services, 1), 1);
    setPlatformDown(false);
    runFor(15_s);
    EXPECT_GT(cluster.count(ControlEvent::LowerRevisionIgnored), 0U);
    accept(3);
    runFor(5_s);
    finish("configuration_older_platform", 3);
}

} // namespace
} // namespace damaskhall
