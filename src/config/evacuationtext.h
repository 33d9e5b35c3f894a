#pragma once

#include <string>

namespace damaskhall {

/// Returns the text of a declaration with one data centre evacuated or back in service. All other
/// lines stay as they are, comments included. Precondition: @p text is a valid declaration.
/// Thread safety: reentrant.
std::string withEvacuation(const std::string &text, const std::string &dataCentre,
                           bool isEvacuated);

} // namespace damaskhall
