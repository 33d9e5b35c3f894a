#include "config/declarationparser.h"

#include "config/units.h"

#include <algorithm>
#include <array>
#include <optional>
#include <unordered_map>

namespace damaskhall {

namespace {

constexpr Milliseconds MaxTarget = 24_s * 3600;
constexpr std::size_t MaxNameLength = 64;

struct KindInfo
{
    std::string_view name;
    std::string_view targetKey;
};

// Index: the value of WorkKind.
constexpr std::array<KindInfo, 3> Kinds = {
        {{"feed", "push_within"}, {"request", "answer_within"}, {"upload", "stored_within"}}};

// Keys that other load balancers have and this one has not.
constexpr std::array<std::string_view, 9> ForeignKeys = {"weight",    "weights",  "address",
                                                         "addresses", "server",   "servers",
                                                         "backend",   "upstream", "upstreams"};

bool isName(std::string_view text)
{
    constexpr std::string_view Allowed = "abcdefghijklmnopqrstuvwxyz0123456789-_.";
    return !text.empty() && text.size() <= MaxNameLength &&
           text.find_first_not_of(Allowed) == std::string_view::npos;
}

std::string quoted(std::string_view text)
{
    return "'" + std::string(text) + "'";
}

std::string suggestion(const std::string &nearest)
{
    return nearest.empty() ? "" : " (nearest: " + nearest + ")";
}

/// Reads the sections of one document into a declaration.
class DeclarationChecker
{
public:
    DeclarationChecker(const IniDocument &document, Diagnostics &diagnostics)
        : m_document(document)
        , m_diagnostics(diagnostics)
    {
    }

    Declaration run()
    {
        // Services first, so that a class may stand before its service.
        for (const IniSection &section : m_document.sections()) {
            if (section.kind == "service") {
                readService(section);
            }
        }
        for (const IniSection &section : m_document.sections()) {
            if (section.kind == "class") {
                readClass(section);
            } else if (section.kind == "house") {
                readWorkspace(section);
            } else if (section.kind == "data_centre") {
                readDataCentre(section);
            } else if (section.kind != "service") {
                reportUnknownKind(section);
            }
        }
        if (!m_document.findSection("service")) {
            m_diagnostics.add(0, "no [service NAME] section", "at least one service");
        }
        sortByName();
        return std::move(m_declaration);
    }

private:
    using IdOwners = std::unordered_map<std::uint32_t, std::string>;

    void reportUnknownKind(const IniSection &section)
    {
        m_diagnostics.add(
                section.line, "section " + section.title(),
                "[service NAME], [class SERVICE/NAME], [house NAME] or [data_centre NAME]" +
                        suggestion(nearestName(section.kind,
                                               {"service", "class", "house", "data_centre"})));
    }

    bool checkName(const IniSection &section, std::string_view name)
    {
        if (isName(name)) {
            return true;
        }
        m_diagnostics.add(section.line, "name " + quoted(name) + " in " + section.title(),
                          "1 to 64 of a-z, 0-9, '-', '_' and '.'");
        return false;
    }

    /// Ids are hashes of names, so that two names may have the same id.
    void checkId(const IniSection &section, IdOwners &owners, std::uint32_t id)
    {
        const auto [found, isNew] = owners.emplace(id, section.name);
        if (!isNew) {
            m_diagnostics.add(section.line,
                              section.title() + " with the same id as " + quoted(found->second),
                              "another name: ids are hashes of names");
        }
    }

    void checkKeys(const IniSection &section, const std::vector<std::string> &known)
    {
        for (const IniEntry &entry : section.entries) {
            if (std::find(known.begin(), known.end(), entry.key) != known.end()) {
                continue;
            }
            const std::string found = "key " + quoted(entry.key) + " in " + section.title();
            if (std::find(ForeignKeys.begin(), ForeignKeys.end(), entry.key) != ForeignKeys.end()) {
                m_diagnostics.add(entry.line, found,
                                  "no weights and no addresses: capacity is learned, and the "
                                  "platform lists the upstreams");
            } else if (known.empty()) {
                m_diagnostics.add(entry.line, found,
                                  "no keys here: targets stand in [class SERVICE/NAME]");
            } else {
                m_diagnostics.add(entry.line, found, expectedKeys(entry.key, known));
            }
        }
    }

