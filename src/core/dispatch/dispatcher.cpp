#include "core/dispatch/dispatcher.h"

#include "core/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace damaskhall {

namespace {

constexpr std::size_t MaxRecords = 65'536;
/// Callers retransmit a Reserve every 200 ms, so a lost Permit is resent several times before it
/// expires.
constexpr Milliseconds PermitLifetime = 1_s;
/// A permit whose Execute takes longer than this many round trips no longer counts as outstanding:
/// the Execute or its caller is lost.
constexpr std::int64_t PermitOverdueRoundTrips = 3;
constexpr Milliseconds MinPermitOverdueTime = 20_ms;
/// Finished records are kept beyond the expiry of their permit, so that a repeated Execute finds
/// them.
constexpr Milliseconds RecordRetention = 1_s;
/// Bounds the memory used for callers that set very long deadlines.
constexpr Milliseconds MaxDeadlineRetention = 30_s;
constexpr Milliseconds MaxRemaining = 3600_s;
/// Bounds the priority over other classes that a caller gains by reporting a long wait.
constexpr Milliseconds MaxReportedWait = 60_s;
/// Upload chunks do not pass through the owner, so the slot is released this long after the upload
/// token was issued or last resent.
constexpr Milliseconds UploadSlotLifetime = 30_s;
constexpr std::size_t MaxAnswerFragments = 1'024;
constexpr std::size_t MaxRefusedPermits = 8;
/// Less than 2% of exponentially distributed service times exceed the mean by this factor.
constexpr std::int64_t ServiceTimeMarginFactor = 4;
constexpr Milliseconds MinAttemptTimeout = 1'500_ms;
constexpr std::int64_t AttemptTimeoutFactor = 8;
constexpr std::uint32_t MaxAttempts = 4;
constexpr Milliseconds FirstRetryDelay = 5_ms;
constexpr Milliseconds MinRetryAfter = 50_ms;
constexpr Milliseconds MaxRetryAfter = 2_s;
constexpr Milliseconds ProbeCheckInterval = 50_ms;

UpstreamSlot slotOf(const RequestRecord &record)
{
    return {record.upstream, record.upstreamEndpoint, record.inFlightAtSend};
}

QueueEntry queueEntry(const RequestRecord &record)
{
    return {record.id(), record.reservation.workClass, record.reservation.workspace, record.arrival,
            record.target};
}

} // namespace

Dispatcher::Dispatcher(InstanceId self, Incarnation incarnation, CoreHooks hooks)
    : m_self(self)
    , m_incarnation(incarnation)
    , m_hooks(std::move(hooks))
    , m_view(std::make_shared<const RoutingView>())
    , m_table(MaxRecords)
{
}

void Dispatcher::setView(std::shared_ptr<const RoutingView> view)
{
    m_view = std::move(view);
    m_hasPendingView = true;
}

void Dispatcher::open(const Open &frame, Endpoint caller, Milliseconds now, Actions &actions)
{
    applyPendingView(now, actions);
    const auto refuseOpen = [&](RefusalReason reason) {
        m_hooks.countRefusal(reason, frame.service, frame.workClass);
        const Refusal refusal{frame.flow.value, reason, jittered(MinRetryAfter * 2), {}};
        actions.push_back({Destination::Caller, caller, {}, refusal});
    };
    if (m_isLeaving || m_view->isEvacuated) {
        refuseOpen(m_isLeaving ? RefusalReason::Leaving : RefusalReason::Evacuated);
        return;
    }
    const auto upstream =
            shardForSubject(frame.service, frame.flow.value).selector().acquireFeed(now);
    if (!upstream) {
        refuseOpen(RefusalReason::NoUpstream);
        return;
    }
    Token token;
    token.kind = TokenKind::Feed;
    token.service = frame.service;
    token.workClass = frame.workClass;
    token.workspace = frame.workspace;
    token.upstream = *upstream;
    token.owner = m_self;
    token.ownerIncarnation = m_incarnation;
    token.subject = frame.flow.value;
    const OpenReply reply{frame.flow.value, m_hooks.sealToken(token)};
    actions.push_back({Destination::Caller, caller, {}, reply});
    m_hooks.countEvent(CoreEvent::FlowOpened, frame.service, frame.workClass);
}

void Dispatcher::reserve(const Reserve &frame, Endpoint caller, Milliseconds now, Actions &actions)
{
    applyPendingView(now, actions);
    RequestRecord *record = m_table.find(frame.request);
    const bool isNew = !record;
    // Work that was admitted before an evacuation goes on, also if its caller repeats the Reserve.
    const bool isEvacuated =
            m_view->isEvacuated && (isNew || record->phase == RecordPhase::Refused);
    if (isNew && !m_isLeaving && !isEvacuated) {
        record = m_table.insert(frame);
    }
    if (!record || isEvacuated) {
        const auto reason = m_isLeaving   ? RefusalReason::Leaving
                            : isEvacuated ? RefusalReason::Evacuated
                                          : RefusalReason::QueueFull;
        m_hooks.countRefusal(reason, frame.service, frame.workClass);
        const Refusal refusal{frame.request.value, reason, jittered(MinRetryAfter * 2), {}};
        actions.push_back({Destination::Caller, caller, {}, refusal});
        return;
    }
    record->caller = caller;
    const bool isRetryOfRefused = record->phase == RecordPhase::Refused &&
                                  record->refusal != RefusalReason::Cancelled && !m_isLeaving;
    if (!isNew && !isRetryOfRefused) {
        resendReply(*record, now, actions);
        return;
    }
    enqueue(*record, frame, now, actions);
}

