#include "core/flow/upstreamdirectory.h"

#include "support/flowfixture.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

using test::makeEntry;

class UpstreamDirectoryTest : public ::testing::Test
{
protected:
    UpstreamHealth health(const UpstreamEntry &entry) const
    {
        return directory.record(entry.key).health;
    }

    static UpstreamEntry leaving(UpstreamEntry entry)
    {
        entry.isLeaving = true;
        return entry;
    }

    UpstreamDirectory directory;
    UpstreamEntry first = makeEntry(1);
    Milliseconds now = 1_s;
};

// Guards against new flows on an upstream whose entry is gone.
TEST_F(UpstreamDirectoryTest, MarksExpiredUpstreamGoneWhileStoreIsReachable)
{
    directory.handleEntry(first, {5}, now);
    directory.handleRemoval(first.key.id, {6}, now);
    EXPECT_EQ(health(first), UpstreamHealth::Gone);
}

// Guards against a stale read that restores an upstream that has left.
TEST_F(UpstreamDirectoryTest, IgnoresReportsBelowTheNewestRevision)
{
    directory.handleEntry(first, {5}, now);
    directory.handleEntry(leaving(first), {7}, now);
    directory.handleEntry(first, {6}, now);
    EXPECT_EQ(health(first), UpstreamHealth::Leaving);
    directory.handleRemoval(first.key.id, {8}, now);
    directory.handleEntry(first, {7}, now);
    EXPECT_EQ(health(first), UpstreamHealth::Gone);
}

// Guards against a later heartbeat that cancels the leaving state of an upstream.
TEST_F(UpstreamDirectoryTest, KeepsALeavingUpstreamLeaving)
{
    directory.handleEntry(leaving(first), {5}, now);
    directory.handleEntry(first, {6}, now);
    EXPECT_EQ(health(first), UpstreamHealth::Leaving);
}

// Guards against an upstream that is taken for gone or replaced because another program registers,
// changes or removes an entry whose key ends in the same number.
TEST_F(UpstreamDirectoryTest, TellsEntriesOfTheSameNumberApart)
{
    UpstreamEntry other = makeEntry(1, 2000);
    other.key.id.keyHash = 9;
    other.endpoint = makeEntry(2).endpoint;
    directory.handleEntry(first, {5}, now);
    directory.handleEntry(other, {6}, now);
    EXPECT_EQ(health(first), UpstreamHealth::Ready);
    directory.handleEntry(first, {7}, now);
    directory.handleRemoval(other.key.id, {8}, now);
    EXPECT_EQ(health(first), UpstreamHealth::Ready);
    EXPECT_EQ(health(other), UpstreamHealth::Gone);
    EXPECT_EQ(directory.handleCompleteList({first.key.id}, {9}, now).size(), 0U);
    EXPECT_EQ(health(first), UpstreamHealth::Ready);
}

// Guards against an outage of the store that removes all upstreams of a service.
TEST_F(UpstreamDirectoryTest, KeepsExpiredUpstreamUnconfirmedAfterStoreOutage)
{
    const UpstreamEntry left = leaving(makeEntry(2));
    directory.handleEntry(first, {5}, now);
    directory.handleEntry(left, {6}, now);
    directory.handleStoreUnreachable();
    now += 5_s;
    directory.handleStoreReachable(now);
    directory.handleRemoval(first.key.id, {7}, now);
    directory.handleRemoval(left.key.id, {8}, now);
    EXPECT_EQ(health(first), UpstreamHealth::Unconfirmed);
    EXPECT_EQ(health(left), UpstreamHealth::Gone) << "it had announced its leaving";

    // An entry that is written again within the confirmation period is ready again.
    now += 1900_ms;
    directory.tick(now);
    EXPECT_EQ(health(first), UpstreamHealth::Unconfirmed);
    directory.handleEntry(first, {9}, now);
    EXPECT_EQ(health(first), UpstreamHealth::Ready);

    // An entry that is still missing after that period is gone.
    directory.handleRemoval(first.key.id, {10}, now);
    now += 200_ms;
    directory.tick(now);
    EXPECT_EQ(health(first), UpstreamHealth::Gone);
}

