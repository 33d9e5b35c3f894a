#include "admin/nodestatus.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace damaskhall {

namespace {

using Json = nlohmann::json;

std::string serviceName(const Declaration &declaration, ServiceId id)
{
    const ServiceDeclaration *service = declaration.findService(id);
    return service ? service->name : "undeclared-" + std::to_string(id.value);
}

Json membersJson(const RoutingView &view)
{
    std::vector<MemberView> members = view.members;
    std::sort(members.begin(), members.end(),
              [](const auto &a, const auto &b) { return a.id < b.id; });
    Json list = Json::array();
    for (const MemberView &member : members) {
        list.push_back({{"id", member.id.value},
                        {"endpoint", toString(member.endpoint)},
                        {"state", toString(member.state)}});
    }
    return list;
}

Json upstreamJson(const RoutingView &view, const UpstreamView &upstream,
                  const UpstreamStatus *dispatched)
{
    Json json = {{"id", upstream.id.value},
                 {"service", serviceName(*view.declaration, upstream.service)},
                 {"endpoint", toString(upstream.endpoint)}};
    const bool isLeaving = upstream.state == UpstreamState::Leaving;
    if (!dispatched) {
        json["dispatched_here"] = false;
        json["in_use"] = !isLeaving;
        json["reason"] = isLeaving ? "leaving" : "dispatched by another balancer";
        return json;
    }
    json["dispatched_here"] = true;
    json["limit"] = dispatched->limit;
    json["in_flight"] = dispatched->inFlight;
    json["busy_share"] = dispatched->busyShare;
    json["in_use"] = dispatched->inUse && !isLeaving;
    json["reason"] = isLeaving ? "leaving" : dispatched->reason;
    return json;
}

Json upstreamsJson(const NodeStatus &status)
{
    std::unordered_map<UpstreamId, const UpstreamStatus *> dispatched;
    for (const UpstreamStatus &upstream : status.traffic.upstreams) {
        dispatched[upstream.id] = &upstream;
    }
    std::vector<UpstreamView> upstreams;
    upstreams.reserve(status.view->upstreams.size());
    for (const auto &[id, upstream] : status.view->upstreams) {
        upstreams.push_back(upstream);
    }
    std::sort(upstreams.begin(), upstreams.end(),
              [](const auto &a, const auto &b) { return a.id < b.id; });
    Json list = Json::array();
    for (const UpstreamView &upstream : upstreams) {
        const auto found = dispatched.find(upstream.id);
        list.push_back(upstreamJson(*status.view, upstream,
                                    found == dispatched.end() ? nullptr : found->second));
    }
    return list;
}

Json classesJson(const NodeStatus &status)
{
    Json list = Json::array();
    const Declaration &declaration = *status.view->declaration;
    for (const ClassStatus &entry : status.traffic.classes) {
        const ClassDeclaration *declared = declaration.findClass(entry.service, entry.workClass);
        list.push_back({{"service", serviceName(declaration, entry.service)},
                        {"class", declared ? declared->name : ""},
                        {"target_ms", declared ? declared->target.value : 0},
                        {"waiting", entry.waiting},
                        {"target_met", entry.targetMet},
                        {"target_missed", entry.targetMissed}});
    }
    return list;
}

Json evacuatedJson(const Declaration &declaration)
{
    Json names = Json::array();
    for (const DataCentreDeclaration &dataCentre : declaration.dataCentres) {
        if (dataCentre.isEvacuated) {
            names.push_back(dataCentre.name);
        }
    }
    return names;
}

} // namespace

const char *toString(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Dead:
        break;
    }
    return "dead";
}

std::string formatStatus(const NodeStatus &status)
{
    const Json json = {{"id", status.self.value},
                       {"incarnation", status.incarnation.value},
                       {"version", DAMASKHALL_VERSION},
                       {"data_centre", status.dataCentre},
                       {"leaving", status.isLeaving},
                       {"evacuated", status.view->isEvacuated},
                       {"evacuated_data_centres", evacuatedJson(*status.view->declaration)},
                       {"platform_reachable", status.isPlatformReachable},
                       {"revision", status.view->declaration->revision.value},
                       {"load",
                        {{"waiting", status.load.waiting},
                         {"permitted", status.load.permitted},
                         {"sent", status.load.sent},
                         {"uploads", status.load.uploads}}},
                       {"members", membersJson(*status.view)},
                       {"upstreams", upstreamsJson(status)},
                       {"classes", classesJson(status)}};
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace damaskhall
