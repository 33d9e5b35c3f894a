#include "config/inidocument.h"

#include <algorithm>

namespace damaskhall {

namespace {

std::string_view trim(std::string_view text)
{
    constexpr std::string_view Blank = " \t\r";
    const std::size_t first = text.find_first_not_of(Blank);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(Blank) - first + 1);
}

// Length of the UTF-8 sequence that starts at @p text, or 0 if it is malformed or a control
// character. Overlong forms are not looked for: they do no harm in names for people.
std::size_t sequenceLength(std::string_view text)
{
    const auto first = static_cast<unsigned char>(text.front());
    if (first < 0x80) {
        return first >= ' ' || first == '\t' ? 1 : 0;
    }
    const std::size_t length = first >= 0xf0 ? 4 : first >= 0xe0 ? 3 : 2;
    if (first < 0xc2 || first > 0xf4 || text.size() < length) {
        return 0;
    }
    for (std::size_t i = 1; i < length; ++i) {
        if ((static_cast<unsigned char>(text[i]) & 0xc0U) != 0x80U) {
            return 0;
        }
    }
    return length;
}

// The platform stores JSON, which cannot hold other bytes.
bool isReadable(std::string_view line)
{
    while (!line.empty()) {
        const std::size_t length = sequenceLength(line);
        if (length == 0) {
            return false;
        }
        line.remove_prefix(length);
    }
    return true;
}

std::string quoted(std::string_view text)
{
    return "'" + std::string(text) + "'";
}

} // namespace

const IniEntry *IniSection::find(std::string_view key) const
{
    const auto found = std::find_if(entries.begin(), entries.end(),
                                    [key](const auto &entry) { return entry.key == key; });
    return found == entries.end() ? nullptr : &*found;
}

std::string IniSection::title() const
{
    return "[" + kind + (name.empty() ? "" : " " + name) + "]";
}

IniDocument IniDocument::scan(std::string_view text, Diagnostics &diagnostics)
{
    IniDocument document;
    for (int number = 1; !text.empty(); ++number) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = trim(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
        if (!isReadable(line)) {
            diagnostics.add(number, "a byte that is no printable UTF-8", "UTF-8 text");
            continue;
        }
        if (line.empty() || line.front() == ';' || line.front() == '#') {
            continue;
        }
        if (line.front() == '[') {
            document.addSection(line, number, diagnostics);
        } else {
            document.addEntry(line, number, diagnostics);
        }
    }
    return document;
}

const IniSection *IniDocument::findSection(std::string_view kind) const
{
    const auto found = std::find_if(m_sections.begin(), m_sections.end(),
                                    [kind](const auto &section) { return section.kind == kind; });
    return found == m_sections.end() ? nullptr : &*found;
}

void IniDocument::addSection(std::string_view line, int number, Diagnostics &diagnostics)
{
    m_isSkipping = true;
    if (line.back() != ']') {
        diagnostics.add(number, quoted(line), "a section header that ends with ']'");
        return;
    }
    const std::string_view inner = trim(line.substr(1, line.size() - 2));
    const std::size_t space = std::min(inner.find_first_of(" \t"), inner.size());
    IniSection section{std::string(inner.substr(0, space)),
                       std::string(trim(inner.substr(space))),
                       number,
                       {}};
    if (section.kind.empty()) {
        diagnostics.add(number, quoted(line), "a section header such as [service NAME]");
        return;
    }
    const auto [earlier, isNew] = m_lineByTitle.try_emplace(section.title(), number);
    if (!isNew) {
        diagnostics.add(number, "section " + section.title() + " again",
                        "each section once; the first is on line " +
                                std::to_string(earlier->second));
        return;
    }
    m_sections.push_back(std::move(section));
    m_isSkipping = false;
}

void IniDocument::addEntry(std::string_view line, int number, Diagnostics &diagnostics)
{
    const std::size_t equals = line.find('=');
    if (equals == std::string_view::npos || trim(line.substr(0, equals)).empty()) {
        diagnostics.add(number, quoted(line), "'key = value', a section header or a comment");
        return;
    }
    if (m_isSkipping) {
        return;
    }
    IniEntry entry{std::string(trim(line.substr(0, equals))),
                   std::string(trim(line.substr(equals + 1))), number};
    if (m_sections.empty()) {
        diagnostics.add(number, "key " + quoted(entry.key) + " before any section",
                        "a section header first");
        return;
    }
    IniSection &section = m_sections.back();
    if (const IniEntry *earlier = section.find(entry.key)) {
        diagnostics.add(number, "key " + quoted(entry.key) + " again in " + section.title(),
                        "each key once; the first is on line " + std::to_string(earlier->line));
        return;
    }
    section.entries.push_back(std::move(entry));
}

} // namespace damaskhall
