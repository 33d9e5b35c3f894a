#include "core/flow/storereader.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

class StoreReaderTest : public ::testing::Test
{
protected:
    /// A small fleet has no snapshot.
    void findNoSnapshot()
    {
        EXPECT_EQ(await().kind, StoreCall::Kind::Snapshot);
        end(StoreOutcome::Done);
    }

    /// Lists a large directory.
    void listManyUpstreams()
    {
        findNoSnapshot();
        await();
        end(StoreOutcome::Done, 100, "servers/i-5");
        while (await().kind == StoreCall::Kind::Snapshot) {
            end(StoreOutcome::Done);
        }
        end(StoreOutcome::Done, 100);
    }

    /// Returns the call that is due within the next two seconds.
    StoreCall await()
    {
        for (int i = 0; i < 2000; ++i) {
            if (auto call = reader.next(now)) {
                return *call;
            }
            now += 1_ms;
        }
        ADD_FAILURE() << "no call is due";
        return {};
    }

    void end(StoreOutcome outcome, std::uint64_t asOf = 0, std::optional<std::string> page = {})
    {
        reader.handleCallResult(outcome, {asOf}, std::move(page), now);
    }

    void expectOnlyWatches()
    {
        const Milliseconds begin = now;
        while (now - begin < 12_s) {
            EXPECT_EQ(await().kind, StoreCall::Kind::Watch);
            end(StoreOutcome::Done, 101);
        }
    }

    Milliseconds now = 10_s;
    StoreReader reader{{1_s, 1_s}, seededRandom(1)};
};

// Guards against changes that are missed between the pages of a list and the first watch.
TEST_F(StoreReaderTest, WatchesFromTheFirstPage)
{
    findNoSnapshot();
    EXPECT_EQ(await().kind, StoreCall::Kind::List);
    end(StoreOutcome::Done, 100, "servers/i-5");
    StoreCall second = await();
    while (second.kind == StoreCall::Kind::Snapshot) {
        // Other instances may list it for all.
        end(StoreOutcome::Done);
        second = await();
    }
    EXPECT_EQ(second.kind, StoreCall::Kind::List);
    EXPECT_EQ(second.pageAfter, "servers/i-5");
    end(StoreOutcome::Done, 120);
    EXPECT_EQ(await().kind, StoreCall::Kind::SaveSnapshot);
    end(StoreOutcome::Done);
    const StoreCall watch = await();
    EXPECT_EQ(watch.kind, StoreCall::Kind::Watch);
    EXPECT_EQ(watch.after, Revision{100});
}

// Guards against a call for each heartbeat of each upstream.
TEST_F(StoreReaderTest, KeepsItsPace)
{
    findNoSnapshot();
    await();
    end(StoreOutcome::Done, 100);
    await();
    const Milliseconds started = now;
    now += 20_ms;
    end(StoreOutcome::Done, 101);
    await();
    EXPECT_EQ(now, started + 1_s);
}

// Guards against a directory that stays old after the store forgot its history.
TEST_F(StoreReaderTest, ListsAgainWhenTheHistoryIsLost)
{
    findNoSnapshot();
    await();
    end(StoreOutcome::Done, 100);
    await();
    end(StoreOutcome::HistoryLost);
    EXPECT_FALSE(reader.isFollowing());
    findNoSnapshot();
    EXPECT_EQ(await().kind, StoreCall::Kind::List);
}

// Guards against a store that is flooded by the instances that it turns away.
TEST_F(StoreReaderTest, RepeatsFailedCallsAfterARisingDelay)
{
    await();
    Milliseconds last = now;
    Milliseconds longest;
    for (int i = 0; i < 8; ++i) {
        end(i % 2 == 0 ? StoreOutcome::Refused : StoreOutcome::Unanswered);
        EXPECT_TRUE(reader.isStoreUnreachable());
        await();
        longest = std::max(longest, now - last);
        last = now;
    }
    EXPECT_GE(longest, 400_ms);
    EXPECT_LE(longest, 1200_ms) << "a store that is back is noticed soon";
    end(StoreOutcome::Done, 5);
    EXPECT_FALSE(reader.isStoreUnreachable());
}

// Guards against a follower that asks for a declaration without end, as fast as the store answers.
TEST_F(StoreReaderTest, AsksForADeclarationCheaplyFirstAndNotWithoutPause)
{
    findNoSnapshot();
    await();
    end(StoreOutcome::Done, 100);
    reader.setFollower(true);
    reader.setDeclaration({5});
    reader.requestDeclaration({7});
    const StoreCall cheap = await();
    EXPECT_EQ(cheap.kind, StoreCall::Kind::Declaration);
    EXPECT_TRUE(cheap.isStaleAllowed);
    Milliseconds asked = now;
    end(StoreOutcome::Done);
    EXPECT_FALSE(await().isStaleAllowed);
    EXPECT_GE(now - asked, 100_ms);
    asked = now;
    end(StoreOutcome::Done);
    EXPECT_EQ(await().kind, StoreCall::Kind::Declaration);
    EXPECT_GE(now - asked, 100_ms);
    reader.setDeclaration({7});
    end(StoreOutcome::Done);
    reader.handleDirectoryUpdate({120}, now);
    EXPECT_FALSE(reader.next(now + 1_s)) << "peers read";
}