void Dispatcher::enqueue(RequestRecord &record, const Reserve &frame, Milliseconds now,
                         Actions &actions)
{
    Shard &shard = shardForSubject(frame.service, frame.request.value);
    const auto *declared = m_view->declaration->findClass(frame.service, frame.workClass);
    const Milliseconds remaining = std::min(frame.remaining, MaxRemaining);
    if (!record.permit.empty()) {
        record.refusedPermits.push_back(std::exchange(record.permit, {}));
        if (record.refusedPermits.size() > MaxRefusedPermits) {
            record.refusedPermits.erase(record.refusedPermits.begin());
        }
    }
    record.reservation = frame;
    record.shard = shard.key();
    record.arrival = now - std::clamp(frame.waited, 0_ms, MaxReportedWait);
    record.target = declared ? declared->target : remaining;
    record.isIdempotent = declared && declared->idempotent;
    record.deadline = now + remaining;
    record.attemptCount = 0;
    record.mayHaveRun = false;
    record.notBefore = now;
    m_table.setPhase(record, RecordPhase::Waiting);
    Milliseconds retryAfter = MinRetryAfter * 2;
    if (const auto reason = checkAdmission(record, now, retryAfter)) {
        refuse(record, *reason, retryAfter, now, actions);
        return;
    }
    m_table.setTimer(record, record.deadline);
    if (const auto evicted = shard.queue().push(queueEntry(record))) {
        RequestRecord *other = m_table.find(*evicted);
        refuse(*other, RefusalReason::QueueFull, jittered(MaxRetryAfter), now, actions);
    }
    dispatch(shard, now, actions);
}

std::optional<RefusalReason> Dispatcher::checkAdmission(const RequestRecord &record,
                                                        Milliseconds now, Milliseconds &retryAfter)
{
    const Shard &shard = shardAt(record.shard);
    const auto wait = shard.expectedWait(queueEntry(record), now);
    if (!wait || *wait == 0_ms) {
        return std::nullopt;
    }
    retryAfter = jittered(std::clamp(*wait / 2, MinRetryAfter, MaxRetryAfter));
    const Milliseconds remaining = record.deadline - now;
    const Milliseconds headroom = shorterTargetHeadroom(shard, record.target, now);
    // Requests with short deadlines are not all refused: they may wait for half of their time.
    const Milliseconds serviceTime =
            shard.selector().maxUpstreamLatency() * ServiceTimeMarginFactor;
    const Milliseconds margin = std::min(std::max(serviceTime, headroom), remaining / 2);
    if (*wait + margin > remaining) {
        return RefusalReason::DeadlineUnreachable;
    }
    // If the queue is longer than the target, every later request of the class misses its target.
    const bool isTooLong = *wait + headroom > record.target;
    return isTooLong ? std::optional(RefusalReason::QueueFull) : std::nullopt;
}

Milliseconds Dispatcher::shorterTargetHeadroom(const Shard &shard, Milliseconds target,
                                               Milliseconds now)
{
    // Entries that have waited longer than the difference of the targets go before new entries of
    // the class with the shorter target. If the queue is kept shorter than that, the class with the
    // shorter target has three quarters of it left; otherwise it is refused although it has room.
    const auto shorter = shard.shortestTargetBelow(target, now);
    return shorter ? *shorter * 3 / 4 : 0_ms;
}

void Dispatcher::resendReply(RequestRecord &record, Milliseconds now, Actions &actions)
{
    switch (record.phase) {
    case RecordPhase::Permitted: {
        const Permit permit{record.id(), record.permit};
        actions.push_back({Destination::Caller, record.caller, {}, permit});
        break;
    }
    case RecordPhase::Uploading: {
        m_table.setTimer(record, now + UploadSlotLifetime);
        const OpenReply reply{record.id().value, record.permit};
        actions.push_back({Destination::Caller, record.caller, {}, reply});
        break;
    }
    case RecordPhase::Answered:
    case RecordPhase::Unknown:
        sendAnswer(record, actions);
        break;
    case RecordPhase::Refused: {
        const Refusal refusal{record.id().value, record.refusal, MinRetryAfter * 2, {}};
        actions.push_back({Destination::Caller, record.caller, {}, refusal});
        break;
    }
    case RecordPhase::Waiting:
    case RecordPhase::AwaitingSlot:
    case RecordPhase::Sent:
    case RecordPhase::Acknowledged:
        break;
    }
}

void Dispatcher::dispatch(Shard &shard, Milliseconds now, Actions &actions)
{
    sendAwaiting(shard, now, actions);
    if (!m_isLeaving) {
        issuePermits(shard, now, actions);
    }
}

void Dispatcher::sendAwaiting(Shard &shard, Milliseconds now, Actions &actions)
{
    auto &awaiting = shard.awaitingSlot();
    for (auto it = awaiting.begin(); it != awaiting.end();) {
        RequestRecord &record = *m_table.find(*it);
        if (record.notBefore > now) {
            ++it;
            continue;
        }
        // Checks the deadline right before sending: a process that was frozen may get here long
        // after its timers were due.
        if (record.deadline <= now) {
            it = awaiting.erase(it);
            refuse(record, RefusalReason::DeadlinePassed, MinRetryAfter, now, actions);
            continue;
        }
        const auto slot = shard.selector().tryAcquire(now);
        if (!slot) {
            return;
        }
        it = awaiting.erase(it);
        send(record, *slot, now, actions);
    }
}

