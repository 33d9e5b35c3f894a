#pragma once

#include <compare>
#include <cstdint>

namespace damaskhall {

/// Duration or point in time in whole milliseconds. Points in time count from the epoch of the
/// Clock in use. Thread safety: a plain value.
struct Milliseconds
{
    std::int64_t value = 0;

    constexpr auto operator<=>(const Milliseconds &) const = default;

    constexpr Milliseconds &operator+=(Milliseconds other)
    {
        value += other.value;
        return *this;
    }
};

constexpr Milliseconds operator+(Milliseconds a, Milliseconds b)
{
    return {a.value + b.value};
}

constexpr Milliseconds operator-(Milliseconds a, Milliseconds b)
{
    return {a.value - b.value};
}

constexpr Milliseconds operator*(Milliseconds a, std::int64_t factor)
{
    return {a.value * factor};
}

constexpr Milliseconds operator/(Milliseconds a, std::int64_t divisor)
{
    return {a.value / divisor};
}

inline namespace literals {

constexpr Milliseconds operator""_ms(unsigned long long value)
{
    return {static_cast<std::int64_t>(value)};
}

constexpr Milliseconds operator""_s(unsigned long long value)
{
    return {static_cast<std::int64_t>(value) * 1000};
}

} // namespace literals

} // namespace damaskhall
