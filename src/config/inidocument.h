#pragma once

#include "config/diagnostics.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace damaskhall {

struct IniEntry
{
    std::string key;
    std::string value;
    int line = 0;
};

/// Section "[KIND]" or "[KIND NAME]".
struct IniSection
{
    std::string kind;
    std::string name;
    int line = 0;
    std::vector<IniEntry> entries;

    /// Returns the entry, or null. The pointer lives as long as the section is unchanged.
    const IniEntry *find(std::string_view key) const;
    /// Returns "[KIND NAME]".
    std::string title() const;
};

/// Sections, keys and values of an INI text with their lines. A comment is a line that starts with
/// ';' or '#'.
///
/// Boost Property Tree's INI reader is not used: it drops sections without keys ([service NAME] has
/// none), keeps no line numbers and stops at the first mistake.
/// Thread safety: const methods may be called from any thread.
class IniDocument
{
public:
    /// Reads @p text. Adds a mistake for each line that is no section, entry or comment, and for
    /// each duplicate section and key; those lines are left out of the result.
    static IniDocument scan(std::string_view text, Diagnostics &diagnostics);

    const std::vector<IniSection> &sections() const { return m_sections; }
    /// Returns the first section of that kind, or null.
    const IniSection *findSection(std::string_view kind) const;

private:
    void addSection(std::string_view line, int number, Diagnostics &diagnostics);
    void addEntry(std::string_view line, int number, Diagnostics &diagnostics);

    std::vector<IniSection> m_sections;
    /// Line of the first section with each title.
    std::map<std::string, int> m_lineByTitle;
    /// Entries of a section whose header is wrong are skipped, not reported.
    bool m_isSkipping = false;
};

} // namespace damaskhall
