#pragma once

#include "core/control/membershipcontroller.h"
#include "core/flow/directoryupdate.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace damaskhall {

/// Update for a peer.
struct SendDirectoryUpdate
{
    Endpoint to;
    DirectoryUpdate update;
};

/// Output of one step, in order.
struct PeerActions
{
    std::vector<SendDatagram> datagrams;
    std::vector<SendDirectoryUpdate> updates;
};

/// Forwarders of one region: who is there, who reads the platform's store for all, and how the
/// readers' updates reach the others. Nothing depends on it but the number of store calls: an
/// instance without updates reads the store itself.
///
/// Updates spread in a tree whose root is the reader and whose order every member works out alone,
/// so each member sends a few datagrams whatever the size of the region.
/// Deterministic. Thread safety: none.
class PeerController
{
public:
    /// @p seeds: peer endpoints to try first. Precondition: all hooks are set.
    PeerController(const MemberUpdate &self, DataCentreId region, std::vector<Endpoint> seeds,
                   const ControlHooks &hooks);

    /// Probes members and spreads what is new about them; call about every 100 ms.
    PeerActions tick(Milliseconds now);
    /// Takes a datagram from @p from; one of another region is ignored.
    PeerActions handleDatagram(const ControlDatagram &datagram, Endpoint from, Milliseconds now);
    /// Sends an update of this instance.
    PeerActions publish(DirectoryUpdate update);
    /// Relays an update of another instance, each once, as views of the tree may differ for a
    /// while.
    PeerActions relayUpdate(const DirectoryUpdate &update, Milliseconds now);
    /// Tells the others that this instance stops; it is no reader from now on.
    void beginLeaving();

    /// True if this instance reads for the region.
    bool isReader() const { return m_members.isReader(); }
    /// Members that are not dead, without the own.
    std::size_t peerCount() const { return m_members.peerCount(); }

private:
    /// Last update of an origin.
    struct Passed
    {
        std::uint64_t sequence = 0;
        Milliseconds at;
    };

    PeerActions spread(const DirectoryUpdate &update) const;
    void sendSnapshot(const MemberUpdate &peer, Endpoint to, PeerActions &output) const;
    PeerActions complete(const ControlActions &actions);
    Gossip makeGossip(InstanceId receiver);

    DataCentreId m_region;
    MembershipController m_members;
    Milliseconds m_nextSnapshot;
    std::uint64_t m_sequence = 0;
    std::unordered_map<InstanceId, Passed> m_passed;
};

} // namespace damaskhall
