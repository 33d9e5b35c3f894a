#include "core/flow/flowrouter.h"

#include "support/flowfixture.h"

#include <gtest/gtest.h>
#include <map>

namespace damaskhall {
namespace {

using test::FlowRouterFixture;
using test::makeDataPacket;
using test::makeEntry;
using test::makeOpeningPacket;
using test::makeRoutes;

constexpr FlowCookie NoFlowCookie{};

// Flows from their opening to their end, with packets that arrive at any balancer.
class FlowLifecycle : public ::testing::Test
{
protected:
    FlowRouterFixture fixture;
};

// Guards against packets that are lost because a balancer has just started.
TEST_F(FlowLifecycle, HoldsPacketsBeforeAnythingIsKnown)
{
    EXPECT_EQ(fixture.send(makeOpeningPacket(1)).action, FlowAction::Hold);
    EXPECT_EQ(fixture.send(makeDataPacket(2, FlowCookie{7}, 0)).action, FlowAction::Hold);
}

// Guards against flows that break when their packets move to another balancer.
TEST_F(FlowLifecycle, AnyBalancerFindsTheUpstreamByTheCookie)
{
    const std::vector<UpstreamEntry> entries = {makeEntry(1), makeEntry(2), makeEntry(3)};
    fixture.publish(entries);
    const FlowDecision placed = fixture.open(1);
    ASSERT_EQ(placed.action, FlowAction::Forward);

    FlowRouterFixture other(2);
    other.publish(entries);
    const FlowDecision recovered = other.send(makeDataPacket(1, placed.cookie, 100));
    EXPECT_EQ(recovered.reason, FlowReason::Recovered);
    EXPECT_EQ(recovered.upstream, placed.upstream);
    EXPECT_EQ(recovered.cookie, placed.cookie);
}

// Guards against flows that break while their upstream leaves or its entry expires.
TEST_F(FlowLifecycle, KeepsOpenFlowsWhereTheyAre)
{
    fixture.publish({makeEntry(1)});
    const FlowDecision placed = fixture.open(1);
    for (const auto health :
         {UpstreamHealth::Leaving, UpstreamHealth::Unconfirmed, UpstreamHealth::Gone}) {
        fixture.publish({makeEntry(1)}, health);
        const FlowDecision next = fixture.send(makeDataPacket(1, placed.cookie, 10));
        EXPECT_EQ(next.action, FlowAction::Forward);
        EXPECT_EQ(next.upstream, placed.upstream);
    }
}

// Guards against a client that waits for an upstream that is known not to hold its flow.
TEST_F(FlowLifecycle, ResetsFlowsOfAReplacedUpstream)
{
    UpstreamEntry successor = makeEntry(2, 2000);
    successor.endpoint = makeEntry(1).endpoint;
    fixture.publish({makeEntry(1)});
    const FlowDecision placed = fixture.open(1);
    fixture.publishRecords(
            {{makeEntry(1), UpstreamHealth::Replaced, {}}, {successor, UpstreamHealth::Ready, {}}});
    const FlowDecision known = fixture.send(makeDataPacket(1, placed.cookie, 10));
    EXPECT_EQ(known.action, FlowAction::Reset);
    EXPECT_EQ(known.reason, FlowReason::UpstreamReplaced);
    EXPECT_EQ(fixture.send(makeDataPacket(1, placed.cookie, 10)).action, FlowAction::Reset)
            << "also on a balancer that does not know the flow";
}

// An upstream that starts again under the id that it had.
class FlowRestartedUpstream : public ::testing::Test
{
protected:
    FlowRestartedUpstream() { restarted.endpoint = {0x0a020001, 8000}; }

    /// This balancer reads the entry of the new incarnation.
    void readNewEntry(FlowRouterFixture &balancer) const
    {
        balancer.publishRecords({{makeEntry(1), UpstreamHealth::Replaced, {}},
                                 {restarted, UpstreamHealth::Ready, {}},
                                 {makeEntry(2), UpstreamHealth::Ready, {}}});
    }

