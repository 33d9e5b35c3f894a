#include "config/evacuationtext.h"

#include "config/inidocument.h"

#include <algorithm>

namespace damaskhall {

namespace {

// Returns the position at which a line begins; lines count from 1.
std::size_t lineStart(const std::string &text, int line)
{
    std::size_t start = 0;
    for (int i = 1; i < line; ++i) {
        start = std::min(text.find('\n', start), text.size() - 1) + 1;
    }
    return start;
}

} // namespace

std::string withEvacuation(const std::string &text, const std::string &dataCentre, bool isEvacuated)
{
    const std::string entry = std::string("evacuated = ") + (isEvacuated ? "yes" : "no");
    // The last line may lack its end.
    const bool isTerminated = text.empty() || text.back() == '\n';
    std::string result = isTerminated ? text : text + "\n";
    Diagnostics diagnostics("declaration");
    const IniDocument document = IniDocument::scan(text, diagnostics);
    const auto &sections = document.sections();
    const auto section = std::find_if(sections.begin(), sections.end(), [&](const auto &item) {
        return item.kind == "data_centre" && item.name == dataCentre;
    });
    if (section == sections.end()) {
        return result + "\n[data_centre " + dataCentre + "]\n" + entry + "\n";
    }
    const IniEntry *existing = section->find("evacuated");
    if (!existing) {
        return result.insert(lineStart(result, section->line + 1), entry + "\n");
    }
    const std::size_t start = lineStart(result, existing->line);
    const std::size_t end = result.find('\n', start);
    return result.replace(start, end - start, entry);
}

} // namespace damaskhall
