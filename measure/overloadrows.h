#pragma once

#include "measure/measurement.h"

#include <vector>

namespace damaskhall::measure {

/// Twice the capacity with shedding: goodput_overload by class, retry_amplification.
std::vector<Row> measureOverload(const MeasureOptions &options);

/// Eight workspaces of equal demand beside one that sends ten times as much: member_fairness.
std::vector<Row> measureFairness(const MeasureOptions &options);

} // namespace damaskhall::measure
