#include "config/diagnostics.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace damaskhall {

namespace {

std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0U);
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = std::exchange(row[0], i);
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({replaced, row[j] + 1, row[j - 1] + 1});
        }
    }
    return row.back();
}

} // namespace

std::string toString(const Diagnostic &diagnostic)
{
    std::string text = diagnostic.file;
    if (diagnostic.line > 0) {
        text += ":" + std::to_string(diagnostic.line);
    }
    return text + ": found " + diagnostic.found + "; expected " + diagnostic.expected;
}

Diagnostics::Diagnostics(std::string file)
    : m_file(std::move(file))
{
}

void Diagnostics::add(int line, std::string found, std::string expected)
{
    m_list.push_back({m_file, line, std::move(found), std::move(expected)});
}

void Diagnostics::addAt(std::string place, std::string found, std::string expected)
{
    m_list.push_back({std::move(place), 0, std::move(found), std::move(expected)});
}

std::vector<Diagnostic> Diagnostics::list() const
{
    std::vector<Diagnostic> sorted = m_list;
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const auto &a, const auto &b) { return a.line < b.line; });
    return sorted;
}

std::string Diagnostics::text() const
{
    std::string text;
    for (const Diagnostic &diagnostic : list()) {
        text += text.empty() ? "" : "\n";
        text += toString(diagnostic);
    }
    return text;
}

Error Diagnostics::toError(Step step) const
{
    return {ErrorCode::InvalidValue, step, m_file, text()};
}

std::string nearestName(std::string_view name, const std::vector<std::string> &known)
{
    std::string nearest;
    // More than half of the letters wrong is another word rather than a typing error.
    std::size_t best = name.size() / 2 + 1;
    for (const std::string &candidate : known) {
        const std::size_t distance = editDistance(name, candidate);
        if (distance < best) {
            best = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

} // namespace damaskhall
