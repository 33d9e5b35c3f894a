#pragma once

#include "io/logline.h"

#include <atomic>
#include <cstddef>
#include <mutex>
#include <string>

namespace damaskhall {

/// Log of a process whose traffic must never wait for the reader of its output: lines collect in a
/// bounded buffer and are written without blocking. Lines that find no room are counted, and the
/// count is written as soon as there is room.
/// Thread safety: log() may be called from any thread, the others from one.
class BoundedLog
{
public:
    /// Writes to the file descriptor @p output, which it makes non-blocking.
    BoundedLog(int output, LogLevel level, std::size_t maxBytes = DefaultBytes);

    /// Adds one line: time, level, @p part as prefix, the sentence and its fields.
    void log(LogLevel level, std::string_view part, std::string_view sentence,
             std::initializer_list<LogField> fields = {});
    /// Writes what the output takes.
    void flush();
    void setLevel(LogLevel level);
    /// Returns the number of lines that found no room.
    std::uint64_t lostLines() const;

private:
    /// Some hundred lines: a second of a busy process.
    static constexpr std::size_t DefaultBytes = std::size_t{128} * 1024;

    int m_output;
    std::size_t m_maxBytes;
    mutable std::mutex m_mutex;
    std::atomic<LogLevel> m_level;
    std::string m_pending;
    /// Being written; only flush() uses it.
    std::string m_writing;
    std::uint64_t m_lost = 0;
    std::uint64_t m_lostTotal = 0;
};

/// Returns the level of a setting: debug, info, warn or error; info for any other text.
/// Thread safety: reentrant.
LogLevel parseLogLevel(std::string_view text);

} // namespace damaskhall
