#pragma once

#include "base/milliseconds.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

namespace damaskhall {

/// Quantiles that a distribution estimates.
inline constexpr std::array<double, 3> DistributionQuantiles = {0.5, 0.9, 0.99};

/// Distribution of durations: estimated quantiles of the last minute (Boost.Accumulators, P-square
/// algorithm, constant memory) and totals since the start.
/// Thread safety: one thread at a time.
class Distribution
{
public:
    Distribution();
    ~Distribution();
    Distribution(const Distribution &) = delete;
    Distribution &operator=(const Distribution &) = delete;

    void add(Milliseconds duration, Milliseconds now);

    std::uint64_t count() const;
    Milliseconds sum() const;
    /// Returns the quantiles in the order of DistributionQuantiles, in milliseconds, of the last
    /// full minute, or of the running minute if that is the first. Nothing if there are too few
    /// samples for an estimate.
    std::optional<std::array<double, 3>> quantiles(Milliseconds now) const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

/// Writes count, sum and quantiles in the Prometheus text format. @p label: a label with its value,
/// or empty. Thread safety: as Distribution.
void printDistribution(std::ostream &out, std::string_view metric, const std::string &label,
                       const Distribution &distribution, Milliseconds now);

} // namespace damaskhall
