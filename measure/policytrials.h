#pragma once

#include "measure/measurement.h"
#include "measure/workload.h"

#include <cstdint>
#include <string>
#include <vector>

namespace damaskhall::measure {

/// Figures of one policy in one run.
struct TrialResult
{
    /// Highest busy share per slot divided by the mean, after the warm-up.
    double imbalance = 0;
    /// 99th percentile of the time from arrival to answer, after the warm-up.
    double p99Ms = 0;
};

/// Runs one ideal queue without network delays that gives work to the free upstream with the least
/// busy share. Thread safety: reentrant.
TrialResult runIdealQueue(const std::vector<Arrival> &arrivals, double warmUpMs, double durationMs);

/// Compares ways to share few slots among many senders on a small model in virtual time.
std::vector<Row> measurePolicies(const MeasureOptions &options);

} // namespace damaskhall::measure
