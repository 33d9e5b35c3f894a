#include "fakes/controlcluster.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

using fakes::ControlCluster;
using fakes::controlDeclaration;

UpstreamUpdate boardUpstream(std::uint64_t id, std::uint32_t host)
{
    return {UpstreamId{id}, {0x0a020000 + host, 9000}, serviceId("workshop-board"), false, 0};
}

/// Cluster of nine balancers that know each other, with revision 1 in force and four upstreams.
struct NineBalancerCluster : testing::Test
{
    NineBalancerCluster()
        : cluster({7, 9})
    {
        for (std::uint32_t i = 1; i <= 4; ++i) {
            cluster.listUpstream(boardUpstream(i, i));
        }
        cluster.accept(1, controlDeclaration(10, 0));
        cluster.startAll();
        cluster.runFor(10_s);
    }

    MemberState stateOf(std::uint32_t index, std::uint32_t seenBy)
    {
        const MemberView *member = cluster.view(seenBy)->findMember(ControlCluster::idOf(index));
        return member ? member->state : MemberState::Dead;
    }

    const UpstreamView *upstream(std::uint32_t seenBy, std::uint64_t id)
    {
        return cluster.view(seenBy)->findUpstream(UpstreamId{id});
    }

    ControlCluster cluster;
};

// Guards against views that do not converge: balancers that start at different times and read lists
// of different ages must end up with the same members, upstreams and declaration.
TEST_F(NineBalancerCluster, ConvergesToOneView)
{
    EXPECT_TRUE(cluster.agrees());
    EXPECT_TRUE(cluster.allHaveRevision(1));
    for (std::uint32_t i = 0; i < 9; ++i) {
        EXPECT_EQ(cluster.view(i)->upstreams, cluster.view(0)->upstreams);
        EXPECT_EQ(cluster.view(i)->upstreams.size(), 4U);
        EXPECT_EQ(*cluster.view(i)->declaration, *cluster.view(0)->declaration);
    }
    EXPECT_EQ(cluster.count(ControlEvent::MemberSuspected), 0U);
}

// Guards against false suspicions on a network that loses a few packets.
TEST(ControlCluster, KeepsAllMembersOnLossyNetwork)
{
    ControlCluster cluster({3, 20, 1_ms, 3_ms, 0.02});
    cluster.startAll();
    cluster.runFor(60_s);
    EXPECT_TRUE(cluster.agrees());
    EXPECT_EQ(cluster.count(ControlEvent::MemberDied), 0U);
}

// Guards against a dead balancer that remains a dispatcher, and against a stale list that revives
// it.
TEST_F(NineBalancerCluster, RemovesDeadMemberDespiteStaleList)
{
    cluster.holdList(true);
    cluster.kill(4);
    const Milliseconds taken = cluster.runUntil([&] { return cluster.agrees(); }, 10_s);
    EXPECT_GE(taken, 0_ms);
    EXPECT_LE(taken, 5_s);
    for (int i = 0; i < 100; ++i) {
        cluster.runFor(300_ms);
        ASSERT_TRUE(cluster.agrees()) << i;
    }
}

// Guards against a stale list that revives a member that left, and against new work for the member
// between its announcement and its exit.
TEST_F(NineBalancerCluster, AnnouncesAndRemovesLeavingMember)
{
    cluster.holdList(true);
    cluster.beginLeaving(2);
    cluster.runFor(500_ms);
    for (std::uint32_t i = 0; i < 9; ++i) {
        EXPECT_EQ(stateOf(2, i), MemberState::Leaving) << i;
    }
    cluster.kill(2);
    EXPECT_GE(cluster.runUntil([&] { return cluster.agrees(); }, 10_s), 0_ms);
    cluster.runFor(30_s);
    EXPECT_TRUE(cluster.agrees());
}

