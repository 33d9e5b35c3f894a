#pragma once

#include "core/action.h"
#include "core/corehooks.h"
#include "core/dispatch/dispatcher.h"
#include "core/filterchain.h"
#include "core/messages.h"
#include "core/routingview.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>

namespace damaskhall {

/// Entry of the traffic path: takes every frame, checks it and forwards it, relays it to the
/// dispatcher or owner, or hands it to the own dispatcher.
/// Thread safety: none; all calls come from one traffic thread. @c now must not decrease.
class Router
{
public:
    /// Precondition: all hooks are set.
    Router(InstanceId self, Incarnation incarnation, const CoreHooks &hooks);

    /// Replaces the view that decisions use. Precondition: @p view is not null.
    void setView(std::shared_ptr<const RoutingView> view);

    /// Handles one frame that came from @p from; frames that @p from may not send are dropped and
    /// counted.
    void handle(const Frame &frame, Endpoint from, Milliseconds now, Actions &actions);

    /// Counts a datagram that could not be decoded.
    void handleUndecodable(const Error &error);

    /// Counts an upstream address at which another upstream answered.
    void handleWrongService() { drop(RefusalReason::WrongService); }

    /// See Dispatcher::handleSilentPath().
    void handleSilentPath(UpstreamId upstream, Milliseconds now)
    {
        m_dispatcher.handleSilentPath(upstream, now);
    }

    /// Runs timers. Call at least every 10 ms.
    void tick(Milliseconds now, Actions &actions);

    /// Starts a graceful stop: see Dispatcher::beginLeaving().
    void beginLeaving(Milliseconds now, Actions &actions);

    DispatcherLoad load() const { return m_dispatcher.load(); }
    /// Returns a snapshot for operators.
    TrafficStatus status() const { return m_dispatcher.status(); }

private:
    template <typename Inner>
    void admit(const Inner &frame, Endpoint caller, int hops, Milliseconds now, Actions &actions);
    template <typename Inner>
    void passToOwner(const Inner &frame, const SealedToken &permit, Endpoint caller, int hops,
                     Milliseconds now, Actions &actions);
    template <typename Inner>
    void forwardToUpstream(const Inner &frame, Endpoint caller, Actions &actions);
    template <typename Inner>
    void forwardToCaller(const Inner &frame, Endpoint from, Actions &actions);

    void cancelRequest(const Cancel &frame, Endpoint caller, int hops, Milliseconds now,
                       Actions &actions);
    void notifyUploadOwner(const SealedToken &token, Milliseconds now, Actions &actions);
    void finishUpload(const UploadFinished &frame, Milliseconds now, Actions &actions);

    void admitLocally(const Open &frame, Endpoint caller, Milliseconds now, Actions &actions);
    void admitLocally(const Reserve &frame, Endpoint caller, Milliseconds now, Actions &actions);
    void deliverToOwner(const Execute &frame, const Token &permit, Endpoint caller,
                        Milliseconds now, Actions &actions);
    void deliverToOwner(const AnswerAck &frame, const Token &permit, Endpoint caller,
                        Milliseconds now, Actions &actions);
    void deliverToOwner(const Cancel &frame, const Token &permit, Endpoint caller, Milliseconds now,
                        Actions &actions);

    void answerUnknown(RequestId request, Endpoint caller, RefusalReason reason,
                       const Token &permit, Actions &actions);
    void refuse(std::uint64_t subject, Endpoint caller, RefusalReason reason, ServiceId service,
                ClassId workClass, Actions &actions);
    void drop(RefusalReason reason, ServiceId service = {}, ClassId workClass = {});
    std::optional<Token> openToken(const SealedToken &sealed);
    std::size_t liveUpstreams(ServiceId service) const;
    /// Returns the balancer that dispatches @p subject, or null if this one does.
    const MemberView *otherDispatcher(ServiceId service, std::uint64_t subject) const;
    std::shared_ptr<const RoutingView> withSelfLeaving(const RoutingView &view) const;
    bool isMember(Endpoint endpoint) const;
    bool isUpstream(Endpoint endpoint, UpstreamId id) const;

    InstanceId m_self;
    Incarnation m_incarnation;
    CoreHooks m_hooks;
    FilterChain m_admission;
    Dispatcher m_dispatcher;
    std::shared_ptr<const RoutingView> m_view;
    /// Number of live upstreams by service. Counting them in the view at each frame would cost a
    /// scan of all upstreams of the data centre.
    std::unordered_map<ServiceId, std::size_t> m_liveUpstreams;
    bool m_isLeaving = false;
};

} // namespace damaskhall
