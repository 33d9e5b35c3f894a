#include "config/declaration.h"

#include <algorithm>
#include <xxhash.h>

namespace damaskhall {

namespace {

std::uint32_t hashName(std::string_view name)
{
    return XXH32(name.data(), name.size(), 0);
}

} // namespace

const ServiceDeclaration *Declaration::findService(ServiceId id) const
{
    const auto found = std::find_if(services.begin(), services.end(),
                                    [id](const auto &service) { return service.id == id; });
    return found == services.end() ? nullptr : &*found;
}

const ClassDeclaration *Declaration::findClass(ServiceId service, ClassId id) const
{
    const ServiceDeclaration *declared = findService(service);
    if (!declared) {
        return nullptr;
    }
    const auto &classes = declared->classes;
    const auto found = std::find_if(classes.begin(), classes.end(),
                                    [id](const auto &candidate) { return candidate.id == id; });
    return found == classes.end() ? nullptr : &*found;
}

bool Declaration::hasWorkspace(WorkspaceId id) const
{
    return std::any_of(workspaces.begin(), workspaces.end(),
                       [id](const auto &workspace) { return workspace.id == id; });
}

bool Declaration::isEvacuated(DataCentreId id) const
{
    return std::any_of(dataCentres.begin(), dataCentres.end(), [id](const auto &dataCentre) {
        return dataCentre.id == id && dataCentre.isEvacuated;
    });
}

ServiceId serviceId(std::string_view service)
{
    return {hashName(service)};
}

ClassId classId(std::string_view service, std::string_view className)
{
    return {hashName(std::string(service) + "/" + std::string(className))};
}

WorkspaceId workspaceId(std::string_view workspace)
{
    return {hashName(workspace)};
}

DataCentreId dataCentreId(std::string_view dataCentre)
{
    return {hashName(dataCentre)};
}

} // namespace damaskhall
