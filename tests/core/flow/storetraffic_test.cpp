#include "support/peercluster.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

using test::makeEntry;
using test::PeerCluster;
using test::TickInterval;
using test::WatchInterval;

constexpr int Size = 60;

// Load patterns under which all instances of a fleet would read the store at the same time.
class StoreTraffic : public ::testing::Test
{
protected:
    void SetUp() override
    {
        cluster.events.runUntil(10_s);
        ASSERT_EQ(cluster.readers().size(), 2U);
        cluster.calls = 0;
    }

    void runFor(Milliseconds duration) { cluster.events.runUntil(cluster.events.now() + duration); }

    /// Calls that two readers make in @p duration, and one more for each.
    static int readerCalls(Milliseconds duration)
    {
        return 2 * static_cast<int>(duration.value / WatchInterval.value) + 2;
    }

    UpstreamEntry leaving(std::uint64_t id)
    {
        UpstreamEntry entry = makeEntry(id);
        entry.isLeaving = true;
        return entry;
    }

    /// Runs until all instances know that upstream 1 is leaving; returns the time that takes.
    Milliseconds spreadLeaving(Milliseconds limit)
    {
        cluster.write(leaving(1));
        const Milliseconds begin = cluster.events.now();
        while (cluster.events.now() - begin < limit &&
               cluster.count(makeEntry(1), UpstreamHealth::Leaving) < expected) {
            runFor(TickInterval);
        }
        return cluster.events.now() - begin;
    }

    int expected = Size;
    PeerCluster cluster{Size};
};

// Guards against a read by every instance when more upstreams change within a watch interval than
// one update holds, as when a service is released or scaled out.
TEST_F(StoreTraffic, ManyChangesWithinAnIntervalCostNoReads)
{
    for (std::uint64_t id = 2; id <= 101; ++id) {
        cluster.write(makeEntry(id));
    }
    runFor(WatchInterval + 300_ms);
    for (std::uint64_t id = 2; id <= 101; ++id) {
        EXPECT_EQ(cluster.count(makeEntry(id), UpstreamHealth::Ready), Size) << id;
    }
    EXPECT_LE(cluster.calls, readerCalls(WatchInterval));
}

// Guards against a read by every instance that has lost a part of many changes.
TEST_F(StoreTraffic, LostPartsComeFromPeers)
{
    cluster.loss = 0.1;
    for (std::uint64_t id = 2; id <= 101; ++id) {
        cluster.write(makeEntry(id));
    }
    runFor(WatchInterval * 2);
    for (std::uint64_t id = 2; id <= 101; ++id) {
        EXPECT_EQ(cluster.count(makeEntry(id), UpstreamHealth::Ready), Size) << id;
    }
    EXPECT_LE(cluster.calls, readerCalls(WatchInterval * 2) + Size / 10);
}

// Guards against a read by every instance when a reader restarts: it knows no change before its
// list, so that its first update leaves a gap that no peer can fill.
TEST_F(StoreTraffic, ARestartedReaderCostsFewReads)
{
    const int reader = cluster.readers().front();
    cluster.kill(reader);
    cluster.kill(cluster.readers().back());
    --expected;
    --expected;
    cluster.write(makeEntry(2));
    cluster.start(reader);
    ++expected;
    cluster.calls = 0;
    cluster.write(makeEntry(3));
    runFor(WatchInterval * 4);
    EXPECT_EQ(cluster.count(makeEntry(2), UpstreamHealth::Ready), expected);
    EXPECT_EQ(cluster.count(makeEntry(3), UpstreamHealth::Ready), expected);
    EXPECT_LE(cluster.calls, readerCalls(WatchInterval * 4) + Size / 3);
}

// Guards against a list by every instance when the store discards its history.
TEST_F(StoreTraffic, LostHistoryCostsAListPerReader)
{
    cluster.write(makeEntry(2));
    cluster.write(makeEntry(3));
    runFor(WatchInterval * 2);
    cluster.calls = 0;
    cluster.write(makeEntry(4));
    cluster.remove(makeEntry(2));
    cluster.write(leaving(3));
    cluster.discardHistory();
    runFor(WatchInterval * 2);
    EXPECT_EQ(cluster.count(makeEntry(4), UpstreamHealth::Ready), Size);
    EXPECT_EQ(cluster.count(makeEntry(2), UpstreamHealth::Gone), Size) << "only a list implies it";
    EXPECT_EQ(cluster.count(makeEntry(3), UpstreamHealth::Leaving), Size);
    // Each reader asks for a snapshot and lists, or learns the result from the other one.
    EXPECT_LE(cluster.calls, readerCalls(WatchInterval * 2) + 4);
}

