#include "config/declarationdiff.h"

#include "config/units.h"

#include <map>

namespace damaskhall {

namespace {

// Section title and its content in one line.
using Sections = std::map<std::string, std::string>;

std::string describe(const ClassDeclaration &declared)
{
    switch (declared.kind) {
    case WorkKind::Feed:
        return "feed, push_within " + formatDuration(declared.target);
    case WorkKind::Request:
        return std::string(declared.idempotent ? "idempotent " : "") + "request, answer_within " +
               formatDuration(declared.target);
    case WorkKind::Upload:
        return "upload, stored_within " + formatDuration(declared.target);
    }
    return {};
}

Sections sectionsOf(const Declaration &declaration)
{
    Sections sections;
    for (const ServiceDeclaration &service : declaration.services) {
        sections["service " + service.name] = "";
        for (const ClassDeclaration &declared : service.classes) {
            sections["class " + service.name + "/" + declared.name] = describe(declared);
        }
    }
    for (const WorkspaceDeclaration &workspace : declaration.workspaces) {
        sections["house " + workspace.name] = workspace.displayName;
    }
    for (const DataCentreDeclaration &dataCentre : declaration.dataCentres) {
        sections["data_centre " + dataCentre.name] =
                dataCentre.isEvacuated ? "evacuated" : "in service";
    }
    return sections;
}

std::string line(const std::string &verb, const std::string &title, const std::string &content)
{
    return verb + " [" + title + "]" + (content.empty() ? "" : ": " + content);
}

} // namespace

std::vector<std::string> diffDeclarations(const Declaration &before, const Declaration &after)
{
    const Sections old = sectionsOf(before);
    const Sections changed = sectionsOf(after);
    std::vector<std::string> lines;
    for (const auto &[title, content] : old) {
        const auto found = changed.find(title);
        if (found == changed.end()) {
            lines.push_back(line("removed", title, content));
        } else if (found->second != content) {
            lines.push_back(line("changed", title, content + " -> " + found->second));
        }
    }
    for (const auto &[title, content] : changed) {
        if (!old.contains(title)) {
            lines.push_back(line("added", title, content));
        }
    }
    return lines;
}

} // namespace damaskhall