// Guards against a process that declares all others dead when it resumes after a freeze, and
// against one that is not readmitted.
TEST_F(NineBalancerCluster, ReadmitsMemberAfterFreeze)
{
    {
        SCOPED_TRACE("a short freeze moves nothing");
        cluster.freeze(3, cluster.now() + 1500_ms);
        cluster.runFor(5_s);
        EXPECT_TRUE(cluster.agrees());
        EXPECT_EQ(cluster.count(ControlEvent::MemberDied), 0U);
    }
    {
        SCOPED_TRACE("a long freeze ends the membership until the process resumes");
        cluster.freeze(3, cluster.now() + 20_s);
        cluster.runFor(15_s);
        EXPECT_EQ(stateOf(3, 0), MemberState::Dead);
        const std::uint64_t deaths = cluster.count(ControlEvent::MemberDied);
        cluster.runFor(20_s);
        EXPECT_TRUE(cluster.agrees());
        EXPECT_EQ(cluster.count(ControlEvent::MemberDied), deaths);
    }
}

// Guards against a restarted process that is mistaken for its predecessor, or rejected because its
// predecessor is known to be dead.
TEST_F(NineBalancerCluster, AcceptsRestartAtSameAddress)
{
    const auto agree = [this] { return cluster.agrees(); };
    cluster.kill(5);
    cluster.runFor(10_s);
    cluster.restart(5);
    EXPECT_GE(cluster.runUntil(agree, 10_s), 0_ms) << "restart after the end was noticed";
    cluster.restart(6);
    EXPECT_GE(cluster.runUntil(agree, 10_s), 0_ms) << "restart before the end was noticed";
    cluster.replace(7);
    EXPECT_GE(cluster.runUntil(agree, 10_s), 0_ms) << "another instance at the address";
}

// Guards against partitions that stay separate after the network recovers, against members falsely
// declared dead when the partitions merge, and against a leaving mark that stays in one partition.
TEST_F(NineBalancerCluster, MergesMembersAfterNetworkPartition)
{
    for (std::uint32_t i = 0; i < 4; ++i) {
        cluster.setGroup(i, 1);
    }
    cluster.runFor(30_s);
    EXPECT_EQ(cluster.view(0)->members.size(), 4U);
    EXPECT_EQ(cluster.view(8)->members.size(), 5U);
    cluster.setPlatformDown(true);
    cluster.reportLeaving(0, UpstreamId{1});
    cluster.reportLeaving(8, UpstreamId{2});
    cluster.runFor(30_s);
    EXPECT_EQ(upstream(8, 1)->state, UpstreamState::Live);

    for (std::uint32_t i = 0; i < 4; ++i) {
        cluster.setGroup(i, 0);
    }
    const std::uint64_t deaths = cluster.count(ControlEvent::MemberDied);
    EXPECT_GE(cluster.runUntil([&] { return cluster.agrees(); }, 60_s), 0_ms);
    EXPECT_EQ(cluster.count(ControlEvent::MemberDied), deaths);
    EXPECT_GE(cluster.runUntil([&] { return cluster.allSeeLeaving(UpstreamId{1}); }, 30_s), 0_ms);
    EXPECT_GE(cluster.runUntil([&] { return cluster.allSeeLeaving(UpstreamId{2}); }, 30_s), 0_ms);
}

// Guards against work for a leaving upstream more than 3 s after the first report, and against a
// stale list that still contains it as live and clears the mark.
TEST_F(NineBalancerCluster, KeepsLeavingMarkDespiteStaleList)
{
    cluster.holdList(true);
    cluster.reportLeaving(6, UpstreamId{3});
    const auto isSeen = [this] { return cluster.allSeeLeaving(UpstreamId{3}); };
    EXPECT_GE(cluster.runUntil(isSeen, 3_s), 0_ms);
    cluster.runFor(30_s);
    EXPECT_TRUE(isSeen());
}

// Guards against a platform outage that empties the directory, and against entries that are never
// removed.
TEST_F(NineBalancerCluster, RemovesUpstreamsOnlyByList)
{
    {
        SCOPED_TRACE("outage");
        cluster.setPlatformDown(true);
        cluster.runFor(600_s);
        cluster.setPlatformDown(false);
        cluster.runFor(10_s);
        EXPECT_EQ(cluster.view(0)->upstreams.size(), 4U);
    }
    {
        SCOPED_TRACE("absent for a moment");
        cluster.unlistUpstream(UpstreamId{4});
        cluster.runFor(30_s);
        EXPECT_NE(upstream(8, 4), nullptr);
    }
    {
        SCOPED_TRACE("absent for long, then back");
        cluster.runFor(150_s);
        EXPECT_EQ(upstream(0, 4), nullptr);
        EXPECT_EQ(upstream(8, 4), nullptr);
        cluster.listUpstream(boardUpstream(4, 4));
        cluster.runFor(20_s);
        EXPECT_NE(upstream(0, 4), nullptr);
        EXPECT_NE(upstream(8, 4), nullptr);
    }
}

