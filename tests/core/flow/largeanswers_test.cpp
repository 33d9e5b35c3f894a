#include "support/peercluster.h"

#include <gtest/gtest.h>
#include <limits>

namespace damaskhall {
namespace {

using test::makeEntry;
using test::PeerCluster;
using test::WatchInterval;

constexpr int Size = 24;
/// Limit within which a declaration is in force and a leaving upstream gets no new flows; the
/// confirmation interval is a third of it.
constexpr Milliseconds Limit = WatchInterval * 3;

// Instances whose watches have answers that are too large to be received, and whose lists have more
// than one page, as another program has written large items.
class LargeFleet
{
public:
    explicit LargeFleet(std::uint64_t seed = 1)
        : cluster(Size, seed)
    {
        cluster.write(makeEntry(2));
        runFor(10_s);
    }

    void runFor(Milliseconds duration) { cluster.events.runUntil(cluster.events.now() + duration); }

    /// Another program writes large items, an upstream announces that it is leaving, and an
    /// operator changes the declaration.
    void changeBesideLargeItems()
    {
        cluster.areListsSplit = true;
        cluster.oversizedBefore = cluster.revision().value + 1;
        leaving.isLeaving = true;
        cluster.write(leaving);
        cluster.declare(2);
    }

    void expectChangesAreKnown()
    {
        for (int i = 0; i < cluster.size(); ++i) {
            if (cluster.isUp(i)) {
                EXPECT_TRUE(cluster.knows(i, leaving, UpstreamHealth::Leaving)) << "instance " << i;
                EXPECT_EQ(cluster.controller(i).revision(), Revision{2}) << "instance " << i;
            }
        }
    }

    PeerCluster cluster;
    UpstreamEntry leaving = makeEntry(2);
};

// Guards against new flows at a leaving upstream because no instance gets past the large answer.
TEST(LargeAnswers, HoldUpNothing)
{
    LargeFleet fleet;
    fleet.changeBesideLargeItems();
    fleet.runFor(Limit);
    fleet.expectChangesAreKnown();
}

// Guards against instances that learn what the answer holds only from their peers, and against
// followers that wait for each other before they list.
TEST(LargeAnswers, HoldUpNothingWithoutPeers)
{
    LargeFleet fleet;
    for (int i = 0; i < Size; ++i) {
        fleet.cluster.cutOff.insert(i);
    }
    fleet.changeBesideLargeItems();
    fleet.runFor(Limit);
    fleet.expectChangesAreKnown();
}

// Guards against followers that wait for each other when the instances that read for them end.
TEST(LargeAnswers, HoldUpNothingWithoutReaders)
{
    LargeFleet fleet;
    for (const int reader : fleet.cluster.readers()) {
        fleet.cluster.kill(reader);
    }
    fleet.changeBesideLargeItems();
    fleet.runFor(Limit);
    fleet.expectChangesAreKnown();
}

// Guards against readers that wait for a snapshot by another instance when the store has discarded
// its history, while their peers rely on them.
TEST(LargeAnswers, HoldUpNothingAfterALostHistory)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        LargeFleet fleet(seed);
        fleet.changeBesideLargeItems();
        fleet.cluster.oversizedBefore = 0;
        fleet.cluster.discardHistory();
        fleet.runFor(Limit);
        fleet.expectChangesAreKnown();
    }
}

// Guards against lists without a pause while each answer is too large.
TEST(LargeAnswers, AreNotRequestedMoreOftenThanOthers)
{
    LargeFleet fleet;
    fleet.runFor(10_s);
    const int before = fleet.cluster.calls;
    fleet.runFor(10_s);
    const int usual = fleet.cluster.calls - before;
    fleet.cluster.areListsSplit = true;
    fleet.cluster.oversizedBefore = std::numeric_limits<std::uint64_t>::max();
    const int begin = fleet.cluster.calls;
    fleet.runFor(10_s);
    // Each watch is followed by the two pages of a list.
    EXPECT_LE(fleet.cluster.calls - begin, 4 * usual);
}

} // namespace
} // namespace damaskhall
