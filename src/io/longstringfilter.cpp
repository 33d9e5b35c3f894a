#include "io/longstringfilter.h"

#include <algorithm>
#include <utility>

namespace damaskhall {

LongStringFilter::LongStringFilter(Options options)
    : m_options(std::move(options))
{
}

void LongStringFilter::append(std::string_view part, std::string &output)
{
    while (!part.empty()) {
        if (!m_isInString) {
            const std::size_t quote = part.find('"');
            const std::size_t length = quote == std::string_view::npos ? part.size() : quote + 1;
            output.append(part.substr(0, length));
            part.remove_prefix(length);
            m_isInString = quote != std::string_view::npos;
            m_stringBegin = output.size();
            continue;
        }
        const std::size_t length = scanString(part);
        if (!m_isSkipping) {
            output.append(part.substr(0, length));
            m_isSkipping = !m_isObjectExempt && output.size() - m_stringBegin > m_options.maxBytes;
        }
        part.remove_prefix(length);
        if (!part.empty()) {
            endString(output);
            part.remove_prefix(1);
        }
    }
}

// Preconditions: the text is inside a string.
std::size_t LongStringFilter::scanString(std::string_view rest)
{
    std::size_t position = 0;
    while (position < rest.size()) {
        if (std::exchange(m_isEscaped, false)) {
            ++position;
            continue;
        }
        const std::size_t quote = std::min(rest.find('"', position), rest.size());
        const std::size_t backslash = rest.substr(0, quote).find('\\', position);
        if (backslash == std::string_view::npos) {
            return quote;
        }
        m_isEscaped = true;
        position = backslash + 1;
    }
    return rest.size();
}

void LongStringFilter::endString(std::string &output)
{
    if (std::exchange(m_isSkipping, false)) {
        output.resize(m_stringBegin);
        output += m_options.replacement;
    }
    const std::string_view content = std::string_view(output).substr(m_stringBegin);
    if (std::exchange(m_isIdNext, false)) {
        m_isObjectExempt = m_options.isExempt(content);
    } else {
        m_isIdNext = content == m_options.idField;
    }
    output += '"';
    m_isInString = false;
}

} // namespace damaskhall
