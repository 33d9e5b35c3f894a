#include "support/goldenfile.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>

namespace damaskhall::tests {

void expectGolden(const std::string &name, const std::vector<std::string> &lines)
{
    const std::string path = std::string(DAMASKHALL_SOURCE_DIR) + "/tests/golden/" + name + ".txt";
    if (std::getenv("DAMASKHALL_UPDATE_GOLDEN")) {
        std::ofstream file(path);
        for (const std::string &line : lines) {
            file << line << "\n";
        }
        return;
    }
    std::ifstream file(path);
    ASSERT_TRUE(file) << path << " is missing; make golden writes it";
    std::vector<std::string> expected;
    for (std::string line; std::getline(file, line);) {
        expected.push_back(line);
    }
    const auto [difference, ours] =
            std::mismatch(expected.begin(), expected.end(), lines.begin(), lines.end());
    if (difference == expected.end() && ours == lines.end()) {
        return;
    }
    const auto number = std::distance(expected.begin(), difference) + 1;
    ADD_FAILURE() << name << ".txt:" << number << "\n  expected: "
                  << (difference == expected.end() ? "end of file" : *difference)
                  << "\n  actual:   " << (ours == lines.end() ? "end of session" : *ours);
}

std::vector<std::string> linesWithout(const std::vector<std::string> &lines,
                                      const std::vector<std::string> &fragments)
{
    std::vector<std::string> kept;
    for (const std::string &line : lines) {
        const bool isHidden =
                std::any_of(fragments.begin(), fragments.end(), [&](const std::string &fragment) {
                    return line.find(fragment) != std::string::npos;
                });
        if (!isHidden) {
            kept.push_back(line);
        }
    }
    return kept;
}

} // namespace damaskhall::tests
