#include "core/flow/flowrouter.h"

#include "support/flowfixture.h"

#include <gtest/gtest.h>
#include <map>

namespace damaskhall {
namespace {

using test::data;
using test::FlowRouterFixture;
using test::makeEntry;
using test::opening;

constexpr FlowCookie None{};

// A flow from its opening to its end, on whichever balancer its packets arrive.
class FlowLifecycle : public ::testing::Test
{
protected:
    FlowRouterFixture bench;
};

// Guards against packets that are lost because a balancer has just started.
TEST_F(FlowLifecycle, HoldsPacketsBeforeAnythingIsKnown)
{
    EXPECT_EQ(bench.send(opening(1)).action, FlowAction::Hold);
    EXPECT_EQ(bench.send(data(2, FlowCookie{7}, 0)).action, FlowAction::Hold);
}

// Guards against flows that break when their packets move to another balancer.
TEST_F(FlowLifecycle, AnyBalancerFindsTheUpstreamByTheCookie)
{
    const std::vector<UpstreamEntry> entries = {makeEntry(1), makeEntry(2), makeEntry(3)};
    bench.publish(entries);
    const FlowDecision placed = bench.open(1);
    ASSERT_EQ(placed.action, FlowAction::Forward);

    FlowRouterFixture other(2);
    other.publish(entries);
    const FlowDecision recovered = other.send(data(1, placed.cookie, 100));
    EXPECT_EQ(recovered.reason, FlowReason::Recovered);
    EXPECT_EQ(recovered.upstream, placed.upstream);
    EXPECT_EQ(recovered.cookie, placed.cookie);
}

// Guards against flows that break while their upstream leaves or its entry lapses.
TEST_F(FlowLifecycle, KeepsOpenFlowsWhereTheyAre)
{
    bench.publish({makeEntry(1)});
    const FlowDecision placed = bench.open(1);
    for (const auto health :
         {UpstreamHealth::Leaving, UpstreamHealth::Unconfirmed, UpstreamHealth::Gone}) {
        bench.publish({makeEntry(1)}, health);
        const FlowDecision next = bench.send(data(1, placed.cookie, 10));
        EXPECT_EQ(next.action, FlowAction::Forward);
        EXPECT_EQ(next.upstream, placed.upstream);
    }
}

// Guards against a client that waits for an upstream that certainly does not hold its flow.
TEST_F(FlowLifecycle, ResetsFlowsOfAReplacedUpstream)
{
    bench.publish({makeEntry(1)});
    const FlowDecision placed = bench.open(1);
    bench.publishRecords({{makeEntry(1), UpstreamHealth::Replaced, {}},
                          {makeEntry(1, 2000), UpstreamHealth::Ready, {}}});
    const FlowDecision known = bench.send(data(1, placed.cookie, 10));
    EXPECT_EQ(known.action, FlowAction::Reset);
    EXPECT_EQ(known.reason, FlowReason::UpstreamReplaced);
    EXPECT_EQ(bench.send(data(1, placed.cookie, 10)).action, FlowAction::Reset)
            << "also on a balancer that does not know the flow";
}

// Guards against resets of flows that a balancer merely does not know.
TEST_F(FlowLifecycle, StaysSilentAboutUnknownFlows)
{
    bench.publish({makeEntry(1)});
    EXPECT_EQ(bench.send(data(1, FlowCookie{0x1234}, 10)).reason, FlowReason::UnknownCookie);
    EXPECT_EQ(bench.send(data(1, None, 10)).reason, FlowReason::NoCookie);
    for (const FlowReason reason : bench.reasons) {
        EXPECT_NE(reason, FlowReason::NoRoute);
    }
}

// Guards against a flow that is torn between two upstreams that answered copies of one opening
// packet.
TEST_F(FlowLifecycle, PinsTheUpstreamThatTheClientAccepted)
{
    const std::vector<UpstreamEntry> entries = {makeEntry(1), makeEntry(2)};
    bench.publish(entries);
    const FlowDecision placed = bench.send(opening(1));
    const UpstreamKey other = placed.upstream == entries[0].key ? entries[1].key : entries[0].key;
    const FlowCookie accepted = flowCookie(other, test::BoardRoute);
    EXPECT_EQ(bench.send(data(1, accepted, 0)).upstream, other);
    // The late answer of the first upstream changed what the client returns.
    const FlowDecision next = bench.send(data(1, placed.cookie, 10));
    EXPECT_EQ(next.upstream, other);
    EXPECT_EQ(next.cookie, accepted) << "the ends learn the right cookie again";
}

// Guards against a cookie of one route that opens another route's service.
TEST(FlowCookies, DependOnTheRoute)
{
    const UpstreamKey key = makeEntry(1).key;
    EXPECT_NE(flowCookie(key, test::BoardRoute), flowCookie(key, test::DeskRoute));
    FlowRouterFixture bench;
    bench.publish({makeEntry(1)});
    FlowPacket packet = data(1, flowCookie(key, test::BoardRoute), 10);
    packet.key.route = test::DeskRoute;
    EXPECT_EQ(bench.send(packet).reason, FlowReason::UnknownCookie);
}

// What a balancer tells a client, and what it must not tell.
class FlowRefusals : public ::testing::Test
{
protected:
    FlowRefusals() { packet.key.route = {0xc61200ff, 80}; }

