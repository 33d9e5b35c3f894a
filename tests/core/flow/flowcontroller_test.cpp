#include "core/flow/flowcontroller.h"

#include "support/flowfixture.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

using test::makeEntry;
using test::makeRoutes;

class FlowControllerTest : public ::testing::Test
{
protected:
    /// A small fleet has no snapshot.
    void findNoSnapshot() { reply(done(0)); }

    FlowControllerHooks makeHooks()
    {
        FlowControllerHooks hooks;
        hooks.random = seededRandom(1);
        hooks.reportUpstream = [](const UpstreamRecord &, Revision) {};
        hooks.reportDeclaration = [](const RouteTable &) {};
        hooks.reportInvalidItem = [this](const std::string &, Revision) { ++mistakes; };
        hooks.reportStore = [](bool, const std::string &) {};
        hooks.reportDirectory = [](StoreCall::Kind, std::size_t, Revision) {};
        hooks.reportSnapshot = [](StoreOutcome, const std::string &, Revision) {};
        return hooks;
    }

    /// Returns the next call that is due.
    StoreCall await()
    {
        auto call = controller.nextCall(now);
        while (!call) {
            now += 10_ms;
            call = controller.nextCall(now);
        }
        return *call;
    }

    /// Lets the next call that is due end with @p reply.
    void reply(const StoreReply &reply)
    {
        await();
        controller.handleReply(reply, now);
    }

    /// Lets the second page of a list end with @p reply, after the wait for others to list it.
    void replySecondPage(const StoreReply &reply)
    {
        while (await().kind == StoreCall::Kind::Snapshot) {
            controller.handleReply(done(0), now);
        }
        controller.handleReply(reply, now);
    }

    static StoreReply done(std::uint64_t asOf, std::vector<StoreChange> changes = {})
    {
        StoreReply reply;
        reply.outcome = StoreOutcome::Done;
        reply.asOf = {asOf};
        reply.changes = std::move(changes);
        return reply;
    }

    static StoreChange declared(std::uint64_t storeRevision, std::uint64_t version)
    {
        return {{storeRevision}, DeclaredRoutes{makeRoutes(version), {}}};
    }

    int mistakes = 0;
    Milliseconds now = 1_s;
    FlowController controller{{}, makeHooks()};
};

// Guards against a balancer that serves with half of what it must know.
TEST_F(FlowControllerTest, IsUsableWithDeclarationAndACompleteList)
{
    findNoSnapshot();
    StoreReply page = done(10, {{{5}, makeEntry(1)}, declared(7, 3)});
    page.nextPage = "servers/i-1";
    reply(page);
    EXPECT_FALSE(controller.isUsable());
    EXPECT_EQ(controller.takeView(now), nullptr);
    replySecondPage(done(11, {{{9}, makeEntry(2)}}));
    EXPECT_TRUE(controller.isUsable());
    const auto view = controller.takeView(now);
    ASSERT_NE(view, nullptr);
    EXPECT_EQ(view->candidates(test::Board).size(), 2U);
    EXPECT_TRUE(view->isCurrent());
    EXPECT_EQ(controller.takeView(now), nullptr) << "nothing changed";
}

// Guards against a declaration that returns to an older one.
TEST_F(FlowControllerTest, AppliesDeclarationsForwardOnly)
{
    findNoSnapshot();
    reply(done(10, {declared(7, 3)}));
    reply(done(12, {declared(12, 9)}));
    EXPECT_EQ(controller.revision(), Revision{9});
    reply(done(13, {declared(13, 5)}));
    EXPECT_EQ(controller.revision(), Revision{9});
}

// Guards against a foreign or broken item that stops the reading of the others.
TEST_F(FlowControllerTest, CountsMistakesAndGoesOn)
{
    findNoSnapshot();
    reply(done(10, {{{5}, UpstreamRemoval{{4}, "servers/i-4: no field born"}},
                    {{6}, DeclaredRoutes{nullptr, "op/config: not a JSON object"}},
                    {{7}, makeEntry(1)},
                    declared(8, 3)}));
    EXPECT_EQ(mistakes, 2);
    EXPECT_TRUE(controller.isUsable());
    EXPECT_EQ(controller.directory().records().size(), 1U);
}

