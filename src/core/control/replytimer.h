#pragma once

#include "base/milliseconds.h"

#include <optional>

namespace damaskhall {

/// Measures the time for which sends that expect a reply have been unanswered. Thread safety: none.
/// @c now must not decrease.
class ReplyTimer
{
public:
    /// Records a send that expects a reply.
    void recordSend(Milliseconds now)
    {
        if (!m_unansweredSince) {
            m_unansweredSince = now;
        }
    }

    /// Records a packet from the peer; any packet proves that the path works.
    void recordReceive() { m_unansweredSince.reset(); }

    /// Returns the time since the first send after the last received packet; zero if there is none.
    Milliseconds unansweredTime(Milliseconds now) const
    {
        return m_unansweredSince ? now - *m_unansweredSince : Milliseconds{};
    }

private:
    std::optional<Milliseconds> m_unansweredSince;
};

} // namespace damaskhall
