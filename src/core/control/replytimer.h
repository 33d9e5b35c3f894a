#pragma once

#include "base/milliseconds.h"

#include <optional>

namespace damaskhall {

/// Measures how long sends that expect a reply have been without one.
/// Thread safety: none. @c now must not decrease.
class ReplyTimer
{
public:
    /// Notes a send that expects a reply.
    void recordSend(Milliseconds now)
    {
        if (!m_waitingSince) {
            m_waitingSince = now;
        }
    }

    /// Notes a packet from the other side; any packet shows that the path works.
    void recordReceive() { m_waitingSince.reset(); }

    /// Returns the time since the first send that no packet has followed; zero if there is none.
    Milliseconds unansweredTime(Milliseconds now) const
    {
        return m_waitingSince ? now - *m_waitingSince : Milliseconds{};
    }

private:
    std::optional<Milliseconds> m_waitingSince;
};

} // namespace damaskhall
