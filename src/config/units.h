#pragma once

#include "base/milliseconds.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace damaskhall {

/// Parses a whole number with its unit: "250 ms", "2 s", "5 min", "1 h". Returns nothing for any
/// other text, also for a number without unit. Thread safety: reentrant.
std::optional<Milliseconds> parseDuration(std::string_view text);

/// Parses a number with its unit that may have a fraction or an exponent: "6.5 s", "1e3 ms". Rounds
/// down to whole milliseconds, but never from a positive number to zero. Returns nothing for any
/// other text, for negative numbers and for durations above 10^15 ms. Thread safety: reentrant.
std::optional<Milliseconds> parseDecimalDuration(std::string_view text);

/// Parses a size in bytes: "512 B", "64 KiB", "1 MiB". Returns nothing for any other text.
/// Thread safety: reentrant.
std::optional<std::uint64_t> parseSize(std::string_view text);

/// Returns the duration with the largest unit that needs no fraction, as parseDuration() reads it.
/// Thread safety: reentrant.
std::string formatDuration(Milliseconds duration);

} // namespace damaskhall
