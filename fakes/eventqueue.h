#pragma once

#include "base/milliseconds.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace damaskhall::fakes {

/// Virtual clock with scheduled events. Events at the same time run in the order in which they
/// were scheduled, so that a run depends only on its inputs. Thread safety: none.
class EventQueue
{
public:
    Milliseconds now() const { return m_now; }

    /// Runs @p event at @p at, or at now() if that has passed.
    void schedule(Milliseconds at, std::function<void()> event)
    {
        m_events.emplace(std::pair(std::max(at, m_now), m_sequence++), std::move(event));
    }

    /// Runs all events up to and including @p end and sets the clock to it.
    void runUntil(Milliseconds end)
    {
        while (!m_events.empty() && m_events.begin()->first.first <= end) {
            auto next = m_events.extract(m_events.begin());
            m_now = next.key().first;
            next.mapped()();
        }
        m_now = end;
    }

private:
    Milliseconds m_now;
    std::uint64_t m_sequence = 0;
    std::map<std::pair<Milliseconds, std::uint64_t>, std::function<void()>> m_events;
};

} // namespace damaskhall::fakes