void Dispatcher::issuePermits(Shard &shard, Milliseconds now, Actions &actions)
{
    while (shard.mayIssuePermit(now)) {
        const auto next = shard.queue().front();
        if (!next) {
            return;
        }
        RequestRecord &record = *m_table.find(*next);
        const auto *declared = m_view->declaration->findClass(record.reservation.service,
                                                              record.reservation.workClass);
        const bool isUpload = declared && declared->kind == WorkKind::Upload;
        if (isUpload && !shard.mayStartUpload(now)) {
            return;
        }
        shard.queue().pop();
        if (record.deadline <= now) {
            refuse(record, RefusalReason::DeadlinePassed, MinRetryAfter, now, actions);
            continue;
        }
        // Work that would probably miss its deadline must not take a slot from waiting work.
        if (record.deadline - now < shard.selector().meanLatency() && shard.queue().size() > 0) {
            refuse(record, RefusalReason::DeadlineUnreachable, MinRetryAfter, now, actions);
            continue;
        }
        shard.countAdmission(queueEntry(record), now);
        m_hooks.observe(CoreSample::QueueWait, record.reservation.service,
                        record.reservation.workClass, now - record.arrival);
        if (isUpload) {
            startUpload(shard, record, now, actions);
        } else {
            issuePermit(shard, record, now, actions);
        }
    }
}

void Dispatcher::issuePermit(Shard &shard, RequestRecord &record, Milliseconds now,
                             Actions &actions)
{
    // Each permit of a request is unique, so that the refusal of one does not apply to the others.
    const Milliseconds expiry = std::max(now + PermitLifetime, record.permitExpiry + 1_ms);
    record.permit = sealToken(record, TokenKind::Permit, expiry);
    record.permitIssuedAt = now;
    record.permitExpiry = expiry;
    m_table.setPhase(record, RecordPhase::Permitted);
    shard.onPermitIssued();
    record.isPermitCounted = true;
    const Milliseconds overdue =
            std::max(shard.permitRoundTrip() * PermitOverdueRoundTrips, MinPermitOverdueTime);
    m_table.setTimer(record, std::min(now + overdue, expiry));
    const Permit permit{record.id(), record.permit};
    actions.push_back({Destination::Caller, record.caller, {}, permit});
}

void Dispatcher::startUpload(Shard &shard, RequestRecord &record, Milliseconds now,
                             Actions &actions)
{
    const auto slot = shard.selector().tryAcquire(now);
    record.upstream = slot->upstream;
    record.upstreamEndpoint = slot->endpoint;
    record.inFlightAtSend = slot->inFlight;
    record.sentAt = now;
    record.permit = sealToken(record, TokenKind::Upload, 0_ms);
    m_table.setPhase(record, RecordPhase::Uploading);
    m_table.setTimer(record, now + UploadSlotLifetime);
    shard.retryBudget().onRequestTaken();
    m_hooks.countEvent(CoreEvent::RequestTaken, record.reservation.service,
                       record.reservation.workClass);
    const OpenReply reply{record.id().value, record.permit};
    actions.push_back({Destination::Caller, record.caller, {}, reply});
}

void Dispatcher::execute(const Execute &frame, const Token &permit, Endpoint caller,
                         Milliseconds now, Actions &actions)
{
    applyPendingView(now, actions);
    RequestRecord *record = m_table.find(frame.request);
    const bool isCurrent = record && record->permit == frame.permit;
    const bool isRefused =
            record && std::find(record->refusedPermits.begin(), record->refusedPermits.end(),
                                frame.permit) != record->refusedPermits.end();
    if (isRefused) {
        m_hooks.countRefusal(RefusalReason::ExpiredToken, permit.service, permit.workClass);
        const Refusal refusal{frame.request.value, RefusalReason::ExpiredToken, MinRetryAfter,
                              frame.permit};
        actions.push_back({Destination::Caller, caller, {}, refusal});
        return;
    }
    if (!isCurrent) {
        m_hooks.countRefusal(RefusalReason::NoRecord, permit.service, permit.workClass);
        sendUnknown(frame.request, caller, actions);
        return;
    }
    record->caller = caller;
    if (record->phase == RecordPhase::Answered || record->phase == RecordPhase::Unknown) {
        sendAnswer(*record, actions);
        return;
    }
    if (record->phase == RecordPhase::Refused) {
        sendRefusal(*record, MinRetryAfter, actions);
        return;
    }
    if (record->phase != RecordPhase::Permitted) {
        return;
    }
    if (record->permitExpiry <= now) {
        refuse(*record, RefusalReason::ExpiredToken, MinRetryAfter, now, actions);
        return;
    }
    if (frame.remaining <= 0_ms) {
        refuse(*record, RefusalReason::DeadlinePassed, MinRetryAfter, now, actions);
        return;
    }
    Shard &shard = shardAt(record->shard);
    acceptExecute(shard, *record, frame, now);
    dispatch(shard, now, actions);
}