    FlowRouterFixture fixture;
    /// The second incarnation.
    UpstreamEntry restarted = makeEntry(1, 2000);
};

// Guards against the reset of a flow that the new incarnation holds: it was opened after the
// restart, by a balancer that had not read the new entry.
TEST_F(FlowRestartedUpstream, ReceivesFlowsOpenedBeforeItsEntryWasRead)
{
    fixture.publish({makeEntry(1)});
    const FlowDecision placed = fixture.open(1);
    readNewEntry(fixture);
    const FlowDecision known = fixture.send(makeDataPacket(1, placed.cookie, 10));
    EXPECT_EQ(known.action, FlowAction::Forward);
    EXPECT_EQ(known.reason, FlowReason::UpstreamRestarted);
    EXPECT_EQ(known.upstream, restarted.key);
    EXPECT_EQ(known.endpoint, restarted.endpoint);
    EXPECT_EQ(fixture.send(makeDataPacket(1, known.cookie, 10, 1011)).reason,
              FlowReason::Established);
}

// Guards against a client that waits until its timeout because the upstream has ended again.
TEST_F(FlowRestartedUpstream, IsProbedIfItDoesNotAnswer)
{
    fixture.publish({makeEntry(1)});
    const FlowDecision placed = fixture.open(1);
    readNewEntry(fixture);
    fixture.send(makeDataPacket(1, placed.cookie, 10));
    fixture.now += 200_ms;
    fixture.send(makeDataPacket(1, placed.cookie, 10));
    ASSERT_EQ(fixture.probed.size(), 1U);
    EXPECT_EQ(fixture.probed[0], restarted.key);
}

// Guards against a silent loss of the same flow at a balancer that started after the restart and
// never knew the earlier incarnation.
TEST_F(FlowRestartedUpstream, ReceivesItsFlowsThroughABalancerThatStartedLater)
{
    fixture.publish({makeEntry(1)});
    const FlowDecision placed = fixture.open(1);
    FlowRouterFixture other(2);
    other.publish({restarted, makeEntry(2)});
    const FlowDecision recovered = other.send(makeDataPacket(1, placed.cookie, 10));
    EXPECT_EQ(recovered.action, FlowAction::Forward);
    EXPECT_EQ(recovered.upstream, restarted.key);
}

// Guards against flows that break when the entry of the new incarnation expires or announces that
// it is leaving.
TEST_F(FlowRestartedUpstream, KeepsItsFlowsInEveryStateButReplaced)
{
    for (const auto health :
         {UpstreamHealth::Leaving, UpstreamHealth::Unconfirmed, UpstreamHealth::Gone}) {
        fixture.publish({makeEntry(1)});
        const FlowDecision placed = fixture.open(1);
        fixture.publishRecords(
                {{makeEntry(1), UpstreamHealth::Replaced, {}}, {restarted, health, {}}});
        EXPECT_EQ(fixture.send(makeDataPacket(1, placed.cookie, 10)).action, FlowAction::Forward);
    }
    fixture.publish({makeEntry(1), restarted}, UpstreamHealth::Replaced);
    EXPECT_EQ(fixture.send(makeDataPacket(1, flowCookie(restarted.key.id, test::BoardRoute), 10))
                      .reason,
              FlowReason::UpstreamReplaced);
}

// Guards against two upstreams that both answer one client: the first opening packet may have
// reached the new incarnation.
TEST_F(FlowRestartedUpstream, ReceivesTheCopiesOfAnOpeningPacket)
{
    fixture.publish({makeEntry(1)});
    fixture.send(makeOpeningPacket(1));
    readNewEntry(fixture);
    fixture.now += 20_ms;
    const FlowDecision copy = fixture.send(makeOpeningPacket(1, 1));
    EXPECT_EQ(copy.reason, FlowReason::OpeningRepeated);
    EXPECT_EQ(copy.upstream, restarted.key);
}

// Guards against an opening packet that reaches a service to which its route does not lead.
TEST_F(FlowRestartedUpstream, ReceivesNoCopiesIfItsServiceHasChanged)
{
    fixture.publish({makeEntry(1)});
    fixture.send(makeOpeningPacket(1));
    restarted.service = test::Desk;
    readNewEntry(fixture);
    fixture.now += 20_ms;
    EXPECT_EQ(fixture.send(makeOpeningPacket(1, 1)).upstream, makeEntry(2).key);
}

// Guards against a second flow at the new incarnation, caused by a late copy of an opening packet.
TEST_F(FlowRestartedUpstream, ReceivesNoCopiesOfAFlowThatIsOpen)
{
    fixture.publish({makeEntry(1)});
    fixture.open(1);
    readNewEntry(fixture);
    EXPECT_EQ(fixture.send(makeOpeningPacket(1, 1)).action, FlowAction::Drop);
}

// Guards against resets of flows only because they are not in this balancer's flow table.
TEST_F(FlowLifecycle, DropsPacketsOfUnknownFlows)
{
    fixture.publish({makeEntry(1)});
    EXPECT_EQ(fixture.send(makeDataPacket(1, FlowCookie{0x1234}, 10)).reason,
              FlowReason::UnknownCookie);
    EXPECT_EQ(fixture.send(makeDataPacket(1, NoFlowCookie, 10)).reason, FlowReason::NoCookie);
    for (const FlowReason reason : fixture.reasons) {
        EXPECT_NE(reason, FlowReason::NoRoute);
    }
}

// Guards against a flow that is split between two upstreams that both answered its opening packet
// and a retransmission of it.
TEST_F(FlowLifecycle, PinsTheUpstreamThatTheClientAccepted)
{
    const std::vector<UpstreamEntry> entries = {makeEntry(1), makeEntry(2)};
    fixture.publish(entries);
    const FlowDecision placed = fixture.send(makeOpeningPacket(1));
    const UpstreamKey other = placed.upstream == entries[0].key ? entries[1].key : entries[0].key;
    const FlowCookie accepted = flowCookie(other.id, test::BoardRoute);
    EXPECT_EQ(fixture.send(makeDataPacket(1, accepted, 0)).upstream, other);
    // The late answer of the first upstream changed the cookie that the client returns.
    const FlowDecision next = fixture.send(makeDataPacket(1, placed.cookie, 10));
    EXPECT_EQ(next.upstream, other);
    EXPECT_EQ(next.cookie, accepted) << "both ends receive the right cookie again";
}

// Guards against a cookie of one route that gives access to another route's service.
TEST(FlowCookies, DependOnTheRoute)
{
    const UpstreamId key = makeEntry(1).key.id;
    EXPECT_NE(flowCookie(key, test::BoardRoute), flowCookie(key, test::DeskRoute));
    FlowRouterFixture fixture;
    fixture.publish({makeEntry(1)});
    FlowPacket packet = makeDataPacket(1, flowCookie(key, test::BoardRoute), 10);
    packet.key.route = test::DeskRoute;
    EXPECT_EQ(fixture.send(packet).reason, FlowReason::UnknownCookie);
}

// Guards against flows that break while the balancers are upgraded: earlier versions wrote cookies
// that depend on the incarnation.
TEST(FlowCookies, OfEarlierVersionsAreFound)
{
    // Of the first incarnation of upstream 1 for flows of the board route.
    constexpr FlowCookie Previous{0xa536d649};
    FlowRouterFixture fixture;
    fixture.publish({makeEntry(1), makeEntry(2)});
    const FlowDecision decision = fixture.send(makeDataPacket(1, Previous, 10));
    EXPECT_EQ(decision.upstream, makeEntry(1).key);
    EXPECT_EQ(decision.cookie, flowCookie(makeEntry(1).key.id, test::BoardRoute));
}

// Entries of other programs, of a service that is not declared, whose keys end in the same number
// as that of a live upstream.
class FlowEntryOfTheSameNumber : public ::testing::Test
{
protected:
    FlowEntryOfTheSameNumber()
    {
        m_live.key.id.keyHash = 1;
        // Sorted before, and after, the live upstream.
        for (const std::uint32_t keyHash : {0U, 9U}) {
            UpstreamEntry entry = makeEntry(1, 2000);
            entry.key.id.keyHash = keyHash;
            entry.service = ServiceId{99};
            entry.endpoint = makeEntry(50 + keyHash).endpoint;
            m_others.push_back(entry);
        }
    }

    void publishAll(FlowRouterFixture &balancer, UpstreamHealth health) const
    {
        balancer.publishRecords({{m_live, health, {}},
                                 {m_others[0], UpstreamHealth::Ready, {}},
                                 {m_others[1], UpstreamHealth::Ready, {}}});
    }

    UpstreamEntry m_live = makeEntry(1);
    std::vector<UpstreamEntry> m_others;
    FlowRouterFixture fixture;
};

// Guards against open flows that go to the address in the entry of another program, at balancers
// that know the flow and at others, and in every state of the upstream but replaced.
TEST_F(FlowEntryOfTheSameNumber, TakesNoFlowFromTheUpstream)
{
    fixture.publish({m_live});
    const FlowDecision placed = fixture.open(1);
    ASSERT_EQ(placed.upstream, m_live.key);
    for (const auto health : {UpstreamHealth::Ready, UpstreamHealth::Unconfirmed,
                              UpstreamHealth::Leaving, UpstreamHealth::Gone}) {
        publishAll(fixture, health);
        EXPECT_EQ(fixture.send(makeDataPacket(1, placed.cookie, 10)).endpoint, m_live.endpoint);
        FlowRouterFixture other(2);
        publishAll(other, health);
        EXPECT_EQ(other.send(makeDataPacket(1, placed.cookie, 10)).endpoint, m_live.endpoint);
    }
}

// Flows that a balancer resets, and flows that it must not reset.
class FlowRefusals : public ::testing::Test
{
protected:
    FlowRefusals() { packet.key.route = {0xc61200ff, 80}; }