// Guards against flows that are forwarded to the successor of the process that held them.
TEST_F(UpstreamDirectoryTest, ReplacesEarlierIncarnationAndPreviousAddressOwner)
{
    directory.handleEntry(first, {5}, now);
    const UpstreamEntry restarted = makeEntry(1, 2000);
    directory.handleEntry(restarted, {6}, now);
    EXPECT_EQ(health(first), UpstreamHealth::Replaced);
    EXPECT_EQ(health(restarted), UpstreamHealth::Ready);

    UpstreamEntry successor = makeEntry(3, 3000);
    successor.endpoint = restarted.endpoint;
    successor.service = test::Desk;
    directory.handleRemoval(restarted.key.id, {7}, now);
    directory.handleEntry(successor, {8}, now);
    EXPECT_EQ(health(restarted), UpstreamHealth::Replaced);
    EXPECT_EQ(health(successor), UpstreamHealth::Ready);
}

// Guards against resets of live flows by a late report about the former owner of an address.
TEST_F(UpstreamDirectoryTest, KeepsTheNewestOwnerOfAnAddress)
{
    UpstreamEntry owner = makeEntry(3, 3000);
    owner.endpoint = first.endpoint;
    directory.handleEntry(owner, {8}, now);
    directory.handleEntry(first, {5}, now);
    EXPECT_EQ(health(owner), UpstreamHealth::Ready);
    EXPECT_EQ(health(first), UpstreamHealth::Replaced);
}

// Guards against resets of live flows: the store may execute a write of an ended upstream after its
// successor at the address has registered.
TEST_F(UpstreamDirectoryTest, KeepsTheLaterProcessIfAnEarlierOneIsWrittenLate)
{
    UpstreamEntry successor = makeEntry(3, 3000);
    successor.endpoint = first.endpoint;
    directory.handleEntry(first, {5}, now);
    directory.handleRemoval(first.key.id, {6}, now);
    directory.handleEntry(successor, {7}, now);
    directory.handleEntry(first, {8}, now);
    EXPECT_EQ(health(successor), UpstreamHealth::Ready);
    EXPECT_EQ(health(first), UpstreamHealth::Replaced) << "it gets no flows";
    directory.handleRemoval(first.key.id, {9}, now);
    EXPECT_EQ(health(successor), UpstreamHealth::Ready);
}

// Guards against resets of live flows of an upstream whose entry expired while it had no connection
// to the store.
TEST_F(UpstreamDirectoryTest, KeepsAnExpiredUpstreamIfAnEarlierOneIsWrittenLate)
{
    UpstreamEntry successor = makeEntry(3, 3000);
    successor.endpoint = first.endpoint;
    directory.handleEntry(successor, {7}, now);
    directory.handleRemoval(successor.key.id, {8}, now);
    directory.handleEntry(first, {9}, now);
    EXPECT_EQ(health(successor), UpstreamHealth::Gone) << "its flows are still forwarded";
}

// Guards against an upstream that never gets flows because its clock was behind when it started.
TEST_F(UpstreamDirectoryTest, UsesARegisteredUpstreamWhoseStartTimeIsTooEarly)
{
    UpstreamEntry successor = makeEntry(3, 500);
    successor.endpoint = first.endpoint;
    directory.handleEntry(first, {5}, now);
    directory.handleEntry(successor, {6}, now);
    EXPECT_EQ(health(successor), UpstreamHealth::Replaced) << "while both have an entry";
    directory.handleRemoval(first.key.id, {7}, now);
    EXPECT_EQ(health(successor), UpstreamHealth::Ready);
    directory.tick(now + 120_s);
    EXPECT_EQ(health(successor), UpstreamHealth::Ready);
    EXPECT_EQ(directory.records().size(), 1U);
}

// Guards against resets of live flows because another program has registered a service of its own
// on the same host.
TEST_F(UpstreamDirectoryTest, IgnoresEntriesOfUndeclaredServicesAtAnAddress)
{
    UpstreamEntry foreign = makeEntry(3, 3000);
    foreign.endpoint = first.endpoint;
    foreign.service = ServiceId{99};
    directory.handleEntry(first, {5}, now);
    directory.handleEntry(foreign, {6}, now);
    directory.setDeclaredServices({test::Board, test::Desk});
    EXPECT_EQ(health(first), UpstreamHealth::Ready) << "the declaration may arrive later";
    directory.setDeclaredServices({test::Board, ServiceId{99}});
    EXPECT_EQ(health(first), UpstreamHealth::Replaced);
    directory.setDeclaredServices({test::Board, test::Desk});
    EXPECT_EQ(health(first), UpstreamHealth::Ready);
}

