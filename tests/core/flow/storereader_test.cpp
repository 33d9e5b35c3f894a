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
        end(StoreOutcome::Done, 100);
        reader.setDirectorySize(3000);
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
        reader.handleEnd(outcome, {asOf}, std::move(page), now);
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
    const StoreCall second = await();
    EXPECT_EQ(second.kind, StoreCall::Kind::List);
    EXPECT_EQ(second.pageAfter, "servers/i-5");
    end(StoreOutcome::Done, 120);
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
        EXPECT_TRUE(reader.isAway());
        await();
        longest = std::max(longest, now - last);
        last = now;
    }
    EXPECT_GE(longest, 400_ms);
    EXPECT_LE(longest, 1200_ms) << "a store that is back is noticed soon";
    end(StoreOutcome::Done, 5);
    EXPECT_FALSE(reader.isAway());
}

// Guards against a follower that asks for a declaration without end, as fast as the store answers.
TEST_F(StoreReaderTest, AsksForADeclarationCheaplyFirstAndNotWithoutPause)
{
    findNoSnapshot();
    await();
    end(StoreOutcome::Done, 100);
    reader.setFollower(true);
    reader.wantDeclaration({7});
    const StoreCall cheap = await();
    EXPECT_EQ(cheap.kind, StoreCall::Kind::Declaration);
    EXPECT_TRUE(cheap.mayBeOld);
    Milliseconds asked = now;
    end(StoreOutcome::Done);
    EXPECT_FALSE(await().mayBeOld);
    EXPECT_GE(now - asked, 100_ms);
    asked = now;
    end(StoreOutcome::Done);
    EXPECT_EQ(await().kind, StoreCall::Kind::Declaration);
    EXPECT_GE(now - asked, 100_ms);
    reader.setDeclaration({7});
    end(StoreOutcome::Done);
    reader.handleNews({120}, now);
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
    const Milliseconds begin = now;
    Milliseconds saved;
    while (now - begin < 9_s) {
        if (await().kind == StoreCall::Kind::SaveSnapshot) {
            saved = now;
        }
        end(StoreOutcome::Done, 101);
    }
    EXPECT_GE(saved - begin, 5_s);
    EXPECT_LE(saved - begin, 8_s);
    reader.handleSnapshotSaved(now);
    const Milliseconds other = now;
    while (now - other < 4_s) {
        EXPECT_NE(await().kind, StoreCall::Kind::SaveSnapshot) << "another one has saved it";
        end(StoreOutcome::Done, 101);
    }
}

// Guards against store calls for snapshots that nobody needs.
TEST_F(StoreReaderTest, SavesNoSnapshotOfASmallDirectoryOrAsAFollower)
{
    listManyUpstreams();
    reader.setFollower(true);
    for (const std::size_t size : {3000, 100}) {
        reader.setDirectorySize(size);
        const Milliseconds begin = now;
        while (now - begin < 9_s) {
            EXPECT_EQ(await().kind, StoreCall::Kind::Watch);
            end(StoreOutcome::Done, 101);
        }
        reader.setFollower(false);
    }
}

// Guards against a directory that grows old because the store takes no snapshot.
TEST_F(StoreReaderTest, KeepsFollowingWhenASnapshotIsRefused)
{
    listManyUpstreams();
    while (await().kind != StoreCall::Kind::SaveSnapshot) {
        end(StoreOutcome::Done, 101);
    }
    end(StoreOutcome::Refused);
    EXPECT_FALSE(reader.isAway());
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
