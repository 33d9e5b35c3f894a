#pragma once

#include "core/messages.h"

#include <functional>
#include <string>

namespace damaskhall {

/// Turns a sealed token into text; frames hold tokens only in sealed form.
using TokenText = std::function<std::string(const SealedToken &)>;

/// Returns one line with the frame's name and its main fields, for logs and golden sessions.
/// Precondition: @p tokenText is set. Thread safety: reentrant.
std::string describe(const Frame &frame, const TokenText &tokenText);

} // namespace damaskhall
