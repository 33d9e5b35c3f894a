#include "core/flow/peercontroller.h"

#include "core/rendezvous.h"

#include <algorithm>
#include <utility>

namespace damaskhall {

namespace {

/// Children of each member in the distribution tree; with this, 500 members are five hops deep.
constexpr std::size_t TreeFanOut = 4;
/// Number of members that a new membership update is sent to immediately.
constexpr std::size_t AnnounceFanOut = 3;
/// Minimum time between two full member lists sent to peers whose digest differs. Updates reach all
/// members in well under a second, so a difference that is seen once in this time may be permanent.
constexpr Milliseconds MinMemberListInterval = 3_s;
/// The interval also grows with the size of a list, so that its share of a link does not.
constexpr Milliseconds MemberListIntervalPerMember = 50_ms;
/// Age of the last relayed update after which a lower sequence number comes from an origin that
/// restarted with an earlier time of day, and not from a delayed datagram.
constexpr Milliseconds SequenceReorderLimit = 2_s;

} // namespace

PeerController::PeerController(const MemberUpdate &self, DataCentreId region,
                               std::vector<Endpoint> seeds, const ControlHooks &hooks)
    : m_region(region)
    , m_members(self, std::move(seeds), hooks)
    , m_sequence(self.incarnation.value)
{
}

PeerActions PeerController::tick(Milliseconds now)
{
    ControlActions actions;
    m_members.tick(now, actions);
    PeerActions output = fillGossip(actions);
    announceUpdates(output);
    return output;
}

PeerActions PeerController::handleDatagram(const ControlDatagram &datagram, Endpoint from,
                                           Milliseconds now)
{
    if (datagram.gossip.dataCentre != m_region) {
        return {};
    }
    const MemberUpdate &sender = datagram.gossip.sender;
    const MemberUpdate *known = m_members.find(sender.id);
    const bool isNew = !known || known->incarnation < sender.incarnation;
    ControlActions actions;
    m_members.handle(datagram, from, now, actions);
    PeerActions output = fillGossip(actions);
    // A joining member probes a seed first. Its announcements to others need no reply: it knows the
    // members by then.
    const bool isJoining = isNew && !std::holds_alternative<Announce>(datagram.body);
    const bool differs = datagram.gossip.digest != m_members.digest();
    if (isJoining || (differs && now >= m_nextMemberList)) {
        const auto members = static_cast<std::int64_t>(m_members.peerCount());
        m_nextMemberList =
                now + std::max(MinMemberListInterval, MemberListIntervalPerMember * members);
        sendMemberList(sender, from, output);
    }
    return output;
}

void PeerController::sendMemberList(const MemberUpdate &peer, Endpoint to,
                                    PeerActions &output) const
{
    std::vector<MemberUpdate> members = m_members.snapshot();
    std::erase_if(members, [&](const MemberUpdate &member) {
        return member.id == peer.id || member.state == MemberState::Dead;
    });
    for (std::size_t begin = 0; begin < members.size(); begin += MaxMemberUpdates) {
        Gossip gossip;
        gossip.dataCentre = m_region;
        gossip.sender = m_members.self();
        gossip.digest = m_members.digest();
        const std::size_t end = std::min(members.size(), begin + MaxMemberUpdates);
        gossip.members.assign(members.begin() + static_cast<std::ptrdiff_t>(begin),
                              members.begin() + static_cast<std::ptrdiff_t>(end));
        output.datagrams.push_back({to, peer.id, {gossip, Announce{}}});
    }
}

// Fills in the gossip that all datagrams carry.
PeerActions PeerController::fillGossip(const ControlActions &actions)
{
    PeerActions output;
    for (const ControlAction &action : actions) {
        if (const auto *send = std::get_if<SendDatagram>(&action)) {
            output.datagrams.push_back(*send);
            output.datagrams.back().datagram.gossip = makeGossip(send->receiver);
        }
    }
    return output;
}

// Called once per tick only: in a large region, updates arrive much faster than that while many
// members start or fail, and share datagrams this way.
void PeerController::announceUpdates(PeerActions &output)
{
    while (m_members.updates().hasUnannounced()) {
        Gossip gossip = makeGossip({});
        gossip.members = m_members.updates().takeUnannounced(MaxMemberUpdates);
        for (const MemberUpdate &peer : m_members.randomPeers(AnnounceFanOut)) {
            output.datagrams.push_back({peer.control, peer.id, {gossip, Announce{}}});
        }
    }
}

Gossip PeerController::makeGossip(InstanceId receiver)
{
    Gossip gossip;
    gossip.dataCentre = m_region;
    gossip.sender = m_members.self();
    gossip.digest = m_members.digest();
    // The state of a suspected or dead receiver is always included, as only the receiver can refute
    // it.
    const MemberUpdate *known = m_members.find(receiver);
    if (known && (known->state == MemberState::Suspect || known->state == MemberState::Dead)) {
        gossip.members.push_back(*known);
    }
    const auto members =
            m_members.updates().takeLeastSent(MaxMemberUpdates - gossip.members.size());
    gossip.members.insert(gossip.members.end(), members.begin(), members.end());
    return gossip;
}

PeerActions PeerController::publish(DirectoryUpdate update)
{
    update.origin = m_members.self().id;
    update.sequence = ++m_sequence;
    return sendToChildren(update);
}

SendDirectoryUpdate PeerController::reply(DirectoryUpdate update, Endpoint to) const
{
    update.origin = m_members.self().id;
    update.sequence = 0;
    return {to, std::move(update)};
}

std::optional<Endpoint> PeerController::receiverOf(const SendChangesRequest &request) const
{
    if (request.to) {
        return request.to;
    }
    const std::vector<MemberUpdate> peers = m_members.randomPeers(1);
    return peers.empty() ? std::nullopt : std::optional(peers.front().control);
}

PeerActions PeerController::relayUpdate(const DirectoryUpdate &update, Milliseconds now)
{
    if (update.sequence == 0) {
        return {};
    }
    RelayedUpdate &passed = m_relayed[update.origin];
    if (update.sequence <= passed.sequence && now - passed.at < SequenceReorderLimit) {
        return {};
    }
    passed = {update.sequence, now};
    return sendToChildren(update);
}

PeerActions PeerController::sendToChildren(const DirectoryUpdate &update) const
{
    std::vector<InstanceId> others;
    for (const MemberView &member : m_members.views()) {
        if (member.id != update.origin) {
            others.push_back(member.id);
        }
    }
    std::vector<InstanceId> tree = {update.origin};
    const auto sorted = rendezvousOrder(update.origin.value, std::move(others));
    tree.insert(tree.end(), sorted.begin(), sorted.end());
    const auto own = std::find(tree.begin(), tree.end(), m_members.self().id);
    const auto position = static_cast<std::size_t>(own - tree.begin());
    PeerActions actions;
    for (std::size_t child = 1; child <= TreeFanOut; ++child) {
        const std::size_t index = position * TreeFanOut + child;
        if (index >= tree.size()) {
            break;
        }
        if (const MemberUpdate *peer = m_members.find(tree[index])) {
            actions.updates.push_back({peer->control, update});
        }
    }
    return actions;
}

void PeerController::beginLeaving()
{
    m_members.beginLeaving();
}

} // namespace damaskhall
