#include "core/router.h"

#include "core/rendezvous.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace damaskhall {

namespace {

/// Balancers with different views may name each other as dispatcher; after this many relays the
/// receiver dispatches itself.
constexpr int MaxRelayHops = 3;
constexpr Milliseconds RefusalRetryAfter = 200_ms;

AdmissionContext admissionContext(const RoutingView &view, const Open &frame)
{
    return {view, frame.service, frame.workClass, frame.workspace, true, 1_ms, 0};
}

AdmissionContext admissionContext(const RoutingView &view, const Reserve &frame)
{
    return {view, frame.service, frame.workClass, frame.workspace, false, frame.remaining, 0};
}

std::uint64_t subjectOf(const Open &frame)
{
    return frame.flow.value;
}

std::uint64_t subjectOf(const Reserve &frame)
{
    return frame.request.value;
}

template <typename T>
struct IsRelayed : std::false_type
{
};

template <typename Inner>
struct IsRelayed<Relayed<Inner>> : std::true_type
{
};

template <typename Inner>
Send relay(const MemberView &peer, const Inner &frame, Endpoint caller, int hops)
{
    const Relayed<Inner> relayed{caller, static_cast<std::uint8_t>(hops + 1), frame};
    return {Destination::Peer, peer.endpoint, {}, relayed};
}

} // namespace

Router::Router(InstanceId self, Incarnation incarnation, const CoreHooks &hooks)
    : m_self(self)
    , m_incarnation(incarnation)
    , m_hooks(hooks)
    , m_admission(FilterChain::forAdmission())
    , m_dispatcher(self, incarnation, hooks)
    , m_view(std::make_shared<const RoutingView>())
{
}

void Router::setView(std::shared_ptr<const RoutingView> view)
{
    m_view = m_isLeaving ? withSelfLeaving(*view) : std::move(view);
    m_liveUpstreams.clear();
    for (const auto &[id, upstream] : m_view->upstreams) {
        m_liveUpstreams[upstream.service] += upstream.state == UpstreamState::Live ? 1 : 0;
    }
    m_dispatcher.setView(m_view);
}

std::size_t Router::liveUpstreams(ServiceId service) const
{
    const auto found = m_liveUpstreams.find(service);
    return found == m_liveUpstreams.end() ? 0 : found->second;
}

std::shared_ptr<const RoutingView> Router::withSelfLeaving(const RoutingView &view) const
{
    auto changed = std::make_shared<RoutingView>(view);
    for (MemberView &member : changed->members) {
        if (member.id == m_self) {
            member.state = MemberState::Leaving;
        }
    }
    return changed;
}

void Router::handle(const Frame &frame, Endpoint from, Milliseconds now, Actions &actions)
{
    std::visit(
            [&](const auto &message) {
                using Message = std::decay_t<decltype(message)>;
                if constexpr (std::is_same_v<Message, Open> || std::is_same_v<Message, Reserve>) {
                    admit(message, from, 0, now, actions);
                } else if constexpr (std::is_same_v<Message, Execute> ||
                                     std::is_same_v<Message, AnswerAck>) {
                    passToOwner(message, message.permit, from, 0, now, actions);
                } else if constexpr (std::is_same_v<Message, Cancel>) {
                    cancelRequest(message, from, 0, now, actions);
                } else if constexpr (std::is_same_v<Message, FeedData> ||
                                     std::is_same_v<Message, Keepalive> ||
                                     std::is_same_v<Message, UploadChunk> ||
                                     std::is_same_v<Message, Close>) {
                    forwardToUpstream(message, from, actions);
                } else if constexpr (std::is_same_v<Message, Push> ||
                                     std::is_same_v<Message, KeepaliveReply>) {
                    forwardToCaller(message, from, actions);
                } else if constexpr (std::is_same_v<Message, UploadAck>) {
                    forwardToCaller(message, from, actions);
                    if (message.stored) {
                        notifyUploadOwner(message.token, now, actions);
                    }
                } else if constexpr (std::is_same_v<Message, UpstreamReply>) {
                    m_dispatcher.handleReply(message, from, now, actions);
                } else if constexpr (std::is_same_v<Message, ProbeReply>) {
                    m_dispatcher.handleProbeReply(message, from, now, actions);
                } else if constexpr (IsRelayed<Message>::value) {
                    if (!isMember(from)) {
                        drop(RefusalReason::Malformed);
                        return;
                    }
                    using Inner = decltype(message.inner);
                    if constexpr (std::is_same_v<Inner, Open> || std::is_same_v<Inner, Reserve>) {
                        admit(message.inner, message.caller, message.hops, now, actions);
                    } else if constexpr (std::is_same_v<Inner, Cancel>) {
                        cancelRequest(message.inner, message.caller, message.hops, now, actions);
                    } else {
                        passToOwner(message.inner, message.inner.permit, message.caller,
                                    message.hops, now, actions);
                    }
                } else if constexpr (std::is_same_v<Message, UploadFinished>) {
                    finishUpload(message, now, actions);
                } else {
                    // Frames that only balancers send to callers or upstreams.
                    drop(RefusalReason::Malformed);
                }
            },
            frame);
}

