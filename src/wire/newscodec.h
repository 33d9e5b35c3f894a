#pragma once

#include "base/result.h"
#include "core/flow/directorynews.h"

#include <string>
#include <string_view>

namespace damaskhall {

/// Largest datagram of news in bytes that is accepted.
inline constexpr std::size_t MaxNewsBytes = 2048;

/// Largest snapshot of the directory in bytes: stores take values of up to 1 MiB, which holds the
/// entries of some 20,000 upstreams.
inline constexpr std::size_t MaxSnapshotBytes = std::size_t{1} << 20;

/// Returns true if @p bytes begin like news of any version. Thread safety: reentrant.
bool isNewsDatagram(std::string_view bytes);
/// Returns a version byte and a msgpack array. Thread safety: reentrant.
std::string encodeNews(const DirectoryNews &news);
/// Errors: Oversized, VersionMismatch, Malformed. @p bytes may be any; more than @p most are
/// refused unread. Thread safety: reentrant.
Result<DirectoryNews> decodeNews(std::string_view bytes, std::size_t most = MaxNewsBytes);

} // namespace damaskhall
