#pragma once

#include "base/random.h"
#include "core/admission/admissioncontroller.h"
#include "core/flow/answerclassifier.h"
#include "core/flow/coldlimiter.h"
#include "core/flow/declarationstate.h"
#include "core/flow/flowdecision.h"
#include "core/flow/flowtable.h"
#include "core/flow/placement.h"
#include "core/flow/spillover.h"
#include "core/flow/unreachabledetector.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace damaskhall {

/// Random source and callbacks of the router. All hooks must be set, except where noted.
struct FlowRouterHooks
{
    RandomSource random;
    /// Called for each decision; must return quickly.
    std::function<void(const FlowPacket &, const FlowDecision &, Milliseconds now)> report;
    /// Called with the time from a request to the client's acknowledgment of the answer, and with
    /// the target of the route; a target of zero means that the route no longer exists.
    std::function<void(const FlowPacket &, UpstreamKey, Milliseconds duration, Milliseconds target)>
            reportAnswer;
    /// Called with the time from a client's first opening packet to the end of the handshake.
    std::function<void(const FlowPacket &, Milliseconds duration)> reportOpening;
    /// Requests a connection attempt; its result is passed to handleProbe().
    std::function<void(UpstreamKey, Endpoint)> probe;
    /// Called when an upstream failed its connection attempts and is not taken as unreachable.
    std::function<void(UpstreamKey, WithheldReason)> reportWithheld;
    /// Requests a read of the current declaration, as an open flow uses a route that the one in
    /// force lacks; the result is passed to handleDeclarationState().
    std::function<void()> confirmDeclaration;
    /// Called when flows of a service begin or cease to leave the own data centre. May be empty.
    Spillover::TransitionHook reportSpill = {};
};

/// Properties of the instance that decisions depend on. Thread safety: a plain value.
struct FlowRouterOptions
{
    /// Data centre of this instance.
    DataCentreId dataCentre;
    /// New flows may be refused while their service is overloaded.
    bool isAdmissionControlled = false;
    /// New flows may leave the own data centre while it is overloaded and others are not.
    bool isSpilloverEnabled = false;
    /// This instance in the fleet, and the bound for cold upstreams.
    ColdBudgetOptions cold = {};
};

/// Decides how to handle each client packet: runs a chain of filters and uses the first decision.
/// Deterministic; holds no clock, thread or socket. Thread safety: none.
class FlowRouter
{
public:
    /// Precondition: all hooks are set.
    FlowRouter(const FlowRouterOptions &options, FlowRouterHooks hooks);

    /// Replaces the view. Precondition: @p view is not null.
    void handleView(std::shared_ptr<const FlowView> view);
    /// Replaces what is known about the stored declaration. A declaration that @p state confirms is
    /// passed to handleView() first.
    void handleDeclarationState(const DeclarationState &state);
    /// Replaces the members of the fleet, among which the limits of cold upstreams are shared.
    void handleMembers(const std::vector<MemberView> &members, Milliseconds now);
    /// Sets the time in which this instance's link carries the packets that wait for it.
    void setLinkBacklog(Milliseconds backlog) { m_linkBacklog = backlog; }
    /// Decides about one client packet and updates the flow table and the upstream statistics.
    FlowDecision handlePacket(const FlowPacket &packet, Milliseconds now);
    /// Processes the result of a connection attempt. Returns one packet for each flow to reset,
    /// with the last acknowledgment of its client: the upstream is unreachable, and the clients may
    /// retry at another one.
    std::vector<FlowPacket> handleProbe(UpstreamKey upstream, bool isReachable, Milliseconds now);
    /// Removes ended flows and updates the averages; call about every 100 ms.
    void tick(Milliseconds now);

    std::size_t flowCount() const { return m_flows.size(); }
    /// Returns an empty report unless admission is controlled.
    AdmissionReport admissionReport() const;
    /// Returns what is known about the capacity of upstreams. Its effort grows with the fleet; call
    /// it about once per second.
    CapacityStatus capacityStatus(Milliseconds now) const;
    /// Counters of new flows that met cold upstreams, by service.
    const std::map<ServiceId, ColdCounters> &coldCounters() const { return m_cold.counters(); }

private:
    struct PacketContext
    {
        const FlowPacket &packet;
        Milliseconds now;
        const Route *route = nullptr;
        Flow *flow = nullptr;
    };

    using Filter = std::optional<FlowDecision> (FlowRouter::*)(PacketContext &);

    /// Returns the record of the flow that @p packet belongs to, or null. A client may use its port
    /// again for a new flow, while this instance still has the record of the one before. Such a
    /// record is removed if the packet opens the new flow.
    Flow *findFlow(const FlowPacket &packet);
    std::optional<FlowDecision> filterNotStarted(PacketContext &context);
    std::optional<FlowDecision> filterRoute(PacketContext &context);
    std::optional<FlowDecision> filterOpening(PacketContext &context);
    std::optional<FlowDecision> filterKnownFlow(PacketContext &context);
    std::optional<FlowDecision> filterCookie(PacketContext &context);

    /// @p firstAttemptAt: when the client sent its first opening packet.
    FlowDecision placeFlow(PacketContext &context, std::optional<UpstreamKey> avoided,
                           Milliseconds firstAttemptAt, FlowReason reason);
    /// Refuses a new flow while its service is overloaded.
    std::optional<FlowDecision> filterAdmission(const PacketContext &context, ServiceId service);
    FlowDecision makeUnplacedDecision(ServiceId service) const;
    bool mayFollowRestart(const UpstreamRecord &record, Milliseconds now);
    FlowDecision makeForwardDecision(const PacketContext &context, const UpstreamRecord &record,
                                     FlowReason reason) const;
    std::optional<FlowDecision> filterReplacedUpstream(const PacketContext &context,
                                                       const UpstreamRecord *record) const;
    std::optional<FlowDecision> filterUnreachable(const PacketContext &context) const;
    UnreachableDetector::Hooks detectorHooks();
    std::optional<UpstreamKey> chooseReference(UpstreamKey suspect, Milliseconds now) const;
    /// Adds a packet for each flow to reset to @p resets.
    void handleUnreachable(UpstreamKey upstream, Milliseconds now, std::vector<FlowPacket> &resets);
    void updateFlow(PacketContext &context);
    /// @p bytes: size of the first acknowledged part of the answer.
    void recordAnswer(const PacketContext &context, std::uint32_t bytes);
    void checkTimerLateness(Milliseconds now);
    bool isMissingRouteCertain() const;
    bool isRouteRemoved(const Flow &flow) const;
    void requestConfirmation(Milliseconds now);

    FlowRouterHooks m_hooks;
    DataCentreId m_dataCentre;
    std::shared_ptr<const FlowView> m_view = std::make_shared<const FlowView>();
    UpstreamStatsTable m_upstreamStats;
    AnswerClassifier m_answers;
    std::optional<AdmissionController> m_admission;
    FlowTable m_flows;
    UnreachableDetector m_detector;
    Placement m_placement;
    Spillover m_spillover;
    ColdLimiter m_cold;
    DeclarationState m_declarationState;
    Milliseconds m_linkBacklog;
    Milliseconds m_nextConfirmation;
    Milliseconds m_nextTick;
};

} // namespace damaskhall