void Dispatcher::acceptExecute(Shard &shard, RequestRecord &record, const Execute &frame,
                               Milliseconds now)
{
    shard.recordPermitRoundTrip(now - record.permitIssuedAt);
    releasePhaseResources(record, now);
    record.body = frame.body;
    record.deadline = std::min(record.deadline, now + std::min(frame.remaining, MaxRemaining));
    m_table.setPhase(record, RecordPhase::AwaitingSlot);
    m_table.setTimer(record, record.deadline);
    shard.awaitingSlot().push_back(record.id());
    shard.retryBudget().onRequestTaken();
    m_hooks.countEvent(CoreEvent::RequestTaken, record.reservation.service,
                       record.reservation.workClass);
}

void Dispatcher::send(RequestRecord &record, const UpstreamSlot &slot, Milliseconds now,
                      Actions &actions)
{
    record.upstream = slot.upstream;
    record.upstreamEndpoint = slot.endpoint;
    record.inFlightAtSend = slot.inFlight;
    record.sentAt = now;
    record.isSlotReleased = false;
    ++record.attemptCount;
    m_table.setPhase(record, RecordPhase::Sent);
    m_table.setAttempt(record, AttemptId{m_hooks.random()});
    Milliseconds timer = record.deadline;
    if (record.isIdempotent) {
        const Milliseconds meanLatency = shardAt(record.shard).selector().meanLatency();
        timer = std::min(timer,
                         now + std::max(meanLatency * AttemptTimeoutFactor, MinAttemptTimeout));
    }
    m_table.setTimer(record, timer);
    UpstreamRequest request;
    request.attempt = record.attempt;
    request.service = record.reservation.service;
    request.workClass = record.reservation.workClass;
    request.workspace = record.reservation.workspace;
    request.remaining = record.deadline - now;
    request.body = record.body;
    actions.push_back({Destination::Upstream, slot.endpoint, slot.upstream, std::move(request)});
}

Milliseconds Dispatcher::attemptTimeout(const RequestRecord &record)
{
    const Milliseconds meanLatency = shardAt(record.shard).selector().meanLatency();
    return std::max(meanLatency * AttemptTimeoutFactor, MinAttemptTimeout);
}

void Dispatcher::handleReply(const UpstreamReply &frame, Endpoint from, Milliseconds now,
                             Actions &actions)
{
    applyPendingView(now, actions);
    RequestRecord *record = m_table.findAttempt(frame.attempt);
    if (!record || record->phase != RecordPhase::Sent) {
        dropLateReply(frame, from, now, actions);
        return;
    }
    const ServiceId service = record->reservation.service;
    const ClassId workClass = record->reservation.workClass;
    if (record->upstreamEndpoint != from) {
        m_hooks.countRefusal(RefusalReason::Malformed, service, workClass);
        return;
    }
    if (frame.fragmentCount > MaxAnswerFragments) {
        m_hooks.countRefusal(RefusalReason::Oversized, service, workClass);
        return;
    }
    if (record->fragments.empty()) {
        record->fragments.resize(frame.fragmentCount);
    }
    if (frame.fragment >= frame.fragmentCount || record->fragments.size() != frame.fragmentCount) {
        m_hooks.countRefusal(RefusalReason::Malformed, service, workClass);
        return;
    }
    shardAt(record->shard).selector().recordResponse(record->upstream);
    record->fragments[frame.fragment] = frame.body;
    const bool isComplete = std::all_of(record->fragments.begin(), record->fragments.end(),
                                        [](const auto &fragment) { return fragment.has_value(); });
    if (!isComplete) {
        return;
    }
    const UpstreamReplyAck acknowledgement{frame.attempt};
    actions.push_back({Destination::Upstream, from, record->upstream, acknowledgement});
    const ShardKey shard = record->shard;
    completeReply(*record, frame.status, now, actions);
    dispatch(shardAt(shard), now, actions);
}

void Dispatcher::completeReply(RequestRecord &record, ReplyStatus status, Milliseconds now,
                               Actions &actions)
{
    switch (status) {
    case ReplyStatus::Ok:
        releaseSlot(record, SlotResult::Answered, now);
        answer(record, now, actions);
        break;
    case ReplyStatus::Shed:
        releaseSlot(record, SlotResult::Shed, now);
        retry(record, RetryReason::UpstreamShed, now, actions);
        break;
    case ReplyStatus::Draining:
        markLeaving(record.upstream);
        releaseSlot(record, SlotResult::Neutral, now);
        retry(record, RetryReason::UpstreamDraining, now, actions);
        break;
    case ReplyStatus::Cancelled:
        releaseSlot(record, SlotResult::Neutral, now);
        refuse(record, RefusalReason::Cancelled, MinRetryAfter, now, actions);
        break;
    case ReplyStatus::Expired:
        releaseSlot(record, SlotResult::Neutral, now);
        refuse(record, RefusalReason::DeadlinePassed, MinRetryAfter, now, actions);
        break;
    }
}

void Dispatcher::retry(RequestRecord &record, RetryReason reason, Milliseconds now,
                       Actions &actions)
{
    m_table.clearAttempt(record);
    Shard &shard = shardAt(record.shard);
    if (record.attemptCount >= MaxAttempts || !shard.retryBudget().tryAcquire()) {
        refuse(record, RefusalReason::UpstreamShed, jittered(MinRetryAfter * 2), now, actions);
        return;
    }
    m_hooks.countRetry(reason, record.reservation.service, record.reservation.workClass);
    // The first retry is sent to another upstream at once; further retries back off.
    const std::int64_t factor = record.attemptCount < 2 ? 0 : 1LL << record.attemptCount;
    record.notBefore = now + (factor == 0 ? 0_ms : jittered(FirstRetryDelay * factor));
    m_table.setPhase(record, RecordPhase::AwaitingSlot);
    m_table.setTimer(record, record.deadline);
    shard.awaitingSlot().push_front(record.id());
}

