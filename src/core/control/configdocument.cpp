#include "core/control/configdocument.h"

#include <nlohmann/json.hpp>
#include <sstream>
#include <xxhash.h>

namespace damaskhall {

std::string ConfigDocument::text() const
{
    std::string joined;
    for (const auto &[name, section] : sections) {
        joined += section;
    }
    return joined;
}

std::uint64_t ConfigDocument::contentHash() const
{
    std::uint64_t hash = 0;
    for (const auto &[name, section] : sections) {
        hash ^= XXH64(section.data(), section.size(), XXH64(name.data(), name.size(), 0));
    }
    return hash;
}

std::map<std::string, std::string> splitSections(const std::string &text)
{
    std::map<std::string, std::string> sections;
    std::string *current = nullptr;
    std::istringstream stream(text);
    std::string line;
    while (std::getline(stream, line)) {
        const std::size_t start = line.find_first_not_of(" \t\r");
        const bool isHeader = start != std::string::npos && line[start] == '[';
        if (isHeader || current == nullptr) {
            const std::size_t end = line.find(']');
            const std::string name =
                    isHeader && end != std::string::npos ? line.substr(start, end - start + 1) : "";
            current = &sections[name];
        }
        *current += line + "\n";
    }
    return sections;
}

Result<ConfigDocument> parseEnvelope(const std::string &envelope)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(envelope);
        ConfigDocument document;
        document.revision = Revision{json.at("revision").get<std::uint64_t>()};
        document.change = json.value("change", "");
        document.sections = splitSections(json.at("declaration").get<std::string>());
        return document;
    } catch (const nlohmann::json::exception &error) {
        return Error{ErrorCode::Malformed, Step::ReadPlatform, "", error.what()};
    }
}

} // namespace damaskhall
