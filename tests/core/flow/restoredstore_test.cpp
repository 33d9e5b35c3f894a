#include "support/peercluster.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

using test::makeEntry;
using test::PeerCluster;
using test::WatchInterval;

constexpr int Size = 24;
/// Limit within which a leaving upstream gets no new flows; the confirmation interval is a third of
/// it.
constexpr Milliseconds LeavingLimit = WatchInterval * 3;

// The store returns from a copy that lacks its last changes, and assigns their revisions again.
class RestoredStore : public ::testing::Test
{
protected:
    void SetUp() override
    {
        cluster.declare(2);
        cluster.write(makeEntry(2));
        cluster.events.runUntil(10_s);
        ASSERT_EQ(cluster.readers().size(), 2U);
    }

    void runFor(Milliseconds duration) { cluster.events.runUntil(cluster.events.now() + duration); }

    /// The store refuses all calls for @p duration and then returns from the copy of @p revision.
    void restoreAfterOutage(StoreRevision revision, Milliseconds duration = 2_s)
    {
        for (int i = 0; i < Size; ++i) {
            cluster.refused.insert(i);
        }
        runFor(duration);
        cluster.restore(revision);
        cluster.refused.clear();
    }

    static UpstreamEntry leaving(std::uint64_t id)
    {
        UpstreamEntry entry = makeEntry(id);
        entry.isLeaving = true;
        return entry;
    }

    int countDeclaration(Revision version)
    {
        int found = 0;
        for (int i = 0; i < Size; ++i) {
            found += cluster.isUp(i) && cluster.controller(i).revision() == version ? 1 : 0;
        }
        return found;
    }

    PeerCluster cluster{Size};
};

// Guards against changes that are missed for good because their revisions had been assigned before:
// the watch of each instance begins after them.
TEST_F(RestoredStore, ChangesWithRevisionsOfBeforeAreApplied)
{
    cluster.restore({cluster.revision().value - 30});
    cluster.declare(3);
    cluster.write(leaving(1));
    cluster.write(makeEntry(3));
    for (std::uint64_t id = 100; id < 160; ++id) {
        cluster.write(makeEntry(id));
    }
    runFor(LeavingLimit);
    EXPECT_EQ(countDeclaration({3}), Size);
    EXPECT_EQ(cluster.count(makeEntry(1), UpstreamHealth::Leaving), Size);
    EXPECT_EQ(cluster.count(makeEntry(3), UpstreamHealth::Ready), Size);
}

// Guards against a report that is ignored because an older one of the same upstream had a higher
// revision.
TEST_F(RestoredStore, ReportsBelowTheKnownRevisionsCount)
{
    const StoreRevision copy = cluster.revision();
    runFor(4_s);
    cluster.write(makeEntry(1));
    cluster.write(makeEntry(2));
    runFor(1_s);
    restoreAfterOutage(copy);
    const UpstreamEntry restarted = makeEntry(1, 2000);
    cluster.write(restarted);
    cluster.remove(makeEntry(2));
    runFor(LeavingLimit);
    EXPECT_EQ(cluster.count(restarted, UpstreamHealth::Ready), Size);
    EXPECT_EQ(cluster.count(makeEntry(1), UpstreamHealth::Replaced), Size);
    runFor(1_s);
    EXPECT_EQ(cluster.count(makeEntry(2), UpstreamHealth::Gone), Size);
}

// Guards against instances that ignore the updates of their peers, or that peers leave without,
// until the revisions are as high as before.
TEST_F(RestoredStore, EachInstanceFollowsAgainWithinTheLimit)
{
    const StoreRevision copy = cluster.revision();
    runFor(6_s);
    restoreAfterOutage(copy);
    cluster.cutOff = {3, 4, 5};
    runFor(1_s);
    cluster.write(leaving(1));
    runFor(LeavingLimit);
    EXPECT_EQ(cluster.count(makeEntry(1), UpstreamHealth::Leaving), Size);
}

// Guards against an upstream that stays known for good although nothing in the store names it.
TEST_F(RestoredStore, EntriesThatDoNotReturnAreGone)
{
    const StoreRevision copy = cluster.revision();
    runFor(1_s);
    cluster.write(makeEntry(3));
    cluster.write(makeEntry(4));
    runFor(2_s);
    restoreAfterOutage(copy);
    runFor(1_s);
    EXPECT_EQ(cluster.count(makeEntry(3), UpstreamHealth::Unconfirmed), Size)
            << "it may be written again";
    cluster.write(makeEntry(4));
    runFor(4_s);
    EXPECT_EQ(cluster.count(makeEntry(3), UpstreamHealth::Gone), Size);
    EXPECT_EQ(cluster.count(makeEntry(4), UpstreamHealth::Ready), Size);
}