void Router::handleUndecodable(const Error &error)
{
    switch (error.code) {
    case ErrorCode::Oversized:
        drop(RefusalReason::Oversized);
        break;
    case ErrorCode::VersionMismatch:
        drop(RefusalReason::ProtocolVersion);
        break;
    default:
        drop(RefusalReason::Malformed);
        break;
    }
}

void Router::tick(Milliseconds now, Actions &actions)
{
    m_dispatcher.tick(now, actions);
}

void Router::beginLeaving(Milliseconds now, Actions &actions)
{
    // Views that the control thread made earlier still name this balancer as dispatcher.
    m_isLeaving = true;
    setView(m_view);
    m_dispatcher.beginLeaving(now, actions);
}

template <typename Inner>
void Router::admit(const Inner &frame, Endpoint caller, int hops, Milliseconds now,
                   Actions &actions)
{
    AdmissionContext context = admissionContext(*m_view, frame);
    context.liveUpstreams = liveUpstreams(frame.service);
    if (const auto refused = m_admission.run(context)) {
        refuse(subjectOf(frame), caller, *refused, frame.service, frame.workClass, actions);
        return;
    }
    const MemberView *peer = otherDispatcher(frame.service, subjectOf(frame));
    if (!peer || hops >= MaxRelayHops) {
        admitLocally(frame, caller, now, actions);
        return;
    }
    actions.push_back(relay(*peer, frame, caller, hops));
}

const MemberView *Router::otherDispatcher(ServiceId service, std::uint64_t subject) const
{
    const std::uint32_t shards = shardCount(liveUpstreams(service));
    const auto dispatcher = dispatcherOf(*m_view, service, shardOfSubject(subject, shards));
    if (!dispatcher || *dispatcher == m_self) {
        return nullptr;
    }
    return m_view->findMember(*dispatcher);
}

void Router::admitLocally(const Open &frame, Endpoint caller, Milliseconds now, Actions &actions)
{
    m_dispatcher.open(frame, caller, now, actions);
}

void Router::admitLocally(const Reserve &frame, Endpoint caller, Milliseconds now, Actions &actions)
{
    m_dispatcher.reserve(frame, caller, now, actions);
}

template <typename Inner>
void Router::passToOwner(const Inner &frame, const SealedToken &permit, Endpoint caller, int hops,
                         Milliseconds now, Actions &actions)
{
    const auto token = openToken(permit);
    if (!token) {
        return;
    }
    if (token->kind != TokenKind::Permit || token->subject != frame.request.value) {
        drop(RefusalReason::BadToken, token->service, token->workClass);
        return;
    }
    if (token->owner == m_self) {
        deliverToOwner(frame, *token, caller, now, actions);
        return;
    }
    const MemberView *owner = m_view->findMember(token->owner);
    if (!owner) {
        // The owner may have started after this view was made, so nothing can be said about the
        // request. The caller repeats it.
        drop(RefusalReason::OwnerUnreachable, token->service, token->workClass);
        return;
    }
    // A permit of a later incarnation shows that the owner was restarted since it died.
    const bool isDead =
            owner->state == MemberState::Dead && token->ownerIncarnation <= owner->incarnation;
    if (!isDead && hops < MaxRelayHops) {
        actions.push_back(relay(*owner, frame, caller, hops));
        return;
    }
    if constexpr (std::is_same_v<Inner, Execute>) {
        answerUnknown(frame.request, caller, RefusalReason::OwnerUnreachable, *token, actions);
    }
}

void Router::deliverToOwner(const Execute &frame, const Token &permit, Endpoint caller,
                            Milliseconds now, Actions &actions)
{
    // A restarted balancer cannot know whether its predecessor sent the request.
    if (permit.ownerIncarnation != m_incarnation) {
        answerUnknown(frame.request, caller, RefusalReason::NoRecord, permit, actions);
        return;
    }
    m_dispatcher.execute(frame, permit, caller, now, actions);
}

void Router::deliverToOwner(const AnswerAck &frame, const Token &permit, Endpoint, Milliseconds now,
                            Actions &)
{
    if (permit.ownerIncarnation == m_incarnation) {
        m_dispatcher.acknowledge(frame, now);
    }
}

void Router::deliverToOwner(const Cancel &frame, const Token &permit, Endpoint, Milliseconds now,
                            Actions &actions)
{
    if (permit.ownerIncarnation == m_incarnation) {
        m_dispatcher.cancel(frame, now, actions);
    }
}

