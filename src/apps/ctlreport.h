#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace damaskhall {

/// Answer of one balancer to GET /status, or why there is none.
struct BalancerReport
{
    std::string admin;
    /// Empty if the balancer answered.
    std::string error;
    /// JSON text of the answer.
    std::string status;
};

/// Returns tables of balancers, upstreams and classes for people. Throws nlohmann::json::exception
/// if an answer has another form. Thread safety: reentrant.
std::string formatReports(const std::vector<BalancerReport> &reports);

/// Returns a table of the entries of GET /history. Throws as formatReports().
/// Thread safety: reentrant.
std::string formatHistory(const nlohmann::json &history);

/// Returns "2026-12-04 05:32:00Z". Thread safety: reentrant.
std::string formatTime(std::int64_t millisecondsSince1970);

} // namespace damaskhall
