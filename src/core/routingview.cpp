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

} // namespace damaskhall
