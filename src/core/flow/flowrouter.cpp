#include "core/flow/flowrouter.h"

#include <algorithm>
#include <array>
#include <utility>

namespace damaskhall {

namespace {

/// Interval at which averages are updated and ended flows removed; neither needs a finer one.
constexpr Milliseconds TickInterval = 100_ms;
/// Clients retransmit after 200 ms at the earliest; a packet that comes sooner was reordered.
constexpr Milliseconds MinRetransmission = 150_ms;
/// Time for which a failed connection attempt also applies to requests that are sent after it.
constexpr Milliseconds ProbeResultLifetime = 1_s;
/// Minimum age of a request at which its flow is reset: clients retransmit an unacknowledged packet
/// after 200 ms, and the time limit of the attempt is added.
constexpr Milliseconds UnreachableResetDelay = 300_ms;

/// Age of the last response up to which an upstream of the own data centre is preferred as the
/// reference of a connection attempt: an older one may have ended meanwhile.
constexpr Milliseconds OwnReferenceMaxAge = 1_s;
/// Backlog of the own link above which no further upload begins: half of the time after which
/// clients retransmit. With a longer one each packet of an upload arrives twice, which fills the
/// receiving side of the link and costs short requests their packets.
constexpr Milliseconds MaxUploadBacklog = 100_ms;
/// Minimum time between two requests to confirm the declaration; a read of the store takes less.
constexpr Milliseconds ConfirmationInterval = 500_ms;

/// Upper bound for the bytes that a client sends while copies of its opening packet may still
/// arrive. The first sequence number of a flow is drawn from all 32-bit numbers.
constexpr std::int32_t MaxFlowStartBytes = 1 << 20;

/// Upper bound for the bytes of a flow that pass through other balancers while this one has a
/// record of it. Larger numbers of a flow are found by its cookie, as if there were no record.
constexpr std::int32_t MaxSequenceGap = 1 << 24;
/// Age of a record's last packet from which packets of another flow with the same addresses replace
/// it: until then they may be late ones of the flow before.
constexpr Milliseconds StaleRecordAge = 2_s;

constexpr std::int32_t sequenceDistance(std::uint32_t from, std::uint32_t to)
{
    return static_cast<std::int32_t>(to - from);
}

// Returns whether an opening packet is a retransmission of the one that opened @p flow.
bool isOpeningOf(const Flow &flow, const FlowPacket &packet)
{
    if (flow.wasOpeningSeen) {
        return packet.sequence == flow.firstSequence;
    }
    const std::int32_t sent = sequenceDistance(packet.sequence, flow.firstSequence);
    return sent > 0 && sent <= MaxFlowStartBytes;
}

bool isWithin(std::int32_t distance, std::int32_t limit)
{
    return distance >= -limit && distance <= limit;
}

// Returns whether a packet that opens no flow continues the numbers of @p flow. A client's next
// flow from the same port begins with numbers that have nothing to do with these.
bool continues(const Flow &flow, const FlowPacket &packet)
{
    const std::int32_t sent = sequenceDistance(flow.nextClientSequence, packet.sequence);
    if (flow.phase == FlowPhase::Opening) {
        // A reset may have the number of the opening packet.
        return sent >= -1 && sent <= MaxFlowStartBytes;
    }
    const std::int32_t answered = sequenceDistance(flow.acknowledged, packet.acknowledgment);
    return isWithin(sent, MaxSequenceGap) && (packet.isReset || isWithin(answered, MaxSequenceGap));
}

FlowDecision makeDecision(FlowAction action, FlowReason reason)
{
    FlowDecision decision;
    decision.action = action;
    decision.reason = reason;
    return decision;
}

} // namespace

FlowRouter::FlowRouter(const FlowRouterOptions &options, FlowRouterHooks hooks)
    : m_hooks(std::move(hooks))
    , m_dataCentre(options.dataCentre)
    , m_flows(m_upstreamStats)
    , m_detector(detectorHooks())
    , m_placement(options.dataCentre)
    , m_spillover(options.dataCentre, options.isSpilloverEnabled, m_hooks.reportSpill)
    , m_cold(options.cold)
{
    if (options.isAdmissionControlled) {
        m_admission.emplace();
    }
}

void FlowRouter::handleView(std::shared_ptr<const FlowView> view)
{
    if (m_view->isUsable() && m_view->routes().revision != view->routes().revision) {
        m_answers.handleRoutes(m_view->routes(), view->routes());
    }
    m_view = std::move(view);
    m_upstreamStats.handleView(*m_view);
    m_spillover.handleView(*m_view);
}

void FlowRouter::handleDeclarationState(const DeclarationState &state)
{
    m_declarationState = state;
}

void FlowRouter::handleMembers(const std::vector<MemberView> &members, Milliseconds now)
{
    m_cold.handleMembers(members, now);
}

FlowDecision FlowRouter::handlePacket(const FlowPacket &packet, Milliseconds now)
{
    static constexpr std::array<Filter, 5> Chain = {
            &FlowRouter::filterNotStarted, &FlowRouter::filterRoute, &FlowRouter::filterOpening,
            &FlowRouter::filterKnownFlow, &FlowRouter::filterCookie};
    PacketContext context{packet, now};
    FlowDecision decision = makeDecision(FlowAction::Drop, FlowReason::NoCookie);
    for (const Filter filter : Chain) {
        if (const auto decided = (this->*filter)(context)) {
            decision = *decided;
            break;
        }
    }
    decision.declaration = m_view->isUsable() ? m_view->routes().revision : Revision{};
    m_hooks.report(packet, decision, now);
    return decision;
}

std::optional<FlowDecision> FlowRouter::filterNotStarted(PacketContext &)
{
    if (m_view->isUsable()) {
        return std::nullopt;
    }
    return makeDecision(FlowAction::Hold, FlowReason::NotStarted);
}

Flow *FlowRouter::findFlow(const FlowPacket &packet)
{
    Flow *flow = m_flows.find(packet.key);
    if (flow && packet.isOpening && !isOpeningOf(*flow, packet)) {
        m_flows.erase(packet.key);
        return nullptr;
    }
    return flow && (packet.isOpening || continues(*flow, packet)) ? flow : nullptr;
}

// A removed route ends its flows. A route that is missing in the declaration in force may have been
// added by a newer one, under which another balancer opened the flow: the flow continues by its
// cookie until the route is known to be removed.
std::optional<FlowDecision> FlowRouter::filterRoute(PacketContext &context)
{
    const FlowKey &key = context.packet.key;
    context.route = m_view->routes().find(key.route);
    context.flow = findFlow(context.packet);
    if (context.route) {
        return std::nullopt;
    }
    if (context.flow && isRouteRemoved(*context.flow)) {
        m_flows.erase(key);
        return makeDecision(context.packet.isReset ? FlowAction::Drop : FlowAction::Reset,
                            FlowReason::RouteRemoved);
    }
    if (!context.packet.isOpening) {
        return std::nullopt;
    }
    if (context.flow || !isMissingRouteCertain()) {
        return makeDecision(FlowAction::Drop, FlowReason::NoRouteUnconfirmed);
    }
    return makeDecision(FlowAction::Reset, FlowReason::NoRoute);
}

bool FlowRouter::isMissingRouteCertain() const
{
    return m_view->isCurrent() && m_declarationState.newest <= m_view->routes().revision;
}

// Precondition: the declaration in force lacks the flow's route. As declarations are applied in
// ascending order, the route was removed if an earlier one had it, or if the flow is older than the
// read that confirmed this one. A newer one that the store has lost may have it.
bool FlowRouter::isRouteRemoved(const Flow &flow) const
{
    const Revision inForce = m_view->routes().revision;
    return flow.wasRouteDeclared ||
           (m_declarationState.confirmed == inForce && m_declarationState.newest <= inForce &&
            m_declarationState.confirmedAt > flow.firstSeen);
}

void FlowRouter::requestConfirmation(Milliseconds now)
{
    if (now >= m_nextConfirmation) {
        m_nextConfirmation = now + ConfirmationInterval;
        m_hooks.confirmDeclaration();
    }
}

std::optional<FlowDecision> FlowRouter::filterOpening(PacketContext &context)
{
    if (!context.packet.isOpening) {
        return std::nullopt;
    }
    if (!context.flow && context.route->kind == RouteKind::Upload &&
        m_linkBacklog > MaxUploadBacklog) {
        return makeDecision(FlowAction::Drop, FlowReason::LinkBacklog);
    }
    if (!context.flow) {
        return placeFlow(context, std::nullopt, context.now, FlowReason::Placed);
    }
    Flow &flow = *context.flow;
    const UpstreamRecord *record = m_view->findHolder(flow.upstream);
    const UpstreamStats &stats = m_upstreamStats.at(flow.statsId);
    const bool mayServe = record && routesTo(*context.route, record->entry.service) &&
                          !m_view->isEvacuated(record->entry.dataCentre) &&
                          (record->health == UpstreamHealth::Ready ||
                           record->health == UpstreamHealth::Unconfirmed);
    // Answers from two upstreams would confuse the client, so a retransmitted opening packet is
    // only moved away from an upstream that does not respond.
    const bool isAlive = !Placement::isSilent(stats, context.now);
    const bool isOpen = flow.phase != FlowPhase::Opening;
    const bool isRestarted = record && record->entry.key != flow.upstream;
    if (isOpen && (!mayServe || isRestarted)) {
        // A late retransmission; the flow continues at its upstream.
        return makeDecision(FlowAction::Drop, FlowReason::OpeningRepeated);
    }
    if (mayServe && (isAlive || isOpen) &&
        (!isRestarted || mayFollowRestart(*record, context.now))) {
        if (isRestarted) {
            m_flows.move(flow, record->entry);
        }
        flow.lastSeen = context.now;
        m_upstreamStats.recordOpening(flow.statsId, context.now);
        return makeForwardDecision(context, *record, FlowReason::OpeningRepeated);
    }
    const UpstreamKey last = flow.upstream;
    const Milliseconds firstAttemptAt = flow.requestAt;
    m_flows.erase(context.packet.key);
    return placeFlow(context, last, firstAttemptAt, FlowReason::OpeningMoved);
}

FlowDecision FlowRouter::placeFlow(PacketContext &context, std::optional<UpstreamKey> avoided,
                                   Milliseconds firstAttemptAt, FlowReason reason)
{
    const ServiceId service = chooseService(*context.route, m_hooks.random());
    // A retransmission was admitted before, possibly by another balancer: a refused client is
    // reset.
    if (reason == FlowReason::Placed && context.packet.copy == 0) {
        if (const auto refused = filterAdmission(context, service)) {
            return *refused;
        }
    }
    auto preferred = m_spillover.choose(service, m_hooks.random);
    if (preferred && m_view->candidates(service, *preferred).empty()) {
        preferred.reset();
    }
    m_cold.beginChoice(m_view->routes(), service, context.now);
    const UpstreamRecord *record =
            m_placement.choose(*m_view, m_upstreamStats, service, avoided, preferred, m_cold,
                               context.now, m_hooks.random);
    m_cold.endChoice(record);
    if (!record) {
        return makeUnplacedDecision(service);
    }
    m_spillover.countFlow(record->entry.dataCentre, preferred);
    Flow &flow = m_flows.insert(context.packet.key, record->entry, FlowPhase::Opening, context.now);
    flow.wasRouteDeclared = true;
    flow.firstSequence = context.packet.sequence;
    flow.wasOpeningSeen = true;
    flow.nextClientSequence = context.packet.sequence + 1;
    flow.requestAt = firstAttemptAt;
    m_upstreamStats.recordOpening(flow.statsId, context.now);
    return makeForwardDecision(context, *record, reason);
}

std::optional<FlowDecision> FlowRouter::filterAdmission(const PacketContext &context,
                                                        ServiceId service)
{
    const FlowOpening opening{service, context.packet.key, context.route->priority};
    if (!m_admission || m_admission->admit(opening, m_hooks.random, context.now)) {
        return std::nullopt;
    }
    return makeDecision(FlowAction::Reset, FlowReason::Overload);
}

AdmissionReport FlowRouter::admissionReport() const
{
    AdmissionReport report;
    if (!m_admission) {
        return report;
    }
    report.services = m_admission->states();
    report.refusals = m_admission->refusals();
    for (AdmissionState &state : report.services) {
        state.name = m_view->isUsable() ? m_view->routes().serviceName(state.service) : "unknown";
    }
    return report;
}

FlowDecision FlowRouter::makeUnplacedDecision(ServiceId service) const
{
    const FlowAction action = m_view->isCurrent() ? FlowAction::Reset : FlowAction::Drop;
    // Placement excludes a candidate only because of the limit for cold upstreams.
    if (!m_view->candidates(service).empty()) {
        return makeDecision(action, FlowReason::ColdLimit);
    }
    if (!m_view->isCurrent()) {
        return makeDecision(action, FlowReason::NoUpstreamUnconfirmed);
    }
    return makeDecision(action, m_view->hasEvacuatedUpstreams(service) ? FlowReason::AllEvacuated
                                                                       : FlowReason::NoUpstream);
}

// A retransmitted opening packet is a new flow to an upstream that has restarted since the first.
bool FlowRouter::mayFollowRestart(const UpstreamRecord &record, Milliseconds now)
{
    m_cold.beginChoice(m_view->routes(), record.entry.service, now);
    if (!m_cold.mayReceive(record)) {
        return false;
    }
    m_cold.endChoice(&record);
    return true;
}

FlowDecision FlowRouter::makeForwardDecision(const PacketContext &context,
                                             const UpstreamRecord &record, FlowReason reason) const
{
    FlowDecision decision;
    decision.action = FlowAction::Forward;
    decision.reason = reason;
    decision.upstream = record.entry.key;
    decision.endpoint = record.entry.endpoint;
    decision.cookie = flowCookie(record.entry.key.id, context.packet.key.route);
    return decision;
}

std::optional<FlowDecision> FlowRouter::filterKnownFlow(PacketContext &context)
{
    if (!context.flow) {
        return std::nullopt;
    }
    Flow &flow = *context.flow;
    const FlowPacket &packet = context.packet;
    if (flow.phase == FlowPhase::Opening) {
        // The first packet after the handshake carries the cookie of the upstream that the client
        // accepted. Retransmitted opening packets may have gone to another one.
        const UpstreamRecord *accepted = m_view->findByCookie(packet.cookie, packet.key.route);
        if (accepted && accepted->entry.key.id != flow.upstream.id) {
            m_flows.move(flow, accepted->entry);
        }
    }
    const UpstreamRecord *record = m_view->findHolder(flow.upstream);
    if (const auto lost = filterReplacedUpstream(context, record)) {
        m_flows.erase(packet.key);
        return lost;
    }
    // The flow may have ended with the earlier incarnation. If so, the current one resets it.
    const bool isRestarted = record->entry.key != flow.upstream;
    if (isRestarted) {
        m_flows.move(flow, record->entry);
    }
    const FlowDecision decision = makeForwardDecision(context, *record,
                                                      isRestarted ? FlowReason::UpstreamRestarted
                                                                  : FlowReason::Established);
    flow.isIdempotent = context.route && context.route->kind == RouteKind::Idempotent;
    updateFlow(context);
    if (const auto unreachable = filterUnreachable(context)) {
        m_flows.erase(packet.key);
        return unreachable;
    }
    return decision;
}

std::optional<FlowDecision> FlowRouter::filterCookie(PacketContext &context)
{
    const FlowPacket &packet = context.packet;
    if (packet.cookie == FlowCookie{}) {
        return makeDecision(FlowAction::Drop, FlowReason::NoCookie);
    }
    const UpstreamRecord *record = m_view->findByCookie(packet.cookie, packet.key.route);
    if (!record) {
        return makeDecision(FlowAction::Drop, FlowReason::UnknownCookie);
    }
    if (const auto lost = filterReplacedUpstream(context, record)) {
        return lost;
    }
    const FlowDecision decision = makeForwardDecision(context, *record, FlowReason::Recovered);
    const Flow *other = m_flows.find(packet.key);
    const bool isRecordFree = !other || context.now - other->lastSeen >= StaleRecordAge;
    if (!packet.isReset && !packet.isClosing && isRecordFree) {
        m_flows.erase(packet.key);
        Flow &flow = m_flows.insert(packet.key, record->entry, FlowPhase::Open, context.now);
        flow.acknowledged = packet.acknowledgment;
        flow.firstSequence = packet.sequence;
        flow.nextClientSequence = packet.sequence;
        context.flow = &flow;
        updateFlow(context);
    }
    return decision;
}

// An upstream whose address belongs to another one receives no packets any more. The reset lets the
// client retry at once instead of waiting for its timeout.
std::optional<FlowDecision> FlowRouter::filterReplacedUpstream(const PacketContext &context,
                                                               const UpstreamRecord *record) const
{
    const FlowAction action = context.packet.isReset ? FlowAction::Drop : FlowAction::Reset;
    if (record && record->health != UpstreamHealth::Replaced) {
        return std::nullopt;
    }
    FlowDecision decision = makeDecision(action, FlowReason::UpstreamReplaced);
    decision.upstream = record ? record->entry.key : UpstreamKey{};
    return decision;
}

// A request to an upstream that has just failed a connection attempt would wait in vain. The client
// of an idempotent request is reset so that it retries at another upstream at once; any other
// request is forwarded, as the upstream may recover before its client gives up.
std::optional<FlowDecision> FlowRouter::filterUnreachable(const PacketContext &context) const
{
    const Flow *flow = context.flow;
    if (!flow || !flow->isIdempotent || !flow->isBusy || context.packet.length == 0) {
        return std::nullopt;
    }
    const UpstreamStats &stats = m_upstreamStats.at(flow->statsId);
    if (!stats.unreachableAt || context.now - *stats.unreachableAt >= ProbeResultLifetime) {
        return std::nullopt;
    }
    return makeDecision(FlowAction::Reset, FlowReason::UpstreamUnreachable);
}

UnreachableDetector::Hooks FlowRouter::detectorHooks()
{
    UnreachableDetector::Hooks hooks;
    hooks.attempt = [this](UpstreamKey upstream) {
        if (const UpstreamRecord *record = m_view->find(upstream)) {
            m_hooks.probe(upstream, record->entry.endpoint);
        }
    };
    hooks.chooseReference = [this](UpstreamKey suspect, Milliseconds now) {
        return chooseReference(suspect, now);
    };
    hooks.reportWithheld = m_hooks.reportWithheld;
    return hooks;
}

// Prefers upstreams of the own data centre, which stay reachable while data centres are cut off
// from each other, and among them the one that responded last.
std::optional<UpstreamKey> FlowRouter::chooseReference(UpstreamKey suspect, Milliseconds now) const
{
    const UpstreamStats *best = nullptr;
    bool isBestPreferred = false;
    for (const UpstreamRecord &record : m_view->upstreams()) {
        const bool isListed = record.health == UpstreamHealth::Ready ||
                              record.health == UpstreamHealth::Unconfirmed;
        const UpstreamStats *stats = isListed ? m_upstreamStats.find(record.entry.key) : nullptr;
        if (!stats || stats->lastAliveAt == Milliseconds{} || stats->silentSince ||
            stats->unreachableAt || record.entry.key == suspect) {
            continue;
        }
        const bool isPreferred = record.entry.dataCentre == m_dataCentre &&
                                 now - stats->lastAliveAt < OwnReferenceMaxAge;
        const bool isBetter = !best || std::pair(isPreferred, stats->lastAliveAt) >
                                               std::pair(isBestPreferred, best->lastAliveAt);
        if (isBetter && m_detector.mayBeReference(record.entry.key, now)) {
            best = stats;
            isBestPreferred = isPreferred;
        }
    }
    return best ? std::optional(best->key) : std::nullopt;
}

std::vector<FlowPacket> FlowRouter::handleProbe(UpstreamKey upstream, bool isReachable,
                                                Milliseconds now)
{
    if (const auto id = m_upstreamStats.findId(upstream); id && isReachable) {
        m_upstreamStats.at(*id).unreachableAt.reset();
    }
    // After a pause, results may be processed before the timer that was due in it.
    checkTimerLateness(now);
    std::vector<FlowPacket> resets;
    for (const UpstreamKey unreachable : m_detector.handleResult(upstream, isReachable, now)) {
        handleUnreachable(unreachable, now, resets);
    }
    return resets;
}

void FlowRouter::handleUnreachable(UpstreamKey upstream, Milliseconds now,
                                   std::vector<FlowPacket> &resets)
{
    const auto id = m_upstreamStats.findId(upstream);
    if (!id || m_upstreamStats.at(*id).lastAliveAt >= m_detector.roundStart(upstream)) {
        return;
    }
    UpstreamStats &stats = m_upstreamStats.at(*id);
    stats.unreachableAt = now;
    std::vector<FlowPacket> lost;
    m_flows.forEach([&](const FlowKey &key, const Flow &flow) {
        const bool isLost = flow.statsId == *id && flow.isBusy && flow.isIdempotent &&
                            flow.requestAt > stats.lastAliveAt &&
                            now - flow.requestAt >= UnreachableResetDelay;
        if (isLost) {
            FlowPacket packet;
            packet.key = key;
            packet.acknowledgment = flow.acknowledged;
            lost.push_back(packet);
        }
    });
    for (const FlowPacket &packet : lost) {
        m_flows.erase(packet.key);
        FlowDecision decision = makeDecision(FlowAction::Reset, FlowReason::UpstreamUnreachable);
        decision.upstream = upstream;
        m_hooks.report(packet, decision, now);
    }
    resets.insert(resets.end(), lost.begin(), lost.end());
}

// Updates the flow and the statistics of its upstream from a client's packet.
void FlowRouter::updateFlow(PacketContext &context)
{
    Flow &flow = *context.flow;
    const FlowPacket &packet = context.packet;
    const Milliseconds now = context.now;
    flow.lastSeen = now;
    if (context.route) {
        flow.wasRouteDeclared = true;
    } else {
        requestConfirmation(now);
    }
    if (flow.phase == FlowPhase::Opening) {
        m_flows.setPhase(flow, FlowPhase::Open);
        flow.acknowledged = packet.acknowledgment;
        m_upstreamStats.recordLiveness(flow.statsId, now);
        m_hooks.reportOpening(packet, now - flow.requestAt);
    }
    const std::int32_t answered = sequenceDistance(flow.acknowledged, packet.acknowledgment);
    if (answered > 0) {
        flow.acknowledged = packet.acknowledgment;
        if (flow.isBusy) {
            m_flows.setBusy(flow, false);
            recordAnswer(context, static_cast<std::uint32_t>(answered));
        }
        m_upstreamStats.recordLiveness(flow.statsId, now);
    }
    const std::uint32_t end = packet.sequence + packet.length;
    if (packet.length > 0 && sequenceDistance(flow.nextClientSequence, end) > 0) {
        flow.nextClientSequence = end;
        flow.requestAt = now;
        if (!flow.isBusy) {
            m_flows.setBusy(flow, true);
            m_upstreamStats.recordRequest(flow.statsId, now);
        }
        if (m_upstreamStats.at(flow.statsId).unreachableAt) {
            m_detector.suspect(flow.upstream, now);
        }
    } else if (packet.length > 0 && flow.isBusy && now - flow.requestAt >= MinRetransmission &&
               flow.requestAt > m_upstreamStats.at(flow.statsId).lastAliveAt) {
        // The client retransmits data that the upstream has not acknowledged.
        m_detector.suspect(flow.upstream, now);
    }
    if (packet.isReset) {
        m_flows.erase(packet.key);
        context.flow = nullptr;
    } else if (packet.isClosing && flow.phase == FlowPhase::Open) {
        m_flows.setBusy(flow, false);
        m_flows.setPhase(flow, FlowPhase::Closing);
    }
}

void FlowRouter::recordAnswer(const PacketContext &context, std::uint32_t bytes)
{
    const Flow &flow = *context.flow;
    const Milliseconds now = context.now;
    const Milliseconds duration = now - flow.requestAt;
    // An answer time above the client's timeout does not belong to that request: the flow passed
    // through another balancer in the meantime.
    if (context.route && duration > context.route->timeout) {
        return;
    }
    const ObservedAnswer answer{context.packet.key.route, bytes, duration};
    const AnswerKind kind = m_answers.classify(answer, now);
    m_upstreamStats.recordAnswer(flow.statsId, kind, duration, now);
    if (m_admission) {
        m_admission->recordAnswer(m_upstreamStats.at(flow.statsId).service, flow.upstream,
                                  context.packet.key, kind, now);
    }
    const double refusalFactor =
            m_upstreamStats.refusalFactor(m_upstreamStats.at(flow.statsId), now);
    m_spillover.recordAnswer(*m_view, flow.upstream, refusalFactor, answer, kind, now);
    m_hooks.reportAnswer(context.packet, flow.upstream, duration,
                         context.route ? context.route->target : Milliseconds{});
}

void FlowRouter::checkTimerLateness(Milliseconds now)
{
    if (m_nextTick > 0_ms && now > m_nextTick) {
        m_detector.handleTimerLateness(now - m_nextTick, now);
    }
}

CapacityStatus FlowRouter::capacityStatus(Milliseconds now) const
{
    CapacityStatus status;
    status.refusing = m_upstreamStats.refusingUpstreams(now);
    m_spillover.addStatus(status, *m_view, now);
    return status;
}

void FlowRouter::tick(Milliseconds now)
{
    if (now < m_nextTick) {
        return;
    }
    checkTimerLateness(now);
    m_nextTick = now + TickInterval;
    m_detector.tick(now);
    m_upstreamStats.tick();
    if (m_admission) {
        m_admission->tick(now);
    }
    m_spillover.tick(*m_view, now);
    m_cold.tick(now);
    FlowTable::Times times;
    if (m_view->isUsable() && m_view->routes().idleTimeout > 0_ms) {
        times.idle = m_view->routes().idleTimeout;
    }
    m_flows.tick(times, now);
}

} // namespace damaskhall
