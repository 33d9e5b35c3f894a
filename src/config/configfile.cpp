#include "config/configfile.h"

#include "config/declarationparser.h"
#include "config/forwardersettings.h"
#include "config/inidocument.h"
#include "config/settings.h"

#include <fstream>
#include <iterator>

namespace damaskhall {

namespace {

/// Largest value of the platform.
constexpr std::size_t MaxFileBytes = std::size_t{1024} * 1024;

} // namespace

Result<std::string> readFile(const std::string &name)
{
    std::ifstream stream(name, std::ios::binary);
    std::string text(std::istreambuf_iterator<char>(stream), {});
    if (!stream) {
        return Error{ErrorCode::NotFound, Step::ParseIni, name, "cannot read the file"};
    }
    if (text.size() > MaxFileBytes) {
        return Error{ErrorCode::Oversized, Step::ParseIni, name, "expected at most 1 MiB"};
    }
    return text;
}

Diagnostics checkConfigFile(const std::string &text, const std::string &name)
{
    Diagnostics diagnostics(name);
    const IniDocument document = IniDocument::scan(text, diagnostics);
    if (document.findSection("balancer")) {
        checkSettings(document, {}, diagnostics);
    } else if (document.findSection("forwarder")) {
        checkForwarderSettings(document, diagnostics);
    } else {
        checkDeclaration(document, diagnostics);
    }
    return diagnostics;
}

} // namespace damaskhall
