#pragma once

#include "base/ids.h"
#include "base/result.h"

#include <cstdint>
#include <map>
#include <string>

namespace damaskhall {

/// Declaration in the form in which it is distributed: INI text by section, so that a change
/// transfers only the modified sections. Thread safety: a plain value.
struct ConfigDocument
{
    Revision revision;
    /// Id of the change that created this revision.
    std::string change;
    /// Text of each section, header line included, by header. Text before the first header is
    /// stored under the empty name.
    std::map<std::string, std::string> sections;

    /// Returns the INI text.
    std::string text() const;
    /// Hash of the sections, independent of their order.
    std::uint64_t contentHash() const;
};

/// Splits INI text into sections. Thread safety: reentrant.
std::map<std::string, std::string> splitSections(const std::string &text);

/// Parses the envelope that is stored under the platform's key: JSON with "revision", "change" and
/// "declaration"; other fields are ignored. Errors: Malformed. Thread safety: reentrant.
Result<ConfigDocument> parseEnvelope(const std::string &envelope);

} // namespace damaskhall
