#pragma once

#include "core/control/configcontroller.h"
#include "core/control/membershipcontroller.h"
#include "core/control/platformschedule.h"
#include "core/control/upstreamcontroller.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace damaskhall {

/// Entry of the platform's list, restricted to the own data centre.
struct ListedBalancer
{
    InstanceId id;
    Incarnation incarnation;
    Endpoint endpoint;
    Endpoint control;
    bool isLeaving = false;
};

struct ControlPlaneOptions
{
    MemberUpdate self;
    DataCentreId dataCentre;
    /// Control endpoints of members to try first.
    std::vector<Endpoint> seeds;
    /// Control endpoints in other data centres; readers exchange revisions with them.
    std::vector<Endpoint> remotePeers;
};

/// Control plane of one balancer: membership, configuration and upstream directory behind one set
/// of events. Deterministic; holds no clock, thread or socket. Thread safety: none.
class ControlPlane
{
public:
    /// Precondition: all hooks are set.
    ControlPlane(const ControlPlaneOptions &options, const ControlHooks &hooks);

    void tick(Milliseconds now, ControlActions &actions);
    void handleDatagram(const ControlDatagram &datagram, Endpoint from, Milliseconds now,
                        ControlActions &actions);
    /// Returns the reply to a peer's request, or nothing if it is not a request.
    std::optional<StreamMessage> answerRequest(const StreamMessage &request) const;
    /// Takes the reply to a SendRequest.
    void handleReply(Endpoint peer, const StreamMessage &reply, Milliseconds now,
                     ControlActions &actions);
    void handleRequestFailure(Endpoint peer, Milliseconds now, ControlActions &actions);

    /// Takes the key of the declaration; version zero: the key does not exist.
    void handleDeclaration(const std::string &envelope, std::uint64_t version, Milliseconds now,
                           ControlActions &actions);
    void handleInstances(const std::vector<ListedBalancer> &balancers,
                         const std::vector<UpstreamUpdate> &upstreams, std::size_t listed,
                         Milliseconds now, ControlActions &actions);
    void handleRegistered(Milliseconds now);
    void handlePlatformFailure(PlatformSchedule::Call call, Milliseconds now);

    void beginLeaving(Milliseconds now, ControlActions &actions);
    void reportLeaving(UpstreamId upstream, Milliseconds now, ControlActions &actions);

    /// Returns the current view; the same object until something changes. tick() appends
    /// PublishView after a change.
    std::shared_ptr<const RoutingView> view();
    const ConfigController &config() const { return m_config; }
    const MembershipController &members() const { return m_members; }
    bool isReader();

private:
    Gossip makeGossip(InstanceId receiver, bool withUpdates);
    std::uint64_t digest() const { return m_members.digest() ^ m_upstreams.digest(); }
    void announce(ControlActions &actions);
    void sendAnnouncement(const Gossip &gossip, ControlActions &actions);
    void exchangeRemotely(Milliseconds now, ControlActions &actions);
    void handleRemote(const ControlDatagram &datagram, Endpoint from, Milliseconds now,
                      ControlActions &actions);
    void compareState(const MemberUpdate &peer, std::uint64_t peerDigest, Milliseconds now,
                      ControlActions &actions);
    /// Completes datagrams from @p firstAction on and announces updates.
    void finish(std::size_t firstAction, ControlActions &actions);

    ControlPlaneOptions m_options;
    ControlHooks m_hooks;
    MembershipController m_members;
    UpstreamController m_upstreams;
    ConfigController m_config;
    PlatformSchedule m_schedule;
    std::size_t m_listed = 0;
    Revision m_announcedRevision;
    /// Hash of the last envelope read: a watch that ends without a change returns the same one.
    std::uint64_t m_envelopeHash = 0;
    std::shared_ptr<const RoutingView> m_view;
    bool m_isFirstTick = true;
    std::uint64_t m_viewMembers = 0;
    std::uint64_t m_viewUpstreams = 0;
    std::uint64_t m_readerVersion = 0;
    bool m_isReader = false;
    bool m_hasPeerState = false;
    std::uint64_t m_lastDigest = 0;
    Milliseconds m_digestSince;
    Milliseconds m_nextStatePull;
    Milliseconds m_nextRemote;
    Milliseconds m_nextExpiry;
};

} // namespace damaskhall
