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
    FlowControlHooks makeHooks()
    {
        FlowControlHooks hooks;
        hooks.random = seededRandom(1);
        hooks.reportUpstream = [](const UpstreamRecord &, Revision) {};
        hooks.reportDeclaration = [](const RouteTable &) {};
        hooks.reportMistake = [this](const std::string &, Revision) { ++mistakes; };
        hooks.reportStore = [](bool, const std::string &) {};
        return hooks;
    }

    /// Lets the next call that is due end with @p reply.
    void reply(const StoreReply &reply)
    {
        while (!controller.nextCall(now)) {
            now += 10_ms;
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
    StoreReply page = done(10, {{{5}, makeEntry(1)}, declared(7, 3)});
    page.nextPage = "servers/i-1";
    reply(page);
    EXPECT_FALSE(controller.isUsable());
    EXPECT_EQ(controller.takeView(now), nullptr);
    reply(done(11, {{{9}, makeEntry(2)}}));
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
    reply(done(10, {declared(7, 3)}));
    reply(done(12, {declared(12, 9)}));
    EXPECT_EQ(controller.revision(), Revision{9});
    reply(done(13, {declared(13, 5)}));
    EXPECT_EQ(controller.revision(), Revision{9});
}

// Guards against a foreign or broken item that stops the reading of the others.
TEST_F(FlowControllerTest, CountsMistakesAndGoesOn)
{
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
    EXPECT_TRUE(controller.isStoreAway());
}

// Guards against an instance that doubts every lapse for good because others read for it since the
// store came back.
TEST_F(FlowControllerTest, BelievesThatTheStoreIsBackWhenPeersReadIt)
{
    reply(done(10, {{{5}, makeEntry(1)}, {{6}, makeEntry(2)}, declared(7, 3)}));
    controller.setReader(false);
    StoreReply refused;
    refused.outcome = StoreOutcome::Refused;
    reply(refused);
    ASSERT_TRUE(controller.isStoreAway());
    DirectoryNews news;
    news.from = {10};
    news.to = {12};
    news.declaration = {3};
    news.changes = {{{11}, UpstreamRemoval{makeEntry(1).key.id, {}}}};
    controller.handleNews(news, now);
    EXPECT_FALSE(controller.isStoreAway());
    EXPECT_EQ(controller.directory().record(makeEntry(1).key).standing,
              UpstreamStanding::Unconfirmed)
            << "it may have lapsed while the store was away";
    now += 2100_ms;
    controller.tick(now);
    EXPECT_EQ(controller.directory().record(makeEntry(1).key).standing, UpstreamStanding::Gone);
}

// Guards against resets of live flows: an instance that started after an address changed hands
// heard of the former holder in a peer's news and took it for the newer one.
TEST_F(FlowControllerTest, IgnoresNewsFromBeforeItsList)
{
    const UpstreamEntry former = makeEntry(1, 1000);
    UpstreamEntry holder = makeEntry(2, 2000);
    holder.endpoint = former.endpoint;
    reply(done(50, {{{40}, holder}, declared(7, 3)}));
    DirectoryNews news;
    news.from = {10};
    news.to = {60};
    news.declaration = {3};
    news.changes = {{{20}, former}, {{30}, UpstreamRemoval{former.key.id, {}}}, {{40}, holder}};
    controller.handleNews(news, now);
    EXPECT_EQ(controller.directory().record(holder.key).standing, UpstreamStanding::Ready);
    EXPECT_EQ(controller.directory().records().size(), 1U);
}

} // namespace
} // namespace damaskhall
