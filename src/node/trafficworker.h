#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "core/router.h"
#include "core/routingview.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace damaskhall {

/// Settings of the traffic path.
struct TrafficOptions
{
    InstanceId self;
    Incarnation incarnation;
    Endpoint listen;
};

/// Traffic thread: owns the main UDP socket, the paths to upstreams and the Router, and executes
/// the Router's actions. Datagrams to callers and other balancers are sent from the main socket.
/// Forwards and relays until stop(), also after beginLeaving(). Thread safety: public methods may
/// be called from any thread unless noted.
class TrafficWorker
{
public:
    /// Preconditions: all hooks are set; those that count and report may be called on the traffic
    /// thread.
    TrafficWorker(const TrafficOptions &options, const CoreHooks &hooks, Clock clock);
    ~TrafficWorker();
    TrafficWorker(const TrafficWorker &) = delete;
    TrafficWorker &operator=(const TrafficWorker &) = delete;

    /// Opens the socket and starts the thread. Errors: System with Step::OpenSocket.
    Result<void> start();

    /// Publishes a new view to the traffic thread. Precondition: @p view is not null.
    void publish(std::shared_ptr<const RoutingView> view);

    /// Starts a graceful stop of the dispatcher.
    void beginLeaving();

    /// Returns the dispatcher's load as of the last tick.
    DispatcherLoad load() const;

    /// Returns the dispatcher's status, at most 250 ms old.
    TrafficStatus status() const;

    /// Stops the thread and waits for it.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace damaskhall
