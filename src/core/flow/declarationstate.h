#pragma once

#include "base/ids.h"
#include "base/milliseconds.h"

namespace damaskhall {

/// What an instance knows about the stored declaration, besides the content of the one in force.
/// Thread safety: a plain value.
struct DeclarationState
{
    /// Newest revision that is known to exist; it may not have been read yet.
    Revision newest;
    /// Revision that the store returned as the current one; zero if none yet.
    Revision confirmed;
    /// When the read that returned it began: whatever was declared before is not newer.
    Milliseconds confirmedAt;

    bool operator==(const DeclarationState &) const = default;
};

} // namespace damaskhall