// Guards against new flows at a leaving upstream whose reports arrive in the wrong order.
TEST_F(UpstreamDirectoryTest, KnowsALeavingUpstreamWhicheverReportArrivesFirst)
{
    directory.handleEntry(first, {6}, now);
    directory.handleEntry(leaving(first), {5}, now);
    EXPECT_EQ(health(first), UpstreamHealth::Leaving);
}

// Guards against needless snapshots because the count of entries drifts.
TEST_F(UpstreamDirectoryTest, CountsAReplacedEntryUntilItIsRemoved)
{
    UpstreamEntry successor = makeEntry(3, 3000);
    successor.endpoint = first.endpoint;
    directory.handleEntry(first, {5}, now);
    directory.handleEntry(successor, {6}, now);
    directory.tick(now + 120_s);
    EXPECT_EQ(directory.entryCount(), 2U);
    EXPECT_EQ(directory.entries(now).size(), 2U);
    directory.handleRemoval(first.key.id, {7}, now + 120_s);
    EXPECT_EQ(directory.entryCount(), 1U);
}

// Guards against entries that remain in the directory after changes were lost.
TEST_F(UpstreamDirectoryTest, RemovesEntriesMissingFromACompleteList)
{
    const UpstreamEntry second = makeEntry(2);
    const UpstreamEntry newer = makeEntry(3);
    directory.handleEntry(first, {5}, now);
    directory.handleEntry(second, {6}, now);
    directory.handleEntry(newer, {30}, now);
    EXPECT_FALSE(directory.isComplete());
    directory.handleCompleteList({second.key.id}, {20}, now);
    EXPECT_TRUE(directory.isComplete());
    EXPECT_EQ(health(first), UpstreamHealth::Gone);
    EXPECT_EQ(health(second), UpstreamHealth::Ready);
    EXPECT_EQ(health(newer), UpstreamHealth::Ready) << "written after the list was read";
}

// Guards against reports that are ignored because the store has assigned their revisions before.
TEST_F(UpstreamDirectoryTest, ReportsOfALaterEraAreNewer)
{
    directory.handleEntry(first, {90, {1}}, now);
    directory.handleRemoval(first.key.id, {50, {2}}, now);
    EXPECT_EQ(health(first), UpstreamHealth::Gone);
    directory.handleEntry(first, {95, {1}}, now);
    EXPECT_EQ(health(first), UpstreamHealth::Gone) << "the report is of the earlier era";
    directory.handleEntry(first, {51, {2}}, now);
    EXPECT_EQ(health(first), UpstreamHealth::Ready);
    directory.handleCompleteList({}, {200, {1}}, now);
    EXPECT_EQ(health(first), UpstreamHealth::Ready) << "so is the list";
}

// Guards against new flows at a leaving upstream that a copy of the store shows as ready.
TEST_F(UpstreamDirectoryTest, KeepsALeavingUpstreamLeavingInALaterEra)
{
    const UpstreamEntry left = makeEntry(2);
    directory.handleEntry(leaving(first), {90, {1}}, now);
    directory.handleEntry(leaving(left), {91, {1}}, now);
    directory.handleRemoval(left.key.id, {92, {1}}, now);
    directory.handleStoreRestored(now);
    directory.handleEntry(first, {40, {2}}, now);
    directory.handleEntry(left, {41, {2}}, now);
    EXPECT_EQ(health(first), UpstreamHealth::Leaving);
    EXPECT_EQ(health(left), UpstreamHealth::Leaving);
}

// Guards against new flows at a leaving upstream whose report from before the restoration arrives
// after the list.
TEST_F(UpstreamDirectoryTest, KnowsAnUpstreamThatWasLeavingInTheEarlierEra)
{
    directory.handleEntry(first, {40, {2}}, now);
    directory.handleEntry(leaving(first), {90, {1}}, now);
    EXPECT_EQ(health(first), UpstreamHealth::Leaving);
}

