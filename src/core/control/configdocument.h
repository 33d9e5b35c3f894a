#pragma once

#include "base/ids.h"
#include "base/result.h"

#include <cstdint>
#include <map>
#include <string>

namespace damaskhall {

/// Declaration as it is distributed: INI text by section, so that a change costs only the sections
/// that it touches. Thread safety: a plain value.
struct ConfigDocument
{
    Revision revision;
    /// Id of the change that made this revision.
    std::string change;
    /// Text of each section, header line included, by header. Text before the first header is under
    /// the empty name.
    std::map<std::string, std::string> sections;

    /// Returns the INI text.
    std::string text() const;
    /// Hash of the sections, independent of their order.
    std::uint64_t contentHash() const;
};

/// Splits INI text into sections. Thread safety: reentrant.
std::map<std::string, std::string> splitSections(const std::string &text);

/// Reads the envelope that is stored under the platform's key: JSON with "revision", "change" and
/// "declaration"; other fields are ignored. Errors: Malformed. Thread safety: reentrant.
Result<ConfigDocument> readEnvelope(const std::string &envelope);

} // namespace damaskhall
