#pragma once

#include "core/flow/storeera.h"

#include <compare>
#include <cstdint>
#include <string>

namespace damaskhall {

/// Revision of the platform's store. Revisions are ordered by their eras first: a later era assigns
/// revisions of the earlier one again, and whatever is read in it is newer.
/// Thread safety: a plain value.
struct StoreRevision
{
    std::uint64_t value = 0;
    StoreEra era = {};

    constexpr bool operator==(const StoreRevision &) const = default;

    constexpr std::strong_ordering operator<=>(const StoreRevision &other) const
    {
        const auto order = era <=> other.era;
        return order != std::strong_ordering::equal ? order : value <=> other.value;
    }
};

/// Returns "ERA:REVISION", or only the revision if the store does not count eras.
/// Thread safety: reentrant.
inline std::string toString(StoreRevision revision)
{
    const std::string value = std::to_string(revision.value);
    return revision.era == StoreEra{} ? value : std::to_string(revision.era.value) + ":" + value;
}

} // namespace damaskhall
