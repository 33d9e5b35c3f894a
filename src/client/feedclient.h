#pragma once

#include "core/control/replytimer.h"
#include "core/messages.h"

#include <cstdint>
#include <vector>

namespace damaskhall {

/// Client state machine of one feed: opens it, sends keepalives and acknowledges pushes. A feed
/// whose upstream is gone is counted as an upstream loss and reopened.
/// Takes events and returns frames; performs no I/O. Thread safety: none. @c now must not decrease.
class FeedClient
{
public:
    FeedClient(const Open &open, Milliseconds now);

    /// Appends the frames that are due.
    void tick(Milliseconds now, std::vector<Frame> &out);
    /// Handles a frame from a balancer; frames of other flows are ignored.
    void handle(const Frame &frame, Milliseconds now, std::vector<Frame> &out);

    bool isOpen() const { return !m_token.empty(); }
    /// Time since the last OpenReply, Push or KeepaliveReply of the open feed; counted anew from
    /// the construction and from each reopening.
    Milliseconds timeSinceUpstreamFrame(Milliseconds now) const
    {
        return now - m_lastUpstreamFrameAt;
    }
    /// Highest sequence number up to which all pushes were received in order.
    std::uint64_t lastReceivedSequence() const { return m_lastReceivedSequence; }
    /// Number of times that the feed was opened, reopenings included.
    unsigned openCount() const { return m_openCount; }
    /// Number of times that the feed lost its upstream and was reopened.
    unsigned upstreamLossCount() const { return m_upstreamLossCount; }
    /// Number of local port changes requested so far. When it increases, the adapter must send from
    /// a new port; the old one may still receive.
    unsigned portChanges() const { return m_portChanges; }

private:
    void handleOpenReply(const OpenReply &frame, Milliseconds now, std::vector<Frame> &out);
    void handlePush(const Push &frame, Milliseconds now, std::vector<Frame> &out);
    void handleRefusal(const Refusal &frame, Milliseconds now);
    void recordUpstreamFrame(Milliseconds now);
    void reopen(Milliseconds now);

    Open m_open;
    SealedToken m_token;
    Milliseconds m_nextSendAt;
    Milliseconds m_lastUpstreamFrameAt;
    ReplyTimer m_replyTimer;
    std::uint64_t m_lastReceivedSequence = 0;
    unsigned m_consecutiveRefusals = 0;
    unsigned m_openCount = 0;
    unsigned m_upstreamLossCount = 0;
    unsigned m_portChanges = 0;
};

} // namespace damaskhall