    FlowRouterFixture fixture;
    FlowPacket packet = makeOpeningPacket(1);
};

// Guards against clients that wait for a route that does not exist.
TEST_F(FlowRefusals, ResetsFlowsToUndeclaredRoutes)
{
    fixture.publish({makeEntry(1)});
    EXPECT_EQ(fixture.send(packet).action, FlowAction::Reset);
}

// Guards against a reset for a new route by a balancer whose declaration is outdated.
TEST_F(FlowRefusals, DropsPacketsWhileTheDeclarationIsUnconfirmed)
{
    fixture.publish({makeEntry(1)}, UpstreamHealth::Ready, false);
    EXPECT_EQ(fixture.send(packet).action, FlowAction::Drop);
}

// Guards against requests that wait although no upstream can serve them.
TEST_F(FlowRefusals, ResetsFlowsThatNoUpstreamCanServe)
{
    fixture.publish({makeEntry(1)}, UpstreamHealth::Leaving);
    const FlowDecision decision = fixture.send(makeOpeningPacket(2));
    EXPECT_EQ(decision.action, FlowAction::Reset);
    EXPECT_EQ(decision.reason, FlowReason::NoUpstream);
    fixture.publish({makeEntry(1)}, UpstreamHealth::Leaving, false);
    EXPECT_EQ(fixture.send(makeOpeningPacket(3)).reason, FlowReason::NoUpstreamUnconfirmed);
}

// Guards against flows that continue after their route was removed.
TEST_F(FlowRefusals, EndsTheFlowsOfARemovedRoute)
{
    fixture.publish({makeEntry(1)});
    const FlowDecision placed = fixture.open(4);
    auto routes = std::make_shared<RouteTable>(*fixture.routes);
    routes->routes.erase(test::BoardRoute);
    fixture.routes = routes;
    fixture.publish({makeEntry(1)});
    EXPECT_EQ(fixture.send(makeDataPacket(4, placed.cookie, 10)).reason, FlowReason::RouteRemoved);
}

// Open flows of a route that was added by a declaration which this balancer has not read yet, or
// that was removed before this balancer started.
class FlowMissingRoute : public ::testing::Test
{
protected:
    FlowMissingRoute()
    {
        FlowRouterFixture opener(2);
        opener.publish({makeEntry(1)});
        m_cookie = opener.open(1).cookie;
        auto routes = std::make_shared<RouteTable>(*fixture.routes);
        routes->routes.erase(test::BoardRoute);
        fixture.routes = routes;
        fixture.publish({makeEntry(1)});
    }

    /// The flow that another balancer opened moves to this one, or sends its next request here.
    FlowDecision sendRequest()
    {
        m_sequence += 10;
        return fixture.send(makeDataPacket(1, m_cookie, 10, m_sequence));
    }

    /// A read of the declaration that began at @p begin has returned @p revision.
    void confirm(std::uint64_t revision, Milliseconds begin)
    {
        fixture.router.handleDeclarationState({{revision}, {revision}, begin});
    }

    FlowRouterFixture fixture;

private:
    FlowCookie m_cookie;
    std::uint32_t m_sequence = 1001;
};

// Guards against the reset of a live flow by a balancer that has not read the declaration under
// which another one opened it.
TEST_F(FlowMissingRoute, ContinuesByItsCookie)
{
    EXPECT_EQ(sendRequest().reason, FlowReason::Recovered);
    fixture.now += 1_s;
    EXPECT_EQ(sendRequest().reason, FlowReason::Established);
    EXPECT_EQ(fixture.confirmationRequests, 2);
}

// Guards against the reset of a live flow on the word of a restored store that has lost the
// declaration with its route, although a peer knows that one.
TEST_F(FlowMissingRoute, ContinuesWhileANewerDeclarationIsKnownToExist)
{
    EXPECT_EQ(sendRequest().reason, FlowReason::Recovered);
    fixture.now += 1_s;
    fixture.router.handleDeclarationState({{7}, {1}, fixture.now});
    EXPECT_EQ(sendRequest().reason, FlowReason::Established);
    confirm(1, fixture.now);
    EXPECT_EQ(sendRequest().reason, FlowReason::RouteRemoved) << "no newer one exists";
}

// Guards against a declaration that is taken for the current one although it was read, or
// confirmed, before the flow came.
TEST_F(FlowMissingRoute, ContinuesIfTheDeclarationWasConfirmedBefore)
{
    confirm(1, fixture.now);
    EXPECT_EQ(sendRequest().action, FlowAction::Forward);
    fixture.now += 1_s;
    EXPECT_EQ(sendRequest().action, FlowAction::Forward);
    confirm(2, fixture.now);
    EXPECT_EQ(sendRequest().action, FlowAction::Forward) << "revision 2 is not in force yet";
}

// Guards against flows that outlive their route on a balancer that never knew the route.
TEST_F(FlowMissingRoute, EndsOnceTheRouteIsKnownToBeRemoved)
{
    EXPECT_EQ(sendRequest().action, FlowAction::Forward);
    confirm(1, fixture.now + 1_ms);
    const FlowDecision decision = sendRequest();
    EXPECT_EQ(decision.action, FlowAction::Reset);
    EXPECT_EQ(decision.reason, FlowReason::RouteRemoved);
    EXPECT_EQ(fixture.router.flowCount(), 0U);
}

// Guards against a read of the store for each packet of such flows.
TEST_F(FlowMissingRoute, RequestsAReadAtALimitedRate)
{
    for (int i = 0; i < 100; ++i) {
        sendRequest();
        fixture.now += 10_ms;
    }
    EXPECT_EQ(fixture.confirmationRequests, 2) << "one each half second";
}

// Guards against the refusal of a flow to a new route, whose opening packet a copy will follow.
TEST_F(FlowMissingRoute, IsNotRefusedWhileANewerDeclarationIsKnownToExist)
{
    fixture.router.handleDeclarationState({{2}, {}, {}});
    const FlowDecision decision = fixture.send(makeOpeningPacket(2));
    EXPECT_EQ(decision.action, FlowAction::Drop);
    EXPECT_EQ(decision.reason, FlowReason::NoRouteUnconfirmed);
}

// Guards against the reset of an open flow by a late copy of its opening packet.
TEST_F(FlowMissingRoute, IsNotResetByALateCopyOfItsOpeningPacket)
{
    sendRequest();
    EXPECT_EQ(fixture.send(makeOpeningPacket(1, 1)).action, FlowAction::Drop);
    EXPECT_EQ(sendRequest().action, FlowAction::Forward);
}

// Requests on open flows whose upstream has stopped responding.
class FlowUnreachableUpstream : public ::testing::Test
{
protected:
    FlowUnreachableUpstream()
    {
        fixture.publish({makeEntry(1)});
        flow = fixture.open(1);
        fixture.now += 1_s;
        fixture.send(makeDataPacket(1, flow.cookie, 100));
    }

