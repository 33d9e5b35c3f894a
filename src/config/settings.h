#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/milliseconds.h"
#include "config/diagnostics.h"
#include "config/inidocument.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace damaskhall {

/// Settings of one balancer process. Thread safety: a plain value.
struct Settings
{
    InstanceId id;
    std::string dataCentre;
    /// UDP: packets of callers, upstreams and other balancers.
    Endpoint listen;
    /// UDP and TCP: control messages of other balancers.
    Endpoint controlListen;
    /// TCP: operators' HTTP.
    Endpoint adminListen;
    Endpoint platform;
    /// Control endpoints of balancers to start from while the platform is down.
    std::vector<Endpoint> seeds;
    /// Control endpoints of balancers in other data centres.
    std::vector<Endpoint> remotePeers;
    std::map<std::uint8_t, std::array<std::uint8_t, 16>> tokenKeys;
    /// Key that seals new tokens; all keys open tokens.
    std::uint8_t currentTokenKey = 0;
    Milliseconds stopLimit = 30_s;
    /// Largest declaration that operators may apply, in bytes. The platform keeps values up to
    /// 1 MB, and the history needs some of it.
    std::uint64_t maxDeclarationBytes = std::uint64_t{768} * 1024;
    std::string logLevel = "info";
};

/// One key of the section [balancer] and its option on the command line.
struct SettingsKey
{
    std::string key;
    std::string option;
    std::string help;
};

/// Value of a setting that the command line gives; it takes precedence over the file.
struct SettingsOverride
{
    std::string key;
    std::string value;
};

/// Returns all keys in the order of documentation. Thread safety: reentrant.
std::vector<SettingsKey> settingsKeys();

/// Checks the section [balancer] of @p document and @p overrides as a whole and adds every mistake
/// to @p diagnostics. The returned settings are complete only if none was added.
/// Thread safety: reentrant.
Settings checkSettings(const IniDocument &document, const std::vector<SettingsOverride> &overrides,
                       Diagnostics &diagnostics);

} // namespace damaskhall
