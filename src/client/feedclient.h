#pragma once

#include "core/messages.h"

#include <cstdint>
#include <vector>

namespace damaskhall {

/// Caller's side of one feed: opens it, keeps it alive and acknowledges pushes.
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
    Milliseconds silence(Milliseconds now) const { return now - m_lastHeard; }
    /// Highest sequence received in order.
    std::uint64_t received() const { return m_received; }

private:
    Open m_open;
    SealedToken m_token;
    Milliseconds m_nextSend;
    Milliseconds m_lastHeard;
    std::uint64_t m_received = 0;
};

} // namespace damaskhall
