#pragma once

#include "base/clock.h"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace damaskhall {

enum class LogLevel : std::uint8_t {
    /// Single steps, for the search for a fault.
    Debug,
    /// What an operator would note in a journal.
    Info,
    /// Degraded, but handled by the system.
    Warn,
    /// Needs an operator.
    Error,
};

/// Field of a log line. Values with other characters than letters, digits and -_.:/ are quoted and
/// escaped, so that foreign text cannot forge lines or fields.
using LogField = std::pair<std::string_view, std::string>;

/// Returns the sentence and its fields as one line. Thread safety: reentrant.
std::string formatLogLine(std::string_view sentence, std::initializer_list<LogField> fields);

/// Decides which occurrences of an event that repeats under load are logged: one per key and
/// interval. Thread safety: any thread.
class LogLimiter
{
public:
    /// Keys come from enumerations or from declared names, so that their number is bounded.
    LogLimiter(Clock clock, Milliseconds interval);

    /// Returns the number of occurrences of @p key that were suppressed before this one, or nothing
    /// if this one is suppressed.
    std::optional<std::uint64_t> pass(const std::string &key);

private:
    struct State
    {
        Milliseconds nextLog;
        std::uint64_t suppressed = 0;
    };

    Clock m_clock;
    Milliseconds m_interval;
    std::mutex m_mutex;
    std::map<std::string, State> m_states;
};

} // namespace damaskhall
