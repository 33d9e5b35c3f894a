#pragma once

#include "core/control/membershipcontroller.h"
#include "core/flow/changesrequest.h"
#include "core/flow/directoryupdate.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace damaskhall {

/// A directory update to send to a peer.
struct SendDirectoryUpdate
{
    Endpoint to;
    DirectoryUpdate update;
};

/// Output of one call; to be sent in this sequence.
struct PeerActions
{
    std::vector<SendDatagram> datagrams;
    std::vector<SendDirectoryUpdate> updates;
};

/// Membership of the forwarders of one region: which members exist, which of them read the
/// platform's store for all, and how their updates reach the others. Only the number of store calls
/// depends on it, as an instance that receives no updates reads the store itself.
///
/// Updates are distributed in a tree whose root is the reader. Every member computes the tree's
/// order on its own, so each member sends a small number of datagrams whatever the size of the
/// region.
/// Deterministic. Thread safety: none.
class PeerController
{
public:
    /// @p seeds: peer endpoints to try first. Precondition: all hooks are set.
    PeerController(const MemberUpdate &self, DataCentreId region, std::vector<Endpoint> seeds,
                   const ControlHooks &hooks);

    /// Probes members and announces the membership changes since the last call; call about every
    /// 100 ms.
    PeerActions tick(Milliseconds now);
    /// Processes a datagram from @p from; a datagram from another region is ignored.
    PeerActions handleDatagram(const ControlDatagram &datagram, Endpoint from, Milliseconds now);
    /// Distributes an update that this instance has read.
    PeerActions publish(DirectoryUpdate update);
    /// Returns an update addressed to the one member that has asked for it.
    SendDirectoryUpdate reply(DirectoryUpdate update, Endpoint to) const;
    /// Returns the member to ask for missing changes: the one that @p request names, or a random
    /// one. Empty if no other member is known.
    std::optional<Endpoint> receiverOf(const SendChangesRequest &request) const;
    /// Relays an update of another instance. Each update is relayed once, as the members' views of
    /// the tree may differ for a while.
    PeerActions relayUpdate(const DirectoryUpdate &update, Milliseconds now);
    /// Announces that this instance stops; it is no reader from now on.
    void beginLeaving();

    /// True if this instance reads the store for the region.
    bool isReader() const { return m_members.isReader(); }
    /// Returns this instance and all members that are not dead, sorted by id.
    std::vector<MemberView> members() const { return m_members.views(); }
    /// Incremented with each change of members().
    std::uint64_t membersVersion() const { return m_members.version(); }
    /// Number of other members that are not dead.
    std::size_t peerCount() const { return m_members.peerCount(); }

private:
    /// Last update relayed for an origin.
    struct RelayedUpdate
    {
        std::uint64_t sequence = 0;
        Milliseconds at;
    };

    PeerActions sendToChildren(const DirectoryUpdate &update) const;
    void sendMemberList(const MemberUpdate &peer, Endpoint to, PeerActions &output) const;
    PeerActions fillGossip(const ControlActions &actions);
    void announceUpdates(PeerActions &output);
    Gossip makeGossip(InstanceId receiver);

    DataCentreId m_region;
    MembershipController m_members;
    Milliseconds m_nextMemberList;
    std::uint64_t m_sequence = 0;
    std::unordered_map<InstanceId, RelayedUpdate> m_relayed;
};

} // namespace damaskhall
