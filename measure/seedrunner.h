#pragma once

#include "measure/measurement.h"

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <functional>
#include <thread>
#include <vector>

namespace damaskhall::measure {

/// The machine is shared; more threads disturb the loopback figures of others.
inline constexpr std::uint32_t MaxThreads = 5;

/// Returns the seed of run @p index, different for each first seed below 2^32 and index.
inline std::uint64_t seedOf(const MeasureOptions &options, std::uint32_t index)
{
    return options.seed * 1'000 + index;
}

/// Runs @p experiment once per seed on up to MaxThreads threads and returns the results in the
/// order of the seeds. Precondition: concurrent calls of @p experiment share no state.
template <typename T>
std::vector<T> runSeeds(const MeasureOptions &options,
                        const std::function<T(std::uint64_t seed)> &experiment)
{
    std::vector<T> results(options.seeds);
    std::atomic<std::uint32_t> next = 0;
    const auto work = [&] {
        for (std::uint32_t i = next++; i < options.seeds; i = next++) {
            results[i] = experiment(seedOf(options, i));
        }
    };
    std::vector<std::thread> threads;
    for (std::uint32_t i = 0; i < std::min(MaxThreads, options.seeds); ++i) {
        threads.emplace_back(work);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return results;
}

/// Returns one field of all results.
template <typename T>
std::vector<double> column(const std::vector<T> &results, double T::*field)
{
    std::vector<double> values;
    values.reserve(results.size());
    for (const T &result : results) {
        values.push_back(result.*field);
    }
    return values;
}

} // namespace damaskhall::measure