// Guards against resets by a balancer that the store has left behind.
TEST_F(FlowControllerTest, DoubtsItsDeclarationWhenTheStoreStaysAway)
{
    findNoSnapshot();
    reply(done(10, {declared(7, 3)}));
    controller.takeView(now);
    const Milliseconds confirmed = now;
    StoreReply refused;
    refused.outcome = StoreOutcome::Refused;
    while (now - confirmed < 2500_ms) {
        reply(refused);
    }
    const auto view = controller.takeView(now);
    ASSERT_NE(view, nullptr);
    EXPECT_FALSE(view->isCurrent());
    EXPECT_TRUE(controller.isStoreUnreachable());
}

// Guards against an instance that doubts every lapse for good because others read for it since the
// store came back.
TEST_F(FlowControllerTest, BelievesThatTheStoreIsBackWhenPeersReadIt)
{
    findNoSnapshot();
    reply(done(10, {{{5}, makeEntry(1)}, {{6}, makeEntry(2)}, declared(7, 3)}));
    controller.setReader(false);
    StoreReply refused;
    refused.outcome = StoreOutcome::Refused;
    reply(refused);
    ASSERT_TRUE(controller.isStoreUnreachable());
    DirectoryUpdate update;
    update.from = {10};
    update.to = {12};
    update.declaration = {3};
    update.changes = {{{11}, UpstreamRemoval{makeEntry(1).key.id, {}}}};
    controller.handleDirectoryUpdate(update, now);
    EXPECT_FALSE(controller.isStoreUnreachable());
    EXPECT_EQ(controller.directory().record(makeEntry(1).key).health, UpstreamHealth::Unconfirmed)
            << "it may have lapsed while the store was away";
    now += 2100_ms;
    controller.tick(now);
    EXPECT_EQ(controller.directory().record(makeEntry(1).key).health, UpstreamHealth::Gone);
}

// Guards against resets of live flows: an instance that started after an address changed hands
// heard of the former holder in a peer's update and took it for the newer one.
TEST_F(FlowControllerTest, IgnoresNewsFromBeforeItsList)
{
    findNoSnapshot();
    const UpstreamEntry former = makeEntry(1, 1000);
    UpstreamEntry holder = makeEntry(2, 2000);
    holder.endpoint = former.endpoint;
    reply(done(50, {{{40}, holder}, declared(7, 3)}));
    DirectoryUpdate update;
    update.from = {10};
    update.to = {60};
    update.declaration = {3};
    update.changes = {{{20}, former}, {{30}, UpstreamRemoval{former.key.id, {}}}, {{40}, holder}};
    controller.handleDirectoryUpdate(update, now);
    EXPECT_EQ(controller.directory().record(holder.key).health, UpstreamHealth::Ready);
    EXPECT_EQ(controller.directory().records().size(), 1U);
}

// Guards against new flows to an upstream that has begun to leave since the snapshot.
TEST_F(FlowControllerTest, IsUsableAfterTheChangesSinceTheSnapshot)
{
    StoreReply snapshot = done(0);
    snapshot.snapshot = DirectoryUpdate();
    snapshot.snapshot->to = {50};
    snapshot.snapshot->declaration = {3};
    snapshot.snapshot->changes = {{{20}, makeEntry(1)}, {{30}, makeEntry(2)}};
    reply(snapshot);
    EXPECT_FALSE(controller.isUsable());
    UpstreamEntry leaving = makeEntry(2);
    leaving.isLeaving = true;
    reply(done(60, {{{55}, leaving}}));
    EXPECT_FALSE(controller.isUsable()) << "no declaration yet";
    reply(done(60, {declared(7, 3)}));
    ASSERT_TRUE(controller.isUsable());
    const auto view = controller.takeView(now);
    ASSERT_NE(view, nullptr);
    EXPECT_EQ(view->candidates(test::Board).size(), 1U);
    EXPECT_NE(view->find(leaving.key), nullptr) << "it keeps its flows";
}

