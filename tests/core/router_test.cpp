#include "core/router.h"

#include "client/retrypolicy.h"
#include "support/workshop.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

using namespace tests;

// Guards against a request that is answered on one balancer only, or run more than once, when the
// fabric sprays its packets.
TEST(Router, AnswersRequestsWhosePacketsReachAnyBalancer)
{
    fakes::Session session({}, workshopDeclaration());
    addBoardUpstreams(session, 1, 4);
    for (std::uint64_t i = 1; i <= 50; ++i) {
        session.startRequest(claim(i, 5_s), std::to_string(i));
        session.runFor(10_ms);
    }
    session.runFor(1_s);
    for (const RequestClient &request : session.requests()) {
        EXPECT_EQ(request.phase(), RequestPhase::Answered);
    }
    for (const auto &[id, upstream] : session.upstreams()) {
        for (const auto &[body, runs] : upstream->runs()) {
            EXPECT_EQ(runs, 1) << body;
        }
    }
}

// Guards against work that is refused for good by a balancer that has just started and has no
// declaration yet.
TEST(Router, RefusesWorkOnlyForAWhileBeforeItsFirstDeclaration)
{
    constexpr Endpoint Caller{0x0a000001, 30'000};
    CoreHooks hooks;
    hooks.countRefusal = [](RefusalReason, ServiceId, ClassId) {};
    Router router(InstanceId{1}, Incarnation{1}, hooks);
    for (const Frame &frame : {Frame(claim(1, 1_s)), Frame(queueFeed(2))}) {
        Actions actions;
        router.handle(frame, Caller, 1_s, actions);
        ASSERT_EQ(actions.size(), 1U);
        const auto &refusal = std::get<Refusal>(actions[0].frame);
        EXPECT_TRUE(isRetryable(refusal.reason)) << toString(refusal.reason);
    }
}

} // namespace
} // namespace damaskhall
