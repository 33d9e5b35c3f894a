#pragma once

#include "base/result.h"
#include "core/flow/directorynews.h"

#include <string>
#include <string_view>

namespace damaskhall {

/// Largest snapshot of the directory before compression, in bytes: some 80,000 upstreams.
inline constexpr std::size_t MaxSnapshotBytes = std::size_t{4} << 20;

/// Returns the snapshot as compressed news. Thread safety: reentrant.
std::string encodeSnapshot(const DirectoryNews &snapshot);
/// Errors: Oversized, VersionMismatch, Malformed. @p bytes may be any. Thread safety: reentrant.
Result<DirectoryNews> decodeSnapshot(std::string_view bytes);

} // namespace damaskhall
