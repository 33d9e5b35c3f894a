#pragma once

#include "core/control/replytimer.h"
#include "core/messages.h"

#include <cstdint>
#include <vector>

namespace damaskhall {

/// Caller's side of one feed: opens it, keeps it alive and acknowledges pushes. A feed whose
/// upstream is gone counts as broken and is opened again.
/// Events in, frames out; no I/O. Thread safety: none. @c now must not decrease.
class FeedClient
{
public:
    FeedClient(const Open &open, Milliseconds now);

    /// Appends the frames that are due.
    void tick(Milliseconds now, std::vector<Frame> &out);
    /// Handles a frame from a balancer; frames of other flows are ignored.
    void handle(const Frame &frame, Milliseconds now, std::vector<Frame> &out);

    bool isOpen() const { return !m_token.empty(); }
    /// Time since the last sign of life from the upstream.
    Milliseconds timeSinceUpstreamFrame(Milliseconds now) const { return now - m_lastHeard; }
    /// Highest sequence received in order.
    std::uint64_t lastReceivedSequence() const { return m_received; }
    /// Number of times that the feed was opened.
    unsigned openCount() const { return m_opened; }
    /// Number of times that the feed lost its upstream.
    unsigned upstreamLossCount() const { return m_broken; }
    /// Number of times that a new local port was asked for. When it rises, the adapter sends from a
    /// new port; the old one may still receive.
    unsigned portChanges() const { return m_portChanges; }

private:
    void handleOpenReply(const OpenReply &frame, Milliseconds now, std::vector<Frame> &out);
    void handlePush(const Push &frame, Milliseconds now, std::vector<Frame> &out);
    void handleRefusal(const Refusal &frame, Milliseconds now);
    void hear(Milliseconds now);
    void reopen(Milliseconds now);

    Open m_open;
    SealedToken m_token;
    Milliseconds m_nextSend;
    Milliseconds m_lastHeard;
    ReplyTimer m_replies;
    std::uint64_t m_received = 0;
    unsigned m_refusalsInRow = 0;
    unsigned m_opened = 0;
    unsigned m_broken = 0;
    unsigned m_portChanges = 0;
};

} // namespace damaskhall
