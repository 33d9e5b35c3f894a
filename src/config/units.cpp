#include "config/units.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace damaskhall {

namespace {

using Unit = std::pair<std::string_view, std::int64_t>;

// From small to large.
constexpr std::array<Unit, 4> DurationUnits = {
        {{"ms", 1}, {"s", 1000}, {"min", 60'000}, {"h", 3'600'000}}};
constexpr std::array<Unit, 3> SizeUnits = {{{"B", 1}, {"KiB", 1024}, {"MiB", 1024 * 1024}}};

template <std::size_t Count>
std::optional<std::int64_t> parseWithUnit(std::string_view text,
                                          const std::array<Unit, Count> &units)
{
    std::int64_t number = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc() || number < 0) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    for (const auto &[name, factor] : units) {
        if (text == name) {
            const bool fits = number <= std::numeric_limits<std::int64_t>::max() / factor;
            return fits ? std::optional(number * factor) : std::nullopt;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<Milliseconds> parseDuration(std::string_view text)
{
    const auto value = parseWithUnit(text, DurationUnits);
    return value ? std::optional(Milliseconds{*value}) : std::nullopt;
}

std::optional<std::uint64_t> parseSize(std::string_view text)
{
    const auto value = parseWithUnit(text, SizeUnits);
    return value ? std::optional(static_cast<std::uint64_t>(*value)) : std::nullopt;
}

std::string formatDuration(Milliseconds duration)
{
    Unit best = DurationUnits.front();
    for (const Unit &unit : DurationUnits) {
        if (duration.value != 0 && duration.value % unit.second == 0) {
            best = unit;
        }
    }
    return std::to_string(duration.value / best.second) + " " + std::string(best.first);
}

} // namespace damaskhall
