#include "measure/fleet.h"

#include "core/rendezvous.h"

namespace damaskhall::measure {

namespace {

constexpr double DeskMeanMs = 40;

ClassDeclaration declareClass(const char *service, const char *name, WorkKind kind, bool idempotent,
                              Milliseconds target)
{
    return {classId(service, name), name, kind, idempotent, target};
}

} // namespace

Declaration fleetDeclaration(const std::vector<std::string> &workspaces)
{
    ServiceDeclaration board{serviceId(BoardService), BoardService, {}};
    board.classes = {declareClass(BoardService, "claim", WorkKind::Request, false, ClaimTarget),
                     declareClass(BoardService, "lookup", WorkKind::Request, true, LookupTarget),
                     declareClass(BoardService, "queue", WorkKind::Feed, false, FeedTarget)};
    ServiceDeclaration desk{serviceId(DeskService), DeskService, {}};
    desk.classes = {declareClass(DeskService, "artwork", WorkKind::Upload, true, UploadTarget),
                    declareClass(DeskService, "proof", WorkKind::Request, false, ClaimTarget)};
    Declaration declaration;
    declaration.revision = Revision{1};
    declaration.services = {desk, board};
    for (const std::string &workspace : workspaces) {
        declaration.workspaces.push_back({workspaceId(workspace), workspace});
    }
    return declaration;
}

void addBoard(fakes::Session &session, const BoardOptions &options)
{
    std::uint64_t id = FirstBoardUpstream;
    for (const double mean : meanServiceTimes()) {
        fakes::FakeUpstreamOptions upstream;
        upstream.id = UpstreamId{id++};
        upstream.service = serviceId(BoardService);
        upstream.slots = SlotsPerUpstream;
        upstream.meanServiceMs = mean;
        upstream.workOf = options.workOf;
        upstream.randomSheds = options.randomSheds;
        upstream.hasMisleadingProbes = options.hasMisleadingProbes;
        session.addUpstream(upstream);
    }
}

void addDesk(fakes::Session &session)
{
    for (std::size_t i = 0; i < DeskUpstreams; ++i) {
        fakes::FakeUpstreamOptions upstream;
        upstream.id = UpstreamId{FirstDeskUpstream + i};
        upstream.service = serviceId(DeskService);
        upstream.slots = SlotsPerUpstream;
        upstream.meanServiceMs = DeskMeanMs;
        session.addUpstream(upstream);
    }
}

Reserve reservation(std::uint64_t request, const std::string &service, const std::string &workClass,
                    Milliseconds deadline, const std::string &workspace)
{
    return {RequestId{request},     serviceId(service), classId(service, workClass),
            workspaceId(workspace), deadline,           0_ms};
}

std::uint32_t boardDispatcher(std::uint32_t balancers)
{
    RoutingView view;
    for (std::uint32_t i = 0; i < balancers; ++i) {
        view.members.push_back({InstanceId{i}, {}, {}, MemberState::Alive});
    }
    return dispatcherOf(view, serviceId(BoardService), 0)->value;
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

std::vector<double> boardBusyMs(const fakes::Session &session)
{
    std::vector<double> busy;
    for (const auto &[id, upstream] : session.upstreams()) {
        if (upstream->isAlive() && upstream->options().service == serviceId(BoardService)) {
            busy.push_back(static_cast<double>(upstream->busyTime().value) /
                           upstream->options().slots);
        }
    }
    return busy;
}

} // namespace damaskhall::measure
