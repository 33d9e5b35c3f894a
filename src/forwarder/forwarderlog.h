#pragma once

#include "config/forwardersettings.h"
#include "core/control/controlhooks.h"
#include "core/flow/flowcontroller.h"
#include "forwarder/flowworker.h"
#include "io/boundedlog.h"

#include <string>

namespace damaskhall {

/// Log lines and metrics of a flow forwarder. Thread safety: the hooks are called on the thread of
/// their part, all others on the control thread.
class ForwarderLog
{
public:
    /// Precondition: @p log outlives this.
    ForwarderLog(BoundedLog &log, Clock clock);
    ~ForwarderLog();
    ForwarderLog(const ForwarderLog &) = delete;
    ForwarderLog &operator=(const ForwarderLog &) = delete;

    /// Returns hooks for the traffic thread, all but FlowRouterHooks::probe.
    FlowRouterHooks flowHooks(RandomSource random);
    /// Returns hooks for the control thread.
    FlowControllerHooks controlHooks(RandomSource random);

    /// Returns hooks for the peers, on the control thread.
    ControlHooks peerHooks(RandomSource random);

    void reportProbe(UpstreamKey upstream, Endpoint endpoint, bool isReachable);
    void reportPeerMistake(const Error &error, Endpoint peer);
    void reportStart(const ForwarderSettings &settings);
    void reportStop(std::string_view sentence, const ForwarderSettings &settings);
    void reportReload(const ForwarderSettings &before, const ForwarderSettings &after);
    void reportReloadFailure(const Error &error);

    /// Counts a call to the store and, unless it waited for a change, takes its time.
    void reportStoreCall(StoreCall::Kind kind, StoreOutcome outcome, Milliseconds duration);
    /// Takes the time since the store confirmed what a peer's update says, on its arrival.
    void reportNews(Milliseconds age);

    /// State outside of the log that the metrics show.
    struct State
    {
        const FlowController &controller;
        FlowCounts counts;
        /// Other forwarders that are not dead.
        std::size_t peers = 0;
        std::uint64_t lostLines = 0;
    };

    /// Returns all metrics in the Prometheus text format.
    std::string metrics(const State &state) const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace damaskhall