    FlowRouterFixture bench;
    FlowPacket packet = opening(1);
};

// Guards against clients that wait for a route that does not exist.
TEST_F(FlowRefusals, ResetsWhatTheDeclarationLacks)
{
    bench.publish({makeEntry(1)});
    EXPECT_EQ(bench.send(packet).action, FlowAction::Reset);
}

// Guards against a reset for a route that an outdated balancer has not heard of.
TEST_F(FlowRefusals, SaysNothingWhileTheDeclarationIsUnconfirmed)
{
    bench.publish({makeEntry(1)}, UpstreamHealth::Ready, false);
    EXPECT_EQ(bench.send(packet).action, FlowAction::Drop);
}

// Guards against requests that wait although no upstream can serve them.
TEST_F(FlowRefusals, ResetsWhatNoUpstreamCanServe)
{
    bench.publish({makeEntry(1)}, UpstreamHealth::Leaving);
    const FlowDecision decision = bench.send(opening(2));
    EXPECT_EQ(decision.action, FlowAction::Reset);
    EXPECT_EQ(decision.reason, FlowReason::NoUpstream);
    bench.publish({makeEntry(1)}, UpstreamHealth::Leaving, false);
    EXPECT_EQ(bench.send(opening(3)).reason, FlowReason::NoUpstreamUnconfirmed);
}

// Guards against flows that go on after their route was removed.
TEST_F(FlowRefusals, EndsTheFlowsOfARemovedRoute)
{
    bench.publish({makeEntry(1)});
    const FlowDecision placed = bench.open(4);
    auto routes = std::make_shared<RouteTable>(*bench.routes);
    routes->routes.erase(test::BoardRoute);
    bench.routes = routes;
    bench.publish({makeEntry(1)});
    EXPECT_EQ(bench.send(data(4, placed.cookie, 10)).reason, FlowReason::RouteRemoved);
}

// Requests on open flows whose upstream answers nothing any more.
class FlowUnreachableUpstream : public ::testing::Test
{
protected:
    FlowUnreachableUpstream()
    {
        bench.publish({makeEntry(1)});
        flow = bench.open(1);
        bench.now += 1_s;
        bench.send(data(1, flow.cookie, 100));
    }

    /// The client repeats its request.
    FlowDecision repeat(Milliseconds after)
    {
        bench.now += after;
        return bench.send(data(1, flow.cookie, 100));
    }

    /// Another upstream gives a sign of life.
    void answerFromAnotherUpstream()
    {
        bench.publish({makeEntry(1), makeEntry(2)});
        ASSERT_NE(bench.open(m_port++).upstream, flow.upstream);
    }

    /// Lets the two attempts fail that make a verdict, while another upstream works; returns the
    /// resets.
    std::vector<FlowPacket> failProbes()
    {
        bench.now += 150_ms;
        EXPECT_TRUE(bench.router.handleProbe(flow.upstream, false, bench.now).empty());
        answerFromAnotherUpstream();
        bench.now += 147_ms;
        return bench.router.handleProbe(flow.upstream, false, bench.now);
    }

