#include "client/feedclient.h"

#include "client/retrypolicy.h"

#include <variant>

namespace damaskhall {

namespace {

constexpr Milliseconds KeepaliveInterval = 1_s;
/// Time without a frame from the upstream after which a feed is reopened. It exceeds three times
/// FeedPortChangeTimeout, so that unresponsive paths alone do not interrupt a feed.
constexpr Milliseconds FeedUpstreamTimeout = 10_s;

} // namespace

FeedClient::FeedClient(const Open &open, Milliseconds now)
    : m_open(open)
    , m_nextSendAt(now)
    , m_lastUpstreamFrameAt(now)
{
}

void FeedClient::tick(Milliseconds now, std::vector<Frame> &out)
{
    if (m_replyTimer.unansweredTime(now) >= FeedPortChangeTimeout) {
        ++m_portChanges;
        m_replyTimer.recordReceive();
        m_nextSendAt = now;
    }
    if (isOpen() && timeSinceUpstreamFrame(now) >= FeedUpstreamTimeout) {
        reopen(now);
    }
    if (now < m_nextSendAt) {
        return;
    }
    m_replyTimer.recordSend(now);
    if (!isOpen()) {
        m_nextSendAt = now + RetransmitInterval;
        out.emplace_back(m_open);
        return;
    }
    m_nextSendAt = now + KeepaliveInterval;
    out.emplace_back(Keepalive{m_token, m_lastReceivedSequence});
}

void FeedClient::handle(const Frame &frame, Milliseconds now, std::vector<Frame> &out)
{
    if (const auto *reply = std::get_if<OpenReply>(&frame)) {
        handleOpenReply(*reply, now, out);
    } else if (const auto *push = std::get_if<Push>(&frame)) {
        handlePush(*push, now, out);
    } else if (const auto *keepaliveReply = std::get_if<KeepaliveReply>(&frame)) {
        if (isOpen() && keepaliveReply->token == m_token) {
            recordUpstreamFrame(now);
        }
    } else if (const auto *refusal = std::get_if<Refusal>(&frame)) {
        handleRefusal(*refusal, now);
    }
}

void FeedClient::handleOpenReply(const OpenReply &frame, Milliseconds now, std::vector<Frame> &out)
{
    if (frame.subject != m_open.flow.value || isOpen()) {
        return;
    }
    m_token = frame.token;
    ++m_openCount;
    recordUpstreamFrame(now);
    m_nextSendAt = now;
    tick(now, out);
}

void FeedClient::handlePush(const Push &frame, Milliseconds now, std::vector<Frame> &out)
{
    if (!isOpen() || frame.token != m_token) {
        return;
    }
    recordUpstreamFrame(now);
    if (frame.sequence == m_lastReceivedSequence + 1) {
        ++m_lastReceivedSequence;
    }
    out.emplace_back(Keepalive{m_token, m_lastReceivedSequence});
}

void FeedClient::handleRefusal(const Refusal &frame, Milliseconds now)
{
    if (frame.subject != m_open.flow.value) {
        return;
    }
    if (isOpen() && frame.reason != RefusalReason::NoUpstream) {
        // The refusal of an earlier Open does not concern the feed that is open now.
        return;
    }
    m_replyTimer.recordReceive();
    m_nextSendAt = now + frame.retryAfter;
    if (isOpen() && ++m_consecutiveRefusals >= ConsecutiveRefusalLimit) {
        reopen(now);
    }
}

void FeedClient::recordUpstreamFrame(Milliseconds now)
{
    m_lastUpstreamFrameAt = now;
    m_replyTimer.recordReceive();
    m_consecutiveRefusals = 0;
}

void FeedClient::reopen(Milliseconds now)
{
    ++m_upstreamLossCount;
    m_token.clear();
    m_consecutiveRefusals = 0;
    m_lastUpstreamFrameAt = now;
    m_nextSendAt = now;
}

} // namespace damaskhall
