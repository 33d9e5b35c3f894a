#include "support/peercluster.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

using test::makeEntry;
using test::PeerCluster;
using test::WatchInterval;

UpstreamEntry leaving(UpstreamEntry entry)
{
    entry.isLeaving = true;
    return entry;
}

// A region of forwarders, two of which read the store.
class PeerStoreReading : public ::testing::Test
{
protected:
    void SetUp() override
    {
        cluster.events.runUntil(10_s);
        ASSERT_EQ(cluster.readers().size(), 2U);
    }

    static constexpr int Size = 40;
    PeerCluster cluster{Size};
};

// Guards against store calls that grow with the fleet.
TEST_F(PeerStoreReading, OnlyTheReadersCallTheStore)
{
    cluster.calls = 0;
    cluster.events.runUntil(30_s);
    // Two readers at one call a second; a call of another instance is an exception.
    EXPECT_LE(cluster.calls, 2 * 20 + 4);
}

// Guards against an instance that sends new flows to a leaving upstream.
TEST_F(PeerStoreReading, ChangesReachAllMembersWithinTheWatchInterval)
{
    cluster.write(leaving(makeEntry(1)));
    cluster.events.runUntil(10_s + WatchInterval + 200_ms);
    EXPECT_EQ(cluster.count(makeEntry(1), UpstreamHealth::Leaving), Size);
}

// Guards against a fleet that receives no changes any more when its readers fail.
TEST_F(PeerStoreReading, OtherMembersReadWhenTheReadersFail)
{
    for (const int reader : cluster.readers()) {
        cluster.kill(reader);
    }
    cluster.write(leaving(makeEntry(1)));
    cluster.events.runUntil(10_s + 2_s);
    EXPECT_EQ(cluster.count(makeEntry(1), UpstreamHealth::Leaving), Size - 2);
    cluster.events.runUntil(20_s);
    EXPECT_EQ(cluster.readers().size(), 2U) << "two others took over";
}

// Guards against a change that is lost with a datagram.
TEST_F(PeerStoreReading, RecoversFromLostUpdates)
{
    cluster.loss = 0.2;
    for (std::uint64_t id = 2; id < 40; ++id) {
        cluster.write(makeEntry(id));
        cluster.events.runUntil(cluster.events.now() + 200_ms);
    }
    cluster.events.runUntil(cluster.events.now() + 3_s);
    for (std::uint64_t id = 2; id < 40; ++id) {
        EXPECT_EQ(cluster.count(makeEntry(id), UpstreamHealth::Ready), Size) << id;
    }
}

// Guards against an instance whose directory stays outdated because the store refuses its calls.
TEST_F(PeerStoreReading, UpdatesReachInstancesThatTheStoreRefuses)
{
    const std::vector<int> readers = cluster.readers();
    for (int i = 0; i < Size / 2; ++i) {
        if (std::find(readers.begin(), readers.end(), i) == readers.end()) {
            cluster.refused.insert(i);
        }
    }
    cluster.write(leaving(makeEntry(1)));
    cluster.events.runUntil(10_s + WatchInterval + 200_ms);
    EXPECT_EQ(cluster.count(makeEntry(1), UpstreamHealth::Leaving), Size);
}

// Guards against a declaration that is in force at the readers only.
TEST_F(PeerStoreReading, AllFetchANewDeclaration)
{
    cluster.declare(7);
    cluster.events.runUntil(10_s + WatchInterval + 300_ms);
    for (int i = 0; i < Size; ++i) {
        EXPECT_EQ(cluster.controller(i).revision(), Revision{7}) << i;
    }
}

// Guards against control traffic that grows with the fleet at each member.
TEST(PeerTraffic, StaysBoundedPerMember)
{
    std::vector<double> perMember;
    for (const int size : {20, 80}) {
        PeerCluster cluster(size);
        cluster.events.runUntil(20_s);
        cluster.datagrams = 0;
        cluster.events.runUntil(40_s);
        perMember.push_back(cluster.datagrams / 20.0 / size);
    }
    // A probe and its reply, and the updates of two readers a second.
    EXPECT_LE(perMember[1], 6);
    EXPECT_LE(perMember[1], perMember[0] * 1.5);
}

// Guards against a joining instance that considers itself a reader.
TEST(PeerJoining, LearnsAllMembersAtOnce)
{
    PeerCluster cluster(30);
    cluster.kill(20);
    cluster.events.runUntil(15_s);
    cluster.start(20);
    cluster.events.runUntil(17_s);
    EXPECT_EQ(cluster.readers().size(), 2U);
}

} // namespace
} // namespace damaskhall
