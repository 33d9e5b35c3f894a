#pragma once

#include "base/result.h"
#include "core/flow/directoryupdate.h"

#include <string>
#include <string_view>

namespace damaskhall {

/// Largest snapshot of the directory before compression, in bytes: some 80,000 upstreams.
inline constexpr std::size_t MaxSnapshotBytes = std::size_t{4} << 20;

/// Returns the snapshot as a compressed update. Thread safety: reentrant.
std::string encodeSnapshot(const DirectoryUpdate &snapshot);
/// Errors: Oversized, VersionMismatch, Malformed. @p bytes may be any. Thread safety: reentrant.
Result<DirectoryUpdate> decodeSnapshot(std::string_view bytes);

} // namespace damaskhall
