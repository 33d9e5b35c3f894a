#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "core/control/controlhooks.h"
#include "core/routingview.h"
#include "platform/platformclient.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace damaskhall {

/// Distance of the default control port from the traffic port.
inline constexpr std::uint16_t ControlPortOffset = 1000;

/// Returns the default control endpoint for the traffic endpoint @p traffic. Thread safety:
/// reentrant.
Endpoint defaultControlEndpoint(Endpoint traffic);

/// Settings of the control thread.
struct ControlOptions
{
    InstanceId self;
    Incarnation incarnation;
    Endpoint listen;
    std::string dataCentre;
    Endpoint platform;
    /// Control socket (UDP and TCP); null: defaultControlEndpoint(listen). Peers that know this
    /// instance only from the platform's list expect the default.
    Endpoint controlListen = {};
    /// Control endpoints of members to contact first, also during an outage of the platform.
    std::vector<Endpoint> seeds = {};
    /// Control endpoints of balancers in other data centres.
    std::vector<Endpoint> remotePeers = {};
};

/// Control thread: membership, configuration and upstream directory; publishes routing views. Can
/// start during an outage of the platform if a seed responds. Thread safety: public methods may be
/// called from any thread, start() and stop() from one.
class ControlWorker
{
public:
    using Publisher = std::function<void(std::shared_ptr<const RoutingView>)>;

    /// Preconditions: @p publish is set; it and the hooks are called on the control thread. Hooks
    /// that are not set get defaults: no counting, and random numbers seeded by the system.
    ControlWorker(const ControlOptions &options, Publisher publish, const ControlHooks &hooks = {});
    ~ControlWorker();
    ControlWorker(const ControlWorker &) = delete;
    ControlWorker &operator=(const ControlWorker &) = delete;

    /// Opens the control sockets and starts the threads. Errors: System with Step::OpenSocket.
    Result<void> start();
    /// Announces that the local instance is leaving.
    void beginLeaving();
    /// Reports to all members that an upstream is leaving.
    void reportLeaving(UpstreamId upstream);
    /// Returns the last published view; never null.
    std::shared_ptr<const RoutingView> view() const;
    /// Stops the threads and waits for them, at most for the platform call in progress (2 s).
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace damaskhall
