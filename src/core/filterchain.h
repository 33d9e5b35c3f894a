#pragma once

#include "core/reasons.h"
#include "core/routingview.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace damaskhall {

/// What the admission filters look at.
struct AdmissionContext
{
    const RoutingView &view;
    ServiceId service;
    ClassId workClass;
    WorkspaceId workspace;
    /// True for Open, which needs a feed class; false for Reserve, which needs another kind.
    bool opensFeed = false;
    /// Time left until the caller gives up; positive for Open.
    Milliseconds remaining;
    /// Live upstreams of the service.
    std::size_t liveUpstreams = 0;
};

/// Checks that run in order before work is admitted; the first refusal ends the chain.
/// Thread safety: const methods may be called from any thread.
class FilterChain
{
public:
    /// Returns a reason to refuse, or nothing to pass on.
    using Filter = std::function<std::optional<RefusalReason>(const AdmissionContext &)>;

    /// Precondition: @p filter is not empty.
    void append(Filter filter);

    /// Returns the first refusal, or nothing if all filters pass.
    std::optional<RefusalReason> run(const AdmissionContext &context) const;

    /// Returns the chain for Open and Reserve: declaration, service, class, kind, workspace,
    /// deadline, upstreams.
    static FilterChain forAdmission();

private:
    std::vector<Filter> m_filters;
};

} // namespace damaskhall