// Guards against upstreams of an old snapshot that live on in a directory that was listed.
TEST_F(FlowControllerTest, TrustsTheListMoreThanAnOldSnapshot)
{
    StoreReply snapshot = done(0);
    snapshot.snapshot = DirectoryUpdate();
    snapshot.snapshot->to = {50};
    snapshot.snapshot->changes = {{{20}, makeEntry(1)}, {{30}, makeEntry(2)}};
    reply(snapshot);
    StoreReply lost;
    lost.outcome = StoreOutcome::HistoryLost;
    reply(lost);
    EXPECT_FALSE(controller.isUsable());
    reply(done(90, {{{30}, makeEntry(2)}, declared(7, 3)}));
    ASSERT_TRUE(controller.isUsable());
    EXPECT_EQ(controller.takeView(now)->candidates(test::Board).size(), 1U);
}

// Guards against a snapshot that lacks what an instance needs to start with.
TEST_F(FlowControllerTest, SavesASnapshotThatAnotherInstanceStartsWith)
{
    constexpr std::uint64_t Upstreams = 600;
    findNoSnapshot();
    std::vector<StoreChange> items;
    for (std::uint64_t id = 1; id <= Upstreams; ++id) {
        items.push_back({{100 + id}, makeEntry(id)});
    }
    StoreReply first = done(1000, {declared(7, 3), {{1}, makeEntry(9000)}});
    first.nextPage = "servers/i-0";
    reply(first);
    items.push_back({{900}, UpstreamRemoval{makeEntry(9000).key.id, {}}});
    replySecondPage(done(1001, items));
    const StoreCall call = await();
    ASSERT_EQ(call.kind, StoreCall::Kind::SaveSnapshot);
    ASSERT_NE(call.snapshot, nullptr);
    EXPECT_EQ(call.snapshot->changes.size(), Upstreams) << "without the one that was removed";
    EXPECT_EQ(call.snapshot->to, Revision{1000});

    FlowController other{{}, makeHooks()};
    other.nextCall(now);
    StoreReply snapshot = done(0);
    snapshot.snapshot = *call.snapshot;
    other.handleReply(snapshot, now);
    other.nextCall(now);
    other.handleReply(done(1001), now);
    other.nextCall(now);
    other.handleReply(done(1001, {declared(7, 3)}), now);
    ASSERT_TRUE(other.isUsable());
    EXPECT_EQ(other.takeView(now)->candidates(test::Board).size(), Upstreams);
}

// Guards against a fleet without a snapshot because its upstreams registered after the balancers
// had listed an empty store.
TEST_F(FlowControllerTest, SavesASnapshotOfADirectoryThatHasGrown)
{
    findNoSnapshot();
    reply(done(10, {declared(7, 3)}));
    std::vector<StoreChange> items;
    for (std::uint64_t id = 1; id <= 600; ++id) {
        items.push_back({{100 + id}, makeEntry(id)});
    }
    reply(done(1000, items));
    const Milliseconds begin = now;
    while (await().kind != StoreCall::Kind::SaveSnapshot) {
        controller.handleReply(done(1000), now);
        ASSERT_LT(now - begin, 12_s);
    }
}

// Guards against a broken snapshot that keeps instances from starting.
TEST_F(FlowControllerTest, ListsIfTheSnapshotCannotBeRead)
{
    StoreReply broken = done(0);
    broken.detail = "not base64";
    reply(broken);
    EXPECT_EQ(mistakes, 1);
    reply(done(10, {{{5}, makeEntry(1)}, declared(7, 3)}));
    EXPECT_TRUE(controller.isUsable());
}

} // namespace
} // namespace damaskhall