void Dispatcher::handleSilentPath(UpstreamId upstream, Milliseconds now)
{
    for (RequestRecord *record : m_table.sentTo(upstream)) {
        releaseSlot(*record, SlotResult::Neutral, now);
    }
    std::vector<AttemptId> abandoned;
    for (const auto &[attempt, entry] : m_abandoned) {
        if (entry.slot.upstream == upstream) {
            abandoned.push_back(attempt);
        }
    }
    for (const AttemptId attempt : abandoned) {
        releaseAbandoned(attempt, SlotResult::Neutral, now);
    }
}

void Dispatcher::abandonAttempt(RequestRecord &record, Milliseconds now)
{
    if (record.isSlotReleased) {
        m_table.clearAttempt(record);
        return;
    }
    const Milliseconds releaseAt =
            std::max(now + MinAttemptTimeout, record.sentAt + attemptTimeout(record));
    m_abandoned[record.attempt] = {record.shard,
                                   slotOf(record),
                                   record.sentAt,
                                   releaseAt,
                                   record.reservation.service,
                                   record.reservation.workClass};
    m_abandonedByReleaseTime.emplace(releaseAt, record.attempt);
    m_table.clearAttempt(record);
}

void Dispatcher::releaseAbandoned(AttemptId attempt, SlotResult result, Milliseconds now)
{
    const auto found = m_abandoned.find(attempt);
    const AbandonedAttempt &entry = found->second;
    shardAt(entry.shard).selector().release(entry.slot, entry.sentAt, result, now);
    m_abandonedByReleaseTime.erase({entry.releaseAt, attempt});
    m_abandoned.erase(found);
}

void Dispatcher::releaseOverdueAttempts(Milliseconds now)
{
    while (!m_abandonedByReleaseTime.empty() && m_abandonedByReleaseTime.begin()->first <= now) {
        releaseAbandoned(m_abandonedByReleaseTime.begin()->second, SlotResult::TimedOut, now);
    }
}

void Dispatcher::dropLateReply(const UpstreamReply &frame, Endpoint from, Milliseconds now,
                               Actions &actions)
{
    const auto abandoned = m_abandoned.find(frame.attempt);
    const bool isAbandoned =
            abandoned != m_abandoned.end() && abandoned->second.slot.endpoint == from;
    if (!isAbandoned) {
        m_hooks.countEvent(CoreEvent::LateReplyDropped, {}, {});
    } else {
        const AbandonedAttempt &entry = abandoned->second;
        m_hooks.countEvent(CoreEvent::LateReplyDropped, entry.service, entry.workClass);
        const bool isAnswer = frame.status == ReplyStatus::Ok;
        releaseAbandoned(frame.attempt, isAnswer ? SlotResult::Answered : SlotResult::Neutral, now);
    }
    // Acknowledges the reply, so that the upstream stops resending it.
    const auto &upstreams = m_view->upstreams;
    const auto sender = std::find_if(upstreams.begin(), upstreams.end(), [from](const auto &item) {
        return item.second.endpoint == from;
    });
    if (sender != upstreams.end()) {
        const UpstreamReplyAck acknowledgement{frame.attempt};
        actions.push_back({Destination::Upstream, from, sender->first, acknowledgement});
    }
}

void Dispatcher::cancel(const Cancel &frame, Milliseconds now, Actions &actions)
{
    applyPendingView(now, actions);
    RequestRecord *record = m_table.find(frame.request);
    if (!record) {
        return;
    }
    const bool hasNoExecute =
            record->phase == RecordPhase::Waiting || record->phase == RecordPhase::Permitted;
    const bool isMatching = frame.permit.empty() ? hasNoExecute : frame.permit == record->permit;
    if (!isMatching) {
        return;
    }
    switch (record->phase) {
    case RecordPhase::Waiting:
    case RecordPhase::Permitted:
    case RecordPhase::AwaitingSlot: {
        Shard &shard = shardAt(record->shard);
        refuse(*record, RefusalReason::Cancelled, MinRetryAfter, now, actions);
        dispatch(shard, now, actions);
        break;
    }
    case RecordPhase::Sent: {
        const UpstreamCancel cancelAttempt{record->attempt};
        actions.push_back(
                {Destination::Upstream, record->upstreamEndpoint, record->upstream, cancelAttempt});
        break;
    }
    case RecordPhase::Answered:
    case RecordPhase::Unknown:
        sendAnswer(*record, actions);
        break;
    case RecordPhase::Refused:
        sendRefusal(*record, MinRetryAfter, actions);
        break;
    case RecordPhase::Uploading:
    case RecordPhase::Acknowledged:
        break;
    }
}

void Dispatcher::acknowledge(const AnswerAck &frame, Milliseconds now)
{
    RequestRecord *record = m_table.find(frame.request);
    if (!record || record->phase != RecordPhase::Answered || record->permit != frame.permit) {
        return;
    }
    // The record stays until the permit expires, so that a repeated Execute is recognised.
    record->fragments.clear();
    m_table.setPhase(*record, RecordPhase::Acknowledged);
    m_table.setTimer(*record, std::max(now, record->permitExpiry) + RecordRetention);
}