    /// The client retransmits its request.
    FlowDecision retransmit(Milliseconds after)
    {
        fixture.now += after;
        return fixture.send(makeDataPacket(1, flow.cookie, 100));
    }

    /// Opens a flow at another upstream, which proves that it responds.
    void answerFromAnotherUpstream()
    {
        fixture.publish({makeEntry(1), makeEntry(2)});
        ASSERT_NE(fixture.open(m_port++).upstream, flow.upstream);
    }

    /// Lets the two attempts fail after which an upstream is unreachable, while the attempt to
    /// another upstream succeeds; returns the resets.
    std::vector<FlowPacket> failProbes()
    {
        answerFromAnotherUpstream();
        fixture.now += 147_ms;
        EXPECT_TRUE(fixture.router.handleProbe(flow.upstream, false, fixture.now).empty());
        EXPECT_EQ(fixture.probed.back(), makeEntry(2).key);
        EXPECT_TRUE(fixture.router.handleProbe(makeEntry(2).key, true, fixture.now).empty());
        fixture.now += 150_ms;
        return fixture.router.handleProbe(flow.upstream, false, fixture.now);
    }

    FlowRouterFixture fixture;
    FlowDecision flow;

private:
    std::uint16_t m_port = 100;
};

// Guards against a live flow that is reset because a single packet was lost.
TEST_F(FlowUnreachableUpstream, ProbesBeforeItResetsAFlow)
{
    EXPECT_TRUE(fixture.probed.empty());
    EXPECT_EQ(retransmit(200_ms).action, FlowAction::Forward);
    ASSERT_EQ(fixture.probed.size(), 1U);
    EXPECT_TRUE(fixture.router.handleProbe(flow.upstream, true, fixture.now + 2_ms).empty());
    EXPECT_EQ(retransmit(400_ms).action, FlowAction::Forward);
}

// Guards against a client that waits for a dead upstream until its timeout.
TEST_F(FlowUnreachableUpstream, ResetsIdempotentRequestsOfAnUnreachableUpstream)
{
    retransmit(200_ms);
    const auto resets = failProbes();
    EXPECT_EQ(fixture.probed,
              (std::vector<UpstreamKey>{flow.upstream, flow.upstream, makeEntry(2).key}));
    ASSERT_EQ(resets.size(), 1U);
    EXPECT_EQ(resets[0].key, makeOpeningPacket(1).key);
    EXPECT_EQ(resets[0].acknowledgment, 5000U) << "the client accepts a reset near its window";
}

// Guards against a reset that is sent while an answer is on its way.
TEST_F(FlowUnreachableUpstream, KeepsTheFlowIfTheUpstreamResponded)
{
    retransmit(200_ms);
    fixture.now += 20_ms;
    fixture.send(makeDataPacket(1, flow.cookie, 0, 1101, 6000));
    fixture.send(makeDataPacket(1, flow.cookie, 100, 1101, 6000));
    EXPECT_TRUE(failProbes().empty());
    EXPECT_EQ(retransmit(400_ms).action, FlowAction::Forward);
}

// Guards against the reset of a live flow because a connection attempt was queued behind other
// packets on a busy link of 10 Mbit/s.
TEST_F(FlowUnreachableUpstream, KeepsTheFlowIfTheSecondAttemptSucceeds)
{
    retransmit(200_ms);
    fixture.now += 150_ms;
    EXPECT_TRUE(fixture.router.handleProbe(flow.upstream, false, fixture.now).empty());
    ASSERT_EQ(fixture.probed.size(), 2U);
    answerFromAnotherUpstream();
    EXPECT_TRUE(fixture.router.handleProbe(flow.upstream, true, fixture.now + 20_ms).empty());
    EXPECT_EQ(retransmit(400_ms).action, FlowAction::Forward);
}

// Guards against an instance that is itself disconnected and considers all upstreams unreachable.
TEST_F(FlowUnreachableUpstream, KeepsTheFlowIfNoOtherUpstreamResponds)
{
    retransmit(200_ms);
    for (int i = 0; i < 2; ++i) {
        fixture.now += 150_ms;
        EXPECT_TRUE(fixture.router.handleProbe(flow.upstream, false, fixture.now).empty());
    }
    EXPECT_EQ(fixture.withheld, std::vector{WithheldReason::NoReference});
    EXPECT_EQ(retransmit(400_ms).action, FlowAction::Forward);
}

// Guards against the reset of live flows on an instance whose own link is full: its attempts fail
// for upstreams that work, although responses to packets that left earlier still arrive.
TEST_F(FlowUnreachableUpstream, KeepsTheFlowIfAttemptsToWorkingUpstreamsFailToo)
{
    retransmit(200_ms);
    answerFromAnotherUpstream();
    fixture.now += 147_ms;
    EXPECT_TRUE(fixture.router.handleProbe(flow.upstream, false, fixture.now).empty());
    fixture.now += 150_ms;
    EXPECT_TRUE(fixture.router.handleProbe(flow.upstream, false, fixture.now).empty());
    answerFromAnotherUpstream();
    EXPECT_TRUE(fixture.router.handleProbe(makeEntry(2).key, false, fixture.now).empty());
    EXPECT_EQ(fixture.withheld, std::vector{WithheldReason::ReferenceFailed});
    EXPECT_EQ(retransmit(400_ms).action, FlowAction::Forward);
}

// Guards against the reset of live flows on an instance whose processor is full.
TEST_F(FlowUnreachableUpstream, KeepsTheFlowIfOwnTimersAreLate)
{
    fixture.router.tick(fixture.now);
    retransmit(200_ms);
    // Due 100 ms after the first one.
    fixture.router.tick(fixture.now);
    EXPECT_TRUE(failProbes().empty());
    EXPECT_EQ(fixture.withheld, std::vector{WithheldReason::OwnDelay});
}

// Guards against the reset of a non-idempotent request that its upstream may have run.
TEST_F(FlowUnreachableUpstream, NeverResetsNonIdempotentRequests)
{
    auto routes = std::make_shared<RouteTable>(*fixture.routes);
    routes->routes[test::BoardRoute].kind = RouteKind::NonIdempotent;
    fixture.routes = routes;
    fixture.publish({makeEntry(1)});
    retransmit(200_ms);
    EXPECT_TRUE(failProbes().empty());
    EXPECT_EQ(retransmit(400_ms).action, FlowAction::Forward);
}

// Guards against each client of a dead upstream having to wait for a new probe.
TEST_F(FlowUnreachableUpstream, ResetsFurtherRequestsAtOnceWhileTheProbeResultIsValid)
{
    const FlowDecision second = fixture.open(2);
    const FlowDecision third = fixture.open(3);
    fixture.now += 100_ms;
    fixture.send(makeDataPacket(1, flow.cookie, 100, 1101));
    retransmit(200_ms);
    EXPECT_FALSE(failProbes().empty());
    fixture.now += 500_ms;
    EXPECT_EQ(fixture.send(makeDataPacket(2, second.cookie, 100)).reason,
              FlowReason::UpstreamUnreachable);
    fixture.now += 1_s;
    EXPECT_EQ(fixture.send(makeDataPacket(3, third.cookie, 100)).action, FlowAction::Forward)
            << "an expired result needs a new probe";
}

// Guards against a decision that is based on a flow after its removal: a client's own reset is
// forwarded, so that the upstream removes the flow too.
TEST_F(FlowUnreachableUpstream, ForwardsTheResetOfAClient)
{
    const FlowDecision second = fixture.open(2);
    fixture.now += 100_ms;
    fixture.send(makeDataPacket(1, flow.cookie, 100, 1101));
    retransmit(200_ms);
    EXPECT_FALSE(failProbes().empty());
    FlowPacket reset = makeDataPacket(2, second.cookie, 100);
    reset.isReset = true;
    EXPECT_EQ(fixture.send(reset).action, FlowAction::Forward);
}

// Guards against answer times of many seconds when a flow returns from another balancer.
TEST_F(FlowUnreachableUpstream, IgnoresAnswersAfterTheRouteTimeout)
{
    fixture.now += 1499_ms;
    fixture.send(makeDataPacket(1, flow.cookie, 0, 1101, 6000));
    EXPECT_EQ(fixture.answers.size(), 1U);
    fixture.send(makeDataPacket(1, flow.cookie, 100, 1101, 6000));
    fixture.now += 1501_ms;
    fixture.send(makeDataPacket(1, flow.cookie, 0, 1201, 7000));
    EXPECT_EQ(fixture.answers.size(), 1U);
}

// Guards against uploads that fill a link on which short requests wait, and against short requests
// and open uploads that are held up by it.
TEST(FlowLinkBacklog, DefersUploadsOnly)
{
    FlowRouterFixture fixture;
    UpstreamEntry desk = makeEntry(2);
    desk.service = test::Desk;
    fixture.publish({makeEntry(1), desk});
    FlowPacket upload = makeOpeningPacket(1);
    upload.key.route = test::DeskRoute;
    EXPECT_EQ(fixture.send(upload).action, FlowAction::Forward);
    fixture.router.setLinkBacklog(101_ms);
    {
        SCOPED_TRACE("a copy of an opening packet that was forwarded before");
        upload.copy = 1;
        EXPECT_EQ(fixture.send(upload).action, FlowAction::Forward);
    }
    upload.key.client.port = 2;
    const FlowDecision deferred = fixture.send(upload);
    EXPECT_EQ(deferred.action, FlowAction::Drop) << "the client sends a copy";
    EXPECT_EQ(deferred.reason, FlowReason::LinkBacklog);
    EXPECT_EQ(fixture.send(makeOpeningPacket(3)).action, FlowAction::Forward);
    fixture.router.setLinkBacklog(100_ms);
    upload.copy = 1;
    EXPECT_EQ(fixture.send(upload).action, FlowAction::Forward);
}

// Retransmissions of an opening packet.
class FlowOpeningRetransmission : public ::testing::Test
{
protected:
    FlowRouterFixture fixture;
};

// Guards against two upstreams that both answer one client.
TEST_F(FlowOpeningRetransmission, FollowTheFirstWhileItsUpstreamResponds)
{
    fixture.publish({makeEntry(1), makeEntry(2)});
    const FlowDecision first = fixture.send(makeOpeningPacket(1));
    // Another flow proves that the upstream answers.
    fixture.now += 10_ms;
    FlowDecision proof;
    for (std::uint16_t port = 10; proof.upstream != first.upstream; ++port) {
        proof = fixture.open(port);
    }
    fixture.now += 150_ms;
    const FlowDecision copy = fixture.send(makeOpeningPacket(1, 1));
    EXPECT_EQ(copy.reason, FlowReason::OpeningRepeated);
    EXPECT_EQ(copy.upstream, first.upstream);
}

// Guards against a client that retries at a dead upstream until it gives up.
TEST_F(FlowOpeningRetransmission, MoveAwayFromASilentUpstream)
{
    fixture.publish({makeEntry(1), makeEntry(2)});
    const FlowDecision first = fixture.send(makeOpeningPacket(1));
    fixture.now += 200_ms;
    const FlowDecision copy = fixture.send(makeOpeningPacket(1, 1));
    EXPECT_EQ(copy.reason, FlowReason::OpeningMoved);
    EXPECT_NE(copy.upstream, first.upstream);
}

// Guards against a late retransmission that reaches an upstream after its leaving limit.
TEST_F(FlowOpeningRetransmission, MoveAwayFromALeavingUpstream)
{
    fixture.publish({makeEntry(1)});
    fixture.send(makeOpeningPacket(1));
    fixture.publishRecords({{makeEntry(1), UpstreamHealth::Leaving, {}},
                            {makeEntry(2), UpstreamHealth::Ready, {}}});
    fixture.now += 20_ms;
    EXPECT_EQ(fixture.send(makeOpeningPacket(1, 1)).upstream, makeEntry(2).key);
}

// Guards against a second upstream for an open flow, caused by a late retransmission.
TEST_F(FlowOpeningRetransmission, AreDroppedOnceTheFlowIsOpenAtALeavingUpstream)
{
    fixture.publish({makeEntry(1)});
    const FlowDecision first = fixture.open(1);
    fixture.publishRecords({{makeEntry(1), UpstreamHealth::Leaving, {}},
                            {makeEntry(2), UpstreamHealth::Ready, {}}});
    EXPECT_EQ(fixture.send(makeOpeningPacket(1, 1)).action, FlowAction::Drop);
    EXPECT_EQ(fixture.send(makeDataPacket(1, first.cookie, 10)).upstream, first.upstream);
}

// A client that uses its port again for a new flow, while this balancer still has the record of the
// flow before.
class FlowReusedPort : public ::testing::Test
{
protected:
    static constexpr std::uint16_t Port = 1;
    static constexpr std::uint32_t NewSequence = 0x9a3c0021;

