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

    /// Returns hooks for the traffic thread, all but FlowHooks::probe.
    FlowHooks flowHooks(RandomSource random);
    /// Returns hooks for the control thread.
    FlowControlHooks controlHooks(RandomSource random);

    /// Returns hooks for the peers, on the control thread.
    ControlHooks peerHooks(RandomSource random);

    void reportProbe(UpstreamKey upstream, Endpoint endpoint, bool isReachable);
    void reportPeerMistake(const Error &error, Endpoint peer);
    void reportStart(const ForwarderSettings &settings);
    void reportStop(std::string_view sentence, const ForwarderSettings &settings);
    void reportReload(const ForwarderSettings &before, const ForwarderSettings &after);
    void reportReloadFailure(const Error &error);

    /// Returns all metrics in the Prometheus text format.
    std::string metrics(const FlowController &controller, const FlowCounts &counts,
                        std::uint64_t lostLines) const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace damaskhall
