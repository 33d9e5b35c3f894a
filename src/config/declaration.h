#pragma once

#include "base/ids.h"
#include "base/milliseconds.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskhall {

enum class WorkKind : std::uint8_t {
    Feed,
    Request,
    Upload,
};

/// One class of work of a service and its target.
struct ClassDeclaration
{
    ClassId id;
    std::string name;
    WorkKind kind = WorkKind::Request;
    bool idempotent = false;
    /// Feed: time from push to receipt. Request: time from arrival to answer. Upload: time from
    /// arrival to storage.
    Milliseconds target;

    bool operator==(const ClassDeclaration &) const = default;
};

struct ServiceDeclaration
{
    ServiceId id;
    std::string name;
    std::vector<ClassDeclaration> classes;

    bool operator==(const ServiceDeclaration &) const = default;
};

struct WorkspaceDeclaration
{
    WorkspaceId id;
    std::string name;
    /// Optional text for people.
    std::string displayName = {};

    bool operator==(const WorkspaceDeclaration &) const = default;
};

/// A data centre that operators name, and whether it is evacuated.
struct DataCentreDeclaration
{
    DataCentreId id;
    std::string name;
    /// Its balancers admit no new work; what is open or running ends as usual.
    bool isEvacuated = false;

    bool operator==(const DataCentreDeclaration &) const = default;
};

/// What operators state. Plain data: sorted by name in each vector, so that equal declarations
/// compare equal. Thread safety: a plain value.
struct Declaration
{
    Revision revision;
    std::vector<ServiceDeclaration> services;
    std::vector<WorkspaceDeclaration> workspaces;
    /// Data centres without a section are in service.
    std::vector<DataCentreDeclaration> dataCentres = {};

    bool operator==(const Declaration &) const = default;

    /// Returns the service, or null if it is not declared. The pointer lives as long as *this.
    const ServiceDeclaration *findService(ServiceId id) const;
    /// Returns the class of the service, or null if either is not declared.
    const ClassDeclaration *findClass(ServiceId service, ClassId id) const;
    bool hasWorkspace(WorkspaceId id) const;
    bool isEvacuated(DataCentreId id) const;
};

/// Returns the id of a service: the 32-bit xxHash of its name. Thread safety: reentrant.
ServiceId serviceId(std::string_view service);
/// Returns the id of a class: the 32-bit xxHash of "service/class". Thread safety: reentrant.
ClassId classId(std::string_view service, std::string_view className);
/// Returns the id of a workspace: the 32-bit xxHash of its name. Thread safety: reentrant.
WorkspaceId workspaceId(std::string_view workspace);
/// Returns the id of a data centre: the 32-bit xxHash of its name. Thread safety: reentrant.
DataCentreId dataCentreId(std::string_view dataCentre);

} // namespace damaskhall