    FlowReusedPort()
    {
        m_desk = makeEntry(9);
        m_desk.service = test::Desk;
        publishAll();
    }

    void publishAll(UpstreamHealth firstHealth = UpstreamHealth::Ready)
    {
        fixture.publishRecords({{makeEntry(1), firstHealth, {}},
                                {makeEntry(2), UpstreamHealth::Ready, {}},
                                {m_desk, UpstreamHealth::Ready, {}}});
    }

    /// Opens a flow at upstream 1.
    FlowDecision openAtFirst()
    {
        fixture.publish({makeEntry(1)});
        const FlowDecision decision = fixture.open(Port);
        publishAll();
        return decision;
    }

    /// Declares that the board's route leads to the desk.
    void redirectRoute()
    {
        auto routes = std::make_shared<RouteTable>(*fixture.routes);
        routes->routes[test::BoardRoute].shares = {{test::Desk, 1}};
        ++routes->revision.value;
        fixture.routes = routes;
        publishAll();
    }

    static FlowPacket newOpening(std::uint32_t copy = 0)
    {
        FlowPacket packet = makeOpeningPacket(Port, copy);
        packet.sequence = NewSequence;
        return packet;
    }

    UpstreamEntry m_desk;
    FlowRouterFixture fixture;
};

// Guards against a new flow that is taken for a retransmission and opened at the upstream of the
// flow before, although its route leads to another service meanwhile.
TEST_F(FlowReusedPort, OpensWhereTheDeclarationSendsIt)
{
    for (const bool isClosed : {false, true}) {
        const FlowDecision first = openAtFirst();
        if (isClosed) {
            FlowPacket closing = makeDataPacket(Port, first.cookie, 0);
            closing.isClosing = true;
            fixture.send(closing);
        }
        redirectRoute();
        const FlowDecision next = fixture.send(newOpening());
        EXPECT_EQ(next.reason, FlowReason::Placed);
        EXPECT_EQ(next.upstream, m_desk.key);
        fixture.routes = makeRoutes(fixture.routes->revision.value + 1);
        fixture.now += 20_s;
        fixture.router.tick(fixture.now);
    }
}

// Guards against the same fault at a balancer that did not see how the flow before began.
TEST_F(FlowReusedPort, OpensWhereTheDeclarationSendsItAfterARecoveredFlow)
{
    const FlowCookie cookie = flowCookie(makeEntry(1).key.id, test::BoardRoute);
    ASSERT_EQ(fixture.send(makeDataPacket(Port, cookie, 10)).reason, FlowReason::Recovered);
    redirectRoute();
    EXPECT_EQ(fixture.send(newOpening()).upstream, m_desk.key);
}

// Guards against new flows at a leaving upstream, and against clients whose new flows are never
// answered because the one before was there.
TEST_F(FlowReusedPort, OpensElsewhereIfTheUpstreamOfTheFlowBeforeIsLeaving)
{
    openAtFirst();
    publishAll(UpstreamHealth::Leaving);
    const FlowDecision next = fixture.send(newOpening());
    EXPECT_EQ(next.action, FlowAction::Forward);
    EXPECT_EQ(next.upstream, makeEntry(2).key);
}

// Guards against a new flow that ends with the route of the flow before, although a newer
// declaration, which this balancer has not read yet, may have the route again.
TEST_F(FlowReusedPort, IsNotResetForARouteThatANewerDeclarationMayHave)
{
    openAtFirst();
    auto routes = std::make_shared<RouteTable>(*fixture.routes);
    routes->routes.erase(test::BoardRoute);
    fixture.routes = routes;
    publishAll();
    fixture.router.handleDeclarationState({{9}, {}, {}});
    const FlowDecision next = fixture.send(newOpening());
    EXPECT_EQ(next.action, FlowAction::Drop);
    EXPECT_EQ(next.reason, FlowReason::NoRouteUnconfirmed);
}

// Guards against two upstreams that both answer one client: copies of the new opening packet, and
// late ones of the flow before.
TEST_F(FlowReusedPort, TellsCopiesOfAnOpeningPacketFromNewFlows)
{
    const FlowDecision first = openAtFirst();
    EXPECT_EQ(fixture.send(makeOpeningPacket(Port, 1)).reason, FlowReason::OpeningRepeated);
    EXPECT_EQ(fixture.send(makeDataPacket(Port, first.cookie, 10)).upstream, first.upstream);

    const FlowDecision next = fixture.send(newOpening());
    EXPECT_EQ(next.reason, FlowReason::Placed);
    fixture.now += 3_ms;
    fixture.send(makeDataPacket(Port, next.cookie, 0, NewSequence + 1));
    const FlowDecision copy = fixture.send(newOpening(1));
    EXPECT_EQ(copy.reason, FlowReason::OpeningRepeated);
    EXPECT_EQ(copy.upstream, next.upstream);
}

// Guards against the reset of an open flow: another balancer opened it while the routers sent this
// client's packets there, and this one sent them to the upstream of the flow before.
TEST_F(FlowReusedPort, ContinuesByItsCookieWhereTheFlowBeforeIsStillRecorded)
{
    openAtFirst();
    fixture.now += 5_s;
    const FlowCookie cookie = flowCookie(makeEntry(2).key.id, test::BoardRoute);
    const FlowDecision moved =
            fixture.send(makeDataPacket(Port, cookie, 10, NewSequence, 0x70000000));
    EXPECT_EQ(moved.upstream, makeEntry(2).key);
    EXPECT_EQ(moved.reason, FlowReason::Recovered);
    const FlowDecision known =
            fixture.send(makeDataPacket(Port, cookie, 10, NewSequence + 10, 0x70000100));
    EXPECT_EQ(known.upstream, makeEntry(2).key);
    EXPECT_EQ(known.reason, FlowReason::Established) << "the new flow is recorded";
    EXPECT_EQ(fixture.router.flowCount(), 1U);
}

// Guards against the same fault if only one of the numbers shows that the flow is another one.
TEST_F(FlowReusedPort, IsToldFromTheFlowBeforeByEitherNumber)
{
    const FlowCookie cookie = flowCookie(makeEntry(2).key.id, test::BoardRoute);
    for (const auto &[sequence, acknowledgment] :
         {std::pair(1001U, 0x70000000U), std::pair(NewSequence, 5000U)}) {
        openAtFirst();
        EXPECT_EQ(fixture.send(makeDataPacket(Port, cookie, 10, sequence, acknowledgment)).upstream,
                  makeEntry(2).key);
        fixture.now += 20_s;
        fixture.router.tick(fixture.now);
    }
}

// Guards against the reset of a live flow because the upstream of the flow before has been replaced
// at its address, or because its route was removed and declared again.
TEST_F(FlowReusedPort, DoesNotEndWithTheUpstreamOfTheFlowBefore)
{
    openAtFirst();
    fixture.now += 5_s;
    publishAll(UpstreamHealth::Replaced);
    const FlowCookie cookie = flowCookie(makeEntry(2).key.id, test::BoardRoute);
    const FlowDecision moved =
            fixture.send(makeDataPacket(Port, cookie, 10, NewSequence, 0x70000000));
    EXPECT_EQ(moved.action, FlowAction::Forward);
    EXPECT_EQ(moved.upstream, makeEntry(2).key);
}

// Guards against a packet of a new flow that goes to the upstream of the flow before, as this
// balancer does not know the upstream of its cookie yet: that upstream would reset the new flow.
TEST_F(FlowReusedPort, IsSilentWhileTheUpstreamOfTheNewFlowIsUnknown)
{
    openAtFirst();
    const FlowCookie cookie = flowCookie(makeEntry(77).key.id, test::BoardRoute);
    const FlowDecision unknown =
            fixture.send(makeDataPacket(Port, cookie, 10, NewSequence, 0x70000000));
    EXPECT_EQ(unknown.action, FlowAction::Drop);
    EXPECT_EQ(unknown.reason, FlowReason::UnknownCookie);
}

// Guards against late packets of the flow before that take over the record of the new flow: its
// handshake would end at the upstream of the flow before.
TEST_F(FlowReusedPort, IsNotMovedByLatePacketsOfTheFlowBefore)
{
    const FlowDecision first = openAtFirst();
    publishAll(UpstreamHealth::Leaving);
    const FlowDecision next = fixture.send(newOpening());
    ASSERT_EQ(next.upstream, makeEntry(2).key);
    const FlowDecision late = fixture.send(makeDataPacket(Port, first.cookie, 0, 1100, 6000));
    EXPECT_EQ(late.upstream, first.upstream);
    for (std::uint32_t sent = 0; sent < 40; sent += 20) {
        EXPECT_EQ(fixture.send(makeDataPacket(Port, next.cookie, 20, NewSequence + 1 + sent,
                                              0x70000000))
                          .upstream,
                  next.upstream);
        EXPECT_EQ(fixture.send(makeDataPacket(Port, first.cookie, 0, 1100, 6000)).upstream,
                  first.upstream);
    }
    EXPECT_EQ(fixture.send(newOpening(1)).upstream, next.upstream);
}

// Guards against a record that no longer wins over a wrong cookie, which the late answer of a
// second upstream to a copy of the opening packet leaves at the client, as the numbers have
// advanced.
TEST_F(FlowReusedPort, DoesNotDisturbAFlowThatContinues)
{
    const FlowDecision first = openAtFirst();
    const FlowCookie wrong = flowCookie(makeEntry(2).key.id, test::BoardRoute);
    std::uint32_t sequence = 1001;
    std::uint32_t acknowledgment = 5000;
    // Numbers wrap around, and other balancers may have carried megabytes.
    for (int i = 0; i < 600; ++i) {
        EXPECT_EQ(fixture.send(makeDataPacket(Port, wrong, 100, sequence, acknowledgment)).upstream,
                  first.upstream);
        sequence += 8'000'000;
        acknowledgment += 16'000'000;
    }
    EXPECT_EQ(
            fixture.send(makeDataPacket(Port, wrong, 0, sequence - 60'000, acknowledgment - 60'000))
                    .upstream,
            first.upstream);
}

// Guards against an opening packet that is sent again, after a change of its route, to the service
// that only the earlier declaration allows.
TEST_F(FlowOpeningRetransmission, MoveWithTheirRouteToAnotherService)
{
    UpstreamEntry desk = makeEntry(9);
    desk.service = test::Desk;
    fixture.publish({makeEntry(1), desk});
    ASSERT_EQ(fixture.send(makeOpeningPacket(1)).upstream, makeEntry(1).key);
    auto routes = std::make_shared<RouteTable>(*fixture.routes);
    routes->routes[test::BoardRoute].shares = {{test::Desk, 1}};
    fixture.routes = routes;
    fixture.publish({makeEntry(1), desk});
    fixture.now += 20_ms;
    EXPECT_EQ(fixture.send(makeOpeningPacket(1, 1)).upstream, desk.key);
}

// Choice of the upstream for new flows.
class FlowPlacement : public ::testing::Test
{
protected:
    /// Opens @p count busy flows and returns how many each upstream received.
    std::map<UpstreamId, int> openBusyFlows(int count)
    {
        std::map<UpstreamId, int> got;
        for (int i = 0; i < count; ++i) {
            const auto port = static_cast<std::uint16_t>(100 + m_opened++);
            const FlowDecision decision = fixture.open(port);
            fixture.send(makeDataPacket(port, decision.cookie, 200));
            ++got[decision.upstream.id];
        }
        return got;
    }

