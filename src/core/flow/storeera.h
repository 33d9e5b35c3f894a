#pragma once

#include "base/ids.h"

namespace damaskhall {

/// Counts how often the platform's store has returned from an older copy of itself. Within an era
/// its revisions only rise; a later era may assign the same revisions again. Zero if the store does
/// not count.
using StoreEra = StrongId<struct StoreEraTag, std::uint64_t>;

} // namespace damaskhall
