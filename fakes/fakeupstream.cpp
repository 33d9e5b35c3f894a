#include "fakes/fakeupstream.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

namespace damaskhall::fakes {

namespace {

constexpr Milliseconds ReplyResendInterval = 50_ms;
constexpr int MaxReplySends = 40;

} // namespace

FakeUpstream::FakeUpstream(const FakeUpstreamOptions &options, EventQueue &events,
                           RandomSource random, Sender reply,
                           std::function<void(const Frame &)> toFabric)
    : m_options(options)
    , m_events(events)
    , m_random(std::move(random))
    , m_reply(std::move(reply))
    , m_toFabric(std::move(toFabric))
{
}

void FakeUpstream::handle(const Frame &frame, Endpoint from)
{
    if (!m_isAlive) {
        return;
    }
    if (const auto *request = std::get_if<UpstreamRequest>(&frame)) {
        checkService(request->service);
        handleRequest(*request, from);
    } else if (const auto *ack = std::get_if<UpstreamReplyAck>(&frame)) {
        m_replies.erase(ack->attempt);
    } else if (const auto *cancel = std::get_if<UpstreamCancel>(&frame)) {
        const auto queued = std::find_if(m_queue.begin(), m_queue.end(), [&](const Queued &entry) {
            return entry.request.attempt == cancel->attempt;
        });
        if (queued != m_queue.end()) {
            m_queue.erase(queued);
            m_reply(UpstreamReply{cancel->attempt, ReplyStatus::Cancelled, 0, 1, {}}, from);
        }
    } else if (const auto *keepalive = std::get_if<Forwarded<Keepalive>>(&frame)) {
        checkService(keepalive->service);
        if (m_feeds.count(keepalive->inner.token) == 0) {
            m_lastNewWork = m_events.now();
        }
        Feed &feed = m_feeds[keepalive->inner.token];
        feed.caller = keepalive->caller;
        feed.acknowledged = std::max(feed.acknowledged, keepalive->inner.acknowledged);
        feed.sequence = std::max(feed.sequence, feed.acknowledged);
        m_toFabric(KeepaliveReply{keepalive->inner.token, feed.caller, feed.sequence});
    } else if (const auto *chunk = std::get_if<Forwarded<UploadChunk>>(&frame)) {
        checkService(chunk->service);
        handleChunk(chunk->inner, chunk->caller);
    } else if (const auto *close = std::get_if<Forwarded<Close>>(&frame)) {
        m_feeds.erase(close->inner.token);
    } else if (const auto *probe = std::get_if<Probe>(&frame)) {
        ProbeReply reply{probe->nonce, m_options.id, m_options.service};
        if (!m_options.hasMisleadingProbes) {
            reply.draining = m_isDraining;
            reply.slotsInUse = m_busy;
            reply.connections = static_cast<std::uint32_t>(m_feeds.size());
        }
        m_reply(reply, from);
    }
}

void FakeUpstream::handleChunk(const UploadChunk &chunk, Endpoint caller)
{
    if (m_received.count(chunk.token) == 0) {
        m_lastNewWork = m_events.now();
    }
    std::string &received = m_received[chunk.token];
    // A chunk that starts after a gap is dropped; the acknowledged offset makes the caller repeat.
    const std::uint64_t end = chunk.offset + chunk.body.size();
    if (chunk.offset <= received.size() && end > received.size()) {
        received += chunk.body.substr(received.size() - chunk.offset);
    }
    const bool isStored = received.size() >= chunk.total;
    m_stored[chunk.token] = isStored;
    if (isStored) {
        m_storedBodies.insert(received);
    }
    m_toFabric(UploadAck{chunk.token, caller, received.size(), isStored});
}

void FakeUpstream::handleRequest(const UpstreamRequest &request, Endpoint from)
{
    ++m_tries[request.body];
    m_lastNewWork = m_events.now();
    if (m_isDraining) {
        m_reply(UpstreamReply{request.attempt, ReplyStatus::Draining, 0, 1, {}}, from);
        return;
    }
    if (m_options.randomSheds > 0 && randomUnit(m_random) < m_options.randomSheds) {
        m_reply(UpstreamReply{request.attempt, ReplyStatus::Shed, 0, 1, {}}, from);
        return;
    }
    if (m_busy >= m_options.slots) {
        if (m_queue.size() < m_options.queueLimit) {
            m_queue.push_back({request, from});
            return;
        }
        m_reply(UpstreamReply{request.attempt, ReplyStatus::Shed, 0, 1, {}}, from);
        return;
    }
    run(request, from);
}

void FakeUpstream::run(const UpstreamRequest &request, Endpoint owner)
{
    ++m_busy;
    ++m_runs[request.body];
    const double serviceMs = workOf(request.body) * m_options.meanServiceMs;
    const Milliseconds duration{std::max<std::int64_t>(1, std::llround(serviceMs))};
    m_busyTime += duration;
    m_events.schedule(m_events.now() + duration,
                      [this, attempt = request.attempt, body = request.body, owner] {
                          finish(attempt, body, owner);
                      });
}

double FakeUpstream::workOf(const std::string &body)
{
    return m_options.workOf ? m_options.workOf(body) : -std::log(1.0 - randomUnit(m_random));
}

void FakeUpstream::finish(AttemptId attempt, const std::string &body, Endpoint owner)
{
    if (!m_isAlive) {
        return;
    }
    --m_busy;
    m_completions[body] = m_events.now();
    m_replies[attempt] = {owner, "done " + body};
    sendReply(attempt, MaxReplySends);
    if (!m_queue.empty()) {
        const Queued next = m_queue.front();
        m_queue.erase(m_queue.begin());
        run(next.request, next.owner);
    }
}

void FakeUpstream::sendReply(AttemptId attempt, int sendsLeft)
{
    const auto reply = m_replies.find(attempt);
    if (!m_isAlive || reply == m_replies.end() || sendsLeft == 0) {
        return;
    }
    m_reply(UpstreamReply{attempt, ReplyStatus::Ok, 0, 1, reply->second.body}, reply->second.owner);
    m_events.schedule(m_events.now() + ReplyResendInterval,
                      [this, attempt, sendsLeft] { sendReply(attempt, sendsLeft - 1); });
}

void FakeUpstream::kill()
{
    m_isAlive = false;
    m_replies.clear();
    m_feeds.clear();
    m_queue.clear();
}

void FakeUpstream::pushAll()
{
    for (auto &[token, feed] : m_feeds) {
        if (feed.acknowledged == feed.sequence) {
            ++feed.sequence;
        }
        m_toFabric(Push{token, feed.caller, feed.sequence, "update"});
    }
}

void FakeUpstream::checkService(ServiceId service)
{
    if (service != m_options.service) {
        ++m_wrongService;
    }
}

} // namespace damaskhall::fakes
