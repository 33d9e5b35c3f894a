#pragma once

#include "core/control/controlhooks.h"
#include "core/reasons.h"
#include "core/routingview.h"
#include "node/logging.h"
#include "platform/declarationstore.h"

#include <memory>
#include <mutex>
#include <optional>

namespace damaskhall {

/// Logs what happens in a balancer. Thread safety: any thread.
class BalancerLog
{
public:
    explicit BalancerLog(Clock clock);

    /// Logs changes of the declaration, members and upstreams since the last view.
    void noteView(const std::shared_ptr<const RoutingView> &view);
    void noteControlEvent(ControlEvent event);
    void noteRefusal(RefusalReason reason);
    void noteRetry(RetryReason reason);
    void noteChange(const ChangeRequest &change, const ChangeResult &result);

    /// Returns false from the first repeated platform call until none was repeated for a while.
    /// Logs when that changes; call it about once a second.
    bool checkPlatform();

    const Logger &process() const { return m_process; }

private:
    void noteUpstreams(const RoutingView &before, const RoutingView &after);
    void noteMembers(const RoutingView &before, const RoutingView &after);

    Clock m_clock;
    Logger m_process{"balancer"};
    Logger m_control{"control"};
    Logger m_traffic{"traffic"};
    Logger m_admin{"admin"};
    LogLimiter m_limiter;
    std::mutex m_mutex;
    std::shared_ptr<const RoutingView> m_view;
    std::optional<Milliseconds> m_lastPlatformRetry;
    bool m_isPlatformReachable = true;
};

} // namespace damaskhall
