#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "config/declaration.h"

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace damaskhall {

enum class MemberState : std::uint8_t {
    Alive,
    Suspect,
    Leaving,
    Dead,
};

/// A balancer of the own data centre as the control thread sees it.
struct MemberView
{
    InstanceId id;
    Endpoint endpoint;
    Incarnation incarnation;
    MemberState state = MemberState::Alive;

    bool operator==(const MemberView &) const = default;
};

enum class UpstreamState : std::uint8_t {
    Live,
    /// No new work; established flows run to their end.
    Leaving,
};

/// An upstream of the own data centre.
struct UpstreamView
{
    UpstreamId id;
    Endpoint endpoint;
    ServiceId service;
    UpstreamState state = UpstreamState::Live;

    bool operator==(const UpstreamView &) const = default;
};

/// Snapshot of control state that the traffic threads decide with. Immutable after publication, so
/// it may be read from any thread.
struct RoutingView
{
    InstanceId self;
    /// Never null.
    std::shared_ptr<const Declaration> declaration = std::make_shared<const Declaration>();
    /// Includes the own instance.
    std::vector<MemberView> members;
    std::unordered_map<UpstreamId, UpstreamView> upstreams;
    /// The declaration evacuates the own data centre: no new work is admitted.
    bool isEvacuated = false;

    /// Returns the member, or null.
    const MemberView *findMember(InstanceId id) const;
    /// Returns the upstream, or null.
    const UpstreamView *findUpstream(UpstreamId id) const;
};

} // namespace damaskhall
