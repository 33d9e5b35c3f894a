#pragma once

#include "base/milliseconds.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <utility>

/// What an upstream's load endpoint says: the truth, the truth of some seconds ago, or zero while
/// busy and full while idle. Thread safety: none.
class LoadReport
{
public:
    enum class Mode {
        Honest,
        Lagging,
        Misleading,
    };

    static std::optional<Mode> parseMode(std::string_view text)
    {
        if (text == "honest") {
            return Mode::Honest;
        }
        if (text == "lagging") {
            return Mode::Lagging;
        }
        return text == "misleading" ? std::optional(Mode::Misleading) : std::nullopt;
    }

    LoadReport(Mode mode, std::uint32_t slots)
        : m_mode(mode)
        , m_slots(slots)
    {
    }

    /// Notes the true number of busy slots. Call often; @p now must not decrease.
    void observe(std::uint32_t busy, damaskhall::Milliseconds now)
    {
        m_history.emplace_back(now, busy);
        while (m_history.size() > 1 && m_history[1].first + Lag <= now) {
            m_history.pop_front();
        }
    }

    /// Returns the reported number of busy slots.
    std::uint32_t slotsInUse() const
    {
        if (m_history.empty()) {
            return 0;
        }
        switch (m_mode) {
        case Mode::Lagging:
            return m_history.front().second;
        case Mode::Misleading:
            return m_history.back().second > 0 ? 0 : m_slots;
        default:
            return m_history.back().second;
        }
    }

private:
    static constexpr damaskhall::Milliseconds Lag{3'000};

    Mode m_mode;
    std::uint32_t m_slots;
    std::deque<std::pair<damaskhall::Milliseconds, std::uint32_t>> m_history;
};
