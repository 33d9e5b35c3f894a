#pragma once

#include "base/result.h"
#include "config/declaration.h"

#include <string>

namespace damaskhall {

/// Reads a declaration in INI form; the revision is left at zero. @p name is the file name for
/// errors. Errors: InvalidValue. Thread safety: reentrant.
Result<Declaration> parseDeclaration(const std::string &text, const std::string &name);

} // namespace damaskhall
