#pragma once

#include "core/action.h"
#include "core/corehooks.h"
#include "core/dispatch/requesttable.h"
#include "core/dispatch/shard.h"
#include "core/messages.h"
#include "core/routingview.h"
#include "core/status.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace damaskhall {

/// Work in progress at a dispatcher; a graceful stop waits until it is empty.
struct DispatcherLoad
{
    std::size_t waiting = 0;
    std::size_t permitted = 0;
    std::size_t sent = 0;
    std::size_t uploads = 0;
    /// Answers that the caller has not acknowledged; only this dispatcher can resend a lost one.
    std::size_t unacknowledged = 0;

    bool isEmpty() const { return waiting + permitted + sent + uploads + unacknowledged == 0; }
};

/// Admits work to the upstreams of the shards that this balancer dispatches, and owns the permits
/// that it has issued. The router validates frames (filters, tokens, incarnation) before it calls.
/// Thread safety: none; all calls come from one traffic thread. @c now must not decrease.
class Dispatcher
{
public:
    /// Precondition: all hooks are set.
    Dispatcher(InstanceId self, Incarnation incarnation, CoreHooks hooks);

    /// Replaces the routing view that decisions use. Precondition: @p view is not null.
    void setView(std::shared_ptr<const RoutingView> view);

    /// Chooses an upstream for a feed and replies with its token. Refused while the data centre is
    /// evacuated.
    void open(const Open &frame, Endpoint caller, Milliseconds now, Actions &actions);
    /// Queues a request or upload, or resends the reply for the phase of its record. New ones are
    /// refused while the data centre is evacuated.
    void reserve(const Reserve &frame, Endpoint caller, Milliseconds now, Actions &actions);
    /// Runs a permitted request, or resends its result. Precondition: @p permit is valid and names
    /// this incarnation and frame.request.
    void execute(const Execute &frame, const Token &permit, Endpoint caller, Milliseconds now,
                 Actions &actions);
    /// Cancels a request. A frame without a permit cancels only a request that has no Execute yet.
    /// The reply goes to the caller of the last Reserve or Execute.
    void cancel(const Cancel &frame, Milliseconds now, Actions &actions);
    /// Drops the stored answer.
    void acknowledge(const AnswerAck &frame, Milliseconds now);
    /// Frees the slot of a stored upload. Precondition: @p token names this incarnation.
    void finishUpload(const Token &token, Milliseconds now, Actions &actions);

    void handleReply(const UpstreamReply &frame, Endpoint from, Milliseconds now, Actions &actions);
    void handleProbeReply(const ProbeReply &frame, Endpoint from, Milliseconds now,
                          Actions &actions);

    /// Releases the slots of requests that were sent on a path which became unresponsive: their
    /// replies may never arrive, although the upstream serves new connections. The requests still
    /// wait for a reply until their deadline and are not sent again.
    void handleSilentPath(UpstreamId upstream, Milliseconds now);

    /// Runs timers. Call at least every 10 ms.
    void tick(Milliseconds now, Actions &actions);

    /// Stops admitting work and relays waiting reservations to the next dispatcher. Permitted work
    /// is completed. Precondition: the view marks this balancer as leaving.
    void beginLeaving(Milliseconds now, Actions &actions);

    DispatcherLoad load() const;

    /// Returns a snapshot for operators.
    TrafficStatus status() const;

private:
    struct TargetCount
    {
        std::uint64_t met = 0;
        std::uint64_t missed = 0;
    };

    /// Attempt whose record no longer waits for a reply. Its slot stays in use until the upstream
    /// answers or the attempt times out, as the upstream may still be running it.
    struct AbandonedAttempt
    {
        ShardKey shard;
        UpstreamSlot slot;
        Milliseconds sentAt;
        Milliseconds releaseAt;
        ServiceId service;
        ClassId workClass;
    };

    // Shards and the routing view.
    void applyPendingView(Milliseconds now, Actions &actions);
    void addDispatchedShards();
    Shard &shardForSubject(ServiceId service, std::uint64_t subject);
    Shard &shardAt(ShardKey key);
    void updateUpstreams(Shard &shard) const;
    std::vector<UpstreamView> upstreamsOf(ShardKey key) const;
    std::uint32_t shardCountOf(ServiceId service) const;
    bool isDispatchedHere(ShardKey key) const;
    void handOverWaiting(Shard &shard, Milliseconds now, Actions &actions);
    void handOver(RequestRecord &record, Milliseconds now, Actions &actions);
    void markLeaving(UpstreamId upstream);

