#include "client/feedclient.h"

#include "client/clienttimes.h"

#include <variant>

namespace damaskhall {

namespace {

constexpr Milliseconds KeepaliveInterval = 1_s;
/// A feed whose upstream is silent for longer than this is opened again. It is above three port
/// changes, so that silent paths alone break no feed.
constexpr Milliseconds UpstreamSilenceLimit = 10_s;

} // namespace

FeedClient::FeedClient(const Open &open, Milliseconds now)
    : m_open(open)
    , m_nextSend(now)
    , m_lastHeard(now)
{
}

void FeedClient::tick(Milliseconds now, std::vector<Frame> &out)
{
    if (m_replies.unansweredTime(now) >= FeedPortSilence) {
        ++m_portChanges;
        m_replies.recordReceive();
        m_nextSend = now;
    }
    if (isOpen() && timeSinceUpstreamFrame(now) >= UpstreamSilenceLimit) {
        reopen(now);
    }
    if (now < m_nextSend) {
        return;
    }
    m_replies.recordSend(now);
    if (!isOpen()) {
        m_nextSend = now + ResendInterval;
        out.emplace_back(m_open);
        return;
    }
    m_nextSend = now + KeepaliveInterval;
    out.emplace_back(Keepalive{m_token, m_received});
}

void FeedClient::handle(const Frame &frame, Milliseconds now, std::vector<Frame> &out)
{
    if (const auto *reply = std::get_if<OpenReply>(&frame)) {
        handleOpenReply(*reply, now, out);
    } else if (const auto *push = std::get_if<Push>(&frame)) {
        handlePush(*push, now, out);
    } else if (const auto *alive = std::get_if<KeepaliveReply>(&frame)) {
        if (isOpen() && alive->token == m_token) {
            hear(now);
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
    ++m_opened;
    hear(now);
    m_nextSend = now;
    tick(now, out);
}

void FeedClient::handlePush(const Push &frame, Milliseconds now, std::vector<Frame> &out)
{
    if (!isOpen() || frame.token != m_token) {
        return;
    }
    hear(now);
    if (frame.sequence == m_received + 1) {
        ++m_received;
    }
    out.emplace_back(Keepalive{m_token, m_received});
}

void FeedClient::handleRefusal(const Refusal &frame, Milliseconds now)
{
    if (frame.subject != m_open.flow.value) {
        return;
    }
    if (isOpen() && frame.reason != RefusalReason::NoUpstream) {
        // Refuses an earlier Open and says nothing about the open feed.
        return;
    }
    m_replies.recordReceive();
    m_nextSend = now + frame.retryAfter;
    if (isOpen() && ++m_refusalsInRow >= RefusalsUntilUpstreamGone) {
        reopen(now);
    }
}

void FeedClient::hear(Milliseconds now)
{
    m_lastHeard = now;
    m_replies.recordReceive();
    m_refusalsInRow = 0;
}

void FeedClient::reopen(Milliseconds now)
{
    ++m_broken;
    m_token.clear();
    m_refusalsInRow = 0;
    m_lastHeard = now;
    m_nextSend = now;
}

} // namespace damaskhall
