#pragma once

#include "base/result.h"
#include "core/flow/directorynews.h"

#include <string>
#include <string_view>

namespace damaskhall {

/// Largest datagram of news in bytes that is accepted.
inline constexpr std::size_t MaxNewsBytes = 2048;

/// Returns true if @p bytes begin like news of any version. Thread safety: reentrant.
bool isNewsDatagram(std::string_view bytes);
/// Returns a version byte and a msgpack array. Thread safety: reentrant.
std::string encodeNews(const DirectoryNews &news);
/// Errors: Oversized, VersionMismatch, Malformed. @p bytes may be any; more than @p most are
/// refused unread. Thread safety: reentrant.
Result<DirectoryNews> decodeNews(std::string_view bytes, std::size_t most = MaxNewsBytes);

} // namespace damaskhall
