#include "support/workshop.h"

namespace damaskhall::tests {

Declaration workshopDeclaration()
{
    const auto declare = [](const char *service, const char *name, WorkKind kind, bool idempotent) {
        return ClassDeclaration{classId(service, name), name, kind, idempotent, 1_s};
    };
    ServiceDeclaration board{serviceId("board"), "board", {}};
    board.classes = {declare("board", "claim", WorkKind::Request, false),
                     declare("board", "queue", WorkKind::Feed, false),
                     declare("board", "status", WorkKind::Request, true)};
    ServiceDeclaration desk{serviceId("desk"), "desk", {}};
    desk.classes = {declare("desk", "artwork", WorkKind::Upload, true)};
    Declaration declaration;
    declaration.revision = Revision{1};
    declaration.services = {board, desk};
    declaration.workspaces = {{workspaceId("agents"), "agents"},
                              {workspaceId("benches"), "benches"}};
    return declaration;
}

void addBoardUpstreams(fakes::Session &session, std::uint64_t firstId, std::uint64_t count,
                       double meanServiceMs)
{
    for (std::uint64_t id = firstId; id < firstId + count; ++id) {
        session.addUpstream({UpstreamId{id}, serviceId("board"), {}, 2, meanServiceMs, 0});
    }
}

Reserve claim(std::uint64_t request, Milliseconds deadline)
{
    return {RequestId{request},     serviceId("board"), classId("board", "claim"),
            workspaceId("benches"), deadline,           0_ms};
}

Reserve statusRequest(std::uint64_t request, Milliseconds deadline)
{
    return {RequestId{request},     serviceId("board"), classId("board", "status"),
            workspaceId("benches"), deadline,           0_ms};
}

Open queueFeed(std::uint64_t flow)
{
    return {FlowId{flow}, serviceId("board"), classId("board", "queue"), workspaceId("benches")};
}

int runsOf(const fakes::Session &session, const std::string &body)
{
    int runs = 0;
    for (const auto &[id, upstream] : session.upstreams()) {
        const auto found = upstream->runs().find(body);
        runs += found == upstream->runs().end() ? 0 : found->second;
    }
    return runs;
}

} // namespace damaskhall::tests
