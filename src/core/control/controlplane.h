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

/// Balancer in the platform's instance list, restricted to the local data centre.
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
    /// Control endpoints of members to contact first.
    std::vector<Endpoint> seeds;
    /// Control endpoints in other data centres; platform readers exchange revisions with them.
    std::vector<Endpoint> remotePeers;
};

/// Control plane of one balancer: combines membership, configuration and upstream directory.
/// Deterministic; has no clock, thread or socket of its own. Thread safety: none.
class ControlPlane
{
public:
    /// Precondition: all hooks are set.
    ControlPlane(const ControlPlaneOptions &options, const ControlHooks &hooks);

    void tick(Milliseconds now, ControlActions &actions);
    void handleDatagram(const ControlDatagram &datagram, Endpoint from, Milliseconds now,
                        ControlActions &actions);
    /// Returns the reply to a peer's request, or nullopt if @p request is not a request.
    std::optional<StreamMessage> answerRequest(const StreamMessage &request) const;
    /// Handles the reply to a SendRequest.
    void handleReply(Endpoint peer, const StreamMessage &reply, Milliseconds now,
                     ControlActions &actions);
    void handleRequestFailure(Endpoint peer, Milliseconds now, ControlActions &actions);

    /// Handles the value of the declaration key; version zero means that the key does not exist.
    void handleDeclaration(const std::string &envelope, std::uint64_t version, Milliseconds now,
                           ControlActions &actions);
    void handleInstances(const std::vector<ListedBalancer> &balancers,
                         const std::vector<UpstreamUpdate> &upstreams, std::size_t listed,
                         Milliseconds now, ControlActions &actions);
    void handleRegistered(Milliseconds now);
    void handlePlatformFailure(PlatformSchedule::Call call, Milliseconds now);

    void beginLeaving(Milliseconds now, ControlActions &actions);
    void reportLeaving(UpstreamId upstream, Milliseconds now, ControlActions &actions);

    /// Returns the current view; the same object is returned until it changes. tick() appends
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
    void exchangeRemoteRevision(Milliseconds now, ControlActions &actions);
    void handleRemoteRevision(const ControlDatagram &datagram, Endpoint from, Milliseconds now,
                              ControlActions &actions);
    void pullStateIfDifferent(const MemberUpdate &peer, std::uint64_t peerDigest, Milliseconds now,
                              ControlActions &actions);
    /// Fills in the Gossip of the datagrams from index @p firstAction on and announces updates.
    void completeActions(std::size_t firstAction, ControlActions &actions);

    ControlPlaneOptions m_options;
    ControlHooks m_hooks;
    MembershipController m_members;
    UpstreamController m_upstreams;
    ConfigController m_config;
    PlatformSchedule m_schedule;
    std::size_t m_listedInstanceCount = 0;
    Revision m_announcedRevision;
    /// Hash of the last envelope read; a watch that times out without a change returns the same
    /// envelope.
    std::uint64_t m_envelopeHash = 0;
    std::shared_ptr<const RoutingView> m_view;
    bool m_isFirstTick = true;
    std::uint64_t m_viewMemberVersion = 0;
    std::uint64_t m_viewUpstreamVersion = 0;
    std::uint64_t m_readerMemberVersion = 0;
    bool m_isReader = false;
    bool m_hasPeerState = false;
    std::uint64_t m_lastDigest = 0;
    Milliseconds m_digestChangedAt;
    Milliseconds m_nextStatePull;
    Milliseconds m_nextRemoteExchange;
    Milliseconds m_nextExpiry;
};

} // namespace damaskhall
