#pragma once

#include "base/result.h"
#include "config/declaration.h"
#include "config/diagnostics.h"
#include "config/inidocument.h"

#include <string>

namespace damaskhall {

/// Reads a declaration in INI form; the revision is left at zero. @p name is the file name for
/// errors. Errors: InvalidValue, with every mistake on a line of the detail.
/// Thread safety: reentrant.
Result<Declaration> parseDeclaration(const std::string &text, const std::string &name);

/// Checks the sections of a declaration and adds every mistake to @p diagnostics. The returned
/// declaration is complete only if none was added. Thread safety: reentrant.
Declaration checkDeclaration(const IniDocument &document, Diagnostics &diagnostics);

/// Returns the canonical INI text; parseDeclaration() reads it back to an equal declaration apart
/// from the revision. Thread safety: reentrant.
std::string formatDeclaration(const Declaration &declaration);

} // namespace damaskhall
