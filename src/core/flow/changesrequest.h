#pragma once

#include "base/endpoint.h"
#include "core/flow/storerevision.h"

#include <optional>

namespace damaskhall {

/// Asks a peer for the changes of the directory that the sender lacks. Thread safety: a plain
/// value.
struct ChangesRequest
{
    /// The sender knows all changes up to this revision of the store.
    StoreRevision known;

    bool operator==(const ChangesRequest &) const = default;
};

/// A request to send.
struct SendChangesRequest
{
    /// Empty: to any other member.
    std::optional<Endpoint> to;
    ChangesRequest request;
};

} // namespace damaskhall
