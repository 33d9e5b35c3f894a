#include "core/flow/changelog.h"

#include "core/flow/gaprecovery.h"
#include "support/flowfixture.h"
#include "wire/directoryupdatecodec.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

using test::makeEntry;

class ChangeLogTest : public ::testing::Test
{
protected:
    void record(std::uint64_t from, std::uint64_t to)
    {
        for (std::uint64_t revision = from; revision <= to; ++revision) {
            log.record({{revision}, makeEntry(revision)});
        }
    }

    static std::size_t countChanges(const std::vector<DirectoryUpdate> &updates)
    {
        std::size_t count = 0;
        for (const DirectoryUpdate &update : updates) {
            count += update.changes.size();
        }
        return count;
    }

    ChangeLog log;
};

// Guards against a gap or a repetition between the parts of many changes.
TEST_F(ChangeLogTest, SplitsManyChangesIntoConsecutiveUpdates)
{
    log.restart({10});
    record(11, 110);
    const auto updates = log.updatesSince({20}, {200});
    EXPECT_EQ(countChanges(updates), 90U);
    EXPECT_EQ(updates.front().from, StoreRevision{20});
    EXPECT_EQ(updates.back().to, StoreRevision{200});
    for (std::size_t i = 1; i < updates.size(); ++i) {
        EXPECT_EQ(updates[i].from, updates[i - 1].to);
        EXPECT_GT(updates[i].changes.front().revision, updates[i].from);
    }
    for (const DirectoryUpdate &update : updates) {
        EXPECT_LE(encodeDirectoryUpdate(update).size(), 1200U);
    }
}

// Guards against a peer that takes half of the removals of a list for all of them.
TEST_F(ChangeLogTest, KeepsChangesOfOneRevisionTogether)
{
    log.restart({10});
    record(11, 20);
    for (std::uint64_t id = 1; id <= 40; ++id) {
        log.record({{50}, UpstreamRemoval{UpstreamId{id}, {}}});
    }
    record(51, 52);
    const auto updates = log.updatesSince({10}, {60});
    EXPECT_EQ(countChanges(updates), 52U);
    for (std::size_t i = 1; i < updates.size(); ++i) {
        EXPECT_GT(updates[i].changes.front().revision, updates[i - 1].changes.back().revision);
    }
    const DirectoryUpdate latest = log.latest({60});
    EXPECT_EQ(latest.changes.size(), 2U) << "not a part of revision 50";
    EXPECT_EQ(latest.from, StoreRevision{50});
}

// Guards against changes of a list, which are not in the order of their revisions, that are missing
// in an update that claims to contain them.
TEST_F(ChangeLogTest, OrdersChangesByRevision)
{
    log.restart({10});
    log.record({{30}, makeEntry(1)});
    log.record({{20}, makeEntry(2)});
    const auto updates = log.updatesSince({25}, {40});
    ASSERT_EQ(countChanges(updates), 1U);
    EXPECT_EQ(updates.front().changes.front().revision, StoreRevision{30});
}

// Guards against a log that grows without limit, or claims to reach back further than it does.
TEST_F(ChangeLogTest, DropsTheOldestChanges)
{
    log.restart({10});
    record(11, 5000);
    EXPECT_GT(log.start(), StoreRevision{3000});
    EXPECT_EQ(countChanges(log.updatesSince(log.start(), {5000})), 5000 - log.start().value);
}

// Guards against an instance without missing changes that keeps asking for them.
TEST_F(ChangeLogTest, ConfirmsARevisionWithoutChanges)
{
    log.restart({10});
    const auto updates = log.updatesSince({10}, {20});
    ASSERT_EQ(updates.size(), 1U);
    EXPECT_EQ(updates.front().from, StoreRevision{10});
    EXPECT_EQ(updates.front().to, StoreRevision{20});
    EXPECT_TRUE(updates.front().changes.empty());
}

constexpr Endpoint Sender{0x0a000001, 8166};

// Guards against an instance that waits forever for peers that lack the same changes.
TEST(GapRecoveryTest, AsksTheSenderThenOthersThenTheStore)
{
    GapRecovery gap;
    Milliseconds now = 1_s;
    EXPECT_EQ(gap.next(now), GapRecovery::Step::Wait);
    gap.open({50}, Sender, 300_ms, now);
    EXPECT_EQ(gap.next(now), GapRecovery::Step::AskSender);
    EXPECT_EQ(gap.sender(), Sender);
    EXPECT_EQ(gap.next(now), GapRecovery::Step::Wait) << "the answer needs time";
    std::vector<GapRecovery::Step> steps;
    Milliseconds lastStep;
    for (; now < 2_s; now += 10_ms) {
        const GapRecovery::Step step = gap.next(now);
        if (step != GapRecovery::Step::Wait) {
            steps.push_back(step);
            lastStep = now;
        }
    }
    EXPECT_EQ(steps, (std::vector{GapRecovery::Step::AskAnyMember, GapRecovery::Step::ReadStore}));
    EXPECT_GE(lastStep, 1700_ms) << "two timeouts and the delay of the read";
    EXPECT_LE(lastStep, 1710_ms);
}

// Guards against requests for changes that have arrived.
TEST(GapRecoveryTest, EndsWhenTheChangesAreKnown)
{
    GapRecovery gap;
    gap.open({50}, Sender, 0_ms, 1_s);
    gap.handleKnown({40});
    EXPECT_TRUE(gap.isOpen());
    gap.handleKnown({50});
    EXPECT_EQ(gap.next(2_s), GapRecovery::Step::Wait);
}

// Guards against changes that peers never get: they were known before the list that restarts the
// log, and a watch from its revision returns them as nothing new.
TEST_F(ChangeLogTest, KeepsChangesAfterTheRevisionOfARestart)
{
    log.restart({10});
    record(11, 14);
    log.restart({12});
    EXPECT_EQ(log.start(), StoreRevision{12});
    const auto updates = log.updatesSince({12}, {20});
    ASSERT_EQ(countChanges(updates), 2U);
    EXPECT_EQ(updates.front().changes.front().revision, StoreRevision{13});
}

// Guards against changes of a later era in an update that is complete up to an earlier one.
TEST_F(ChangeLogTest, LeavesOutChangesAfterTheEndOfAnUpdate)
{
    log.restart({10, {1}});
    log.record({{11, {1}}, makeEntry(1)});
    log.record({{5, {2}}, makeEntry(2)});
    const DirectoryUpdate latest = log.latest({12, {1}});
    ASSERT_EQ(latest.changes.size(), 1U);
    EXPECT_EQ(latest.changes.front().revision, (StoreRevision{11, {1}}));
    EXPECT_EQ(countChanges(log.updatesSince({10, {1}}, {12, {1}})), 1U);
}

} // namespace
} // namespace damaskhall
