#include "core/routingview.h"

#include <algorithm>

namespace damaskhall {

const MemberView *RoutingView::findMember(InstanceId id) const
{
    const auto found = std::find_if(members.begin(), members.end(),
                                    [id](const auto &member) { return member.id == id; });
    return found == members.end() ? nullptr : &*found;
}

const UpstreamView *RoutingView::findUpstream(UpstreamId id) const
{
    const auto found = upstreams.find(id);
    return found == upstreams.end() ? nullptr : &found->second;
}

std::vector<UpstreamView> RoutingView::liveUpstreams(ServiceId service) const
{
    std::vector<UpstreamView> live;
    for (const auto &[id, upstream] : upstreams) {
        if (upstream.service == service && upstream.state == UpstreamState::Live) {
            live.push_back(upstream);
        }
    }
    std::sort(live.begin(), live.end(), [](const auto &a, const auto &b) { return a.id < b.id; });
    return live;
}

} // namespace damaskhall
