#pragma once

#include "base/ids.h"
#include "core/routingview.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace damaskhall {

/// Upstreams per dispatcher shard. A shard is one queue; a larger service has several.
inline constexpr std::size_t MaxUpstreamsPerShard = 64;

/// Returns the members ordered by their rendezvous weight for @p key, highest first. When a member
/// joins or leaves, only keys that it wins or won move. Thread safety: reentrant.
std::vector<InstanceId> rendezvousOrder(std::uint64_t key, std::vector<InstanceId> members);

/// Returns the position of @p member in the rendezvous order of @p members for @p key, without
/// building that order. Thread safety: reentrant.
std::size_t rendezvousRank(std::uint64_t key, InstanceId member,
                           const std::vector<InstanceId> &members);

/// Returns the number of shards for @p upstreamCount upstreams: at least 1.
/// Thread safety: reentrant.
std::uint32_t shardCount(std::size_t upstreamCount);

/// Returns the shard of an upstream. Precondition: shards > 0. Thread safety: reentrant.
std::uint32_t shardOfUpstream(UpstreamId upstream, std::uint32_t shards);

/// Returns the shard that takes a request or flow. Precondition: shards > 0.
/// Thread safety: reentrant.
std::uint32_t shardOfSubject(std::uint64_t subject, std::uint32_t shards);

/// Returns the dispatcher of a shard: the first of the alive and suspected members, by rendezvous
/// order. Suspected members stay eligible so that a false suspicion moves no queue; leaving and
/// dead ones are not. Empty if there is none. Thread safety: reentrant.
std::optional<InstanceId> dispatcherOf(const RoutingView &view, ServiceId service,
                                       std::uint32_t shard);

} // namespace damaskhall
