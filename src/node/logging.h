#pragma once

#include "io/logline.h"

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace damaskhall {

/// Configures log output to standard error for lines of at least @p level ("debug", "info", "warn"
/// or "error"). Call once, before any thread logs. Without it nothing is logged.
void startLogging(const std::string &level);

/// Logger of one part of the program (log4cxx); the part is the prefix of its lines. Thread safety:
/// any thread.
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
