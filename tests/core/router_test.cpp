#include "core/router.h"

#include "fakes/session.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

Declaration workshopDeclaration()
{
    Declaration declaration;
    ServiceDeclaration board{serviceId("workshop-board"), "workshop-board", {}};
    board.classes.push_back(
            {classId("workshop-board", "claim"), "claim", WorkKind::Request, false, 2_s});
    board.classes.push_back(
            {classId("workshop-board", "queue"), "queue", WorkKind::Feed, false, 500_ms});
    declaration.services.push_back(board);
    declaration.houses.push_back({houseId("benches"), "benches"});
    return declaration;
}

// Guards against a request that is answered on one balancer only, or run more than once, when the
// fabric sprays its packets.
TEST(Router, AnswersRequestsWhosePacketsReachAnyBalancer)
{
    fakes::Session session({}, workshopDeclaration());
    for (std::uint64_t id = 1; id <= 4; ++id) {
        session.addUpstream({UpstreamId{id}, serviceId("workshop-board"), {}, 2, 20, 0});
    }
    for (std::uint64_t i = 1; i <= 50; ++i) {
        const Reserve reserve{RequestId{i},
                              serviceId("workshop-board"),
                              classId("workshop-board", "claim"),
                              houseId("benches"),
                              5_s,
                              0_ms};
        session.startRequest(reserve, std::to_string(i));
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
