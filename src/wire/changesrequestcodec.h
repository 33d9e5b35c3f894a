#pragma once

#include "base/result.h"
#include "core/flow/changesrequest.h"

#include <string>
#include <string_view>

namespace damaskhall {

/// Returns true if @p bytes begin like a request for changes. Thread safety: reentrant.
bool isChangesRequestDatagram(std::string_view bytes);
/// Returns a marker byte and a msgpack array. Thread safety: reentrant.
std::string encodeChangesRequest(const ChangesRequest &request);
/// Errors: Malformed. @p bytes may be any. Thread safety: reentrant.
Result<ChangesRequest> decodeChangesRequest(std::string_view bytes);

} // namespace damaskhall