    FlowRouterFixture fixture;

private:
    int m_opened = 0;
};

// Guards against queues at one upstream while others are idle.
TEST_F(FlowPlacement, SpreadsByOpenWork)
{
    fixture.publish({makeEntry(1), makeEntry(2), makeEntry(3), makeEntry(4)});
    for (const auto &[id, count] : openBusyFlows(12)) {
        EXPECT_NEAR(count, 3, 1) << "upstream " << id.value;
    }
}

// Guards against traffic and delay between data centres while the own one has capacity.
TEST_F(FlowPlacement, PrefersTheOwnDataCentreUntilItIsBusier)
{
    UpstreamEntry remote = makeEntry(2);
    remote.dataCentre = test::OtherDataCentre;
    fixture.publish({makeEntry(1), remote});
    auto got = openBusyFlows(2);
    EXPECT_EQ(got[UpstreamId{1}], 2);
    got = openBusyFlows(10);
    EXPECT_GE(got[UpstreamId{2}], 3);
}

// Guards against a new flow that costs more processor time the larger the fleet is, and against
// a sample that misses idle upstreams while others queue.
TEST_F(FlowPlacement, EvaluatesABoundedNumberOfUpstreamsInALargeFleet)
{
    constexpr std::uint64_t Upstreams = 3000;
    constexpr int MaxEvaluated = 64;
    std::vector<UpstreamEntry> entries;
    for (std::uint64_t id = 1; id <= Upstreams; ++id) {
        entries.push_back(makeEntry(id));
        if (id % 3 != 0) {
            entries.back().dataCentre = test::OtherDataCentre;
        }
    }
    fixture.publish(entries);
    fixture.randomDraws = 0;
    int highest = 0;
    for (const auto &[id, count] : openBusyFlows(500)) {
        EXPECT_EQ(id.value % 3, 0U) << "the own data centre has capacity";
        highest = std::max(highest, count);
    }
    EXPECT_LE(highest, 2);
    EXPECT_LE(fixture.randomDraws, 500 * MaxEvaluated);
}

// Guards against clients that are sent to a dead upstream one after another.
TEST_F(FlowPlacement, AvoidsASilentUpstreamAndRetriesItRarely)
{
    fixture.publish({makeEntry(1), makeEntry(2)});
    const FlowDecision dead = fixture.send(makeOpeningPacket(1));
    fixture.now += 100_ms;
    int toDead = 0;
    for (std::uint16_t port = 10; port < 110; ++port) {
        const FlowDecision decision = fixture.send(makeOpeningPacket(port));
        if (decision.upstream == dead.upstream) {
            ++toDead;
        } else {
            fixture.now += 3_ms;
            fixture.send(makeDataPacket(port, decision.cookie, 0));
        }
        fixture.now += 17_ms;
    }
    // Within two seconds: retries after 0.5 s and then after 1 s.
    EXPECT_LE(toDead, 2);
}

// Guards against an unconfirmed upstream that receives flows while a confirmed one can take them.
TEST_F(FlowPlacement, UsesUnconfirmedUpstreamsLast)
{
    fixture.publishRecords({{makeEntry(1), UpstreamHealth::Ready, {}},
                            {makeEntry(2), UpstreamHealth::Unconfirmed, {}}});
    EXPECT_EQ(openBusyFlows(20)[UpstreamId{2}], 0);
    fixture.publish({makeEntry(2)}, UpstreamHealth::Unconfirmed);
    EXPECT_EQ(fixture.send(makeOpeningPacket(9)).upstream, makeEntry(2).key);
}

// Guards against new flows that join a queue at an upstream that has become slow.
TEST_F(FlowPlacement, AvoidsASlowUpstream)
{
    fixture.publish({makeEntry(1), makeEntry(2), makeEntry(3), makeEntry(4)});
    std::uint32_t sequence = 1001;
    std::map<std::uint16_t, FlowDecision> flows;
    for (std::uint16_t port = 1; port <= 8; ++port) {
        flows[port] = fixture.open(port);
    }
    // Requests on open flows: upstream 1 answers after 210 ms, the others after 30 ms.
    for (int round = 0; round < 6; ++round) {
        for (auto &[port, flow] : flows) {
            fixture.send(makeDataPacket(port, flow.cookie, 100, sequence, 5000 + 1000 * round));
        }
        sequence += 100;
        fixture.now += 30_ms;
        for (auto &[port, flow] : flows) {
            if (flow.upstream.id != UpstreamId{1}) {
                fixture.send(makeDataPacket(port, flow.cookie, 0, sequence, 6000 + 1000 * round));
            }
        }
        fixture.now += 180_ms;
        for (auto &[port, flow] : flows) {
            if (flow.upstream.id == UpstreamId{1}) {
                fixture.send(makeDataPacket(port, flow.cookie, 0, sequence, 6000 + 1000 * round));
            }
        }
    }
    EXPECT_EQ(openBusyFlows(6)[UpstreamId{1}], 0);
}

// Upstreams that refuse most requests.
class FlowAdmission : public ::testing::Test
{
protected:
    /// A client opens a flow and sends a request, which is answered.
    static FlowReason request(FlowRouterFixture &balancer, std::uint16_t port, bool isRefused)
    {
        const FlowDecision placed = balancer.open(port);
        if (placed.action != FlowAction::Forward) {
            return placed.reason;
        }
        balancer.send(makeDataPacket(port, placed.cookie, 100));
        balancer.now += isRefused ? 1_ms : 20_ms;
        FlowPacket answer = makeDataPacket(port, placed.cookie, 0, 1101, isRefused ? 5150 : 6400);
        answer.isClosing = true;
        balancer.send(answer);
        balancer.router.tick(balancer.now);
        return placed.reason;
    }

