#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace damaskhall::measure {

struct MeasureOptions
{
    std::uint64_t seed = 1;
    /// Seeds per figure.
    std::uint32_t seeds = 20;
    /// Shorter runs and fewer seeds, for CI.
    bool quick = false;
};

/// Which side of the target is good.
enum class Bound {
    AtMost,
    AtLeast,
    /// A baseline or intermediate figure without a target.
    None,
};

/// One figure of the report.
struct Row
{
    std::string name;
    double value = 0;
    std::string unit;
    double target = 0;
    Bound bound = Bound::None;
    /// Inputs of the figure, for results.csv.
    std::string inputs;
};

} // namespace damaskhall::measure
