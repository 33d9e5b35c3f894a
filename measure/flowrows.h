#pragma once

#include "measure/measurement.h"

#include <vector>

namespace damaskhall::measure {

/// Feeds through planned changes and through the kill of one balancer: broken_flows_planned,
/// broken_flows_one_kill.
std::vector<Row> measureFlows(const MeasureOptions &options);

/// Time from an upstream's start of leaving to its last new work: leaving_upstream_last_new_work.
std::vector<Row> measureLeaving(const MeasureOptions &options);

} // namespace damaskhall::measure