    FlowRouterFixture bench;
    FlowDecision flow;

private:
    std::uint16_t m_port = 100;
};

// Guards against a live flow that is reset because a single packet was lost.
TEST_F(FlowUnreachableUpstream, ProbesBeforeItGivesAFlowUp)
{
    EXPECT_TRUE(bench.probed.empty());
    EXPECT_EQ(repeat(200_ms).action, FlowAction::Forward);
    ASSERT_EQ(bench.probed.size(), 1U);
    EXPECT_TRUE(bench.router.handleProbe(flow.upstream, true, bench.now + 2_ms).empty());
    EXPECT_EQ(repeat(400_ms).action, FlowAction::Forward);
}

// Guards against a client that waits for a dead upstream until its time limit.
TEST_F(FlowUnreachableUpstream, ResetsIdempotentRequestsOfAnUnreachableUpstream)
{
    repeat(200_ms);
    const auto resets = failProbes();
    EXPECT_EQ(bench.probed.size(), 2U);
    ASSERT_EQ(resets.size(), 1U);
    EXPECT_EQ(resets[0].key, opening(1).key);
    EXPECT_EQ(resets[0].acknowledgment, 5000U) << "the client takes a reset near its window";
}

// Guards against a reset that crosses an answer on its way.
TEST_F(FlowUnreachableUpstream, KeepsTheFlowIfTheUpstreamGaveASign)
{
    repeat(200_ms);
    bench.now += 20_ms;
    bench.send(data(1, flow.cookie, 0, 1101, 6000));
    bench.send(data(1, flow.cookie, 100, 1101, 6000));
    EXPECT_TRUE(failProbes().empty());
    EXPECT_EQ(repeat(400_ms).action, FlowAction::Forward);
}

// Guards against the reset of a live flow because an attempt waited behind other packets on a busy
// link of 10 Mbit/s.
TEST_F(FlowUnreachableUpstream, KeepsTheFlowIfTheSecondAttemptSucceeds)
{
    repeat(200_ms);
    bench.now += 150_ms;
    EXPECT_TRUE(bench.router.handleProbe(flow.upstream, false, bench.now).empty());
    ASSERT_EQ(bench.probed.size(), 2U);
    answerFromAnotherUpstream();
    EXPECT_TRUE(bench.router.handleProbe(flow.upstream, true, bench.now + 20_ms).empty());
    EXPECT_EQ(repeat(400_ms).action, FlowAction::Forward);
}

// Guards against an instance with trouble of its own that blames all upstreams.
TEST_F(FlowUnreachableUpstream, KeepsTheFlowIfNoOtherUpstreamIsHeardOf)
{
    repeat(200_ms);
    for (int i = 0; i < 2; ++i) {
        bench.now += 150_ms;
        EXPECT_TRUE(bench.router.handleProbe(flow.upstream, false, bench.now).empty());
    }
    EXPECT_EQ(repeat(400_ms).action, FlowAction::Forward);
}

// Guards against a claim that is given up although its upstream may have run it.
TEST_F(FlowUnreachableUpstream, NeverResetsWhatMustNotRunTwice)
{
    auto routes = std::make_shared<RouteTable>(*bench.routes);
    routes->routes[test::BoardRoute].kind = RouteKind::NonIdempotent;
    bench.routes = routes;
    bench.publish({makeEntry(1)});
    repeat(200_ms);
    EXPECT_TRUE(failProbes().empty());
    EXPECT_EQ(repeat(400_ms).action, FlowAction::Forward);
}

// Guards against each client of a dead upstream finding out for itself.
TEST_F(FlowUnreachableUpstream, ResetsFurtherRequestsAtOnceWhileTheProbeIsFresh)
{
    const FlowDecision second = bench.open(2);
    const FlowDecision third = bench.open(3);
    bench.now += 100_ms;
    bench.send(data(1, flow.cookie, 100, 1101));
    repeat(200_ms);
    EXPECT_FALSE(failProbes().empty());
    bench.now += 500_ms;
    EXPECT_EQ(bench.send(data(2, second.cookie, 100)).reason, FlowReason::UpstreamUnreachable);
    bench.now += 1_s;
    EXPECT_EQ(bench.send(data(3, third.cookie, 100)).action, FlowAction::Forward)
            << "an old verdict needs a new probe";
}

// Guards against answer times of many seconds when a flow comes back from another balancer.
TEST_F(FlowUnreachableUpstream, CountsNoAnswerThatComesLaterThanAnyClientWaits)
{
    bench.now += 1499_ms;
    bench.send(data(1, flow.cookie, 0, 1101, 6000));
    EXPECT_EQ(bench.answers.size(), 1U);
    bench.send(data(1, flow.cookie, 100, 1101, 6000));
    bench.now += 1501_ms;
    bench.send(data(1, flow.cookie, 0, 1201, 7000));
    EXPECT_EQ(bench.answers.size(), 1U);
}

// Copies of an opening packet.
class FlowOpeningRetransmission : public ::testing::Test
{
protected:
    FlowRouterFixture bench;
};

// Guards against two upstreams that both answer.
TEST_F(FlowOpeningRetransmission, FollowTheFirstWhileItsUpstreamShowsLife)
{
    bench.publish({makeEntry(1), makeEntry(2)});
    const FlowDecision first = bench.send(opening(1));
    // Another flow proves that the upstream answers.
    bench.now += 10_ms;
    FlowDecision proof;
    for (std::uint16_t port = 10; proof.upstream != first.upstream; ++port) {
        proof = bench.open(port);
    }
    bench.now += 150_ms;
    const FlowDecision copy = bench.send(opening(1, 1));
    EXPECT_EQ(copy.reason, FlowReason::OpeningRepeated);
    EXPECT_EQ(copy.upstream, first.upstream);
}

// Guards against a client that asks a dead upstream until it gives up.
TEST_F(FlowOpeningRetransmission, LeaveASilentUpstream)
{
    bench.publish({makeEntry(1), makeEntry(2)});
    const FlowDecision first = bench.send(opening(1));
    bench.now += 200_ms;
    const FlowDecision copy = bench.send(opening(1, 1));
    EXPECT_EQ(copy.reason, FlowReason::OpeningMoved);
    EXPECT_NE(copy.upstream, first.upstream);
}

// Guards against a late copy that reaches an upstream after its leaving limit.
TEST_F(FlowOpeningRetransmission, LeaveALeavingUpstream)
{
    bench.publish({makeEntry(1)});
    bench.send(opening(1));
    bench.publishRecords({{makeEntry(1), UpstreamHealth::Leaving, {}},
                          {makeEntry(2), UpstreamHealth::Ready, {}}});
    bench.now += 20_ms;
    EXPECT_EQ(bench.send(opening(1, 1)).upstream, makeEntry(2).key);
}

// Guards against a second upstream for a flow that is open, by a late copy.
TEST_F(FlowOpeningRetransmission, AreDroppedOnceTheFlowIsOpenAtALeavingUpstream)
{
    bench.publish({makeEntry(1)});
    const FlowDecision first = bench.open(1);
    bench.publishRecords({{makeEntry(1), UpstreamHealth::Leaving, {}},
                          {makeEntry(2), UpstreamHealth::Ready, {}}});
    EXPECT_EQ(bench.send(opening(1, 1)).action, FlowAction::Drop);
    EXPECT_EQ(bench.send(data(1, first.cookie, 10)).upstream, first.upstream);
}

// Where new flows go.
class FlowPlacement : public ::testing::Test
{
protected:
    /// Opens @p count busy flows and returns how many each upstream got.
    std::map<UpstreamId, int> openBusy(int count)
    {
        std::map<UpstreamId, int> got;
        for (int i = 0; i < count; ++i) {
            const auto port = static_cast<std::uint16_t>(100 + m_opened++);
            const FlowDecision decision = bench.open(port);
            bench.send(data(port, decision.cookie, 200));
            ++got[decision.upstream.id];
        }
        return got;
    }

