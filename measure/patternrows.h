#pragma once

#include "measure/measurement.h"

namespace damaskhall::measure {

/// Measures the share of requests answered in time for each load pattern of docs/overload.md, and
/// the same with random placement. Thread safety: reentrant.
std::vector<Row> measurePatterns(const MeasureOptions &options);

} // namespace damaskhall::measure
