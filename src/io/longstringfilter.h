#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace damaskhall {

/// Copies a JSON text that arrives in parts, and replaces the strings in it that are too long to be
/// used. A large answer then costs no more memory and parsing than what is used of it.
/// Deterministic. Thread safety: none.
class LongStringFilter
{
public:
    struct Options
    {
        /// Longest string that is kept, in bytes between the quotes.
        std::size_t maxBytes = 0;
        /// Written instead of a longer string; contains no quotes or backslashes.
        std::string replacement;
        /// Name of the field that identifies an object.
        std::string idField;
        /// Returns true if the object with this id keeps its long strings that follow its id. The
        /// id is as written in the JSON text, with its escape sequences.
        std::function<bool(std::string_view id)> isExempt;
    };

    /// Preconditions: all options are set; the replacement is not longer than maxBytes.
    explicit LongStringFilter(Options options);

    /// Appends what is kept of @p part to @p output. Precondition: @p output is the same for all
    /// parts of one text, and nothing else changes it.
    void append(std::string_view part, std::string &output);

private:
    /// Returns the number of bytes up to the end of the string, or of @p rest.
    std::size_t scanString(std::string_view rest);
    void endString(std::string &output);

    Options m_options;
    bool m_isInString = false;
    /// The last character was a backslash that escapes the next one.
    bool m_isEscaped = false;
    /// The current string is too long; the rest of it is skipped.
    bool m_isSkipping = false;
    /// The next string is the id of an object.
    bool m_isIdNext = false;
    /// The current object keeps its long strings.
    bool m_isObjectExempt = false;
    /// Where the content of the current string begins in the output.
    std::size_t m_stringBegin = 0;
};

} // namespace damaskhall