// Guards against retries by every instance while the store does not answer.
TEST_F(StoreTraffic, AFewInstancesTryDuringAnOutage)
{
    for (int i = 0; i < Size; ++i) {
        cluster.refused.insert(i);
    }
    constexpr Milliseconds Outage = 10_s;
    runFor(Outage);
    // Two readers retry and report about twice a second each, which leads to four trials.
    const int seconds = static_cast<int>(Outage.value / 1000);
    EXPECT_LE(cluster.calls, seconds * (2 * 3 + 4 * 4 * 2) + Size * 2);
    EXPECT_TRUE(cluster.controller(0).isStoreUnreachable());

    cluster.refused.clear();
    EXPECT_LE(spreadLeaving(3_s), 1500_ms) << "the recovery is noticed soon";
    for (int i = 0; i < Size; ++i) {
        EXPECT_FALSE(cluster.controller(i).isStoreUnreachable()) << i;
    }
}

// Guards against a fleet that learns nothing because the store refuses the readers and most others.
TEST_F(StoreTraffic, AnInstanceThatTheStoreServesReadsForTheOthers)
{
    for (int i = 0; i < Size; ++i) {
        cluster.refused.insert(i);
    }
    for (int served = 0, i = 0; served < Size / 10; ++i) {
        if (!cluster.isReader(i)) {
            cluster.refused.erase(i);
            ++served;
        }
    }
    runFor(WatchInterval * 4);
    EXPECT_LE(spreadLeaving(5_s), WatchInterval * 3) << "the limit of leaving upstreams";
}

// Guards against an instance that relies on its peers although it is cut off from them.
TEST_F(StoreTraffic, AnInstanceCutOffFromItsPeersReadsByItself)
{
    for (int i = 0; i < Size; i += 10) {
        cluster.cutOff.insert(i);
    }
    EXPECT_LE(spreadLeaving(5_s), WatchInterval * 2);
}

// Guards against a declaration that reaches only the instances near a reader when readers fail and
// the others are cut off from each other.
TEST_F(StoreTraffic, ReadersKilledAndPeersCutOffAtTheSameTime)
{
    for (const int reader : cluster.readers()) {
        cluster.kill(reader);
        --expected;
    }
    for (int i = 0; i < Size; i += 2) {
        cluster.cutOff.insert(i);
    }
    EXPECT_LE(spreadLeaving(5_s), WatchInterval * 2);
}

// Guards against reads right after the start by instances that do not know their peers yet.
TEST(StoreTrafficAtStart, CostsOneListPerInstance)
{
    PeerCluster cluster(Size);
    cluster.events.runUntil(10_s);
    const int lists = cluster.callsByReason[{StoreCall::Kind::List, StoreCall::Reason::Start}];
    const int snapshots =
            cluster.callsByReason[{StoreCall::Kind::Snapshot, StoreCall::Reason::Start}];
    EXPECT_EQ(lists, Size);
    EXPECT_LE(cluster.calls - lists - snapshots, 2 * 10 + 4);
}

// Guards against member lists that grow with the square of the fleet when many instances restart.
TEST(MembershipTraffic, RestartsCostABoundedNumberOfDatagrams)
{
    std::vector<double> perMember;
    for (const int size : {40, 120}) {
        PeerCluster cluster(size);
        cluster.events.runUntil(20_s);
        cluster.datagrams = 0;
        for (int i = 2; i < size; i += 4) {
            cluster.kill(i);
        }
        cluster.events.runUntil(23_s);
        for (int i = 2; i < size; i += 4) {
            cluster.start(i);
        }
        cluster.events.runUntil(35_s);
        perMember.push_back(static_cast<double>(cluster.datagrams) / size);
    }
    // A quarter of the members restart. Announcements of each reach all through ten per datagram.
    EXPECT_LE(perMember[1], perMember[0] * 2);
}

} // namespace
} // namespace damaskhall
