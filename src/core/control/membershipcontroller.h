#pragma once

#include "base/milliseconds.h"
#include "core/control/controlaction.h"
#include "core/control/controlhooks.h"
#include "core/control/controlmessages.h"
#include "core/control/updatequeue.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace damaskhall {

/// Membership and failure detection in one data centre by random probes (SWIM). Deterministic: the
/// same events and random numbers result in the same actions. Thread safety: none.
class MembershipController
{
public:
    /// @p seeds are control endpoints to contact until their members are known. Precondition: all
    /// hooks are set.
    MembershipController(const MemberUpdate &self, std::vector<Endpoint> seeds,
                         const ControlHooks &hooks);

    /// Handles a datagram from @p from. Appends datagrams whose Gossip the caller fills in.
    void handle(const ControlDatagram &datagram, Endpoint from, Milliseconds now,
                ControlActions &actions);
    /// Merges one report about a member.
    void merge(const MemberUpdate &update, Milliseconds now);
    /// Adds an entry of the platform's list. An entry never revives a process known as dead or
    /// leaving; that takes a higher incarnation.
    void addListedMember(InstanceId id, Incarnation incarnation, Endpoint endpoint,
                         Endpoint control, Milliseconds now);
    void tick(Milliseconds now, ControlActions &actions);
    void beginLeaving();

    const MemberUpdate &self() const { return m_self; }
    /// Returns the local instance and all members that are not dead, sorted by id.
    std::vector<MemberView> views() const;
    /// Returns the reports about all members, including dead ones within their retention time.
    std::vector<MemberUpdate> snapshot() const;
    /// Returns up to @p count random members that are not dead, excluding the local instance.
    std::vector<MemberUpdate> randomPeers(std::size_t count) const;
    /// Returns the member, or null if it is unknown or the local instance.
    const MemberUpdate *find(InstanceId id) const;
    /// Number of members that are not dead, excluding the local instance.
    std::size_t peerCount() const { return m_peerCount; }
    /// Returns true if the local instance is one of the two platform readers of the data centre.
    bool isReader() const;
    /// Hash over the members that are not dead.
    std::uint64_t digest() const { return m_digest; }
    /// Incremented with each change of views().
    std::uint64_t version() const { return m_version; }

    UpdateQueue<MemberUpdate> &updates() { return m_updates; }
    /// Number of transmissions per update; grows with the logarithm of the member count.
    std::uint32_t transmissionsPerUpdate() const;

private:
    struct Member
    {
        MemberUpdate report;
        /// Set while the member is suspected; it is declared dead at this time.
        std::optional<Milliseconds> suspicionDeadline;
        Milliseconds deadSince;
    };

    struct Probe
    {
        std::uint32_t sequence = 0;
        InstanceId target;
        Milliseconds sentAt;
        bool hasIndirectProbes = false;
    };

    struct RelayedProbe
    {
        Endpoint origin;
        InstanceId originId;
        std::uint32_t originSequence = 0;
        InstanceId target;
        Milliseconds sentAt;
    };

    void compensateForPause(Milliseconds now);
    void mergeSelf(const MemberUpdate &update);
    void applyUpdate(const MemberUpdate &update, Milliseconds now);
    void suspect(Member &member, Milliseconds now);
    void declareDead(Member &member, Milliseconds now);
    void declarePredecessorsDead(const MemberUpdate &update, Milliseconds now);
    void queueUpdate(const MemberUpdate &update);
    void updateDerivedState();
    void handleAck(const Ack &ack, ControlActions &actions);
    void relayProbe(const PingReq &request, const MemberUpdate &origin, Endpoint from,
                    Milliseconds now, ControlActions &actions);
    void probeNext(Milliseconds now, ControlActions &actions);
    void checkProbe(Milliseconds now, ControlActions &actions);
    void pingLostPeer(ControlActions &actions);
    void expire(Milliseconds now);

    MemberUpdate m_self;
    std::vector<Endpoint> m_seeds;
    ControlHooks m_hooks;
    std::map<InstanceId, Member> m_members;
    std::size_t m_peerCount = 0;
    std::uint64_t m_digest = 0;
    std::uint64_t m_version = 1;
    UpdateQueue<MemberUpdate> m_updates;
    /// Remaining targets of the current probe round, shuffled; each member is probed once per round
    /// and thus in bounded time.
    std::vector<InstanceId> m_probeTargets;
    std::optional<Probe> m_probe;
    std::map<std::uint32_t, RelayedProbe> m_relayedProbes;
    std::uint32_t m_nextSequence = 1;
    std::optional<Milliseconds> m_lastCallAt;
    Milliseconds m_nextProbe;
    Milliseconds m_nextLostPeerPing;
    /// Earliest end of a suspicion, or the next check of the dead members.
    Milliseconds m_nextExpiry;
};

} // namespace damaskhall