    FlowRouterFixture bench;

private:
    int m_opened = 0;
};

// Guards against queues at one upstream while others are idle.
TEST_F(FlowPlacement, SpreadsByOpenWork)
{
    bench.publish({makeEntry(1), makeEntry(2), makeEntry(3), makeEntry(4)});
    for (const auto &[id, count] : openBusy(12)) {
        EXPECT_NEAR(count, 3, 1) << "upstream " << id.value;
    }
}

// Guards against bytes and delay between data centres while the own one has room.
TEST_F(FlowPlacement, PrefersTheOwnDataCentreUntilItIsFuller)
{
    UpstreamEntry remote = makeEntry(2);
    remote.dataCentre = test::OtherDataCentre;
    bench.publish({makeEntry(1), remote});
    auto got = openBusy(2);
    EXPECT_EQ(got[UpstreamId{1}], 2);
    got = openBusy(10);
    EXPECT_GE(got[UpstreamId{2}], 3);
}

// Guards against a new flow that costs more processor time the larger the fleet is, and against
// a sample that misses idle upstreams while others queue.
TEST_F(FlowPlacement, WeighsABoundedNumberOfUpstreamsInALargeFleet)
{
    constexpr std::uint64_t Upstreams = 3000;
    constexpr int MostWeighed = 64;
    std::vector<UpstreamEntry> entries;
    for (std::uint64_t id = 1; id <= Upstreams; ++id) {
        entries.push_back(makeEntry(id));
        if (id % 3 != 0) {
            entries.back().dataCentre = test::OtherDataCentre;
        }
    }
    bench.publish(entries);
    bench.randomDraws = 0;
    int highest = 0;
    for (const auto &[id, count] : openBusy(500)) {
        EXPECT_EQ(id.value % 3, 0U) << "the own data centre has room";
        highest = std::max(highest, count);
    }
    EXPECT_LE(highest, 2);
    EXPECT_LE(bench.randomDraws, 500 * MostWeighed);
}

// Guards against clients that are sent to a dead upstream one after the other.
TEST_F(FlowPlacement, AvoidsASilentUpstreamAndTriesItAgainRarely)
{
    bench.publish({makeEntry(1), makeEntry(2)});
    const FlowDecision dead = bench.send(opening(1));
    bench.now += 100_ms;
    int toDead = 0;
    for (std::uint16_t port = 10; port < 110; ++port) {
        const FlowDecision decision = bench.send(opening(port));
        if (decision.upstream == dead.upstream) {
            ++toDead;
        } else {
            bench.now += 3_ms;
            bench.send(data(port, decision.cookie, 0));
        }
        bench.now += 17_ms;
    }
    // Two seconds: tries after 0.5 s and then after 1 s.
    EXPECT_LE(toDead, 2);
}

// Guards against an unconfirmed upstream that gets flows while a confirmed one can take them.
TEST_F(FlowPlacement, UsesUnconfirmedUpstreamsLast)
{
    bench.publishRecords({{makeEntry(1), UpstreamHealth::Ready, {}},
                          {makeEntry(2), UpstreamHealth::Unconfirmed, {}}});
    EXPECT_EQ(openBusy(20)[UpstreamId{2}], 0);
    bench.publish({makeEntry(2)}, UpstreamHealth::Unconfirmed);
    EXPECT_EQ(bench.send(opening(9)).upstream, makeEntry(2).key);
}

// Guards against new flows that join a queue at an upstream that has become slow.
TEST_F(FlowPlacement, AvoidsASlowUpstream)
{
    bench.publish({makeEntry(1), makeEntry(2), makeEntry(3), makeEntry(4)});
    std::uint32_t sequence = 1001;
    std::map<std::uint16_t, FlowDecision> flows;
    for (std::uint16_t port = 1; port <= 8; ++port) {
        flows[port] = bench.open(port);
    }
    // Requests on open flows: upstream 1 answers after 210 ms, the others after 30 ms.
    for (int round = 0; round < 6; ++round) {
        for (auto &[port, flow] : flows) {
            bench.send(data(port, flow.cookie, 100, sequence, 5000 + 1000 * round));
        }
        sequence += 100;
        bench.now += 30_ms;
        for (auto &[port, flow] : flows) {
            if (flow.upstream.id != UpstreamId{1}) {
                bench.send(data(port, flow.cookie, 0, sequence, 6000 + 1000 * round));
            }
        }
        bench.now += 180_ms;
        for (auto &[port, flow] : flows) {
            if (flow.upstream.id == UpstreamId{1}) {
                bench.send(data(port, flow.cookie, 0, sequence, 6000 + 1000 * round));
            }
        }
    }
    EXPECT_EQ(openBusy(6)[UpstreamId{1}], 0);
}

} // namespace
} // namespace damaskhall
