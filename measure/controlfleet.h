#pragma once

#include "measure/measurement.h"

#include <vector>

namespace damaskhall::measure {

/// Measures the control plane in virtual time: bytes, processor time, memory and platform calls at
/// 8, 32, 128 and 512 balancers and extrapolated to 1,500; time until a configuration or leaving
/// sign is known everywhere; configurations that went back.
std::vector<Row> measureControlFleet(const MeasureOptions &options);

} // namespace damaskhall::measure
