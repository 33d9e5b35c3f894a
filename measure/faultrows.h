#pragma once

#include "measure/measurement.h"

#include <vector>

namespace damaskhall::measure {

/// Safety of requests and uploads under random faults: doubled_requests, false_not_run,
/// wrong_service_packets, answers_lost_or_crossed, uploads_lost.
std::vector<Row> measureRandomFaults(const MeasureOptions &options);

/// Unknown outcomes after the kill of the dispatcher: unknown_ratio_one_kill.
std::vector<Row> measureOneKill(const MeasureOptions &options);

} // namespace damaskhall::measure
