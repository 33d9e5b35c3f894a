#pragma once

#include "measure/measurement.h"

#include <vector>

namespace damaskhall::measure {

/// Packets a second through one traffic thread over those of a bare UDP relay: forward_ratio.
std::vector<Row> measureForwarding(const MeasureOptions &options);

/// New feeds a second through one traffic thread while other feeds are held:
/// new_flows_per_second.
std::vector<Row> measureNewFlows(const MeasureOptions &options);

/// Memory of a router per open feed: bytes_per_flow.
std::vector<Row> measureFlowMemory(const MeasureOptions &options);

} // namespace damaskhall::measure
