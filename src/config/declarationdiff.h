#pragma once

#include "config/declaration.h"

#include <string>
#include <vector>

namespace damaskhall {

/// Returns one line for each section that differs, with the values before and after; empty if the
/// declarations state the same. Revisions are not compared. Thread safety: reentrant.
std::vector<std::string> diffDeclarations(const Declaration &before, const Declaration &after);

} // namespace damaskhall
