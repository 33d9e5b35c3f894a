#pragma once

#include "base/ids.h"
#include "base/milliseconds.h"
#include "base/result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace damaskhall {

/// One accepted change of the declaration.
struct HistoryEntry
{
    Revision revision;
    std::string changeId;
    std::string author;
    /// Wall-clock time since 1970.
    Milliseconds time;

    bool operator==(const HistoryEntry &) const = default;
};

/// Value of the platform key "declaration".
struct Envelope
{
    Revision revision;
    std::string changeId;
    /// INI text of the declaration.
    std::string declaration;
    /// Recent changes, the newest first.
    std::vector<HistoryEntry> history;
    /// Era of the platform in which the latest change was accepted. Zero: not known.
    std::uint32_t era = 0;

    /// Returns the entry of a change, or null. The pointer lives as long as the history.
    const HistoryEntry *findChange(const std::string &id) const;
};

/// Platform key of the declaration.
inline constexpr const char *DeclarationKey = "declaration";

/// Parses the JSON form; only "revision" and "declaration" are required. @p peer is named in
/// errors. Errors: Malformed. Thread safety: reentrant.
Result<Envelope> parseEnvelope(const std::string &json, const std::string &peer);

/// Returns the JSON form. Thread safety: reentrant.
std::string formatEnvelope(const Envelope &envelope);

} // namespace damaskhall
