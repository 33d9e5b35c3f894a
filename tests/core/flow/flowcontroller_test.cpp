#include "core/flow/flowcontroller.h"

#include "support/flowfixture.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

using test::makeEntry;
using test::makeRoutes;

constexpr Endpoint Peer{0x0a000002, 8166};

class FlowControllerTest : public ::testing::Test
{
protected:
    /// Answers the first call like the store of a small fleet, which has no snapshot.
    void replyWithoutSnapshot() { reply(done(0)); }

    FlowControllerHooks makeHooks()
    {
        FlowControllerHooks hooks;
        hooks.random = seededRandom(1);
        hooks.reportUpstream = [this](const UpstreamRecord &, StoreRevision) {
            ++reportedUpstreams;
        };
        hooks.reportDeclaration = [](const RouteTable &) {};
        hooks.reportInvalidItem = [this](const std::string &, StoreRevision) { ++invalidItems; };
        hooks.reportStore = [](bool, const std::string &) {};
        hooks.reportStoreEra = [this](StoreRevision, StoreRevision) { ++reportedEras; };
        hooks.reportDirectory = [](StoreCall::Kind, std::size_t, StoreRevision) {};
        hooks.reportSnapshot = [](StoreOutcome, const std::string &, StoreRevision) {};
        hooks.reportEvacuation = [](DataCentreId, bool, StoreRevision) {};
        return hooks;
    }

    /// Advances the time to the next call that is due and returns it.
    StoreCall awaitCall()
    {
        auto call = controller.nextCall(now);
        while (!call) {
            now += 10_ms;
            call = controller.nextCall(now);
        }
        return *call;
    }

    /// Completes the next call that is due with @p reply.
    void reply(const StoreReply &reply)
    {
        awaitCall();
        controller.handleReply(reply, now);
    }

