#pragma once

#include "core/action.h"
#include "core/corehooks.h"
#include "core/messages.h"
#include "core/routingview.h"
#include "core/status.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace damaskhall {

/// What a dispatcher holds; a graceful stop waits until it is empty.
struct DispatcherLoad
{
    std::size_t waiting = 0;
    std::size_t permitted = 0;
    std::size_t sent = 0;
    std::size_t uploads = 0;

    bool isEmpty() const { return waiting + permitted + sent + uploads == 0; }
};

/// Admits work to the upstreams of the shards that this balancer dispatches, and owns the permits
/// that it has issued. The router checks frames (filters, tokens, incarnation) before it calls.
/// Thread safety: none; all calls come from one traffic thread. @c now must not decrease.
class Dispatcher
{
public:
    /// Precondition: all hooks are set.
    Dispatcher(InstanceId self, Incarnation incarnation, CoreHooks hooks);

    /// Replaces the view that decisions use. Precondition: @p view is not null.
    void setView(std::shared_ptr<const RoutingView> view);

    /// Chooses an upstream for a feed and replies with its token.
    void open(const Open &frame, Endpoint caller, Milliseconds now, Actions &actions);
    /// Queues a request or upload, or repeats the reply that its record calls for.
    void reserve(const Reserve &frame, Endpoint caller, Milliseconds now, Actions &actions);
    /// Precondition: @p permit is valid, names this incarnation and frame.request.
    void execute(const Execute &frame, const Token &permit, Endpoint caller, Milliseconds now,
                 Actions &actions);
    void cancel(const Cancel &frame, Endpoint caller, Milliseconds now, Actions &actions);
    void acknowledge(const AnswerAck &frame, Milliseconds now);
    /// Frees the slot of a stored upload. Precondition: @p token names this incarnation.
    void finishUpload(const Token &token, Milliseconds now, Actions &actions);

    void handleReply(const UpstreamReply &frame, Endpoint from, Milliseconds now, Actions &actions);
    void handleProbeReply(const ProbeReply &frame, Endpoint from, Milliseconds now,
                          Actions &actions);

    /// Runs timers. Call at least every 10 ms.
    void tick(Milliseconds now, Actions &actions);

    /// Stops admitting work and relays waiting reservations to the next dispatcher. Work that was
    /// permitted is finished.
    void beginLeaving(Milliseconds now, Actions &actions);

    DispatcherLoad load() const;

    /// Returns a snapshot for operators.
    TrafficStatus status() const;

private:
    enum class Phase {
        Waiting,
        Permitted,
        Sent,
        Done,
    };

    struct Record
    {
        Reserve reservation;
        Endpoint caller;
        Phase phase = Phase::Waiting;
        SealedToken permit;
        Milliseconds deadline;
        Milliseconds keepUntil;
        UpstreamId upstream;
        AttemptId attempt;
        std::vector<std::optional<std::string>> fragments;
        Outcome outcome = Outcome::Done;
    };

    void admitWaiting(Milliseconds now, Actions &actions);
    void issuePermit(Record &record, Milliseconds now, Actions &actions);
    void send(Record &record, const Execute &frame, Milliseconds now, Actions &actions);
    void finish(Record &record, Outcome outcome, Milliseconds now, Actions &actions);
    void sendAnswer(const Record &record, Actions &actions) const;
    void refuse(std::uint64_t subject, Endpoint caller, RefusalReason reason, ServiceId service,
                ClassId workClass, Actions &actions);
    std::optional<UpstreamView> leastLoaded(ServiceId service) const;

    InstanceId m_self;
    Incarnation m_incarnation;
    CoreHooks m_hooks;
    std::shared_ptr<const RoutingView> m_view;
    std::unordered_map<RequestId, Record> m_records;
    std::unordered_map<AttemptId, RequestId> m_attempts;
    std::unordered_map<UpstreamId, int> m_inUse;
    std::deque<RequestId> m_waiting;
    bool m_isLeaving = false;
};

} // namespace damaskhall
