#pragma once

#include "base/endpoint.h"
#include "base/milliseconds.h"
#include "config/diagnostics.h"
#include "config/inidocument.h"

#include <cstdint>
#include <string>
#include <vector>

namespace damaskhall {

/// Settings of one flow forwarder. The default limits are the shortest that platforms have stated
/// so far. Thread safety: a plain value.
struct ForwarderSettings
{
    /// Name of the instance in logs.
    std::string name;
    std::string dataCentre;
    /// Data centres that are near each other; their forwarders share the reading of the store.
    std::string region;
    /// UDP: packets of clients and to upstreams.
    Endpoint listen;
    /// TCP: readiness and metrics.
    Endpoint statusListen;
    /// UDP: other forwarders; null: this one reads the store alone.
    Endpoint peerListen;
    /// Peer sockets of instances to ask first; may be out of date.
    std::vector<Endpoint> seeds;
    Endpoint store;
    /// Time from the store's acceptance of an upstream's leaving to its last new flow.
    Milliseconds leavingLimit = 3_s;
    /// Time from the store's acceptance of a declaration until it is in force everywhere.
    Milliseconds declarationLimit = 3_s;
    /// Longest life of a flow.
    Milliseconds flowLifetime = 60_s;
    /// Time from the request to stop until the process is killed.
    Milliseconds stopLimit = 6_s;
    /// Time after the store's return within which lapsed entries are written again.
    Milliseconds confirmation;
    std::string logLevel = "info";
    /// Names of all data centres; may be empty.
    std::vector<std::string> dataCentres;
    /// Time from the store's acceptance of an evacuation to the last new flow; zero if the platform
    /// states none.
    Milliseconds evacuationLimit;
    /// A cold upstream receives at most its declared rate times coldOvershoot plus coldSlack new
    /// flows in a second.
    double coldOvershoot = 1.0;
    double coldSlack = 0;
    /// Rate of the instance's link in Mbit/s; zero if the platform states none.
    double linkMbps = 0;
    /// Names of features that the platform asks for, in its own words.
    std::vector<std::string> platformFeatures;
};

/// Checks the section [forwarder] of @p document as a whole and adds every mistake to
/// @p diagnostics. The returned settings are complete only if none was added. Unknown keys are
/// mistakes. Thread safety: reentrant.
ForwarderSettings checkForwarderSettings(const IniDocument &document, Diagnostics &diagnostics);

/// Returns the longest time between two confirmations of what is known of the store with which the
/// limits are kept: a third of the shortest one, and 100 ms to 10 s. Thread safety: reentrant.
Milliseconds confirmationInterval(const ForwarderSettings &settings);

} // namespace damaskhall
