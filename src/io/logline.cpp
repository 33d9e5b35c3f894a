#include "io/logline.h"

#include <algorithm>
#include <cctype>

namespace damaskhall {

namespace {

bool isPlain(char character)
{
    constexpr std::string_view Others = "-_.:/";
    const auto byte = static_cast<unsigned char>(character);
    return std::isalnum(byte) != 0 || Others.find(character) != std::string_view::npos;
}

std::string quoteValue(const std::string &value)
{
    if (!value.empty() && std::all_of(value.begin(), value.end(), &isPlain)) {
        return value;
    }
    std::string quoted = "\"";
    for (const char character : value) {
        if (character == '\n') {
            quoted += "\\n";
        } else if (static_cast<unsigned char>(character) < ' ') {
            quoted += '?';
        } else {
            quoted += character == '"' || character == '\\' ? "\\" : "";
            quoted += character;
        }
    }
    return quoted + "\"";
}

} // namespace

std::string formatLogLine(std::string_view sentence, std::initializer_list<LogField> fields)
{
    std::string line(sentence);
    for (const auto &[name, value] : fields) {
        line += " " + std::string(name) + "=" + quoteValue(value);
    }
    return line;
}

LogLimiter::LogLimiter(Clock clock, Milliseconds interval)
    : m_clock(std::move(clock))
    , m_interval(interval)
{
}

std::optional<std::uint64_t> LogLimiter::pass(const std::string &key)
{
    const Milliseconds now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    const auto [found, isNew] = m_states.try_emplace(key);
    State &state = found->second;
    if (!isNew && now < state.nextLog) {
        ++state.suppressed;
        return std::nullopt;
    }
    state.nextLog = now + m_interval;
    return std::exchange(state.suppressed, 0);
}

} // namespace damaskhall
