#include "node/logging.h"

#include <algorithm>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace damaskhall {

namespace {

constexpr const char *LinePattern = "%d{yyyy-MM-ddTHH:mm:ss.SSS} %-5p %c: %m%n";
constexpr const char *StandardError = "System.err";

log4cxx::LevelPtr toLog4cxx(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warn:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        break;
    }
    return log4cxx::Level::getError();
}

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

void startLogging(const std::string &level)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LinePattern);
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, StandardError);
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(log4cxx::Level::toLevel(level));
}

std::string formatLogLine(std::string_view sentence, std::initializer_list<LogField> fields)
{
    std::string line(sentence);
    for (const auto &[name, value] : fields) {
        line += " " + std::string(name) + "=" + quoteValue(value);
    }
    return line;
}

struct Logger::Private
{
    log4cxx::LoggerPtr logger;
};

Logger::Logger(const std::string &part)
    : m_d(std::make_unique<Private>(Private{log4cxx::Logger::getLogger(part)}))
{
}

Logger::~Logger() = default;

void Logger::log(LogLevel level, std::string_view sentence,
                 std::initializer_list<LogField> fields) const
{
    const log4cxx::LevelPtr target = toLog4cxx(level);
    // Without an appender log4cxx prints a hint for each process that logs; tests do not start it.
    if (log4cxx::Logger::getRootLogger()->getAllAppenders().empty() ||
        !m_d->logger->isEnabledFor(target)) {
        return;
    }
    m_d->logger->forcedLog(target, formatLogLine(sentence, fields),
                           log4cxx::spi::LocationInfo::getLocationUnavailable());
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
