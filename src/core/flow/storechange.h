#pragma once

#include "core/flow/routetable.h"
#include "core/flow/storerevision.h"
#include "core/flow/upstreamentry.h"

#include <memory>
#include <string>
#include <variant>

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

using StoreContent = std::variant<UpstreamEntry, UpstreamRemoval, DeclaredRoutes, SnapshotSaved>;

/// An item of the store as written at a revision.
struct StoreChange
{
    StoreRevision revision;
    StoreContent content;
};

} // namespace damaskhall
