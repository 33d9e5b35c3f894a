#include "core/rendezvous.h"

#include <algorithm>
#include <array>
#include <utility>
#include <xxhash.h>

namespace damaskhall {

namespace {

std::uint64_t combinedHash(std::uint64_t a, std::uint64_t b)
{
    const std::array<std::uint64_t, 2> words = {a, b};
    return XXH64(words.data(), sizeof(words), 0);
}

} // namespace

std::vector<InstanceId> rendezvousOrder(std::uint64_t key, std::vector<InstanceId> members)
{
    std::vector<std::pair<std::uint64_t, InstanceId>> weighted;
    weighted.reserve(members.size());
    for (const InstanceId member : members) {
        weighted.emplace_back(combinedHash(key, member.value), member);
    }
    std::sort(weighted.begin(), weighted.end(), std::greater<>());
    for (std::size_t i = 0; i < weighted.size(); ++i) {
        members[i] = weighted[i].second;
    }
    return members;
}

std::size_t rendezvousRank(std::uint64_t key, InstanceId member,
                           const std::vector<InstanceId> &members)
{
    const std::pair own(combinedHash(key, member.value), member);
    return static_cast<std::size_t>(
            std::count_if(members.begin(), members.end(), [&](InstanceId other) {
                return std::pair(combinedHash(key, other.value), other) > own;
            }));
}

std::uint32_t shardCount(std::size_t upstreamCount)
{
    const std::size_t shards = (upstreamCount + MaxUpstreamsPerShard - 1) / MaxUpstreamsPerShard;
    return static_cast<std::uint32_t>(std::max<std::size_t>(shards, 1));
}

std::uint32_t shardOfUpstream(UpstreamId upstream, std::uint32_t shards)
{
    return static_cast<std::uint32_t>(combinedHash(upstream.value, 0) % shards);
}

std::uint32_t shardOfSubject(std::uint64_t subject, std::uint32_t shards)
{
    return static_cast<std::uint32_t>(combinedHash(subject, 1) % shards);
}

std::optional<InstanceId> dispatcherOf(const RoutingView &view, ServiceId service,
                                       std::uint32_t shard)
{
    std::vector<InstanceId> candidates;
    for (const MemberView &member : view.members) {
        if (member.state == MemberState::Alive || member.state == MemberState::Suspect) {
            candidates.push_back(member.id);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const std::uint64_t key = std::uint64_t{service.value} << 32 | shard;
    return rendezvousOrder(key, std::move(candidates)).front();
}

} // namespace damaskhall
