#include "core/control/membershipcontroller.h"

#include "core/rendezvous.h"

#include <algorithm>
#include <array>
#include <bit>
#include <tuple>
#include <utility>
#include <xxhash.h>

namespace damaskhall {

namespace {

constexpr Milliseconds ProbeInterval = 1_s;
/// Time until 3 other members are asked to probe; several round trips within a data centre.
constexpr Milliseconds DirectProbeTimeout = 200_ms;
/// Time until an unanswered probe raises a suspicion.
constexpr Milliseconds ProbeTimeout = 500_ms;
/// A suspicion and its refutation reach all members in well under a second, as each member
/// announces them to 4 others; the remaining time tolerates short freezes of a process.
constexpr Milliseconds SuspicionTimeout = 2_s;
constexpr std::size_t IndirectProbeCount = 3;
/// Interval at which one seed or dead member is pinged, so that network partitions merge again.
constexpr Milliseconds LostPeerPingInterval = 5_s;
constexpr Milliseconds NoPeersPingInterval = 1_s;
/// A longer pause between two calls means that this process was suspended.
constexpr Milliseconds FreezeThreshold = 1_s;
/// Must exceed the longest network partition and the delay of the platform's list.
constexpr Milliseconds DeadMemberRetention = 6_s * 3600;
constexpr std::size_t MaxDeadMembers = 4096;
/// Interval at which dead members are checked for expiry.
constexpr Milliseconds DeadMemberCheckInterval = 10_s;
constexpr std::size_t MaxRelayedProbes = 256;
constexpr std::size_t ReadersPerDataCentre = 2;
constexpr std::uint64_t ReaderSelectionKey = 0x72656164657273;

std::uint64_t memberHash(const MemberUpdate &update)
{
    const std::array<std::uint64_t, 3> words = {
            update.id.value, update.incarnation.value,
            static_cast<std::uint64_t>(update.state == MemberState::Leaving)};
    return XXH64(words.data(), sizeof(words), 1);
}

bool isNewer(const MemberUpdate &a, const MemberUpdate &b)
{
    return std::tie(a.incarnation, a.counter, a.state) >
           std::tie(b.incarnation, b.counter, b.state);
}

} // namespace

MembershipController::MembershipController(const MemberUpdate &self, std::vector<Endpoint> seeds,
                                           const ControlHooks &hooks)
    : m_self(self)
    , m_seeds(std::move(seeds))
    , m_hooks(hooks)
{
    std::erase(m_seeds, self.control);
    updateDerivedState();
    queueUpdate(m_self);
}

void MembershipController::handle(const ControlDatagram &datagram, Endpoint from, Milliseconds now,
                                  ControlActions &actions)
{
    compensateForPause(now);
    const MemberUpdate &sender = datagram.gossip.sender;
    merge(sender, now);
    for (const MemberUpdate &update : datagram.gossip.members) {
        merge(update, now);
    }
    if (const auto *ping = std::get_if<Ping>(&datagram.body)) {
        actions.emplace_back(SendDatagram{from, sender.id, {{}, Ack{ping->sequence, m_self.id}}});
    } else if (const auto *request = std::get_if<PingReq>(&datagram.body)) {
        relayProbe(*request, sender, from, now, actions);
    } else if (const auto *ack = std::get_if<Ack>(&datagram.body)) {
        handleAck(*ack, actions);
    }
}

// After this process was suspended, all deadlines have passed at once although the other members
// are healthy. Probes are abandoned, and suspicion deadlines are extended by the length of the
// pause.
void MembershipController::compensateForPause(Milliseconds now)
{
    const Milliseconds pause = now - m_lastCallAt.value_or(now);
    m_lastCallAt = now;
    if (pause < FreezeThreshold) {
        return;
    }
    m_probe.reset();
    m_relayedProbes.clear();
    for (auto &[id, member] : m_members) {
        if (member.suspicionDeadline) {
            *member.suspicionDeadline += pause;
        }
    }
}

void MembershipController::merge(const MemberUpdate &update, Milliseconds now)
{
    if (update.id == m_self.id) {
        mergeSelf(update);
        return;
    }
    const auto found = m_members.find(update.id);
    if (found == m_members.end()) {
        applyUpdate(update, now);
        return;
    }
    Member &member = found->second;
    if (!isNewer(update, member.report)) {
        return;
    }
    const bool isSameProcess = update.incarnation == member.report.incarnation;
    const bool isUnexpectedDeath = update.state == MemberState::Dead && isSameProcess &&
                                   member.report.state != MemberState::Dead &&
                                   !member.suspicionDeadline;
    if (isUnexpectedDeath) {
        // When network partitions merge, each considers the other's members dead. The member gets
        // the suspicion timeout to refute this, so that no work is moved away from it.
        member.report.counter = update.counter;
        suspect(member, now);
        return;
    }
    applyUpdate(update, now);
}

void MembershipController::mergeSelf(const MemberUpdate &update)
{
    if (update.incarnation > m_self.incarnation) {
        m_hooks.countEvent(ControlEvent::InstanceIdTaken);
        return;
    }
    if (!isNewer(update, m_self)) {
        return;
    }
    m_self.counter = update.counter + 1;
    updateDerivedState();
    queueUpdate(m_self);
}

void MembershipController::applyUpdate(const MemberUpdate &update, Milliseconds now)
{
    const bool isUnknown = !m_members.contains(update.id);
    Member &member = m_members[update.id];
    member.report = update;
    member.suspicionDeadline.reset();
    if (update.state == MemberState::Dead) {
        member.deadSince = now;
        updateDerivedState();
        if (!isUnknown) {
            queueUpdate(update);
        }
        return;
    }
    if (update.state == MemberState::Suspect) {
        member.suspicionDeadline = now + SuspicionTimeout;
        m_nextExpiry = std::min(m_nextExpiry, *member.suspicionDeadline);
    }
    declarePredecessorsDead(update, now);
    updateDerivedState();
    queueUpdate(update);
}

void MembershipController::suspect(Member &member, Milliseconds now)
{
    if (member.suspicionDeadline || member.report.state == MemberState::Dead) {
        return;
    }
    m_hooks.countEvent(ControlEvent::MemberSuspected);
    member.suspicionDeadline = now + SuspicionTimeout;
    m_nextExpiry = std::min(m_nextExpiry, *member.suspicionDeadline);
    // A leaving member is suspected too, but its state stays Leaving: it gets no new work.
    if (member.report.state == MemberState::Alive) {
        member.report.state = MemberState::Suspect;
        updateDerivedState();
    }
    queueUpdate(member.report);
}

void MembershipController::declareDead(Member &member, Milliseconds now)
{
    m_hooks.countEvent(ControlEvent::MemberDied);
    member.report.state = MemberState::Dead;
    member.suspicionDeadline.reset();
    member.deadSince = now;
    updateDerivedState();
    queueUpdate(member.report);
}

// A process that starts at the address of another one proves that the other one has exited.
void MembershipController::declarePredecessorsDead(const MemberUpdate &update, Milliseconds now)
{
    for (auto &[id, member] : m_members) {
        const MemberUpdate &other = member.report;
        if (id != update.id && other.control == update.control &&
            other.state != MemberState::Dead && other.incarnation < update.incarnation) {
            declareDead(member, now);
        }
    }
}

void MembershipController::addListedMember(InstanceId id, Incarnation incarnation,
                                           Endpoint endpoint, Endpoint control, Milliseconds now)
{
    const auto found = m_members.find(id);
    const bool isKnown =
            found != m_members.end() && found->second.report.incarnation >= incarnation;
    if (isKnown || id == m_self.id || control == m_self.control) {
        return;
    }
    // A list can contain a process for a while after another one has taken over its address.
    const bool isReplaced = std::any_of(m_members.begin(), m_members.end(), [&](const auto &entry) {
        return entry.second.report.control == control &&
               entry.second.report.incarnation > incarnation;
    });
    if (isReplaced) {
        return;
    }
    applyUpdate({id, incarnation, 0, MemberState::Alive, endpoint, control}, now);
}

void MembershipController::queueUpdate(const MemberUpdate &update)
{
    m_updates.push(update, transmissionsPerUpdate());
}

void MembershipController::updateDerivedState()
{
    ++m_version;
    m_digest = memberHash(m_self);
    m_peerCount = 0;
    for (const auto &[id, member] : m_members) {
        if (member.report.state != MemberState::Dead) {
            m_digest ^= memberHash(member.report);
            ++m_peerCount;
        }
    }
}

std::uint32_t MembershipController::transmissionsPerUpdate() const
{
    return 2U * static_cast<std::uint32_t>(std::bit_width(m_peerCount + 1));
}

void MembershipController::relayProbe(const PingReq &request, const MemberUpdate &origin,
                                      Endpoint from, Milliseconds now, ControlActions &actions)
{
    if (m_relayedProbes.size() >= MaxRelayedProbes) {
        return;
    }
    const std::uint32_t sequence = m_nextSequence++;
    m_relayedProbes[sequence] = {from, origin.id, request.sequence, request.target, now};
    actions.emplace_back(SendDatagram{request.targetControl, request.target, {{}, Ping{sequence}}});
}

void MembershipController::handleAck(const Ack &ack, ControlActions &actions)
{
    if (m_probe && m_probe->sequence == ack.sequence && m_probe->target == ack.subject) {
        m_probe.reset();
    }
    const auto relayed = m_relayedProbes.find(ack.sequence);
    if (relayed == m_relayedProbes.end() || relayed->second.target != ack.subject) {
        return;
    }
    const RelayedProbe probe = relayed->second;
    m_relayedProbes.erase(relayed);
    actions.emplace_back(SendDatagram{
            probe.origin, probe.originId, {{}, Ack{probe.originSequence, ack.subject}}});
}

void MembershipController::tick(Milliseconds now, ControlActions &actions)
{
    compensateForPause(now);
    checkProbe(now, actions);
    expire(now);
    if (now >= m_nextProbe) {
        // The jitter keeps members that start together from probing at the same time.
        m_nextProbe = now + ProbeInterval - 50_ms +
                      Milliseconds{static_cast<std::int64_t>(randomBelow(m_hooks.random, 100))};
        probeNext(now, actions);
    }
    if (now >= m_nextLostPeerPing) {
        m_nextLostPeerPing = now + (m_peerCount == 0 ? NoPeersPingInterval : LostPeerPingInterval);
        pingLostPeer(actions);
    }
}

void MembershipController::probeNext(Milliseconds now, ControlActions &actions)
{
    if (m_probeTargets.empty()) {
        for (const auto &[id, member] : m_members) {
            m_probeTargets.push_back(id);
        }
        for (std::size_t i = m_probeTargets.size(); i > 1; --i) {
            std::swap(m_probeTargets[i - 1], m_probeTargets[randomBelow(m_hooks.random, i)]);
        }
    }
    while (!m_probeTargets.empty()) {
        const MemberUpdate *target = find(m_probeTargets.back());
        m_probeTargets.pop_back();
        if (target && target->state != MemberState::Dead) {
            m_probe = Probe{m_nextSequence++, target->id, now, false};
            actions.emplace_back(
                    SendDatagram{target->control, target->id, {{}, Ping{m_probe->sequence}}});
            return;
        }
    }
}

void MembershipController::checkProbe(Milliseconds now, ControlActions &actions)
{
    if (!m_probe) {
        return;
    }
    const auto target = m_members.find(m_probe->target);
    if (target == m_members.end() || target->second.report.state == MemberState::Dead) {
        m_probe.reset();
        return;
    }
    const Milliseconds elapsed = now - m_probe->sentAt;
    if (elapsed >= ProbeTimeout) {
        m_probe.reset();
        suspect(target->second, now);
        return;
    }
    if (elapsed < DirectProbeTimeout || m_probe->hasIndirectProbes) {
        return;
    }
    m_probe->hasIndirectProbes = true;
    const PingReq request{m_probe->sequence, m_probe->target, target->second.report.control};
    std::size_t requestsSent = 0;
    for (const MemberUpdate &peer : randomPeers(IndirectProbeCount + 1)) {
        if (peer.id != m_probe->target && requestsSent++ < IndirectProbeCount) {
            actions.emplace_back(SendDatagram{peer.control, peer.id, {{}, request}});
        }
    }
}

void MembershipController::pingLostPeer(ControlActions &actions)
{
    std::vector<std::pair<Endpoint, InstanceId>> candidates;
    std::vector<Endpoint> liveEndpoints;
    for (const auto &[id, member] : m_members) {
        if (member.report.state == MemberState::Dead) {
            candidates.emplace_back(member.report.control, id);
        } else {
            liveEndpoints.push_back(member.report.control);
        }
    }
    std::erase_if(candidates, [&](const auto &candidate) {
        return std::find(liveEndpoints.begin(), liveEndpoints.end(), candidate.first) !=
               liveEndpoints.end();
    });
    for (const Endpoint seed : m_seeds) {
        if (std::find(liveEndpoints.begin(), liveEndpoints.end(), seed) == liveEndpoints.end()) {
            candidates.emplace_back(seed, InstanceId{});
        }
    }
    if (candidates.empty()) {
        return;
    }
    const auto &[to, id] = candidates[randomBelow(m_hooks.random, candidates.size())];
    actions.emplace_back(SendDatagram{to, id, {{}, Ping{m_nextSequence++}}});
}

void MembershipController::expire(Milliseconds now)
{
    std::erase_if(m_relayedProbes,
                  [&](const auto &entry) { return now - entry.second.sentAt > ProbeInterval; });
    if (now < m_nextExpiry) {
        return;
    }
    m_nextExpiry = now + DeadMemberCheckInterval;
    std::size_t dead = 0;
    for (auto it = m_members.begin(); it != m_members.end();) {
        Member &member = it->second;
        if (member.suspicionDeadline && now >= *member.suspicionDeadline) {
            declareDead(member, now);
        } else if (member.suspicionDeadline) {
            m_nextExpiry = std::min(m_nextExpiry, *member.suspicionDeadline);
        }
        const bool isDead = member.report.state == MemberState::Dead;
        dead += isDead ? 1 : 0;
        const bool isExpired =
                isDead && (now - member.deadSince > DeadMemberRetention || dead > MaxDeadMembers);
        it = isExpired ? m_members.erase(it) : std::next(it);
    }
}

void MembershipController::beginLeaving()
{
    if (m_self.state == MemberState::Leaving) {
        return;
    }
    m_self.state = MemberState::Leaving;
    ++m_self.counter;
    updateDerivedState();
    queueUpdate(m_self);
}

std::vector<MemberView> MembershipController::views() const
{
    std::vector<MemberView> views;
    views.push_back({m_self.id, m_self.endpoint, m_self.incarnation, m_self.state});
    for (const auto &[id, member] : m_members) {
        const MemberUpdate &report = member.report;
        if (report.state != MemberState::Dead) {
            views.push_back({id, report.endpoint, report.incarnation, report.state});
        }
    }
    std::sort(views.begin(), views.end(),
              [](const MemberView &a, const MemberView &b) { return a.id < b.id; });
    return views;
}

std::vector<MemberUpdate> MembershipController::snapshot() const
{
    std::vector<MemberUpdate> reports = {m_self};
    for (const auto &[id, member] : m_members) {
        reports.push_back(member.report);
    }
    return reports;
}

std::vector<MemberUpdate> MembershipController::randomPeers(std::size_t count) const
{
    std::vector<const MemberUpdate *> live;
    live.reserve(m_members.size());
    for (const auto &[id, member] : m_members) {
        if (member.report.state != MemberState::Dead) {
            live.push_back(&member.report);
        }
    }
    std::vector<MemberUpdate> chosen;
    for (std::size_t i = 0; i < count && i < live.size(); ++i) {
        std::swap(live[i], live[i + randomBelow(m_hooks.random, live.size() - i)]);
        chosen.push_back(*live[i]);
    }
    return chosen;
}

const MemberUpdate *MembershipController::find(InstanceId id) const
{
    const auto found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second.report;
}

bool MembershipController::isReader() const
{
    if (m_self.state == MemberState::Leaving) {
        return false;
    }
    std::vector<InstanceId> candidates = {m_self.id};
    for (const auto &[id, member] : m_members) {
        if (member.report.state == MemberState::Alive) {
            candidates.push_back(id);
        }
    }
    const std::vector<InstanceId> order =
            rendezvousOrder(ReaderSelectionKey, std::move(candidates));
    const auto end = order.begin() +
                     static_cast<std::ptrdiff_t>(std::min(order.size(), ReadersPerDataCentre));
    return std::find(order.begin(), end, m_self.id) != end;
}

} // namespace damaskhall