    // Request lifecycle, in order.
    void enqueue(RequestRecord &record, const Reserve &frame, Milliseconds now, Actions &actions);
    std::optional<RefusalReason> checkAdmission(const RequestRecord &record, Milliseconds now,
                                                Milliseconds &retryAfter);
    static Milliseconds shorterTargetHeadroom(const Shard &shard, Milliseconds target,
                                              Milliseconds now);
    void resendReply(RequestRecord &record, Milliseconds now, Actions &actions);
    void dispatch(Shard &shard, Milliseconds now, Actions &actions);
    void sendAwaiting(Shard &shard, Milliseconds now, Actions &actions);
    void issuePermits(Shard &shard, Milliseconds now, Actions &actions);
    void issuePermit(Shard &shard, RequestRecord &record, Milliseconds now, Actions &actions);
    void startUpload(Shard &shard, RequestRecord &record, Milliseconds now, Actions &actions);
    void acceptExecute(Shard &shard, RequestRecord &record, const Execute &frame, Milliseconds now);
    void send(RequestRecord &record, const UpstreamSlot &slot, Milliseconds now, Actions &actions);
    Milliseconds attemptTimeout(const RequestRecord &record);
    void completeReply(RequestRecord &record, ReplyStatus status, Milliseconds now,
                       Actions &actions);
    void retry(RequestRecord &record, RetryReason reason, Milliseconds now, Actions &actions);
    void handleTimer(RequestRecord &record, Milliseconds now, Actions &actions);
    void handleTimeout(RequestRecord &record, Milliseconds now, Actions &actions);
    void releaseSlot(RequestRecord &record, SlotResult result, Milliseconds now);
    void releasePhaseResources(RequestRecord &record, Milliseconds now);
    void finish(RequestRecord &record, RecordPhase phase, Milliseconds now);
    void answer(RequestRecord &record, Milliseconds now, Actions &actions);
    void resolveUnknown(RequestRecord &record, Milliseconds now, Actions &actions);
    void refuse(RequestRecord &record, RefusalReason reason, Milliseconds retryAfter,
                Milliseconds now, Actions &actions);
    void sendAnswer(const RequestRecord &record, Actions &actions) const;
    void sendUnknown(RequestId request, Endpoint caller, Actions &actions) const;
    void sendRefusal(const RequestRecord &record, Milliseconds retryAfter, Actions &actions) const;
    void abandonAttempt(RequestRecord &record, Milliseconds now);
    void releaseAbandoned(AttemptId attempt, SlotResult result, Milliseconds now);
    void releaseOverdueAttempts(Milliseconds now);
    void dropLateReply(const UpstreamReply &frame, Endpoint from, Milliseconds now,
                       Actions &actions);
    SealedToken sealToken(const RequestRecord &record, TokenKind kind, Milliseconds expiry) const;
    Milliseconds jittered(Milliseconds duration) const;
    void countTargetResult(const RequestRecord &record, Milliseconds now);

    InstanceId m_self;
    Incarnation m_incarnation;
    CoreHooks m_hooks;
    std::shared_ptr<const RoutingView> m_view;
    bool m_hasPendingView = false;
    bool m_isLeaving = false;
    Milliseconds m_now;
    Milliseconds m_nextProbe;
    RequestTable m_table;
    std::unordered_map<AttemptId, AbandonedAttempt> m_abandoned;
    std::set<std::pair<Milliseconds, AttemptId>> m_abandonedByReleaseTime;
    std::map<ShardKey, Shard> m_shards;
    std::unordered_map<ServiceId, std::vector<UpstreamView>> m_liveUpstreams;
    /// Upstreams that announced that they are leaving; kept while the view lists them.
    std::unordered_set<UpstreamId> m_leavingUpstreams;
    std::map<std::pair<ServiceId, ClassId>, TargetCount> m_targetCounts;
};

} // namespace damaskhall