    static void overload(FlowRouterFixture &balancer)
    {
        balancer.publish({makeEntry(1), makeEntry(2), makeEntry(3)});
        for (std::uint16_t port = 1; port <= 300; ++port) {
            request(balancer, port, port > 100 && port % 10 != 0);
        }
    }
};

// Guards against refusals without a reason of their own, and against callers that wait: a refused
// opening is reset at once.
TEST_F(FlowAdmission, ResetsNewFlowsWhileUpstreamsRefuse)
{
    FlowRouterFixture balancer(1, true);
    overload(balancer);
    int refused = 0;
    for (std::uint16_t port = 1000; port < 1100; ++port) {
        const FlowDecision decision = balancer.send(makeOpeningPacket(port));
        if (decision.reason == FlowReason::Overload) {
            EXPECT_EQ(decision.action, FlowAction::Reset);
            ++refused;
        } else {
            // A retransmission of what was admitted is never refused.
            EXPECT_EQ(balancer.send(makeOpeningPacket(port, 1)).action, FlowAction::Forward);
        }
    }
    EXPECT_GT(refused, 20);
    EXPECT_LT(refused, 100);
    const AdmissionReport report = balancer.router.admissionReport();
    ASSERT_EQ(report.services.size(), 1U);
    EXPECT_TRUE(report.services.front().isOverloaded);
    EXPECT_FALSE(report.refusals.empty());
}

// Guards against a refused retransmission: another balancer admitted its first copy.
TEST_F(FlowAdmission, AdmitsRetransmissionsOfOtherBalancers)
{
    FlowRouterFixture balancer(1, true);
    overload(balancer);
    for (std::uint16_t port = 1000; port < 1100; ++port) {
        EXPECT_EQ(balancer.send(makeOpeningPacket(port, 1)).action, FlowAction::Forward);
    }
}

// Guards against an effect where admission is not controlled.
TEST_F(FlowAdmission, RefusesNothingUnlessEnabled)
{
    FlowRouterFixture balancer(1);
    overload(balancer);
    for (std::uint16_t port = 1000; port < 1100; ++port) {
        EXPECT_EQ(balancer.send(makeOpeningPacket(port)).action, FlowAction::Forward);
    }
    EXPECT_TRUE(balancer.router.admissionReport().services.empty());
}

// Guards against answers of another service that count as refusals: its answers are short and
// quick.
TEST_F(FlowAdmission, ForgetsTheAnswersOfARouteThatLeadsElsewhere)
{
    FlowRouterFixture balancer(1, true);
    overload(balancer);
    auto routes = std::make_shared<RouteTable>(*makeRoutes(2));
    routes->routes[test::BoardRoute].shares = {{test::Desk, 1}};
    balancer.routes = routes;
    UpstreamEntry entry = makeEntry(4);
    entry.service = test::Desk;
    balancer.publish({entry});
    for (std::uint16_t port = 1000; port < 1200; ++port) {
        ASSERT_EQ(request(balancer, port, true), FlowReason::Placed);
    }
}

// Guards against a draw that changes the placement while nothing is refused.
TEST_F(FlowAdmission, DecidesTheSameWithoutOverload)
{
    FlowRouterFixture controlled(1, true);
    FlowRouterFixture other(1, false);
    for (FlowRouterFixture *balancer : {&controlled, &other}) {
        balancer->publish({makeEntry(1), makeEntry(2), makeEntry(3)});
        for (std::uint16_t port = 1; port <= 300; ++port) {
            request(*balancer, port, false);
        }
    }
    EXPECT_EQ(controlled.reasons, other.reasons);
    EXPECT_EQ(controlled.randomDraws, other.randomDraws);
}

} // namespace
} // namespace damaskhall
