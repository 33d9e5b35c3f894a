#pragma once

#include "measure/measurement.h"

#include <vector>

namespace damaskhall::measure {

/// Imbalance and p99 of claims on the real core, compared with the ideal queue on the same arrivals
/// and the same work per claim.
std::vector<Row> measureLoad(const MeasureOptions &options);

} // namespace damaskhall::measure
