#include "core/dispatch/dispatcher.h"

#include "core/rendezvous.h"

#include <algorithm>
#include <utility>

namespace damaskhall {

namespace {

constexpr int InitialLimit = 2;
/// A permit that has not been used by then is void; the caller answers within a round trip.
constexpr Milliseconds PermitLifetime = 2_s;
/// Records outlive their permit, so that a late Execute never finds a valid permit and no record.
constexpr Milliseconds RecordRetention = 30_s;

} // namespace

Dispatcher::Dispatcher(InstanceId self, Incarnation incarnation, CoreHooks hooks)
    : m_self(self)
    , m_incarnation(incarnation)
    , m_hooks(std::move(hooks))
    , m_view(std::make_shared<const RoutingView>())
{
}

void Dispatcher::setView(std::shared_ptr<const RoutingView> view)
{
    m_view = std::move(view);
}

void Dispatcher::open(const Open &frame, Endpoint caller, Milliseconds, Actions &actions)
{
    const auto upstream = leastLoaded(frame.service);
    if (!upstream) {
        refuse(frame.flow.value, caller, RefusalReason::NoUpstream, frame.service, frame.workClass,
               actions);
        return;
    }
    Token token;
    token.kind = TokenKind::Feed;
    token.service = frame.service;
    token.workClass = frame.workClass;
    token.house = frame.house;
    token.upstream = upstream->id;
    token.owner = m_self;
    token.ownerIncarnation = m_incarnation;
    token.subject = frame.flow.value;
    const OpenReply reply{frame.flow.value, m_hooks.sealToken(token)};
    actions.push_back({Destination::Caller, caller, {}, reply});
}

void Dispatcher::reserve(const Reserve &frame, Endpoint caller, Milliseconds now, Actions &actions)
{
    const auto found = m_records.find(frame.request);
    if (found != m_records.end()) {
        Record &record = found->second;
        record.caller = caller;
        if (record.phase == Phase::Permitted) {
            const Permit permit{frame.request, record.permit};
            actions.push_back({Destination::Caller, caller, {}, permit});
        } else if (record.phase == Phase::Done) {
            sendAnswer(record, actions);
        }
        return;
    }
    Record record;
    record.reservation = frame;
    record.caller = caller;
    record.deadline = now + frame.remaining;
    record.keepUntil = record.deadline + RecordRetention;
    m_records.emplace(frame.request, std::move(record));
    m_waiting.push_back(frame.request);
    admitWaiting(now, actions);
}

void Dispatcher::admitWaiting(Milliseconds now, Actions &actions)
{
    std::deque<RequestId> blocked;
    while (!m_waiting.empty()) {
        const RequestId request = m_waiting.front();
        m_waiting.pop_front();
        const auto found = m_records.find(request);
        if (found == m_records.end()) {
            continue;
        }
        Record &record = found->second;
        const auto upstream = leastLoaded(record.reservation.service);
        if (!upstream || m_inUse[upstream->id] >= InitialLimit) {
            blocked.push_back(request);
            continue;
        }
        record.upstream = upstream->id;
        ++m_inUse[upstream->id];
        issuePermit(record, now, actions);
    }
    m_waiting = std::move(blocked);
}

void Dispatcher::issuePermit(Record &record, Milliseconds now, Actions &actions)
{
    Token token;
    token.kind = TokenKind::Permit;
    token.service = record.reservation.service;
    token.workClass = record.reservation.workClass;
    token.house = record.reservation.house;
    token.owner = m_self;
    token.ownerIncarnation = m_incarnation;
    token.subject = record.reservation.request.value;
    token.expiry = now + PermitLifetime;
    record.permit = m_hooks.sealToken(token);
    record.phase = Phase::Permitted;
    const Permit permit{record.reservation.request, record.permit};
    actions.push_back({Destination::Caller, record.caller, {}, permit});
}

void Dispatcher::execute(const Execute &frame, const Token &, Endpoint caller, Milliseconds now,
                         Actions &actions)
{
    const auto found = m_records.find(frame.request);
    if (found == m_records.end()) {
        m_hooks.countRefusal(RefusalReason::NoRecord, {}, {});
        const Answer answer{frame.request, Outcome::Unknown, 0, 1, {}};
        actions.push_back({Destination::Caller, caller, {}, answer});
        return;
    }
    Record &record = found->second;
    record.caller = caller;
    if (record.phase == Phase::Permitted) {
        send(record, frame, now, actions);
    } else if (record.phase == Phase::Done) {
        sendAnswer(record, actions);
    }
}

void Dispatcher::send(Record &record, const Execute &frame, Milliseconds now, Actions &actions)
{
    const UpstreamView *upstream = m_view->findUpstream(record.upstream);
    if (!upstream) {
        refuse(frame.request.value, record.caller, RefusalReason::NoUpstream,
               record.reservation.service, record.reservation.workClass, actions);
        m_records.erase(frame.request);
        return;
    }
    record.phase = Phase::Sent;
    record.attempt = AttemptId{m_hooks.random()};
    m_attempts[record.attempt] = frame.request;
    UpstreamRequest request;
    request.attempt = record.attempt;
    request.service = record.reservation.service;
    request.workClass = record.reservation.workClass;
    request.house = record.reservation.house;
    request.remaining = record.deadline - now;
    request.body = frame.body;
    actions.push_back({Destination::Upstream, upstream->endpoint, upstream->id, request});
}

void Dispatcher::cancel(const Cancel &, Endpoint, Milliseconds, Actions &) {}

void Dispatcher::acknowledge(const AnswerAck &, Milliseconds) {}

void Dispatcher::finishUpload(const Token &, Milliseconds, Actions &) {}

void Dispatcher::handleReply(const UpstreamReply &frame, Endpoint from, Milliseconds now,
                             Actions &actions)
{
    const auto attempt = m_attempts.find(frame.attempt);
    if (attempt == m_attempts.end()) {
        return;
    }
    Record &record = m_records.at(attempt->second);
    if (record.fragments.empty()) {
        record.fragments.resize(frame.fragmentCount);
    }
    if (frame.fragment >= record.fragments.size()) {
        return;
    }
    record.fragments[frame.fragment] = frame.body;
    const bool isComplete = std::all_of(record.fragments.begin(), record.fragments.end(),
                                        [](const auto &fragment) { return fragment.has_value(); });
    if (!isComplete) {
        return;
    }
    const UpstreamReplyAck acknowledgement{frame.attempt};
    actions.push_back({Destination::Upstream, from, record.upstream, acknowledgement});
    if (record.phase == Phase::Sent) {
        finish(record, Outcome::Done, now, actions);
        admitWaiting(now, actions);
    }
}

void Dispatcher::finish(Record &record, Outcome outcome, Milliseconds now, Actions &actions)
{
    record.phase = Phase::Done;
    record.outcome = outcome;
    record.keepUntil = now + RecordRetention;
    --m_inUse[record.upstream];
    sendAnswer(record, actions);
}

void Dispatcher::sendAnswer(const Record &record, Actions &actions) const
{
    const RequestId request = record.reservation.request;
    if (record.outcome == Outcome::Unknown) {
        const Answer answer{request, Outcome::Unknown, 0, 1, {}};
        actions.push_back({Destination::Caller, record.caller, {}, answer});
        return;
    }
    const auto count = static_cast<std::uint16_t>(record.fragments.size());
    for (std::uint16_t i = 0; i < count; ++i) {
        const Answer answer{request, Outcome::Done, i, count, *record.fragments[i]};
        actions.push_back({Destination::Caller, record.caller, {}, answer});
    }
}

void Dispatcher::handleProbeReply(const ProbeReply &, Endpoint, Milliseconds, Actions &) {}

void Dispatcher::tick(Milliseconds now, Actions &actions)
{
    for (auto it = m_records.begin(); it != m_records.end();) {
        Record &record = it->second;
        if (record.phase == Phase::Sent && record.deadline < now) {
            finish(record, Outcome::Unknown, now, actions);
        }
        if (record.keepUntil < now) {
            m_attempts.erase(record.attempt);
            it = m_records.erase(it);
        } else {
            ++it;
        }
    }
    admitWaiting(now, actions);
}

void Dispatcher::beginLeaving(Milliseconds, Actions &)
{
    m_isLeaving = true;
}

DispatcherLoad Dispatcher::load() const
{
    DispatcherLoad load;
    load.waiting = m_waiting.size();
    for (const auto &[id, record] : m_records) {
        load.permitted += record.phase == Phase::Permitted ? 1 : 0;
        load.sent += record.phase == Phase::Sent ? 1 : 0;
    }
    return load;
}

TrafficStatus Dispatcher::status() const
{
    return {};
}

void Dispatcher::refuse(std::uint64_t subject, Endpoint caller, RefusalReason reason,
                        ServiceId service, ClassId workClass, Actions &actions)
{
    m_hooks.countRefusal(reason, service, workClass);
    const Refusal refusal{subject, reason, 100_ms, {}};
    actions.push_back({Destination::Caller, caller, {}, refusal});
}

std::optional<UpstreamView> Dispatcher::leastLoaded(ServiceId service) const
{
    std::optional<UpstreamView> best;
    int bestLoad = 0;
    for (const UpstreamView &upstream : m_view->liveUpstreams(service)) {
        const auto found = m_inUse.find(upstream.id);
        const int load = found == m_inUse.end() ? 0 : found->second;
        if (!best || load < bestLoad) {
            best = upstream;
            bestLoad = load;
        }
    }
    return best;
}

} // namespace damaskhall
