#pragma once

#include "base/ids.h"

#include <compare>
#include <cstdint>

namespace damaskhall {

/// Identifies one shard, and thus one queue, of a service; see MaxUpstreamsPerShard.
struct ShardKey
{
    ServiceId service;
    std::uint32_t shard = 0;

    auto operator<=>(const ShardKey &) const = default;
};

} // namespace damaskhall