// Guards against new flows at an upstream that announced that it is leaving, because the store has
// lost that.
TEST_F(RestoredStore, UpstreamsThatAreLeavingStayLeaving)
{
    const StoreRevision copy = cluster.revision();
    cluster.write(leaving(1));
    cluster.write(leaving(2));
    runFor(2_s);
    cluster.remove(makeEntry(2));
    runFor(2_s);
    restoreAfterOutage(copy);
    runFor(1_s);
    EXPECT_EQ(cluster.count(makeEntry(1), UpstreamHealth::Leaving), Size);
    EXPECT_EQ(cluster.count(makeEntry(2), UpstreamHealth::Ready), 0);
}

// Guards against a declaration that returns to the one of the copy, and against instances that do
// not see the next one.
TEST_F(RestoredStore, DeclarationsNeverReturnToAnOlderOne)
{
    const StoreRevision copy = cluster.revision();
    runFor(1_s);
    cluster.declare(5);
    runFor(3_s);
    ASSERT_EQ(countDeclaration({5}), Size);
    restoreAfterOutage(copy);
    for (int i = 0; i < 20; ++i) {
        runFor(100_ms);
        EXPECT_EQ(countDeclaration({5}), Size) << "the store holds 2";
    }
    cluster.declare(5);
    runFor(500_ms);
    cluster.declare(8);
    runFor(LeavingLimit);
    EXPECT_EQ(countDeclaration({8}), Size);
}

// Guards against an instance that was away during a restoration, or during the second of two.
TEST_F(RestoredStore, ASecondRestorationIsNoticed)
{
    const StoreRevision copy = cluster.revision();
    runFor(3_s);
    restoreAfterOutage(copy, 300_ms);
    cluster.write(makeEntry(3));
    runFor(300_ms);
    restoreAfterOutage(copy, 300_ms);
    cluster.write(makeEntry(4));
    runFor(LeavingLimit);
    EXPECT_EQ(cluster.count(makeEntry(4), UpstreamHealth::Ready), Size);
    runFor(3_s);
    EXPECT_EQ(cluster.count(makeEntry(3), UpstreamHealth::Gone), Size);
}

// Guards against an instance that started on the copy and is never told of a leaving upstream: the
// readers knew that before and saw nothing new when it was written again.
TEST_F(RestoredStore, LeavingIsToldAgainWhenItIsWrittenAgain)
{
    const StoreRevision copy = cluster.revision();
    runFor(1_s);
    cluster.write(leaving(1));
    runFor(2_s);
    restoreAfterOutage(copy, 500_ms);
    const int started = cluster.isReader(7) ? 8 : 7;
    cluster.kill(started);
    cluster.start(started);
    runFor(1500_ms);
    ASSERT_TRUE(cluster.knows(started, makeEntry(1), UpstreamHealth::Ready)) << "as the copy says";
    cluster.write(leaving(1));
    runFor(LeavingLimit);
    EXPECT_EQ(cluster.count(makeEntry(1), UpstreamHealth::Leaving), Size);
}

// Guards against watches that wait until a declaration is there again that the store has lost.
TEST_F(RestoredStore, LeavingIsNoticedWhileADeclarationIsMissing)
{
    const StoreRevision copy = cluster.revision();
    runFor(1_s);
    cluster.declare(5);
    runFor(2_s);
    restoreAfterOutage(copy, 500_ms);
    for (int i = 0; i < Size; ++i) {
        cluster.kill(i);
        cluster.start(i);
    }
    // All instances start on the copy, and know from a peer that a later declaration exists.
    runFor(1_s);
    DirectoryUpdate update;
    update.declaration = {5};
    for (int i = 0; i < Size; ++i) {
        cluster.controller(i).handleDirectoryUpdate(update, {}, cluster.events.now());
    }
    cluster.calls = 0;
    cluster.write(leaving(1));
    runFor(LeavingLimit);
    EXPECT_EQ(countDeclaration({2}), Size);
    EXPECT_EQ(cluster.count(makeEntry(1), UpstreamHealth::Leaving), Size);
    EXPECT_LE(cluster.calls, Size * 3 * 3) << "two reads a second, and watches";
    cluster.declare(5);
    runFor(LeavingLimit);
    EXPECT_EQ(countDeclaration({5}), Size);
}

} // namespace
} // namespace damaskhall
