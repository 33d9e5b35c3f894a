#pragma once

#include "measure/measurement.h"

#include <vector>

namespace damaskhall::measure {

// Measurements of the control plane in virtual time.

/// Heap of one control plane at 8, 32, 128, 512 and 1,500 balancers.
std::vector<Row> measureControlMemory(const MeasureOptions &options);
/// Time until a configuration or a leaving sign is known everywhere; configurations that went back.
std::vector<Row> measureControlSpread(const MeasureOptions &options);
/// Bytes and processor time per node without changes, at 8, 32, 128 and 512 balancers and
/// extrapolated to 1,500.
std::vector<Row> measureControlQuiet(const MeasureOptions &options);
/// The same with the changes and failures of an ordinary day.
std::vector<Row> measureControlDay(const MeasureOptions &options);
/// Calls to the platform by the whole fleet at the target size.
std::vector<Row> measurePlatformCalls(const MeasureOptions &options);

} // namespace damaskhall::measure
