#pragma once

#include <cstdint>
#include <functional>
#include <random>

namespace damaskhall {

/// Hook that returns 64 uniformly distributed random bits. Thread safety: that of the hook; the
/// generators made here belong to one thread.
using RandomSource = std::function<std::uint64_t()>;

/// Returns a generator with a fixed sequence for @p seed, the same on every machine.
inline RandomSource seededRandom(std::uint64_t seed)
{
    return [engine = std::mt19937_64(seed)]() mutable { return engine(); };
}

/// Returns a number in [0, bound). Precondition: bound > 0. The modulo bias is below 2^-32 for the
/// bounds used here, and unlike std::uniform_int_distribution the result does not depend on the
/// standard library.
inline std::uint64_t randomBelow(const RandomSource &random, std::uint64_t bound)
{
    return random() % bound;
}

/// Returns a number in [0, 1).
inline double randomUnit(const RandomSource &random)
{
    return static_cast<double>(random() >> 11) * 0x1.0p-53;
}

} // namespace damaskhall
