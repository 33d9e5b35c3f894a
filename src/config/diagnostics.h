#pragma once

#include "base/error.h"

#include <string>
#include <string_view>
#include <vector>

namespace damaskhall {

/// One mistake in a file or on the command line.
struct Diagnostic
{
    /// File name, or the option on the command line.
    std::string file;
    /// Counted from 1; zero if the mistake has no line.
    int line = 0;
    std::string found;
    std::string expected;

    bool operator==(const Diagnostic &) const = default;
};

/// Returns "FILE:LINE: found ...; expected ...". Thread safety: reentrant.
std::string toString(const Diagnostic &diagnostic);

/// Collects all mistakes of one input, so that they are reported together.
/// Thread safety: one thread at a time.
class Diagnostics
{
public:
    /// @p file is the name that add() reports.
    explicit Diagnostics(std::string file);

    void add(int line, std::string found, std::string expected);
    /// Adds a mistake in another place than the file, such as an option.
    void addAt(std::string place, std::string found, std::string expected);

    bool isEmpty() const { return m_list.empty(); }
    /// Returns the mistakes in the order of lines.
    std::vector<Diagnostic> list() const;
    /// Returns one line for each mistake, without a final line break.
    std::string text() const;
    /// Returns an InvalidValue error whose detail is text(). Precondition: !isEmpty().
    Error toError(Step step) const;

private:
    std::string m_file;
    std::vector<Diagnostic> m_list;
};

/// Returns the known name with the smallest edit distance to @p name, or an empty string if none
/// is near enough to be what the author meant. Thread safety: reentrant.
std::string nearestName(std::string_view name, const std::vector<std::string> &known);

} // namespace damaskhall
