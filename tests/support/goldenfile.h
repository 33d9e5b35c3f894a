#pragma once

#include <string>
#include <vector>

namespace damaskhall::tests {

/// Compares @p lines with tests/golden/<name>.txt and reports the first line that differs. With
/// DAMASKHALL_UPDATE_GOLDEN set it writes the file instead; the difference is reviewed in git.
void expectGolden(const std::string &name, const std::vector<std::string> &lines);

/// Returns the lines that contain none of @p fragments; periodic frames would hide the story.
std::vector<std::string> linesWithout(const std::vector<std::string> &lines,
                                      const std::vector<std::string> &fragments);

} // namespace damaskhall::tests
