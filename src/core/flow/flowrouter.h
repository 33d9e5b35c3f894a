#pragma once

#include "base/random.h"
#include "core/flow/flowdecision.h"
#include "core/flow/flowtable.h"
#include "core/flow/placement.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace damaskhall {

/// What the router needs from outside. All hooks must be set.
struct FlowRouterHooks
{
    RandomSource random;
    /// Called for each decision; must be quick.
    std::function<void(const FlowPacket &, const FlowDecision &, Milliseconds now)> report;
    /// Called with the time from a request to the client's acknowledgment of its answer, and the
    /// route's target; zero: the route is gone.
    std::function<void(const FlowPacket &, UpstreamKey, Milliseconds duration, Milliseconds target)>
            reportAnswer;
    /// Called with the time from a client's first opening packet to the end of the handshake.
    std::function<void(const FlowPacket &, Milliseconds duration)> reportOpening;
    /// Asks for a connection attempt; its result comes with handleProbe().
    std::function<void(UpstreamKey, Endpoint)> probe;
};

/// Decides what happens to each packet of a client: a chain of filters, the first that decides
/// wins. Deterministic; holds no clock, thread or socket. Thread safety: none.
class FlowRouter
{
public:
    /// Precondition: all hooks are set.
    FlowRouter(DataCentreId dataCentre, FlowRouterHooks hooks);

    /// Takes a new view. Precondition: @p view is not null.
    void handleView(std::shared_ptr<const FlowView> view);
    /// Decides about one packet of a client and learns from it.
    FlowDecision handlePacket(const FlowPacket &packet, Milliseconds now);
    /// Takes the result of a connection attempt. Returns the last packets of flows to reset: their
    /// upstream cannot be reached, and their clients may ask another one.
    std::vector<FlowPacket> handleProbe(UpstreamKey upstream, bool isReachable, Milliseconds now);
    /// Forgets ended flows and smooths averages; call about every 100 ms.
    void tick(Milliseconds now);

    std::size_t flowCount() const { return m_flows.size(); }

private:
    struct Context
    {
        const FlowPacket &packet;
        Milliseconds now;
        const Route *route = nullptr;
        Flow *flow = nullptr;
    };

    using Filter = std::optional<FlowDecision> (FlowRouter::*)(Context &);

    std::optional<FlowDecision> filterNotStarted(Context &context);
    std::optional<FlowDecision> filterRoute(Context &context);
    std::optional<FlowDecision> filterOpening(Context &context);
    std::optional<FlowDecision> filterKnownFlow(Context &context);
    std::optional<FlowDecision> filterCookie(Context &context);

    /// @p begin: when the client asked first.
    FlowDecision place(Context &context, std::optional<UpstreamKey> avoided, Milliseconds begin,
                       FlowReason reason);
    FlowDecision forward(const Context &context, const UpstreamRecord &record,
                         FlowReason reason) const;
    std::optional<FlowDecision> filterLostUpstream(const Context &context,
                                                   const UpstreamRecord *record) const;
    std::optional<FlowDecision> filterUnreachable(const Context &context) const;
    void probe(const Flow &flow, Milliseconds now);
    void sendProbe(UpstreamAccount &account, Milliseconds now);
    void observe(Context &context);

    FlowRouterHooks m_hooks;
    std::shared_ptr<const FlowView> m_view = std::make_shared<const FlowView>();
    UpstreamLedger m_ledger;
    FlowTable m_flows;
    Placement m_placement;
    Milliseconds m_nextTick;
};

} // namespace damaskhall
