#include "core/control/controlplane.h"

#include <utility>
#include <xxhash.h>

namespace damaskhall {

namespace {

/// Number of members to which each member that gets a new update announces it.
constexpr std::size_t AnnounceFanOut = 4;
/// Maximum number of announcements per step; further updates are sent with the next tick.
constexpr std::size_t MaxAnnouncementsPerStep = 16;
/// Digests differ while updates propagate; a snapshot is requested only if the difference persists.
constexpr Milliseconds DigestSettleTime = 3_s;
constexpr Milliseconds StatePullInterval = 10_s;
/// Interval until the first snapshot has arrived.
constexpr Milliseconds InitialStatePullInterval = 500_ms;
constexpr Milliseconds RemoteExchangeInterval = 1_s;
constexpr Milliseconds ExpiryInterval = 60_s;

} // namespace

ControlPlane::ControlPlane(const ControlPlaneOptions &options, const ControlHooks &hooks)
    : m_options(options)
    , m_hooks(hooks)
    , m_members(options.self, options.seeds, hooks)
    , m_config(hooks)
    , m_schedule(hooks)
{
}

bool ControlPlane::isReader()
{
    if (m_readerMemberVersion != m_members.version()) {
        m_readerMemberVersion = m_members.version();
        m_isReader = m_members.isReader();
    }
    return m_isReader;
}

void ControlPlane::tick(Milliseconds now, ControlActions &actions)
{
    const std::size_t first = actions.size();
    m_members.tick(now, actions);
    m_config.tick(now, actions);
    if (now >= m_nextExpiry) {
        m_nextExpiry = now + ExpiryInterval;
        m_upstreams.expire(now);
    }
    exchangeRemoteRevision(now, actions);
    const PlatformSchedule::Inputs inputs{
            isReader(), m_config.revision() > Revision{} && m_members.peerCount() > 0,
            m_members.self().state == MemberState::Leaving, m_members.peerCount() + 1,
            m_listedInstanceCount};
    m_schedule.tick(inputs, now, actions);
    completeActions(first, actions);
    // A view copies all members and upstreams, so it is published at most once per tick.
    const bool hasChanged = !m_view || m_viewMemberVersion != m_members.version() ||
                            m_viewUpstreamVersion != m_upstreams.version() ||
                            m_view->declaration != m_config.declaration();
    if (hasChanged || std::exchange(m_isFirstTick, false)) {
        view();
        actions.emplace_back(PublishView{});
    }
}

void ControlPlane::handleDatagram(const ControlDatagram &datagram, Endpoint from, Milliseconds now,
                                  ControlActions &actions)
{
    const Gossip &gossip = datagram.gossip;
    const std::size_t first = actions.size();
    if (std::holds_alternative<RemoteRevision>(datagram.body)) {
        handleRemoteRevision(datagram, from, now, actions);
        completeActions(first, actions);
        return;
    }
    if (gossip.dataCentre != m_options.dataCentre) {
        m_hooks.countEvent(ControlEvent::MessageRefused);
        return;
    }
    m_members.handle(datagram, from, now, actions);
    for (const UpstreamUpdate &update : gossip.upstreams) {
        m_upstreams.merge(update, now, m_members.transmissionsPerUpdate());
    }
    if (gossip.sender.id != m_options.self.id) {
        m_config.handlePeerRevision(gossip.sender.control, gossip.revision, now, actions);
        pullStateIfDifferent(gossip.sender, gossip.digest, now, actions);
    }
    completeActions(first, actions);
}

void ControlPlane::pullStateIfDifferent(const MemberUpdate &peer, std::uint64_t peerDigest,
                                        Milliseconds now, ControlActions &actions)
{
    if (m_lastDigest != digest()) {
        m_lastDigest = digest();
        m_digestChangedAt = now;
    }
    const bool isDigestStable = now - m_digestChangedAt >= DigestSettleTime;
    const bool mustPullState = peerDigest != digest() && (isDigestStable || !m_hasPeerState);
    if (!mustPullState || now < m_nextStatePull) {
        return;
    }
    const auto jitter = randomBelow(m_hooks.random, 2000);
    const Milliseconds interval = m_hasPeerState ? StatePullInterval : InitialStatePullInterval;
    m_nextStatePull = now + interval + Milliseconds{static_cast<std::int64_t>(jitter)};
    actions.emplace_back(makeRequest(peer.control, StatePull{}));
}

void ControlPlane::exchangeRemoteRevision(Milliseconds now, ControlActions &actions)
{
    if (m_options.remotePeers.empty() || now < m_nextRemoteExchange || !isReader()) {
        return;
    }
    m_nextRemoteExchange = now + RemoteExchangeInterval;
    const std::size_t chosen = randomBelow(m_hooks.random, m_options.remotePeers.size());
    actions.emplace_back(
            SendDatagram{m_options.remotePeers[chosen], {}, {{}, RemoteRevision{false}}});
}

void ControlPlane::handleRemoteRevision(const ControlDatagram &datagram, Endpoint from,
                                        Milliseconds now, ControlActions &actions)
{
    const Revision remoteRevision = datagram.gossip.revision;
    m_config.handlePeerRevision(from, remoteRevision, now, actions);
    if (remoteRevision < m_config.revision() && !std::get<RemoteRevision>(datagram.body).isReply) {
        actions.emplace_back(SendDatagram{from, {}, {{}, RemoteRevision{true}}});
    }
}

std::optional<StreamMessage> ControlPlane::answerRequest(const StreamMessage &request) const
{
    if (const auto *pull = std::get_if<ConfigPull>(&request)) {
        return m_config.makeDelta(*pull);
    }
    if (std::holds_alternative<StatePull>(request)) {
        return StateSnapshot{m_members.snapshot(), m_upstreams.snapshot()};
    }
    return std::nullopt;
}

void ControlPlane::handleReply(Endpoint peer, const StreamMessage &reply, Milliseconds now,
                               ControlActions &actions)
{
    const std::size_t first = actions.size();
    if (const auto *delta = std::get_if<ConfigDelta>(&reply)) {
        m_config.handleDelta(peer, *delta, now, actions);
    } else if (const auto *snapshot = std::get_if<StateSnapshot>(&reply)) {
        m_hasPeerState = true;
        for (const MemberUpdate &update : snapshot->members) {
            m_members.merge(update, now);
        }
        for (const UpstreamUpdate &update : snapshot->upstreams) {
            m_upstreams.merge(update, now, m_members.transmissionsPerUpdate());
        }
    }
    completeActions(first, actions);
}

void ControlPlane::handleRequestFailure(Endpoint peer, Milliseconds now, ControlActions &actions)
{
    m_config.handleFailure(peer, now, actions);
}

void ControlPlane::handleDeclaration(const std::string &envelope, std::uint64_t version,
                                     Milliseconds now, ControlActions &actions)
{
    const std::size_t first = actions.size();
    m_schedule.handleSuccess(PlatformSchedule::Call::Declaration, now);
    // A version below the last one means that the platform was restored from older data. The watch
    // continues from that version, so that the next write is seen, but only higher revisions are
    // applied.
    m_schedule.setDeclarationVersion(version);
    const std::uint64_t hash = XXH64(envelope.data(), envelope.size(), 0);
    if (version > 0 && std::exchange(m_envelopeHash, hash) != hash) {
        const auto document = parseEnvelope(envelope);
        if (document) {
            m_config.handleDocument(document.assume_value());
        } else {
            m_hooks.countEvent(ControlEvent::DeclarationRejected);
        }
    }
    completeActions(first, actions);
}

void ControlPlane::handleInstances(const std::vector<ListedBalancer> &balancers,
                                   const std::vector<UpstreamUpdate> &upstreams, std::size_t listed,
                                   Milliseconds now, ControlActions &actions)
{
    const std::size_t first = actions.size();
    m_schedule.handleSuccess(PlatformSchedule::Call::Instances, now);
    m_listedInstanceCount = listed;
    for (const ListedBalancer &balancer : balancers) {
        if (!balancer.isLeaving) {
            m_members.addListedMember(balancer.id, balancer.incarnation, balancer.endpoint,
                                      balancer.control, now);
        }
    }
    m_upstreams.handleList(upstreams, now, m_members.transmissionsPerUpdate());
    completeActions(first, actions);
}

void ControlPlane::handleRegistered(Milliseconds now)
{
    m_schedule.handleSuccess(PlatformSchedule::Call::Registration, now);
}

void ControlPlane::handlePlatformFailure(PlatformSchedule::Call call, Milliseconds now)
{
    m_schedule.handleFailure(call, now);
}

void ControlPlane::beginLeaving(Milliseconds now, ControlActions &actions)
{
    const std::size_t first = actions.size();
    m_members.beginLeaving();
    m_schedule.requestRegistration();
    completeActions(first, actions);
    tick(now, actions);
}

void ControlPlane::reportLeaving(UpstreamId upstream, Milliseconds now, ControlActions &actions)
{
    const std::size_t first = actions.size();
    m_upstreams.reportLeaving(upstream, now, m_members.transmissionsPerUpdate());
    completeActions(first, actions);
}

Gossip ControlPlane::makeGossip(InstanceId receiver, bool withUpdates)
{
    Gossip gossip;
    gossip.dataCentre = m_options.dataCentre;
    gossip.sender = m_members.self();
    gossip.revision = m_config.revision();
    gossip.digest = digest();
    // A suspected or dead receiver always gets this update, as only the receiver can refute it.
    const MemberUpdate *known = m_members.find(receiver);
    const bool isSuspected =
            known && (known->state == MemberState::Suspect || known->state == MemberState::Dead);
    if (isSuspected) {
        gossip.members.push_back(*known);
    }
    if (withUpdates) {
        const auto members =
                m_members.updates().takeLeastSent(MaxMemberUpdates - gossip.members.size());
        gossip.members.insert(gossip.members.end(), members.begin(), members.end());
        gossip.upstreams = m_upstreams.updates().takeLeastSent(MaxUpstreamUpdates);
    }
    return gossip;
}

void ControlPlane::announce(ControlActions &actions)
{
    std::size_t sent = 0;
    while (sent < MaxAnnouncementsPerStep &&
           (m_members.updates().hasUnannounced() || m_upstreams.updates().hasUnannounced())) {
        Gossip gossip = makeGossip({}, false);
        gossip.members = m_members.updates().takeUnannounced(MaxMemberUpdates);
        gossip.upstreams = m_upstreams.updates().takeUnannounced(MaxUpstreamUpdates);
        sendAnnouncement(gossip, actions);
        ++sent;
    }
    if (sent == 0 && m_config.revision() != m_announcedRevision) {
        sendAnnouncement(makeGossip({}, false), actions);
    }
    m_announcedRevision = m_config.revision();
}

void ControlPlane::sendAnnouncement(const Gossip &gossip, ControlActions &actions)
{
    for (const MemberUpdate &peer : m_members.randomPeers(AnnounceFanOut)) {
        actions.emplace_back(SendDatagram{peer.control, peer.id, {gossip, Announce{}}});
    }
}

void ControlPlane::completeActions(std::size_t firstAction, ControlActions &actions)
{
    for (std::size_t i = firstAction; i < actions.size(); ++i) {
        if (auto *send = std::get_if<SendDatagram>(&actions[i])) {
            const bool isRemote = std::holds_alternative<RemoteRevision>(send->datagram.body);
            const bool hasGossip = std::holds_alternative<Announce>(send->datagram.body);
            if (!hasGossip) {
                send->datagram.gossip = makeGossip(send->receiver, !isRemote);
            }
        }
    }
    announce(actions);
}

std::shared_ptr<const RoutingView> ControlPlane::view()
{
    const bool isCurrent = m_view && m_viewMemberVersion == m_members.version() &&
                           m_viewUpstreamVersion == m_upstreams.version() &&
                           m_view->declaration == m_config.declaration();
    if (isCurrent) {
        return m_view;
    }
    auto next = std::make_shared<RoutingView>();
    next->self = m_options.self.id;
    next->declaration = m_config.declaration();
    next->isEvacuated = next->declaration->isEvacuated(m_options.dataCentre);
    next->members = m_members.views();
    next->upstreams = m_upstreams.views();
    m_viewMemberVersion = m_members.version();
    m_viewUpstreamVersion = m_upstreams.version();
    m_view = std::move(next);
    return m_view;
}

} // namespace damaskhall
