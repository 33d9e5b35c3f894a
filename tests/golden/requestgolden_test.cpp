#include "support/goldenfile.h"
#include "support/workshop.h"

#include "core/rendezvous.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

using namespace tests;

fakes::SessionOptions tracedOptions(std::uint32_t balancers)
{
    fakes::SessionOptions options;
    options.balancers = balancers;
    options.keepTrace = true;
    return options;
}

// Balancer that dispatches the board while all balancers are alive.
std::uint32_t boardDispatcher(std::uint32_t balancers)
{
    RoutingView view;
    for (std::uint32_t i = 0; i < balancers; ++i) {
        view.members.push_back({InstanceId{i}, {}, {}, MemberState::Alive});
    }
    return dispatcherOf(view, serviceId("board"), 0)->value;
}

void expectStory(const std::string &name, const fakes::Session &session)
{
    expectGolden(name, linesWithout(session.trace(), {"Probe"}));
}

// Guards against a second run when the caller repeats its Execute at another balancer.
TEST(RequestGolden, ClaimRetransmittedToAnotherBalancer)
{
    fakes::Session session(tracedOptions(3), workshopDeclaration());
    addBoardUpstreams(session, 1, 1, 400);
    session.runFor(100_ms);
    session.startRequest(claim(7), "claim 7");
    session.runFor(2_s);
    EXPECT_EQ(session.requests().front().phase(), RequestPhase::Answered);
    EXPECT_EQ(runsOf(session, "claim 7"), 1);
    expectStory("claim_retransmitted", session);
}

// Guards against an owner that wakes after the deadline and sends a request whose caller was told
// that it did not run.
TEST(RequestGolden, OwnerFreezesAndWakesAfterTheDeadline)
{
    fakes::Session session(tracedOptions(3), workshopDeclaration());
    addBoardUpstreams(session, 1, 1);
    session.runFor(100_ms);
    session.startRequest(claim(7, 500_ms), "claim 7");
    // The permit is on its way to the caller; the Execute will find the owner frozen.
    session.runFor(3_ms);
    session.freezeBalancer(boardDispatcher(3), session.events().now() + 1_s);
    session.runFor(3_s);
    EXPECT_EQ(session.requests().front().phase(), RequestPhase::Unknown);
    EXPECT_LE(runsOf(session, "claim 7"), 1);
    expectStory("owner_frozen", session);
}

// Guards against a cancel that is answered "not run" although the answer is on its way.
TEST(RequestGolden, AnswerCrossesItsCancel)
{
    fakes::Session session(tracedOptions(2), workshopDeclaration());
    addBoardUpstreams(session, 1, 1, 100);
    session.runFor(100_ms);
    RequestClient &client = session.startRequest(claim(7), "claim 7");
    while (runsOf(session, "claim 7") == 0) {
        session.runFor(1_ms);
    }
    session.inject(Cancel{RequestId{7}, serviceId("board"), client.permit()}, {1, 1});
    session.runFor(2_s);
    EXPECT_EQ(client.phase(), RequestPhase::Answered);
    EXPECT_EQ(runsOf(session, "claim 7"), 1);
    expectStory("answer_crosses_cancel", session);
}

// Guards against losing a waiting claim with its dispatcher, and against calling a claim "not run"
// that the dead balancer may have sent.
TEST(RequestGolden, DispatcherIsKilled)
{
    fakes::Session session(tracedOptions(3), workshopDeclaration());
    addBoardUpstreams(session, 1, 1, 300);
    session.runFor(100_ms);
    for (std::uint64_t request = 1; request <= 4; ++request) {
        session.startRequest(claim(request, 5_s), "claim " + std::to_string(request));
    }
    session.runFor(20_ms);
    session.killBalancer(boardDispatcher(3));
    session.runFor(6_s);
    for (const RequestClient &client : session.requests()) {
        EXPECT_TRUE(client.isFinished());
        EXPECT_NE(client.phase(), RequestPhase::Refused);
    }
    expectStory("dispatcher_killed", session);
}

// Guards against an answer from a restarted balancer about requests of its predecessor.
TEST(RequestGolden, OwnerRestartsAtTheSameAddress)
{
    fakes::Session session(tracedOptions(2), workshopDeclaration());
    addBoardUpstreams(session, 1, 1, 2000);
    session.runFor(100_ms);
    RequestClient &client = session.startRequest(claim(7, 4_s), "claim 7");
    while (runsOf(session, "claim 7") == 0) {
        session.runFor(1_ms);
    }
    session.killBalancer(boardDispatcher(2));
    session.restartBalancer(boardDispatcher(2));
    session.runFor(6_s);
    EXPECT_EQ(client.phase(), RequestPhase::Unknown);
    EXPECT_EQ(runsOf(session, "claim 7"), 1);
    expectStory("owner_restarted", session);
}

} // namespace
} // namespace damaskhall
