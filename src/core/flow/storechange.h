#pragma once

#include "core/flow/routetable.h"
#include "core/flow/storerevision.h"
#include "core/flow/upstreamentry.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace damaskhall {

/// The entry of an upstream was removed or can no longer be decoded.
struct UpstreamRemoval
{
    UpstreamId id;
    /// Empty if the entry was removed; otherwise why it cannot be decoded.
    std::string mistake;
};

/// The declaration, or why the stored one cannot be decoded.
struct DeclaredRoutes
{
    /// Null if it cannot be decoded.
    std::shared_ptr<const RouteTable> table;
    /// Why it cannot be decoded, or what in it is unknown; empty if there is nothing to report.
    std::string mistake;
};

/// An instance has saved a snapshot of the directory.
struct SnapshotSaved
{
};

/// An operator's request to place no new flows in a data centre was written or removed.
struct EvacuationChange
{
    enum class Kind : std::uint8_t {
        Evacuated,
        Removed,
        /// The entry cannot be decoded; an earlier one stays in force.
        Invalid,
    };

    Kind kind = Kind::Invalid;
    /// Empty if the key names none.
    std::optional<DataCentreId> dataCentre;
    /// Invalid: why. Otherwise the key, for the message that no data centre has this name.
    std::string detail;
};

/// Entry of an evacuated data centre.
struct EvacuationEntry
{
    DataCentreId dataCentre;
    /// Revision number at which the entry was written. Zero: the store has an entry that cannot be
    /// decoded, and what was known before stays in force.
    std::uint64_t revision = 0;

    bool operator==(const EvacuationEntry &) const = default;
};

/// All evacuated data centres as of some revision of the store.
using EvacuationSet = std::vector<EvacuationEntry>;

using StoreContent = std::variant<UpstreamEntry, UpstreamRemoval, DeclaredRoutes, SnapshotSaved,
                                  EvacuationChange>;

/// An item of the store as written at a revision.
struct StoreChange
{
    StoreRevision revision;
    StoreContent content;
};

} // namespace damaskhall
