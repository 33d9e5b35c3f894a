#pragma once

#include "base/clock.h"
#include "core/routingview.h"
#include "platform/platformclient.h"

#include <functional>
#include <memory>
#include <string>

namespace damaskhall {

/// Settings of the control thread.
struct ControlOptions
{
    InstanceId self;
    Incarnation incarnation;
    Endpoint listen;
    std::string dataCentre;
    Endpoint platform;
};

/// Control thread: reads the platform and publishes routing views.
/// Thread safety: public methods may be called from any thread.
class ControlWorker
{
public:
    using Publisher = std::function<void(std::shared_ptr<const RoutingView>)>;

    /// Precondition: @p publish is set; it is called on the control thread.
    ControlWorker(const ControlOptions &options, Publisher publish);
    ~ControlWorker();
    ControlWorker(const ControlWorker &) = delete;
    ControlWorker &operator=(const ControlWorker &) = delete;

    void start();
    /// Marks the own instance as leaving.
    void beginLeaving();
    /// Ends the thread and waits for it.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace damaskhall
