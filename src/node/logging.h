#pragma once

#include "io/logline.h"

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace damaskhall {

/// Sends log lines of at least @p level ("debug", "info", "warn" or "error") to standard error.
/// Call once, before any thread logs. Without it nothing is logged.
void startLogging(const std::string &level);

/// Log of one part of the program; the part is the prefix of its lines (log4cxx).
/// Thread safety: any thread.
class Logger
{
public:
    explicit Logger(const std::string &part);
    ~Logger();
    Logger(const Logger &) = delete;
    Logger &operator=(const Logger &) = delete;

    /// Logs one short sentence.
    void log(LogLevel level, std::string_view sentence,
             std::initializer_list<LogField> fields = {}) const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace damaskhall