// Guards against packets for an old upstream id that are sent to a new upstream at its address.
TEST_F(NineBalancerCluster, RemovesUpstreamWhoseAddressIsReused)
{
    cluster.listUpstream(boardUpstream(50, 2));
    cluster.runFor(15_s);
    for (std::uint32_t i = 0; i < 9; ++i) {
        EXPECT_EQ(upstream(i, 2), nullptr) << i;
        EXPECT_NE(upstream(i, 50), nullptr) << i;
    }
}

// Guards against a lower revision in force after the platform is restored from older data, and
// against a reader that then misses the next accepted change.
TEST_F(NineBalancerCluster, IgnoresOlderPlatformData)
{
    cluster.accept(2, controlDeclaration(10, 1));
    cluster.accept(3, controlDeclaration(10, 2));
    ASSERT_GE(cluster.runUntil([&] { return cluster.allHaveRevision(3); }, 3_s), 0_ms);
    cluster.setPlatformDown(true);
    cluster.runFor(5_s);
    cluster.restorePlatform(1, controlDeclaration(10, 0), 1);
    cluster.setPlatformDown(false);
    cluster.runFor(15_s);
    EXPECT_TRUE(cluster.allHaveRevision(3));
    EXPECT_EQ(cluster.reverts(), 0U);
    EXPECT_GT(cluster.count(ControlEvent::LowerRevisionIgnored), 0U);

    cluster.accept(4, controlDeclaration(11, 3));
    EXPECT_GE(cluster.runUntil([&] { return cluster.allHaveRevision(4); }, 3_s), 0_ms);
    EXPECT_EQ(cluster.view(0)->declaration->services.size(), 11U);
}

// Guards against an invalid declaration that replaces the one in force.
TEST_F(NineBalancerCluster, KeepsDeclarationWhenNextIsInvalid)
{
    cluster.accept(2, "[nonsense\n");
    cluster.runFor(5_s);
    EXPECT_TRUE(cluster.allHaveRevision(1));
    EXPECT_EQ(cluster.view(0)->declaration->services.size(), 10U);
    EXPECT_GT(cluster.count(ControlEvent::DeclarationRejected), 0U);
}

// Guards against a platform call that is not retried when its reply is lost.
TEST_F(NineBalancerCluster, RetriesPlatformCallAfterLostReply)
{
    cluster.loseReplies(3);
    cluster.runFor(5_s);
    EXPECT_EQ(cluster.count(RetryReason::PlatformRetry), 3U);
    EXPECT_TRUE(cluster.agrees());
}

// Guards against an instance that cannot serve because the platform is unreachable when it starts.
TEST(ControlCluster, BootstrapsInstanceDuringPlatformOutage)
{
    ControlCluster cluster({11, 3, 1_ms, 3_ms, 0, 500_ms, true});
    for (std::uint32_t i = 1; i <= 4; ++i) {
        cluster.listUpstream(boardUpstream(i, i));
    }
    cluster.accept(5, controlDeclaration(10, 0));
    cluster.start(0);
    cluster.start(1);
    cluster.runFor(10_s);
    cluster.reportLeaving(0, UpstreamId{2});
    cluster.setPlatformDown(true);
    cluster.runFor(5_s);
    cluster.start(2);
    cluster.runFor(3_s);
    EXPECT_TRUE(cluster.agrees());
    EXPECT_TRUE(cluster.allHaveRevision(5));
    EXPECT_TRUE(cluster.allSeeLeaving(UpstreamId{2}));
    EXPECT_EQ(cluster.view(2)->upstreams.size(), 4U);
}

} // namespace
} // namespace damaskhall