void Router::cancelRequest(const Cancel &frame, Endpoint caller, int hops, Milliseconds now,
                           Actions &actions)
{
    if (!frame.permit.empty()) {
        passToOwner(frame, frame.permit, caller, hops, now, actions);
        return;
    }
    // Without a permit the request waits at the dispatcher, if anywhere.
    const MemberView *peer = otherDispatcher(frame.service, frame.request.value);
    if (!peer || hops >= MaxRelayHops) {
        m_dispatcher.cancel(frame, now, actions);
        return;
    }
    actions.push_back(relay(*peer, frame, caller, hops));
}

template <typename Inner>
void Router::forwardToUpstream(const Inner &frame, Endpoint caller, Actions &actions)
{
    const auto token = openToken(frame.token);
    if (!token) {
        return;
    }
    constexpr bool IsChunk = std::is_same_v<Inner, UploadChunk>;
    constexpr bool IsClose = std::is_same_v<Inner, Close>;
    const TokenKind expected = IsChunk ? TokenKind::Upload : TokenKind::Feed;
    if (token->kind != expected && !(IsClose && token->kind == TokenKind::Upload)) {
        drop(RefusalReason::BadToken, token->service, token->workClass);
        return;
    }
    // Addresses are reused by other services; upstream ids are not.
    const UpstreamView *upstream = m_view->findUpstream(token->upstream);
    if (!upstream) {
        refuse(token->subject, caller, RefusalReason::NoUpstream, token->service, token->workClass,
               actions);
        return;
    }
    if (upstream->service != token->service) {
        drop(RefusalReason::WrongService, token->service, token->workClass);
        return;
    }
    const Forwarded<Inner> forwarded{caller, token->service, frame};
    actions.push_back({Destination::Upstream, upstream->endpoint, upstream->id, forwarded});
}

template <typename Inner>
void Router::forwardToCaller(const Inner &frame, Endpoint from, Actions &actions)
{
    const auto token = openToken(frame.token);
    if (!token) {
        return;
    }
    if (!isUpstream(from, token->upstream)) {
        drop(RefusalReason::Malformed, token->service, token->workClass);
        return;
    }
    actions.push_back({Destination::Caller, frame.caller, {}, frame});
}

void Router::notifyUploadOwner(const SealedToken &token, Milliseconds now, Actions &actions)
{
    const auto opened = openToken(token);
    if (!opened) {
        return;
    }
    if (opened->owner == m_self) {
        finishUpload({token}, now, actions);
        return;
    }
    const MemberView *owner = m_view->findMember(opened->owner);
    if (owner && owner->state != MemberState::Dead) {
        actions.push_back({Destination::Peer, owner->endpoint, {}, UploadFinished{token}});
    }
}

void Router::finishUpload(const UploadFinished &frame, Milliseconds now, Actions &actions)
{
    const auto token = openToken(frame.token);
    if (!token || token->kind != TokenKind::Upload) {
        return;
    }
    if (token->owner == m_self && token->ownerIncarnation == m_incarnation) {
        m_dispatcher.finishUpload(*token, now, actions);
    }
}

void Router::answerUnknown(RequestId request, Endpoint caller, RefusalReason reason,
                           const Token &permit, Actions &actions)
{
    m_hooks.countRefusal(reason, permit.service, permit.workClass);
    const Answer answer{request, Outcome::Unknown, 0, 1, {}};
    actions.push_back({Destination::Caller, caller, {}, answer});
}

void Router::refuse(std::uint64_t subject, Endpoint caller, RefusalReason reason, ServiceId service,
                    ClassId workClass, Actions &actions)
{
    m_hooks.countRefusal(reason, service, workClass);
    const Refusal refusal{subject, reason, RefusalRetryAfter, {}};
    actions.push_back({Destination::Caller, caller, {}, refusal});
}

void Router::drop(RefusalReason reason, ServiceId service, ClassId workClass)
{
    m_hooks.countRefusal(reason, service, workClass);
}

std::optional<Token> Router::openToken(const SealedToken &sealed)
{
    const Result<Token> token = m_hooks.openToken(sealed);
    if (!token) {
        drop(RefusalReason::BadToken);
        return std::nullopt;
    }
    return token.assume_value();
}

bool Router::isMember(Endpoint endpoint) const
{
    return std::any_of(m_view->members.begin(), m_view->members.end(),
                       [endpoint](const auto &member) { return member.endpoint == endpoint; });
}

bool Router::isUpstream(Endpoint endpoint, UpstreamId id) const
{
    const UpstreamView *upstream = m_view->findUpstream(id);
    return upstream && upstream->endpoint == endpoint;
}

} // namespace damaskhall