void Dispatcher::finishUpload(const Token &token, Milliseconds now, Actions &actions)
{
    applyPendingView(now, actions);
    RequestRecord *record = m_table.find(RequestId{token.subject});
    if (!record || record->phase != RecordPhase::Uploading || record->upstream != token.upstream) {
        return;
    }
    releaseSlot(*record, SlotResult::UploadStored, now);
    const ShardKey shard = record->shard;
    countTargetResult(*record, now);
    finish(*record, RecordPhase::Acknowledged, now);
    dispatch(shardAt(shard), now, actions);
}

void Dispatcher::handleProbeReply(const ProbeReply &frame, Endpoint from, Milliseconds now,
                                  Actions &actions)
{
    applyPendingView(now, actions);
    const UpstreamView *upstream = m_view->findUpstream(frame.upstream);
    if (!upstream || upstream->endpoint != from) {
        m_hooks.countRefusal(RefusalReason::Malformed, {}, {});
        return;
    }
    if (upstream->service != frame.service) {
        m_hooks.countRefusal(RefusalReason::WrongService, frame.service, {});
        return;
    }
    if (frame.draining) {
        markLeaving(frame.upstream);
    }
    for (auto &[key, shard] : m_shards) {
        if (key.service == frame.service && shard.selector().handleProbeReply(frame, from, now)) {
            dispatch(shard, now, actions);
        }
    }
}

void Dispatcher::tick(Milliseconds now, Actions &actions)
{
    applyPendingView(now, actions);
    releaseOverdueAttempts(now);
    while (RequestRecord *record = m_table.popDueRecord(now)) {
        handleTimer(*record, now, actions);
    }
    for (auto &[key, shard] : m_shards) {
        dispatch(shard, now, actions);
    }
    if (now < m_nextProbe || m_isLeaving) {
        return;
    }
    m_nextProbe = now + ProbeCheckInterval;
    std::vector<UpstreamSlot> targets;
    std::vector<Probe> probes;
    for (auto &[key, shard] : m_shards) {
        shard.selector().appendDueProbes(now, m_hooks.random, targets, probes);
    }
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const UpstreamSlot &target = targets[i];
        actions.push_back({Destination::Upstream, target.endpoint, target.upstream, probes[i]});
    }
}

void Dispatcher::handleTimer(RequestRecord &record, Milliseconds now, Actions &actions)
{
    switch (record.phase) {
    case RecordPhase::Waiting:
    case RecordPhase::AwaitingSlot:
        refuse(record, RefusalReason::DeadlinePassed, MinRetryAfter, now, actions);
        break;
    case RecordPhase::Permitted:
        if (now < record.permitExpiry) {
            releasePhaseResources(record, now);
            m_table.setTimer(record, record.permitExpiry);
        } else {
            refuse(record, RefusalReason::ExpiredToken, MinRetryAfter, now, actions);
        }
        break;
    case RecordPhase::Sent:
        handleTimeout(record, now, actions);
        break;
    case RecordPhase::Uploading:
        releaseSlot(record, SlotResult::Neutral, now);
        finish(record, RecordPhase::Unknown, now);
        break;
    case RecordPhase::Answered:
    case RecordPhase::Unknown:
    case RecordPhase::Refused:
    case RecordPhase::Acknowledged:
        m_table.erase(record.id());
        break;
    }
}

void Dispatcher::handleTimeout(RequestRecord &record, Milliseconds now, Actions &actions)
{
    const UpstreamCancel cancelAttempt{record.attempt};
    actions.push_back(
            {Destination::Upstream, record.upstreamEndpoint, record.upstream, cancelAttempt});
    const bool mayRetry = record.isIdempotent && now < record.deadline &&
                          record.attemptCount < MaxAttempts &&
                          shardAt(record.shard).retryBudget().tryAcquire();
    if (!mayRetry && now < record.deadline) {
        m_table.setTimer(record, record.deadline);
        return;
    }
    abandonAttempt(record, now);
    if (!mayRetry) {
        resolveUnknown(record, now, actions);
        return;
    }
    m_hooks.countRetry(RetryReason::UpstreamTimeout, record.reservation.service,
                       record.reservation.workClass);
    record.mayHaveRun = true;
    m_table.setPhase(record, RecordPhase::AwaitingSlot);
    m_table.setTimer(record, record.deadline);
    shardAt(record.shard).awaitingSlot().push_front(record.id());
}

void Dispatcher::releaseSlot(RequestRecord &record, SlotResult result, Milliseconds now)
{
    Shard &shard = shardAt(record.shard);
    if (!std::exchange(record.isSlotReleased, true)) {
        shard.selector().release(slotOf(record), record.sentAt, result, now);
    }
    if (result == SlotResult::Answered) {
        shard.countCompletion(now);
    }
}

void Dispatcher::releasePhaseResources(RequestRecord &record, Milliseconds)
{
    Shard &shard = shardAt(record.shard);
    if (record.phase == RecordPhase::Waiting) {
        shard.queue().remove(queueEntry(record));
    } else if (record.phase == RecordPhase::AwaitingSlot) {
        shard.awaitingSlot().remove(record.id());
    }
    if (std::exchange(record.isPermitCounted, false)) {
        shard.onPermitSettled();
    }
}

