#pragma once

#include "core/flow/storechange.h"

#include <cstdint>
#include <vector>

namespace damaskhall {

/// Most changes that one datagram carries; keeps datagrams under 1,200 bytes.
inline constexpr std::size_t MaxDirectoryUpdateChanges = 16;

/// What an instance learned from the platform's store, for those that do not read it themselves.
/// Thread safety: a plain value.
struct DirectoryUpdate
{
    /// Instance that read the store; the root of the tree in which the update spreads.
    InstanceId origin;
    /// Raised by the origin with each update; a restarted origin begins at its start time.
    std::uint64_t sequence = 0;
    /// Time since the store answered.
    Milliseconds age;
    /// The update holds every change of an upstream after this revision of the store ...
    Revision from;
    /// ... up to this one.
    Revision to;
    /// Newest declaration.
    Revision declaration;
    /// Upstream entries and removals only.
    std::vector<StoreChange> changes;
};

} // namespace damaskhall