    /// Completes the call for the second page of a list with @p reply, after the wait for a
    /// snapshot by another instance.
    void replySecondPage(const StoreReply &reply)
    {
        while (awaitCall().kind == StoreCall::Kind::Snapshot) {
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

    /// Returns @p reply with all its revisions in @p era.
    static StoreReply inEra(StoreEra era, StoreReply reply)
    {
        reply.asOf.era = era;
        for (StoreChange &change : reply.changes) {
            change.revision.era = era;
        }
        return reply;
    }

    static StoreChange declared(std::uint64_t storeRevision, std::uint64_t version)
    {
        return {{storeRevision}, DeclaredRoutes{makeRoutes(version), {}}};
    }

    int invalidItems = 0;
    int reportedUpstreams = 0;
    int reportedEras = 0;
    Milliseconds now = 1_s;
    FlowController controller{{}, makeHooks()};
};

// Guards against a balancer that serves with incomplete control state.
TEST_F(FlowControllerTest, IsUsableWithDeclarationAndACompleteList)
{
    replyWithoutSnapshot();
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

// Guards against new flows at a leaving upstream and on a removed route, because the changes that
// say so are too many for one response.
TEST_F(FlowControllerTest, LearnsByAListWhatIsTooLargeForAWatch)
{
    replyWithoutSnapshot();
    reply(done(10, {{{5}, makeEntry(1)}, {{6}, makeEntry(2)}, declared(7, 3)}));
    StoreReply tooLarge;
    tooLarge.outcome = StoreOutcome::Oversized;
    reply(tooLarge);
    UpstreamEntry leaving = makeEntry(1);
    leaving.isLeaving = true;
    StoreReply first = done(60, {declared(58, 4)});
    first.nextPage = "servers/i-0";
    reply(first);
    const Milliseconds listed = now;
    reply(done(60, {{{57}, leaving}, {{6}, makeEntry(2)}}));
    EXPECT_EQ(now, listed) << "a reader lists without waiting for others";
    const auto view = controller.takeView(now);
    ASSERT_NE(view, nullptr);
    EXPECT_EQ(view->routes().revision, Revision{4});
    ASSERT_EQ(view->candidates(test::Board).size(), 1U);
    EXPECT_EQ(view->upstreams()[view->candidates(test::Board)[0]].entry.key, makeEntry(2).key);
    const auto updates = controller.takeDirectoryUpdates(now);
    ASSERT_FALSE(updates.empty()) << "for the peers";
    EXPECT_EQ(updates.back().declaration, Revision{4});
}

// Guards against a declaration that is never applied because it was left out of a large response.
TEST_F(FlowControllerTest, ReadsADeclarationThatWasLeftOut)
{
    replyWithoutSnapshot();
    StoreReply list = done(10, {{{5}, makeEntry(1)}});
    list.isDeclarationLeftOut = true;
    reply(list);
    EXPECT_FALSE(controller.isUsable());
    const StoreCall read = awaitCall();
    EXPECT_EQ(read.kind, StoreCall::Kind::Declaration);
    EXPECT_FALSE(read.isStaleAllowed);
    controller.handleReply(done(11, {declared(7, 3)}), now);
    EXPECT_TRUE(controller.isUsable());
}

// Guards against a log line for each upstream of a large fleet at each start.
TEST_F(FlowControllerTest, ReportsTheFirstListAsAWhole)
{
    replyWithoutSnapshot();
    reply(done(10, {{{5}, makeEntry(1)}, {{6}, makeEntry(2)}, declared(7, 3)}));
    EXPECT_EQ(reportedUpstreams, 0);
    reply(done(12, {{{12}, makeEntry(3)}}));
    EXPECT_EQ(reportedUpstreams, 1);
}

// Guards against a restored store that leaves no trace in the log.
TEST_F(FlowControllerTest, ReportsOnceThatTheStoreWasRestored)
{
    reply(inEra({1}, done(0)));
    reply(inEra({1}, done(10)));
    EXPECT_EQ(reportedEras, 0) << "the first era";
    reply(inEra({2}, done(8)));
    reply(inEra({2}, done(0)));
    reply(inEra({2}, done(9)));
    EXPECT_EQ(reportedEras, 1);
}

// Guards against an unknown part of a declaration that nobody notices, or that is reported with
// each reading.
TEST_F(FlowControllerTest, ReportsAnUnknownPartOfADeclarationOnce)
{
    replyWithoutSnapshot();
    const DeclaredRoutes partial{makeRoutes(3), "op/config: route 'r' has the unknown kind 'x'"};
    reply(done(10, {{{7}, partial}}));
    EXPECT_EQ(controller.revision(), Revision{3});
    EXPECT_EQ(invalidItems, 1);
    reply(done(12, {{{7}, partial}}));
    EXPECT_EQ(invalidItems, 1);
}

// Guards against an older declaration that replaces a newer one.
TEST_F(FlowControllerTest, AppliesOnlyNewerDeclarations)
{
    replyWithoutSnapshot();
    reply(done(10, {declared(7, 3)}));
    reply(done(12, {declared(12, 9)}));
    EXPECT_EQ(controller.revision(), Revision{9});
    reply(done(13, {declared(13, 5)}));
    EXPECT_EQ(controller.revision(), Revision{9});
}

// Guards against a foreign or invalid item that prevents the others from being read.
TEST_F(FlowControllerTest, ReportsInvalidItemsAndAppliesTheOthers)
{
    replyWithoutSnapshot();
    reply(done(10, {{{5}, UpstreamRemoval{{4}, "servers/i-4: no field born"}},
                    {{6}, DeclaredRoutes{nullptr, "op/config: not a JSON object"}},
                    {{7}, makeEntry(1)},
                    declared(8, 3)}));
    EXPECT_EQ(invalidItems, 2);
    EXPECT_TRUE(controller.isUsable());
    EXPECT_EQ(controller.directory().records().size(), 1U);
}

// Guards against a flow that is reset because its route is missing in a declaration which is not
// the current one: only a read that began later proves that it is.
TEST_F(FlowControllerTest, ConfirmsTheDeclarationByAReadOfItsOwn)
{
    replyWithoutSnapshot();
    reply(done(10, {declared(7, 3)}));
    ASSERT_TRUE(controller.takeDeclarationState());
    now += 100_ms;
    const Milliseconds requested = now;
    controller.requestCurrentDeclaration(now);
    const StoreCall call = awaitCall();
    EXPECT_EQ(call.kind, StoreCall::Kind::Declaration);
    EXPECT_EQ(call.reason, StoreCall::Reason::RouteMissing);
    EXPECT_FALSE(call.isStaleAllowed);
    EXPECT_EQ(now, requested) << "the flow is waiting";
    now += 50_ms;
    controller.handleReply(done(12, {declared(7, 3)}), now);
    const auto state = controller.takeDeclarationState();
    ASSERT_TRUE(state);
    EXPECT_EQ(*state, (DeclarationState{{3}, {3}, requested}));
    EXPECT_FALSE(controller.takeDeclarationState()) << "nothing changed";
}

// Guards against a stale read, a failed one or an unreadable declaration that counts as proof.
TEST_F(FlowControllerTest, ConfirmsTheDeclarationOnlyByACurrentReadableOne)
{
    replyWithoutSnapshot();
    reply(done(10, {declared(7, 3)}));
    DirectoryUpdate update;
    update.from = {10};
    update.to = {12};
    update.declaration = {4};
    controller.handleDirectoryUpdate(update, Peer, now);
    EXPECT_EQ(controller.takeDeclarationState()->newest, Revision{4});
    EXPECT_TRUE(awaitCall().isStaleAllowed);
    controller.handleReply(done(12, {declared(7, 3)}), now);
    EXPECT_FALSE(controller.takeDeclarationState());

    controller.requestCurrentDeclaration(now);
    awaitCall();
    controller.handleReply({}, now);
    EXPECT_FALSE(controller.takeDeclarationState());
    EXPECT_EQ(awaitCall().kind, StoreCall::Kind::Declaration) << "tried again";
    controller.handleReply(done(13, {{{13}, DeclaredRoutes{nullptr, "unknown kind"}}}), now);
    EXPECT_FALSE(controller.takeDeclarationState());
}

// Guards against resets based on an outdated declaration while the store is unreachable.
TEST_F(FlowControllerTest, ViewIsNotCurrentWhileTheStoreIsUnreachable)
{
    replyWithoutSnapshot();
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

// Guards against an instance that treats every expired entry as unconfirmed for good because only
// its peers have read the store since it recovered.
TEST_F(FlowControllerTest, StoreIsReachableWhenPeersReadIt)
{
    replyWithoutSnapshot();
    reply(done(10, {{{5}, makeEntry(1)}, {{6}, makeEntry(2)}, declared(7, 3)}));
    controller.setReader(false, 1);
    StoreReply refused;
    refused.outcome = StoreOutcome::Refused;
    reply(refused);
    ASSERT_TRUE(controller.isStoreUnreachable());
    DirectoryUpdate update;
    update.from = {10};
    update.to = {12};
    update.declaration = {3};
    update.changes = {{{11}, UpstreamRemoval{makeEntry(1).key.id, {}}}};
    controller.handleDirectoryUpdate(update, Peer, now);
    EXPECT_FALSE(controller.isStoreUnreachable());
    EXPECT_EQ(controller.directory().record(makeEntry(1).key).health, UpstreamHealth::Unconfirmed)
            << "it may have expired while the store was unreachable";
    now += 2100_ms;
    controller.tick(now);
    EXPECT_EQ(controller.directory().record(makeEntry(1).key).health, UpstreamHealth::Gone);
}

// Guards against resets of live flows: an instance that started after an address changed its owner
// received the former owner in a peer's update and treated it as the newer one.
TEST_F(FlowControllerTest, IgnoresChangesOlderThanItsList)
{
    replyWithoutSnapshot();
    const UpstreamEntry former = makeEntry(1, 1000);
    UpstreamEntry owner = makeEntry(2, 2000);
    owner.endpoint = former.endpoint;
    reply(done(50, {{{40}, owner}, declared(7, 3)}));
    DirectoryUpdate update;
    update.from = {10};
    update.to = {60};
    update.declaration = {3};
    update.changes = {{{20}, former}, {{30}, UpstreamRemoval{former.key.id, {}}}, {{40}, owner}};
    controller.handleDirectoryUpdate(update, Peer, now);
    EXPECT_EQ(controller.directory().record(owner.key).health, UpstreamHealth::Ready);
    EXPECT_EQ(controller.directory().records().size(), 1U);
}

// Guards against resets of live flows because an entry of another program names the address of an
// upstream.
TEST_F(FlowControllerTest, IgnoresEntriesOfServicesThatNoDeclarationNames)
{
    replyWithoutSnapshot();
    UpstreamEntry foreign = makeEntry(2, 2000);
    foreign.endpoint = makeEntry(1).endpoint;
    foreign.service = ServiceId{99};
    reply(done(50, {{{40}, makeEntry(1)}, {{41}, foreign}, declared(42, 3)}));
    EXPECT_EQ(controller.directory().record(makeEntry(1).key).health, UpstreamHealth::Ready);
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

// Guards against upstreams of an old snapshot that remain in the directory after it was listed.
TEST_F(FlowControllerTest, ListReplacesAnOldSnapshot)
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

// Guards against a snapshot that lacks data that another instance needs to start.
TEST_F(FlowControllerTest, SavesASnapshotThatAnotherInstanceStartsWith)
{
    constexpr std::uint64_t Upstreams = 600;
    replyWithoutSnapshot();
    std::vector<StoreChange> items;
    for (std::uint64_t id = 1; id <= Upstreams; ++id) {
        items.push_back({{100 + id}, makeEntry(id)});
    }
    StoreReply first = done(1000, {declared(7, 3), {{1}, makeEntry(9000)}});
    first.nextPage = "servers/i-0";
    reply(first);
    items.push_back({{900}, UpstreamRemoval{makeEntry(9000).key.id, {}}});
    replySecondPage(done(1001, items));
    const StoreCall call = awaitCall();
    ASSERT_EQ(call.kind, StoreCall::Kind::SaveSnapshot);
    ASSERT_NE(call.snapshot, nullptr);
    EXPECT_EQ(call.snapshot->changes.size(), Upstreams) << "without the one that was removed";
    EXPECT_EQ(call.snapshot->to, StoreRevision{1000});

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
    replyWithoutSnapshot();
    reply(done(10, {declared(7, 3)}));
    std::vector<StoreChange> items;
    for (std::uint64_t id = 1; id <= 600; ++id) {
        items.push_back({{100 + id}, makeEntry(id)});
    }
    reply(done(1000, items));
    const Milliseconds begin = now;
    while (awaitCall().kind != StoreCall::Kind::SaveSnapshot) {
        controller.handleReply(done(1000), now);
        ASSERT_LT(now - begin, 12_s);
    }
}

// Guards against an invalid snapshot that prevents instances from starting.
TEST_F(FlowControllerTest, ListsIfTheSnapshotCannotBeRead)
{
    StoreReply broken = done(0);
    broken.detail = "not base64";
    reply(broken);
    EXPECT_EQ(invalidItems, 1);
    reply(done(10, {{{5}, makeEntry(1)}, declared(7, 3)}));
    EXPECT_TRUE(controller.isUsable());
}

// An instance that has read the store in its first era.
class FlowControllerEra : public FlowControllerTest
{
protected:
    void SetUp() override
    {
        reply(inEra({1}, done(0)));
        reply(inEra({1}, done(100, {{{40}, makeEntry(1)}, {{90}, makeEntry(2)}, declared(50, 3)})));
    }

    /// Answers the calls with which the directory is read again in the second era.
    void readAgain(StoreReply list)
    {
        reply(inEra({2}, done(70)));
        reply(inEra({2}, done(0)));
        reply(inEra({2}, std::move(list)));
    }

    UpstreamHealth health(const UpstreamEntry &entry) const
    {
        return controller.directory().record(entry.key).health;
    }

    static DirectoryUpdate updateOfEra(StoreEra era, std::uint64_t from, std::uint64_t to)
    {
        DirectoryUpdate update;
        update.from = {from, era};
        update.to = {to, era};
        update.declaration = {3};
        return update;
    }
};

// Guards against a list that is ignored because its revisions are lower than those of before.
TEST_F(FlowControllerEra, ListsCountWhateverTheRevisionsOfBefore)
{
    readAgain(done(75, {{{40}, makeEntry(1)}, declared(72, 4)}));
    EXPECT_EQ(controller.revision(), Revision{4});
    EXPECT_EQ(health(makeEntry(2)), UpstreamHealth::Unconfirmed) << "it may be written again";
    reply(inEra({2}, done(80, {{{78}, makeEntry(2)}, {{79}, UpstreamRemoval{{1}, {}}}})));
    EXPECT_EQ(health(makeEntry(2)), UpstreamHealth::Ready);
    EXPECT_EQ(health(makeEntry(1)), UpstreamHealth::Unconfirmed);
    now += 2100_ms;
    controller.tick(now);
    EXPECT_EQ(health(makeEntry(1)), UpstreamHealth::Gone);
}

// Guards against new flows at a leaving upstream while the store does not serve this instance.
TEST_F(FlowControllerEra, ChangesFromPeersOfANewOneHoldAtOnce)
{
    controller.setReader(false, 1);
    awaitCall();
    DirectoryUpdate update = updateOfEra({2}, 60, 75);
    UpstreamEntry leaving = makeEntry(1);
    leaving.isLeaving = true;
    update.changes = {{{74, {2}}, leaving}};
    controller.handleDirectoryUpdate(update, Peer, now);
    EXPECT_EQ(health(makeEntry(1)), UpstreamHealth::Leaving);
    controller.handleReply(inEra({1}, done(101)), now);
    const Milliseconds reported = now;
    controller.handleDirectoryUpdate(update, Peer, now);
    EXPECT_EQ(awaitCall().reason, StoreCall::Reason::NewEra);
    EXPECT_EQ(now, reported);
    EXPECT_TRUE(controller.answerChangesRequest({{100, {1}}}, now).front().changes.empty())
            << "peers of the first era get changes of that one only";
}

// Guards against new flows at a leaving upstream while a large directory is read again.
TEST_F(FlowControllerEra, ChangesFromPeersHoldWhileTheDirectoryIsReadAgain)
{
    reply(inEra({2}, done(70)));
    awaitCall();
    DirectoryUpdate update = updateOfEra({2}, 60, 75);
    UpstreamEntry leaving = makeEntry(1);
    leaving.isLeaving = true;
    update.changes = {{{74, {2}}, leaving}};
    controller.handleDirectoryUpdate(update, Peer, now);
    EXPECT_EQ(health(makeEntry(1)), UpstreamHealth::Leaving);
    controller.handleReply(inEra({2}, done(0)), now);
    reply(inEra({2}, done(73, {{{40}, makeEntry(1)}})));
    EXPECT_EQ(health(makeEntry(1)), UpstreamHealth::Leaving) << "its list is older";
}

// Guards against changes that the peers of a reader miss for good: one that another peer reports
// before the reader's list, which is older, is no news to the reader in its next watch.
TEST_F(FlowControllerEra, ChangesReportedBeforeTheListAreDistributed)
{
    reply(inEra({2}, done(70)));
    reply(inEra({2}, done(0)));
    awaitCall();
    DirectoryUpdate update = updateOfEra({2}, 60, 75);
    UpstreamEntry leaving = makeEntry(1);
    leaving.isLeaving = true;
    update.changes = {{{74, {2}}, leaving}};
    controller.handleDirectoryUpdate(update, Peer, now);
    controller.handleReply(inEra({2}, done(73, {{{40}, makeEntry(1)}})), now);
    controller.takeDirectoryUpdates(now);
    reply(inEra({2}, done(76, {{{74}, leaving}})));
    const std::vector<DirectoryUpdate> updates = controller.takeDirectoryUpdates(now);
    ASSERT_EQ(updates.size(), 1U);
    EXPECT_EQ(updates.front().to, (StoreRevision{76, {2}}));
    EXPECT_EQ(updates.front().changes.size(), 1U);
    EXPECT_EQ(controller.answerChangesRequest({{73, {2}}}, now).front().changes.size(), 1U);
}

// Guards against new flows at a leaving upstream at the peers of a reader: they may know only the
// copy, while the reader knew before the restoration what the upstream writes again.
TEST_F(FlowControllerEra, WhatIsWrittenAgainIsDistributed)
{
    UpstreamEntry leaving = makeEntry(1);
    leaving.isLeaving = true;
    reply(inEra({1}, done(110, {{{105}, leaving}})));
    readAgain(done(75, {{{40}, makeEntry(1)}}));
    controller.takeDirectoryUpdates(now);
    reply(inEra({2}, done(80, {{{78}, leaving}})));
    const std::vector<DirectoryUpdate> updates = controller.takeDirectoryUpdates(now);
    ASSERT_EQ(updates.size(), 1U);
    EXPECT_EQ(updates.front().changes.size(), 1U);
}

// Guards against requests to peers for changes of an earlier era, which nobody needs any more.
TEST_F(FlowControllerEra, MissingChangesOfAnEarlierOneAreNotRequested)
{
    controller.setReader(false, 1);
    controller.handleDirectoryUpdate(updateOfEra({1}, 150, 200), Peer, now);
    EXPECT_TRUE(controller.takeChangesRequest(now));
    controller.handleDirectoryUpdate(updateOfEra({2}, 60, 72), Peer, now);
    readAgain(done(75, {{{40}, makeEntry(1)}, declared(50, 3)}));
    now += 10_s;
    EXPECT_FALSE(controller.takeChangesRequest(now));
}

// Guards against updates of peers that have not noticed yet.
TEST_F(FlowControllerEra, UpdatesOfAnEarlierOneAreIgnored)
{
    readAgain(done(75, {{{40}, makeEntry(1)}, {{71}, makeEntry(2)}, declared(50, 3)}));
    DirectoryUpdate update = updateOfEra({1}, 50, 200);
    update.changes = {{{150, {1}}, UpstreamRemoval{{2}, {}}}};
    controller.handleDirectoryUpdate(update, Peer, now);
    EXPECT_EQ(health(makeEntry(2)), UpstreamHealth::Ready);
}

// Guards against a start from a snapshot whose revision the store has assigned again since.
TEST_F(FlowControllerEra, SnapshotsOfAnEarlierOneAreNotUsed)
{
    reply(inEra({2}, done(120)));
    StoreReply snapshot = inEra({2}, done(0));
    snapshot.snapshot = updateOfEra({1}, 0, 110);
    snapshot.snapshot->changes = {{{105, {1}}, makeEntry(3)}};
    reply(snapshot);
    EXPECT_EQ(awaitCall().kind, StoreCall::Kind::List);
    EXPECT_EQ(controller.directory().records().size(), 2U);
}

// Guards against refusals and resets on the word of a copy: what it lacks may have been
// acknowledged and is written again.
TEST_F(FlowControllerEra, WhatACopyLacksIsNotCertainForAWhile)
{
    controller.takeView(now);
    controller.takeDeclarationState();
    readAgain(done(75, {{{40}, makeEntry(1)}, declared(50, 3)}));
    EXPECT_FALSE(controller.takeView(now)->isCurrent());
    controller.requestCurrentDeclaration(now);
    while (awaitCall().kind != StoreCall::Kind::Declaration) {
        controller.handleReply(inEra({2}, done(76)), now);
    }
    controller.handleReply(inEra({2}, done(76, {declared(50, 3)})), now);
    EXPECT_FALSE(controller.takeDeclarationState()) << "not confirmed";
    now += 2100_ms;
    reply(inEra({2}, done(80)));
    EXPECT_TRUE(controller.takeView(now)->isCurrent());
    controller.requestCurrentDeclaration(now);
    while (awaitCall().kind != StoreCall::Kind::Declaration) {
        controller.handleReply(inEra({2}, done(81)), now);
    }
    controller.handleReply(inEra({2}, done(81, {declared(50, 3)})), now);
    EXPECT_EQ(controller.takeDeclarationState()->confirmed, Revision{3});
}

} // namespace
} // namespace damaskhall
