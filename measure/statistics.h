#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <numeric>
#include <vector>

namespace damaskhall::measure {

/// Returns the smallest value that at least @p share of the values do not exceed (nearest rank);
/// 0 for no values. Precondition: 0 < share <= 1. Thread safety: reentrant.
inline double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const double rank = std::ceil(share * static_cast<double>(values.size()));
    const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return values[std::min(index, values.size() - 1)];
}

/// Returns the median: the mean of the two middle values if their number is even; 0 for none.
/// Thread safety: reentrant.
inline double median(std::vector<double> values)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const std::size_t middle = values.size() / 2;
    return values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
}

/// Returns the highest value divided by the mean; 1 if all values are 0 or there are none.
/// Thread safety: reentrant.
inline double imbalance(const std::vector<double> &shares)
{
    const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
    if (sum <= 0) {
        return 1;
    }
    const double highest = *std::max_element(shares.begin(), shares.end());
    return highest * static_cast<double>(shares.size()) / sum;
}

/// Returns Jain's fairness index, (sum x)^2 / (n * sum x^2): 1 if all values are equal, 1/n if one
/// takes everything; 1 for no values or only zeros. Thread safety: reentrant.
inline double jainIndex(const std::vector<double> &values)
{
    double sum = 0;
    double squares = 0;
    for (const double value : values) {
        sum += value;
        squares += value * value;
    }
    return squares <= 0 ? 1 : sum * sum / (static_cast<double>(values.size()) * squares);
}

} // namespace damaskhall::measure