    static std::string expectedKeys(const std::string &key, const std::vector<std::string> &known)
    {
        const std::string nearest = nearestName(key, known);
        if (!nearest.empty()) {
            return quoted(nearest);
        }
        std::string list;
        for (const std::string &name : known) {
            list += (list.empty() ? "one of " : ", ") + name;
        }
        return list;
    }

    void readService(const IniSection &section)
    {
        checkKeys(section, {});
        if (!checkName(section, section.name)) {
            return;
        }
        const ServiceId id = serviceId(section.name);
        checkId(section, m_serviceIds, id.value);
        m_declaration.services.push_back({id, section.name, {}});
    }

    void readWorkspace(const IniSection &section)
    {
        checkKeys(section, {"name"});
        if (!checkName(section, section.name)) {
            return;
        }
        const WorkspaceId id = workspaceId(section.name);
        checkId(section, m_workspaceIds, id.value);
        WorkspaceDeclaration workspace{id, section.name};
        if (const IniEntry *entry = section.find("name")) {
            workspace.displayName = entry->value;
        }
        m_declaration.workspaces.push_back(std::move(workspace));
    }

    void readDataCentre(const IniSection &section)
    {
        checkKeys(section, {"evacuated"});
        if (!checkName(section, section.name)) {
            return;
        }
        const DataCentreId id = dataCentreId(section.name);
        checkId(section, m_dataCentreIds, id.value);
        const IniEntry *entry = section.find("evacuated");
        m_declaration.dataCentres.push_back({id, section.name, entry && readYesNo(*entry)});
    }

    bool readYesNo(const IniEntry &entry)
    {
        if (entry.value != "yes" && entry.value != "no") {
            m_diagnostics.add(entry.line, entry.key + " " + quoted(entry.value), "yes or no");
        }
        return entry.value == "yes";
    }

    void readClass(const IniSection &section)
    {
        const std::size_t slash = section.name.find('/');
        if (slash == std::string::npos) {
            m_diagnostics.add(section.line, "section " + section.title(), "[class SERVICE/NAME]");
            return;
        }
        const std::string service = section.name.substr(0, slash);
        const std::string name = section.name.substr(slash + 1);
        checkKeys(section, {"kind", "idempotent", "push_within", "answer_within", "stored_within"});
        ServiceDeclaration *declared = findService(section, service);
        const auto kind = readKind(section);
        const bool isIdempotent = readIdempotent(section, kind);
        const Milliseconds target = kind ? readTarget(section, *kind) : 0_ms;
        if (!checkName(section, name)) {
            return;
        }
        const ClassId id = classId(service, name);
        checkId(section, m_classIds, id.value);
        if (declared && kind) {
            declared->classes.push_back({id, name, *kind, isIdempotent, target});
        }
    }

    ServiceDeclaration *findService(const IniSection &section, const std::string &name)
    {
        std::vector<std::string> known;
        for (ServiceDeclaration &candidate : m_declaration.services) {
            if (candidate.name == name) {
                return &candidate;
            }
            known.push_back(candidate.name);
        }
        m_diagnostics.add(section.line, "service " + quoted(name) + " in " + section.title(),
                          "a service that is declared as [service NAME]" +
                                  suggestion(nearestName(name, known)));
        return nullptr;
    }

    std::optional<WorkKind> readKind(const IniSection &section)
    {
        const IniEntry *entry = section.find("kind");
        if (!entry) {
            m_diagnostics.add(section.line, section.title() + " without kind",
                              "'kind = feed', 'kind = request' or 'kind = upload'");
            return std::nullopt;
        }
        for (std::size_t i = 0; i < Kinds.size(); ++i) {
            if (entry->value == Kinds.at(i).name) {
                return static_cast<WorkKind>(i);
            }
        }
        m_diagnostics.add(
                entry->line, "kind " + quoted(entry->value),
                "feed, request or upload" +
                        suggestion(nearestName(entry->value, {"feed", "request", "upload"})));
        return std::nullopt;
    }

