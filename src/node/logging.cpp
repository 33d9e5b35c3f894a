#include "node/logging.h"

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
    // Without an appender log4cxx prints a warning in each process that logs; tests configure none.
    if (log4cxx::Logger::getRootLogger()->getAllAppenders().empty() ||
        !m_d->logger->isEnabledFor(target)) {
        return;
    }
    m_d->logger->forcedLog(target, formatLogLine(sentence, fields),
                           log4cxx::spi::LocationInfo::getLocationUnavailable());
}

} // namespace damaskhall
