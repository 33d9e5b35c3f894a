#include "config/units.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <utility>

namespace damaskhall {

namespace {

using Unit = std::pair<std::string_view, std::int64_t>;

// From small to large.
constexpr std::array<Unit, 4> DurationUnits = {
        {{"ms", 1}, {"s", 1000}, {"min", 60'000}, {"h", 3'600'000}}};
constexpr std::array<Unit, 3> SizeUnits = {{{"B", 1}, {"KiB", 1024}, {"MiB", 1024 * 1024}}};

/// Longest duration with a fraction; times can be added to it without an overflow.
constexpr double MaxDecimalDuration = 1e15;
/// Exceeds the rounding error of a decimal number of seconds that is converted to milliseconds.
constexpr double DecimalRoundingError = 1e-6;

template <typename Number>
struct NumberWithUnit
{
    Number number;
    std::int64_t factor;
};

template <typename Number, std::size_t Count>
std::optional<NumberWithUnit<Number>> splitUnit(std::string_view text,
                                                const std::array<Unit, Count> &units)
{
    Number number = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc() || !(number >= 0)) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    for (const auto &[name, factor] : units) {
        if (text == name) {
            return NumberWithUnit<Number>{number, factor};
        }
    }
    return std::nullopt;
}

template <std::size_t Count>
std::optional<std::int64_t> parseWithUnit(std::string_view text,
                                          const std::array<Unit, Count> &units)
{
    const auto value = splitUnit<std::int64_t>(text, units);
    if (!value || value->number > std::numeric_limits<std::int64_t>::max() / value->factor) {
        return std::nullopt;
    }
    return value->number * value->factor;
}

} // namespace

std::optional<Milliseconds> parseDuration(std::string_view text)
{
    const auto value = parseWithUnit(text, DurationUnits);
    return value ? std::optional(Milliseconds{*value}) : std::nullopt;
}

std::optional<Milliseconds> parseDecimalDuration(std::string_view text)
{
    const auto value = splitUnit<double>(text, DurationUnits);
    if (!value) {
        return std::nullopt;
    }
    const double exact = value->number * static_cast<double>(value->factor);
    if (exact > MaxDecimalDuration) {
        return std::nullopt;
    }
    const auto whole = static_cast<std::int64_t>(std::floor(exact + DecimalRoundingError));
    return Milliseconds{exact > 0 ? std::max<std::int64_t>(whole, 1) : 0};
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
