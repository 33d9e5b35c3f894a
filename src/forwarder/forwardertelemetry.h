#pragma once

#include "config/forwardersettings.h"
#include "core/control/controlhooks.h"
#include "core/flow/flowcontroller.h"
#include "forwarder/flowworker.h"
#include "io/boundedlog.h"

#include <string>
#include <vector>

namespace damaskhall {

/// Log lines and metrics of a flow forwarder. Thread safety: hooks are called on the thread that is
/// named at the method returning them; all methods are called on the control thread.
class ForwarderTelemetry
{
public:
    /// Precondition: @p log outlives this object.
    ForwarderTelemetry(BoundedLog &log, Clock clock);
    ~ForwarderTelemetry();
    ForwarderTelemetry(const ForwarderTelemetry &) = delete;
    ForwarderTelemetry &operator=(const ForwarderTelemetry &) = delete;

    /// Sets the names of data centres, for log lines and metrics; others appear by their ids.
    void setDataCentres(const std::vector<std::string> &names);

    /// Returns hooks for the traffic thread. FlowRouterHooks::probe and
    /// FlowRouterHooks::confirmDeclaration are left unset.
    FlowRouterHooks flowHooks(RandomSource random);
    /// Returns hooks for the FlowController, called on the control thread.
    FlowControllerHooks controlHooks(RandomSource random);

    /// Returns hooks for the PeerController, called on the control thread.
    ControlHooks peerHooks(RandomSource random);

    void reportProbeResult(UpstreamKey upstream, Endpoint endpoint, bool isReachable);
    void reportPeerDecodeError(const Error &error, Endpoint peer);
    void reportStart(const ForwarderSettings &settings);
    void reportStopProgress(std::string_view message, const ForwarderSettings &settings);
    void reportReload(const ForwarderSettings &before, const ForwarderSettings &after);
    void reportReloadFailure(const Error &error);

    /// Counts a store call and records its duration, except for watches, which wait for a change.
    /// @p bytes: size of the response's body.
    void reportStoreCall(const StoreCall &call, StoreOutcome outcome, std::size_t bytes,
                         Milliseconds duration);
    /// Kind of a datagram to a peer.
    enum class PeerDatagram : std::uint8_t {
        Membership,
        DirectoryUpdate,
        ChangesRequest,
    };
    /// Counts a datagram of @p bytes sent to a peer.
    void countPeerDatagram(PeerDatagram kind, std::size_t bytes);
    /// Writes the totals of the control traffic to the log, at a limited rate; call at least once
    /// per second.
    void reportControlTraffic();
    /// Logs when packets begin to wait for the link, and when none has waited for a second; call at
    /// least once per second.
    void reportLink(const LinkSchedulerCounters &link);
    /// Writes the overloads to the log: their start and end, and one line per second and service in
    /// between. Call at least once per second.
    void reportAdmission(const AdmissionReport &report);
    /// Records the age of a peer's update on arrival: the time since the store confirmed its
    /// content.
    void reportUpdateAge(Milliseconds age);

    /// Values from other components that the metrics include.
    struct MetricsInput
    {
        const FlowController &controller;
        FlowCounters counters;
        /// Number of other forwarders that are not declared dead.
        std::size_t peers = 0;
        /// Log lines dropped because the output buffer was full.
        std::uint64_t lostLines = 0;
    };

    /// Returns all metrics in the Prometheus text format.
    std::string metrics(const MetricsInput &input) const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace damaskhall
