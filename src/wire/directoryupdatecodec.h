#pragma once

#include "base/result.h"
#include "core/flow/directoryupdate.h"

#include <string>
#include <string_view>

namespace damaskhall {

/// Largest datagram of an update in bytes that is accepted.
inline constexpr std::size_t MaxDirectoryUpdateBytes = 2048;

/// Returns true if @p bytes begin like an update of any version. Thread safety: reentrant.
bool isDirectoryUpdateDatagram(std::string_view bytes);
/// Returns a version byte and a msgpack array. Thread safety: reentrant.
std::string encodeDirectoryUpdate(const DirectoryUpdate &update);
/// Errors: Oversized, VersionMismatch, Malformed. @p bytes may be any; more than @p most are
/// refused unread. Thread safety: reentrant.
Result<DirectoryUpdate> decodeDirectoryUpdate(std::string_view bytes,
                                              std::size_t most = MaxDirectoryUpdateBytes);

} // namespace damaskhall
