#include "client/feedclient.h"

#include <variant>

namespace damaskhall {

namespace {

constexpr Milliseconds OpenResendInterval = 200_ms;
constexpr Milliseconds KeepaliveInterval = 1_s;

} // namespace

FeedClient::FeedClient(const Open &open, Milliseconds now)
    : m_open(open)
    , m_nextSend(now)
    , m_lastHeard(now)
{
}

void FeedClient::tick(Milliseconds now, std::vector<Frame> &out)
{
    if (now < m_nextSend) {
        return;
    }
    if (!isOpen()) {
        m_nextSend = now + OpenResendInterval;
        out.emplace_back(m_open);
        return;
    }
    m_nextSend = now + KeepaliveInterval;
    out.emplace_back(Keepalive{m_token, m_received});
}

void FeedClient::handle(const Frame &frame, Milliseconds now, std::vector<Frame> &out)
{
    if (const auto *reply = std::get_if<OpenReply>(&frame)) {
        if (reply->subject == m_open.flow.value && !isOpen()) {
            m_token = reply->token;
            m_lastHeard = now;
            m_nextSend = now;
            tick(now, out);
        }
    } else if (const auto *push = std::get_if<Push>(&frame)) {
        if (!isOpen() || push->token != m_token) {
            return;
        }
        m_lastHeard = now;
        if (push->sequence == m_received + 1) {
            ++m_received;
        }
        out.emplace_back(Keepalive{m_token, m_received});
    } else if (const auto *alive = std::get_if<KeepaliveReply>(&frame)) {
        if (isOpen() && alive->token == m_token) {
            m_lastHeard = now;
        }
    }
}

} // namespace damaskhall
