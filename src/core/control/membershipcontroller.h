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

/// Members of one data centre, found and watched by random probes (SWIM). Deterministic: same
/// events and random numbers, same actions. Thread safety: none.
class MembershipController
{
public:
    /// @p seeds are control endpoints to try while no member is known. Precondition: all hooks are
    /// set.
    MembershipController(const MemberUpdate &self, std::vector<Endpoint> seeds,
                         const ControlHooks &hooks);

    /// Takes a datagram from @p from. Appends datagrams whose Gossip the caller fills in.
    void handle(const ControlDatagram &datagram, Endpoint from, Milliseconds now,
                ControlActions &actions);
    /// Takes one report about a member.
    void merge(const MemberUpdate &update, Milliseconds now);
    /// Takes an entry of the platform's list. It never brings back a process known as dead or
    /// leaving; only a higher incarnation does.
    void addListed(InstanceId id, Incarnation incarnation, Endpoint endpoint, Endpoint control,
                   Milliseconds now);
    void tick(Milliseconds now, ControlActions &actions);
    void beginLeaving();

    const MemberUpdate &self() const { return m_self; }
    /// Returns the own and all members that are not dead, sorted by id.
    std::vector<MemberView> views() const;
    /// Returns all reports, including the dead ones that are still remembered.
    std::vector<MemberUpdate> snapshot() const;
    /// Returns up to @p count random members that are not dead, without the own.
    std::vector<MemberUpdate> randomPeers(std::size_t count) const;
    /// Returns the member, or null. The own instance is not among them.
    const MemberUpdate *find(InstanceId id) const;
    /// Number of members that are not dead, without the own.
    std::size_t peerCount() const { return m_peerCount; }
    /// Returns true if the own instance is one of the two platform readers of the data centre.
    bool isReader() const;
    /// Hash over the members that are not dead.
    std::uint64_t digest() const { return m_digest; }
    /// Raised with each change of views().
    std::uint64_t version() const { return m_version; }

    UpdateQueue<MemberUpdate> &updates() { return m_updates; }
    /// Transmissions per update: grows with the logarithm of the member count.
    std::uint32_t sendsPerUpdate() const;

private:
    struct Member
    {
        MemberUpdate report;
        /// Set while the member is suspected; it is declared dead when this passes.
        std::optional<Milliseconds> suspectUntil;
        Milliseconds deadSince;
    };

    struct Probe
    {
        std::uint32_t sequence = 0;
        InstanceId target;
        Milliseconds sentAt;
        bool isIndirect = false;
    };

    struct RelayedProbe
    {
        Endpoint origin;
        InstanceId originId;
        std::uint32_t originSequence = 0;
        InstanceId target;
        Milliseconds sentAt;
    };

    void noteTime(Milliseconds now);
    void mergeSelf(const MemberUpdate &update);
    void accept(const MemberUpdate &update, Milliseconds now);
    void suspect(Member &member, Milliseconds now);
    void declareDead(Member &member, Milliseconds now);
    void dropPredecessorsAt(const MemberUpdate &update, Milliseconds now);
    void spread(const MemberUpdate &update);
    void refresh();
    void handleAck(const Ack &ack, ControlActions &actions);
    void relayProbe(const PingReq &request, const MemberUpdate &origin, Endpoint from,
                    Milliseconds now, ControlActions &actions);
    void probeNext(Milliseconds now, ControlActions &actions);
    void checkProbe(Milliseconds now, ControlActions &actions);
    void contactLost(ControlActions &actions);
    void expire(Milliseconds now);

    MemberUpdate m_self;
    std::vector<Endpoint> m_seeds;
    ControlHooks m_hooks;
    std::map<InstanceId, Member> m_members;
    std::size_t m_peerCount = 0;
    std::uint64_t m_digest = 0;
    std::uint64_t m_version = 1;
    UpdateQueue<MemberUpdate> m_updates;
    /// Shuffled targets of the current round, so that each member is probed in bounded time.
    std::vector<InstanceId> m_round;
    std::optional<Probe> m_probe;
    std::map<std::uint32_t, RelayedProbe> m_relayed;
    std::uint32_t m_nextSequence = 1;
    std::optional<Milliseconds> m_lastSeen;
    Milliseconds m_nextProbe;
    Milliseconds m_nextContact;
    /// Earliest end of a suspicion, or the next check of the dead members.
    Milliseconds m_nextExpiry;
};

} // namespace damaskhall
