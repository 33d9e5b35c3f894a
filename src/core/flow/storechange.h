#pragma once

#include "core/flow/routetable.h"
#include "core/flow/upstreamentry.h"

#include <memory>
#include <string>
#include <variant>

namespace damaskhall {

/// The entry of an upstream was removed, or can no longer be read.
struct UpstreamRemoval
{
    UpstreamId id;
    /// Empty: removed. Otherwise why the entry cannot be read.
    std::string mistake;
};

/// The declaration, or why the stored one cannot be read.
struct DeclaredRoutes
{
    /// Null if it cannot be read.
    std::shared_ptr<const RouteTable> table;
    std::string mistake;
};

/// An instance saved a snapshot of the directory.
struct SnapshotSaved
{
};

using StoreContent = std::variant<UpstreamEntry, UpstreamRemoval, DeclaredRoutes, SnapshotSaved>;

/// An item of the store as it was written at a revision.
struct StoreChange
{
    Revision revision;
    StoreContent content;
};

} // namespace damaskhall