void Dispatcher::finish(RequestRecord &record, RecordPhase phase, Milliseconds now)
{
    releasePhaseResources(record, now);
    m_table.setPhase(record, phase);
    record.body.clear();
    const Milliseconds retainUntil = std::min(record.deadline, now + MaxDeadlineRetention);
    m_table.setTimer(record, std::max({now, retainUntil, record.permitExpiry}) + RecordRetention);
}

void Dispatcher::answer(RequestRecord &record, Milliseconds now, Actions &actions)
{
    const ServiceId service = record.reservation.service;
    const ClassId workClass = record.reservation.workClass;
    auto fragments = std::move(record.fragments);
    m_table.clearAttempt(record);
    record.fragments = std::move(fragments);
    finish(record, RecordPhase::Answered, now);
    m_hooks.countEvent(CoreEvent::RequestAnswered, service, workClass);
    countTargetResult(record, now);
    sendAnswer(record, actions);
}

void Dispatcher::resolveUnknown(RequestRecord &record, Milliseconds now, Actions &actions)
{
    m_table.clearAttempt(record);
    finish(record, RecordPhase::Unknown, now);
    m_hooks.countEvent(CoreEvent::RequestUnknown, record.reservation.service,
                       record.reservation.workClass);
    sendUnknown(record.id(), record.caller, actions);
}

void Dispatcher::refuse(RequestRecord &record, RefusalReason reason, Milliseconds retryAfter,
                        Milliseconds now, Actions &actions)
{
    if (record.mayHaveRun) {
        resolveUnknown(record, now, actions);
        return;
    }
    m_table.clearAttempt(record);
    finish(record, RecordPhase::Refused, now);
    record.refusal = reason;
    const bool hadPermit = record.permitExpiry > 0_ms;
    if (!hadPermit && reason != RefusalReason::Cancelled) {
        // No Execute can follow, so the next tick removes the record.
        m_table.setTimer(record, now);
    }
    m_hooks.countRefusal(reason, record.reservation.service, record.reservation.workClass);
    sendRefusal(record, retryAfter, actions);
}

void Dispatcher::sendRefusal(const RequestRecord &record, Milliseconds retryAfter,
                             Actions &actions) const
{
    const Refusal refusal{record.id().value, record.refusal, retryAfter, record.permit};
    actions.push_back({Destination::Caller, record.caller, {}, refusal});
}

void Dispatcher::sendAnswer(const RequestRecord &record, Actions &actions) const
{
    if (record.phase == RecordPhase::Unknown) {
        sendUnknown(record.id(), record.caller, actions);
        return;
    }
    const auto count = static_cast<std::uint16_t>(record.fragments.size());
    for (std::uint16_t i = 0; i < count; ++i) {
        const Answer answer{record.id(), Outcome::Done, i, count, *record.fragments[i]};
        actions.push_back({Destination::Caller, record.caller, {}, answer});
    }
}

void Dispatcher::sendUnknown(RequestId request, Endpoint caller, Actions &actions) const
{
    const Answer answer{request, Outcome::Unknown, 0, 1, {}};
    actions.push_back({Destination::Caller, caller, {}, answer});
}

SealedToken Dispatcher::sealToken(const RequestRecord &record, TokenKind kind,
                                  Milliseconds expiry) const
{
    Token token;
    token.kind = kind;
    token.service = record.reservation.service;
    token.workClass = record.reservation.workClass;
    token.workspace = record.reservation.workspace;
    token.upstream = kind == TokenKind::Upload ? record.upstream : UpstreamId{};
    token.owner = m_self;
    token.ownerIncarnation = m_incarnation;
    token.subject = record.id().value;
    token.expiry = expiry;
    return m_hooks.sealToken(token);
}

Milliseconds Dispatcher::jittered(Milliseconds duration) const
{
    const double factor = 0.5 + randomUnit(m_hooks.random);
    return {std::llround(static_cast<double>(duration.value) * factor)};
}

void Dispatcher::countTargetResult(const RequestRecord &record, Milliseconds now)
{
    const ServiceId service = record.reservation.service;
    const ClassId workClass = record.reservation.workClass;
    const Milliseconds elapsed = now - record.arrival;
    const bool isMet = elapsed <= record.target;
    TargetCount &count = m_targetCounts[{service, workClass}];
    ++(isMet ? count.met : count.missed);
    m_hooks.countEvent(isMet ? CoreEvent::TargetMet : CoreEvent::TargetMissed, service, workClass);
    m_hooks.observe(CoreSample::AnswerTime, service, workClass, elapsed);
}

void Dispatcher::beginLeaving(Milliseconds now, Actions &actions)
{
    applyPendingView(now, actions);
    m_isLeaving = true;
    for (auto &[key, shard] : m_shards) {
        handOverWaiting(shard, now, actions);
    }
}

void Dispatcher::applyPendingView(Milliseconds now, Actions &actions)
{
    m_now = now;
    if (!std::exchange(m_hasPendingView, false)) {
        return;
    }
    m_liveUpstreams.clear();
    for (const auto &[id, upstream] : m_view->upstreams) {
        if (upstream.state == UpstreamState::Live) {
            m_liveUpstreams[upstream.service].push_back(upstream);
        }
    }
    std::erase_if(m_leavingUpstreams, [this](UpstreamId id) { return !m_view->findUpstream(id); });
    addDispatchedShards();
    for (auto &[key, shard] : m_shards) {
        updateUpstreams(shard);
        if (!isDispatchedHere(key)) {
            handOverWaiting(shard, now, actions);
        }
    }
    std::erase_if(m_shards, [this](const auto &item) {
        return item.second.isIdle() && !isDispatchedHere(item.first);
    });
}

