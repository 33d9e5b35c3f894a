#pragma once

#include "core/flow/storechange.h"

#include <cstdint>
#include <vector>

namespace damaskhall {

/// Maximum number of changes in one update; keeps its datagram under 1,200 bytes.
inline constexpr std::size_t MaxDirectoryUpdateChanges = 16;

/// Changes of the directory that one instance has read from the platform's store, for the instances
/// that do not read the store themselves. Thread safety: a plain value.
struct DirectoryUpdate
{
    /// Instance that read the store; the root of the distribution tree.
    InstanceId origin;
    /// Incremented by the origin with each update. A restarted origin begins at its start time.
    /// Zero: sent to one member that asked for it, and not relayed.
    std::uint64_t sequence = 0;
    /// Time since the store's last response. If it is longer than a watch interval, the origin is
    /// trying to read the store without success.
    Milliseconds age;
    /// The update contains all changes of upstreams after this revision of the store ...
    StoreRevision from;
    /// ... up to this one, which is of the same era, as are the changes.
    StoreRevision to;
    /// Revision of the newest declaration known to the origin.
    Revision declaration;
    /// Upstream entries and removals only.
    std::vector<StoreChange> changes;
    /// The complete set as of the revision @ref to; it does not depend on the changes since
    /// @ref from.
    EvacuationSet evacuations;
};

} // namespace damaskhall
