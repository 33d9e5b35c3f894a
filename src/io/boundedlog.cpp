#include "io/boundedlog.h"

#include <array>
#include <cerrno>
#include <chrono>
#include <ctime>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace damaskhall {

namespace {

constexpr std::array<std::string_view, 4> LevelNames = {"DEBUG", "INFO ", "WARN ", "ERROR"};

/// Returns the UTC time of day with milliseconds.
std::string timestamp()
{
    const Milliseconds now = Clock::wallTime();
    const std::time_t seconds = now.value / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%FT%T", &parts);
    const std::string millis = std::to_string(1000 + now.value % 1000);
    return std::string(text.data(), length) + "." + millis.substr(1);
}

} // namespace

LogLevel parseLogLevel(std::string_view text)
{
    if (text == "debug") {
        return LogLevel::Debug;
    }
    if (text == "warn") {
        return LogLevel::Warn;
    }
    return text == "error" ? LogLevel::Error : LogLevel::Info;
}

BoundedLog::BoundedLog(int output, LogLevel level, std::size_t maxBytes)
    : m_output(output)
    , m_maxBytes(maxBytes)
    , m_level(level)
{
    const int flags = fcntl(output, F_GETFL, 0);
    if (flags >= 0) {
        fcntl(output, F_SETFL, flags | O_NONBLOCK);
    }
}

void BoundedLog::log(LogLevel level, std::string_view part, std::string_view sentence,
                     std::initializer_list<LogField> fields)
{
    if (level < m_level) {
        return;
    }
    std::string line = timestamp();
    line += " ";
    line += LevelNames.at(static_cast<std::size_t>(level));
    line += " ";
    line += part;
    line += ": " + formatLogLine(sentence, fields) + "\n";
    const std::lock_guard lock(m_mutex);
    if (m_pending.size() + line.size() > m_maxBytes) {
        ++m_lost;
        ++m_lostTotal;
        return;
    }
    m_pending += line;
}

void BoundedLog::flush()
{
    std::uint64_t lost = 0;
    if (m_writing.empty()) {
        const std::lock_guard lock(m_mutex);
        m_writing.swap(m_pending);
        lost = std::exchange(m_lost, 0);
    }
    if (lost > 0) {
        m_writing += timestamp() + " WARN  log: " +
                     formatLogLine("The output was full; lines are missing.",
                                   {{"lines", std::to_string(lost)}}) +
                     "\n";
    }
    while (!m_writing.empty()) {
        const ssize_t written = write(m_output, m_writing.data(), m_writing.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            // The output is full or gone; the rest stays for the next time.
            return;
        }
        m_writing.erase(0, static_cast<std::size_t>(written));
    }
}

void BoundedLog::setLevel(LogLevel level)
{
    m_level = level;
}

std::uint64_t BoundedLog::lostLines() const
{
    const std::lock_guard lock(m_mutex);
    return m_lostTotal;
}

} // namespace damaskhall