    bool readIdempotent(const IniSection &section, std::optional<WorkKind> kind)
    {
        const IniEntry *entry = section.find("idempotent");
        if (!entry) {
            return false;
        }
        if (kind && *kind != WorkKind::Request) {
            m_diagnostics.add(entry->line, "key 'idempotent' in " + section.title(),
                              "it only in a class of kind request");
        }
        return readYesNo(*entry);
    }

    Milliseconds readTarget(const IniSection &section, WorkKind kind)
    {
        const KindInfo &info = Kinds.at(static_cast<std::size_t>(kind));
        for (const KindInfo &other : Kinds) {
            const IniEntry *entry = section.find(other.targetKey);
            if (entry && other.name != info.name) {
                m_diagnostics.add(entry->line,
                                  "key " + quoted(other.targetKey) + " in a class of kind " +
                                          std::string(info.name),
                                  quoted(info.targetKey));
            }
        }
        const IniEntry *entry = section.find(info.targetKey);
        if (!entry) {
            m_diagnostics.add(section.line, section.title() + " without target",
                              "'" + std::string(info.targetKey) + " = DURATION'");
            return 0_ms;
        }
        const auto target = parseDuration(entry->value);
        if (!target || *target <= 0_ms || *target > MaxTarget) {
            m_diagnostics.add(entry->line, std::string(info.targetKey) + " " + quoted(entry->value),
                              "a whole number with unit from 1 ms to 24 h, such as '250 ms' or "
                              "'2 s'");
            return 0_ms;
        }
        return *target;
    }

    void sortByName()
    {
        const auto byName = [](const auto &a, const auto &b) { return a.name < b.name; };
        auto &services = m_declaration.services;
        std::sort(services.begin(), services.end(), byName);
        std::sort(m_declaration.workspaces.begin(), m_declaration.workspaces.end(), byName);
        std::sort(m_declaration.dataCentres.begin(), m_declaration.dataCentres.end(), byName);
        for (ServiceDeclaration &service : services) {
            std::sort(service.classes.begin(), service.classes.end(), byName);
        }
    }

    const IniDocument &m_document;
    Diagnostics &m_diagnostics;
    Declaration m_declaration;
    IdOwners m_serviceIds;
    IdOwners m_classIds;
    IdOwners m_workspaceIds;
    IdOwners m_dataCentreIds;
};

} // namespace

Result<Declaration> parseDeclaration(const std::string &text, const std::string &name)
{
    Diagnostics diagnostics(name);
    const IniDocument document = IniDocument::scan(text, diagnostics);
    Declaration declaration = checkDeclaration(document, diagnostics);
    if (!diagnostics.isEmpty()) {
        return diagnostics.toError(Step::CheckDeclaration);
    }
    return declaration;
}

Declaration checkDeclaration(const IniDocument &document, Diagnostics &diagnostics)
{
    return DeclarationChecker(document, diagnostics).run();
}

std::string formatDeclaration(const Declaration &declaration)
{
    std::string text;
    for (const ServiceDeclaration &service : declaration.services) {
        text += "[service " + service.name + "]\n\n";
        for (const ClassDeclaration &declared : service.classes) {
            const KindInfo &info = Kinds.at(static_cast<std::size_t>(declared.kind));
            text += "[class " + service.name + "/" + declared.name + "]\n";
            text += "kind = " + std::string(info.name) + "\n";
            if (declared.kind == WorkKind::Request) {
                text += std::string("idempotent = ") + (declared.idempotent ? "yes" : "no") + "\n";
            }
            text += std::string(info.targetKey) + " = " + formatDuration(declared.target) + "\n\n";
        }
    }
    for (const WorkspaceDeclaration &workspace : declaration.workspaces) {
        text += "[house " + workspace.name + "]\n";
        if (!workspace.displayName.empty()) {
            text += "name = " + workspace.displayName + "\n";
        }
    }
    for (const DataCentreDeclaration &dataCentre : declaration.dataCentres) {
        text += "[data_centre " + dataCentre.name + "]\n";
        text += std::string("evacuated = ") + (dataCentre.isEvacuated ? "yes" : "no") + "\n";
    }
    return text;
}

} // namespace damaskhall
