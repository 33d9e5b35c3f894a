#include "core/router.h"

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

} // namespace
} // namespace damaskhall
