#pragma once

#include "base/result.h"
#include "config/settings.h"

#include <memory>

namespace damaskhall {

/// One balancer: traffic thread, control thread and operators' interface.
/// Thread safety: all calls come from the main thread.
class BalancerProcess
{
public:
    /// Blocks SIGTERM and SIGINT for this thread and those that it starts.
    explicit BalancerProcess(const Settings &settings);
    ~BalancerProcess();
    BalancerProcess(const BalancerProcess &) = delete;
    BalancerProcess &operator=(const BalancerProcess &) = delete;

    /// Opens all sockets and starts all threads. Errors: System with Step::OpenSocket.
    Result<void> start();

    /// Serves until a signal, then stops gracefully; a second signal or stop_limit ends the stop.
    /// Returns true if no work was interrupted; otherwise prints what was.
    bool serve();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace damaskhall