void Dispatcher::addDispatchedShards()
{
    for (const auto &[service, upstreams] : m_liveUpstreams) {
        const std::uint32_t shards = shardCountOf(service);
        for (std::uint32_t i = 0; i < shards; ++i) {
            if (isDispatchedHere({service, i})) {
                m_shards.try_emplace({service, i}, ShardKey{service, i});
            }
        }
    }
}

Shard &Dispatcher::shardForSubject(ServiceId service, std::uint64_t subject)
{
    return shardAt({service, shardOfSubject(subject, shardCountOf(service))});
}

Shard &Dispatcher::shardAt(ShardKey key)
{
    const auto [position, isNew] = m_shards.try_emplace(key, key);
    if (isNew) {
        updateUpstreams(position->second);
    }
    return position->second;
}

void Dispatcher::updateUpstreams(Shard &shard) const
{
    // Upstreams that announced that they are leaving stay listed until the view removes them, so
    // that the number of shards equals the one that the router computes.
    shard.selector().setUpstreams(upstreamsOf(shard.key()));
    for (const UpstreamId id : m_leavingUpstreams) {
        shard.selector().markLeaving(id);
    }
}

std::vector<UpstreamView> Dispatcher::upstreamsOf(ShardKey key) const
{
    std::vector<UpstreamView> result;
    const auto found = m_liveUpstreams.find(key.service);
    if (found == m_liveUpstreams.end()) {
        return result;
    }
    const std::uint32_t shards = shardCountOf(key.service);
    for (const UpstreamView &upstream : found->second) {
        if (shardOfUpstream(upstream.id, shards) == key.shard) {
            result.push_back(upstream);
        }
    }
    return result;
}

std::uint32_t Dispatcher::shardCountOf(ServiceId service) const
{
    const auto found = m_liveUpstreams.find(service);
    return shardCount(found == m_liveUpstreams.end() ? 0 : found->second.size());
}

bool Dispatcher::isDispatchedHere(ShardKey key) const
{
    return key.shard < shardCountOf(key.service) &&
           dispatcherOf(*m_view, key.service, key.shard) == m_self;
}

void Dispatcher::handOverWaiting(Shard &shard, Milliseconds now, Actions &actions)
{
    for (const RequestId request : shard.queue().drain()) {
        handOver(*m_table.find(request), now, actions);
    }
}

void Dispatcher::handOver(RequestRecord &record, Milliseconds now, Actions &actions)
{
    const ServiceId service = record.reservation.service;
    const std::uint32_t shard = shardOfSubject(record.id().value, shardCountOf(service));
    const auto next = dispatcherOf(*m_view, service, shard);
    const MemberView *peer = next ? m_view->findMember(*next) : nullptr;
    if (next == m_self && !m_isLeaving) {
        Shard &own = shardAt({service, shard});
        record.shard = own.key();
        own.queue().push(queueEntry(record));
        return;
    }
    if (!peer || next == m_self) {
        refuse(record, RefusalReason::Leaving, jittered(MinRetryAfter * 2), now, actions);
        return;
    }
    Relayed<Reserve> relayed{record.caller, 1, record.reservation};
    relayed.inner.remaining = record.deadline - now;
    relayed.inner.waited = now - record.arrival;
    actions.push_back({Destination::Peer, peer->endpoint, {}, relayed});
    m_hooks.countEvent(CoreEvent::ReservationHandedOver, service, record.reservation.workClass);
    m_table.erase(record.id());
}

void Dispatcher::markLeaving(UpstreamId upstream)
{
    if (!m_leavingUpstreams.insert(upstream).second) {
        return;
    }
    for (auto &[key, shard] : m_shards) {
        shard.selector().markLeaving(upstream);
    }
    m_hooks.reportLeaving(upstream);
}

DispatcherLoad Dispatcher::load() const
{
    DispatcherLoad load;
    load.waiting = m_table.countOf(RecordPhase::Waiting);
    load.permitted =
            m_table.countOf(RecordPhase::Permitted) + m_table.countOf(RecordPhase::AwaitingSlot);
    load.sent = m_table.countOf(RecordPhase::Sent);
    load.unacknowledged = m_table.countOf(RecordPhase::Answered);
    load.uploads = m_table.countOf(RecordPhase::Uploading);
    return load;
}

TrafficStatus Dispatcher::status() const
{
    TrafficStatus status;
    std::map<std::pair<ServiceId, ClassId>, ClassStatus> classes;
    for (const auto &[key, count] : m_targetCounts) {
        classes[key] = {key.first, key.second, 0, count.met, count.missed};
    }
    for (const auto &[key, shard] : m_shards) {
        shard.selector().appendStatus(m_now, status.upstreams);
        for (const ClassId id : shard.queue().classes()) {
            ClassStatus &entry = classes[{key.service, id}];
            entry.service = key.service;
            entry.workClass = id;
            entry.waiting += shard.queue().sizeOf(id);
        }
    }
    for (const auto &[key, entry] : classes) {
        status.classes.push_back(entry);
    }
    return status;
}

} // namespace damaskhall