// Guards against resets of the flows of an upstream whose entry the copy of the store lacks.
TEST_F(UpstreamDirectoryTest, KeepsUpstreamsUnconfirmedThatACopyLacks)
{
    const UpstreamEntry left = leaving(makeEntry(2));
    const UpstreamEntry returning = makeEntry(3);
    directory.handleEntry(first, {90, {1}}, now);
    directory.handleEntry(left, {91, {1}}, now);
    directory.handleEntry(returning, {92, {1}}, now);
    directory.handleStoreRestored(now);
    directory.handleCompleteList({}, {75, {2}}, now);
    EXPECT_EQ(health(first), UpstreamHealth::Unconfirmed);
    EXPECT_EQ(health(left), UpstreamHealth::Gone) << "it had announced its leaving";
    now += 1900_ms;
    directory.tick(now);
    directory.handleEntry(returning, {80, {2}}, now);
    EXPECT_EQ(health(first), UpstreamHealth::Unconfirmed);
    EXPECT_EQ(health(returning), UpstreamHealth::Ready);
    now += 200_ms;
    directory.tick(now);
    EXPECT_EQ(health(first), UpstreamHealth::Gone);
    EXPECT_EQ(health(returning), UpstreamHealth::Ready);
}

// Guards against a directory that grows with each replaced upstream.
TEST_F(UpstreamDirectoryTest, RemovesRecordsAfterTheFlowLifetime)
{
    directory.handleEntry(first, {5}, now);
    directory.handleRemoval(first.key.id, {6}, now);
    directory.tick(now + 59'999_ms);
    EXPECT_EQ(directory.records().size(), 1U);
    directory.tick(now + 60_s);
    EXPECT_TRUE(directory.records().empty());
}

// Guards against a new view for each heartbeat.
TEST_F(UpstreamDirectoryTest, ChangesVersionOnlyWithItsRecords)
{
    first.warmupLeft = 2_s;
    directory.handleEntry(first, {5}, now);
    const std::uint64_t version = directory.version();
    first.warmupLeft = 800_ms;
    directory.handleEntry(first, {6}, now + 1200_ms);
    EXPECT_EQ(directory.version(), version);
}

// Guards against the usual load on an upstream that is cold again after an evacuation of its data
// centre, and against an update to all peers with each heartbeat of a cold upstream.
TEST_F(UpstreamDirectoryTest, NoticesAWarmupThatBeginsAgain)
{
    first.warmupLeft = 2_s;
    directory.handleEntry(first, {5}, now);
    EXPECT_EQ(directory.record(first.key).warmupEnd, now + 2_s);
    const Milliseconds end = now + 2_s;
    std::uint64_t version = directory.version();

    // Heartbeats of the same warm-up, the last one read late, and of the time after it.
    std::uint64_t revision = 6;
    for (const auto left : {1500_ms, 1000_ms, 500_ms, 0_ms, 0_ms, 0_ms}) {
        now += 500_ms;
        first.warmupLeft = left;
        directory.handleEntry(first, {revision++}, left == 500_ms ? now + 400_ms : now);
    }
    EXPECT_EQ(directory.record(first.key).warmupEnd, end);
    EXPECT_EQ(directory.version(), version);

    now += 10_s;
    first.warmupLeft = 1800_ms;
    directory.handleEntry(first, {revision++}, now);
    EXPECT_EQ(directory.record(first.key).warmupEnd, now + 1800_ms);
    EXPECT_GT(directory.version(), version) << "peers are told once";
    version = directory.version();
    first.warmupLeft = 800_ms;
    directory.handleEntry(first, {revision}, now + 1_s);
    EXPECT_EQ(directory.version(), version);
}

// Guards against a burst between the end of an evacuation and the first entry that says that the
// upstream is cold.
TEST_F(UpstreamDirectoryTest, MakesUpstreamsColdAtTheEndOfAnEvacuation)
{
    UpstreamEntry elsewhere = makeEntry(2);
    elsewhere.dataCentre = test::OtherDataCentre;
    UpstreamEntry unlimited = makeEntry(3);
    unlimited.service = test::Desk;
    for (const UpstreamEntry &entry : {first, elsewhere, unlimited}) {
        directory.handleEntry(entry, {5}, now);
    }
    const std::uint64_t version = directory.version();
    now += 10_s;
    directory.handleEvacuationEnd(test::OwnDataCentre, {{test::Board, {2_s, 20}}}, now);
    EXPECT_EQ(directory.record(first.key).warmupEnd, now + 2_s);
    EXPECT_LT(directory.record(elsewhere.key).warmupEnd, now);
    EXPECT_LT(directory.record(unlimited.key).warmupEnd, now);
    EXPECT_GT(directory.version(), version);
}

} // namespace
} // namespace damaskhall
