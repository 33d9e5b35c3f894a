#pragma once

#include "base/result.h"
#include "core/control/controlmessages.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace damaskhall {

/// Largest control datagram in bytes that is accepted.
inline constexpr std::size_t MaxControlDatagramBytes = 4096;
/// Largest stream message in bytes. A declaration at the target size has about 440 KB, and the
/// platform's limit for a value is 1 MB.
inline constexpr std::size_t MaxStreamMessageBytes = 4'194'304;

/// Returns a version byte and a msgpack array. Thread safety: reentrant.
std::string encodeControlDatagram(const ControlDatagram &datagram);
/// Errors: Oversized, VersionMismatch, Malformed. @p bytes may be any. Thread safety: reentrant.
Result<ControlDatagram> decodeControlDatagram(std::string_view bytes);

/// Returns a msgpack array, without a length prefix. Thread safety: reentrant.
std::string encodeStreamMessage(const StreamMessage &message);
/// Errors: Oversized, VersionMismatch (Hello of another version), Malformed.
/// Thread safety: reentrant.
Result<StreamMessage> decodeStreamMessage(std::string_view bytes);

} // namespace damaskhall
