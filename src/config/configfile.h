#pragma once

#include "base/result.h"
#include "config/diagnostics.h"

#include <string>

namespace damaskhall {

/// Reads a whole file. Errors: NotFound, Oversized (above 1 MiB). Thread safety: reentrant.
Result<std::string> readFile(const std::string &name);

/// Checks a file of settings (it has a section [balancer] or [forwarder]) or a declaration (any
/// other) and returns its mistakes. Thread safety: reentrant.
Diagnostics checkConfigFile(const std::string &text, const std::string &name);

} // namespace damaskhall
