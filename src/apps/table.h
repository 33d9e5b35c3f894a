#pragma once

#include <string>
#include <vector>

namespace damaskhall {

/// Returns rows as left-aligned columns, two spaces apart. Thread safety: reentrant.
std::string formatTable(const std::vector<std::vector<std::string>> &rows);

} // namespace damaskhall
