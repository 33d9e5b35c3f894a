#include "apps/ctlreport.h"

#include "apps/table.h"

#include <array>
#include <cstdio>
#include <ctime>
#include <map>
#include <nlohmann/json.hpp>

namespace damaskhall {

namespace {

using Json = nlohmann::json;
using Rows = std::vector<std::vector<std::string>>;

std::string number(const Json &json, const char *key)
{
    return std::to_string(json.at(key).get<std::uint64_t>());
}

std::string stateOf(const Json &status)
{
    if (status.at("leaving").get<bool>()) {
        return "leaving";
    }
    // Balancers of earlier versions do not report it.
    return status.value("evacuated", false) ? "evacuated" : "serving";
}

std::string balancerTable(const std::vector<BalancerReport> &reports)
{
    Rows rows = {{"BALANCER", "ADMIN", "DATA CENTRE", "REVISION", "STATE", "PLATFORM", "WAITING",
                  "IN PROGRESS"}};
    for (const BalancerReport &report : reports) {
        if (!report.error.empty()) {
            rows.push_back({"-", report.admin, "-", "-", report.error});
            continue;
        }
        const Json status = Json::parse(report.status);
        const Json &load = status.at("load");
        const auto inProgress = load.at("permitted").get<std::uint64_t>() +
                                load.at("sent").get<std::uint64_t>() +
                                load.at("uploads").get<std::uint64_t>();
        rows.push_back({number(status, "id"), report.admin, status.at("data_centre"),
                        number(status, "revision"), stateOf(status),
                        status.at("platform_reachable").get<bool>() ? "reachable" : "unreachable",
                        number(load, "waiting"), std::to_string(inProgress)});
    }
    return formatTable(rows);
}

// The balancer that dispatches to an upstream knows most about it.
std::map<std::uint64_t, Json> mergeUpstreams(const std::vector<Json> &statuses)
{
    std::map<std::uint64_t, Json> upstreams;
    for (const Json &status : statuses) {
        for (const Json &upstream : status.at("upstreams")) {
            const auto id = upstream.at("id").get<std::uint64_t>();
            if (!upstreams.contains(id) || upstream.at("dispatched_here").get<bool>()) {
                upstreams[id] = upstream;
            }
        }
    }
    return upstreams;
}

std::string upstreamTable(const std::vector<Json> &statuses)
{
    Rows rows = {
            {"UPSTREAM", "SERVICE", "ENDPOINT", "IN USE", "LIMIT", "IN FLIGHT", "BUSY", "REASON"}};
    for (const auto &[id, upstream] : mergeUpstreams(statuses)) {
        const bool isKnown = upstream.at("dispatched_here").get<bool>();
        std::array<char, 16> share{"-"};
        if (isKnown) {
            std::snprintf(share.data(), share.size(), "%.0f%%",
                          upstream.at("busy_share").get<double>() * 100);
        }
        rows.push_back({std::to_string(id), upstream.at("service"), upstream.at("endpoint"),
                        upstream.at("in_use").get<bool>() ? "yes" : "no",
                        isKnown ? number(upstream, "limit") : "-",
                        isKnown ? number(upstream, "in_flight") : "-", share.data(),
                        upstream.at("reason")});
    }
    return rows.size() > 1 ? "\n" + formatTable(rows) : "";
}

// Also names data centres none of whose balancers were asked. The balancer with the highest
// revision knows best.
std::string evacuationTable(const std::vector<Json> &statuses)
{
    Json names = Json::array();
    std::uint64_t highest = 0;
    for (const Json &status : statuses) {
        const auto revision = status.at("revision").get<std::uint64_t>();
        if (revision >= highest && status.contains("evacuated_data_centres")) {
            highest = revision;
            names = status.at("evacuated_data_centres");
        }
    }
    Rows rows = {{"EVACUATED DATA CENTRE"}};
    for (const Json &name : names) {
        rows.push_back({name.get<std::string>()});
    }
    return rows.size() > 1 ? "\n" + formatTable(rows) : "";
}

struct ClassTotal
{
    std::uint64_t target = 0;
    std::uint64_t waiting = 0;
    std::uint64_t met = 0;
    std::uint64_t missed = 0;
};

std::string classTable(const std::vector<Json> &statuses)
{
    std::map<std::string, ClassTotal> totals;
    for (const Json &status : statuses) {
        for (const Json &entry : status.at("classes")) {
            const std::string name = entry.at("service").get<std::string>() + "/" +
                                     entry.at("class").get<std::string>();
            ClassTotal &total = totals[name];
            total.target = entry.at("target_ms").get<std::uint64_t>();
            total.waiting += entry.at("waiting").get<std::uint64_t>();
            total.met += entry.at("target_met").get<std::uint64_t>();
            total.missed += entry.at("target_missed").get<std::uint64_t>();
        }
    }
    Rows rows = {{"CLASS", "TARGET", "WAITING", "MET", "MISSED"}};
    for (const auto &[name, total] : totals) {
        rows.push_back({name, std::to_string(total.target) + " ms", std::to_string(total.waiting),
                        std::to_string(total.met), std::to_string(total.missed)});
    }
    return rows.size() > 1 ? "\n" + formatTable(rows) : "";
}

} // namespace

std::string formatReports(const std::vector<BalancerReport> &reports)
{
    std::vector<Json> statuses;
    for (const BalancerReport &report : reports) {
        if (report.error.empty()) {
            statuses.push_back(Json::parse(report.status));
        }
    }
    return balancerTable(reports) + evacuationTable(statuses) + upstreamTable(statuses) +
           classTable(statuses);
}

std::string formatHistory(const Json &history)
{
    Rows rows = {{"REVISION", "TIME", "AUTHOR", "CHANGE"}};
    for (const Json &entry : history) {
        rows.push_back({number(entry, "revision"),
                        formatTime(entry.at("time_ms").get<std::int64_t>()), entry.at("author"),
                        entry.at("change")});
    }
    return formatTable(rows);
}

std::string formatTime(std::int64_t millisecondsSince1970)
{
    const std::time_t seconds = millisecondsSince1970 / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%SZ", &parts);
    return text.data();
}

} // namespace damaskhall