// Guards against a store whose link is full of lists when many instances start at once.
TEST_F(StoreReaderTest, TakesASnapshotAndTheChangesSince)
{
    EXPECT_EQ(await().kind, StoreCall::Kind::Snapshot);
    end(StoreOutcome::Done, 100);
    EXPECT_FALSE(reader.isFollowing());
    const StoreCall changes = await();
    EXPECT_EQ(changes.kind, StoreCall::Kind::Watch);
    EXPECT_EQ(changes.after, Revision{100});
    EXPECT_EQ(changes.wait, 0_ms) << "there may be none";
    end(StoreOutcome::Done, 105);
    EXPECT_TRUE(reader.isFollowing());
    EXPECT_EQ(reader.revision(), Revision{105});
}

// Guards against a first start of a large fleet in which every instance lists everything.
TEST_F(StoreReaderTest, AFewInstancesListALargeDirectoryForAll)
{
    constexpr int Instances = 320;
    int listers = 0;
    Milliseconds longest;
    for (std::uint64_t seed = 1; seed <= Instances; ++seed) {
        reader = StoreReader({1_s, 1_s}, seededRandom(seed));
        const Milliseconds begin = now;
        findNoSnapshot();
        await();
        end(StoreOutcome::Done, 100, "servers/i-5");
        StoreCall call = await();
        listers += call.kind == StoreCall::Kind::List ? 1 : 0;
        while (call.kind == StoreCall::Kind::Snapshot) {
            end(StoreOutcome::Done);
            call = await();
        }
        EXPECT_EQ(call.kind, StoreCall::Kind::List);
        EXPECT_EQ(call.pageAfter, "servers/i-5") << "what was read is not read again";
        end(StoreOutcome::Done, 120);
        EXPECT_EQ(reader.revision(), Revision{100}) << "changes since the first page are missing";
        longest = std::max(longest, now - begin);
    }
    EXPECT_LE(listers, Instances / 8);
    EXPECT_GE(listers, Instances / 40);
    EXPECT_LE(longest, 5_s) << "nobody waits for good";
}

// Guards against instances that wait for the first snapshot longer than its list takes, as those
// that listed are not those that read for all later.
TEST_F(StoreReaderTest, SavesTheFirstSnapshotAtOnce)
{
    listManyUpstreams();
    reader.setFollower(true);
    EXPECT_EQ(await().kind, StoreCall::Kind::SaveSnapshot);
}

// Guards against resets by an instance that starts with a declaration from before the snapshot.
TEST_F(StoreReaderTest, StartsWithThePresentDeclaration)
{
    await();
    end(StoreOutcome::Done, 100);
    await();
    end(StoreOutcome::Done, 105);
    reader.requestDeclaration({7});
    const StoreCall call = await();
    EXPECT_EQ(call.kind, StoreCall::Kind::Declaration);
    EXPECT_FALSE(call.isStaleAllowed);
}

// Guards against an instance that asks for a snapshot again and again that is too old.
TEST_F(StoreReaderTest, ListsWhenTheSnapshotIsTooOld)
{
    await();
    end(StoreOutcome::Done, 100);
    await();
    end(StoreOutcome::HistoryLost);
    EXPECT_EQ(await().kind, StoreCall::Kind::List);
}

// Guards against a snapshot that is too old when it is needed, and against one by each reader.
TEST_F(StoreReaderTest, SavesSnapshotsOfALargeDirectory)
{
    listManyUpstreams();
    reader.handleSnapshotSaved(now);
    const Milliseconds begin = now;
    Milliseconds saved;
    while (now - begin < 11_s) {
        if (await().kind == StoreCall::Kind::SaveSnapshot) {
            saved = now;
        }
        end(StoreOutcome::Done, 101);
    }
    EXPECT_GE(saved - begin, 8_s);
    EXPECT_LE(saved - begin, 11_s) << "platforms keep changes for 20 s";
    reader.handleSnapshotSaved(now);
    const Milliseconds other = now;
    while (now - other < 7_s) {
        EXPECT_NE(await().kind, StoreCall::Kind::SaveSnapshot) << "another one has saved it";
        end(StoreOutcome::Done, 101);
    }
}

// Guards against store calls for snapshots that nobody needs.
TEST_F(StoreReaderTest, SavesNoSnapshotOfASmallDirectory)
{
    findNoSnapshot();
    await();
    end(StoreOutcome::Done, 100);
    expectOnlyWatches();
}

// Guards against a snapshot by each instance at the moment when the directory has become large.
TEST_F(StoreReaderTest, AFollowerSavesNoSnapshotOfADirectoryThatHasGrown)
{
    findNoSnapshot();
    await();
    end(StoreOutcome::Done, 100);
    reader.setFollower(true);
    reader.setDirectorySize(3000);
    expectOnlyWatches();
}

// Guards against a snapshot by each instance.
TEST_F(StoreReaderTest, SavesNoSnapshotAsAFollower)
{
    listManyUpstreams();
    reader.setFollower(true);
    reader.handleSnapshotSaved(now);
    expectOnlyWatches();
}

// Guards against a directory that grows old because the store takes no snapshot.
TEST_F(StoreReaderTest, KeepsFollowingWhenASnapshotIsRefused)
{
    listManyUpstreams();
    EXPECT_EQ(await().kind, StoreCall::Kind::SaveSnapshot);
    end(StoreOutcome::Refused);
    EXPECT_FALSE(reader.isStoreUnreachable());
    EXPECT_EQ(await().kind, StoreCall::Kind::Watch);
}

// Guards against a second call while one is under way.
TEST_F(StoreReaderTest, MakesOneCallAtATime)
{
    await();
    EXPECT_FALSE(reader.next(now + 60_s));
}

} // namespace
} // namespace damaskhall
