#include "forwarder/admissiontelemetry.h"

#include <set>
#include <string>

namespace damaskhall {

namespace {

constexpr Milliseconds LineInterval = 1_s;
constexpr std::size_t MaxRoutes = 32;

std::string sharesText(const AdmissionState &state)
{
    std::string text;
    for (const auto &[priority, share] : state.admittedShares) {
        text += (text.empty() ? "" : ",") + std::to_string(priority) + ":" + std::to_string(share);
    }
    return text;
}

void printService(std::ostream &out, const AdmissionState &state)
{
    const std::string service = "service=\"" + state.name + "\"";
    out << "damaskhall_overloaded{" << service << "} " << (state.isOverloaded ? 1 : 0) << "\n"
        << "damaskhall_overloads_total{" << service << "} " << state.overloads << "\n"
        << "damaskhall_upstream_refusal_share{" << service << "} " << state.refusedShare << "\n";
    for (const auto &[priority, share] : state.admittedShares) {
        out << "damaskhall_admitted_share{" << service << ",priority=\"" << priority << "\"} "
            << share << "\n";
    }
}

} // namespace

AdmissionLog::AdmissionLog(BoundedLog &log)
    : m_log(log)
{
}

void AdmissionLog::report(const AdmissionReport &report, Milliseconds now)
{
    for (const AdmissionState &state : report.services) {
        Service &known = m_services[state.service];
        const bool isNew = state.overloads != known.overloads;
        const bool isEnded = !state.isOverloaded && (known.isOverloaded || isNew);
        const bool isDue = state.isOverloaded && (isNew || now >= known.nextLine);
        known.isOverloaded = state.isOverloaded;
        known.overloads = state.overloads;
        if (!isEnded && !isDue) {
            continue;
        }
        known.nextLine = now + LineInterval;
        m_log.log(isEnded ? LogLevel::Info : LogLevel::Warn, "admission",
                  isEnded ? "An overload has ended."
                  : isNew ? "An overload has started."
                          : "An overload continues.",
                  {{"service", state.name},
                   {"refused_by_upstreams", std::to_string(state.refusedShare)},
                   {"admitted", sharesText(state)},
                   {"overloads", std::to_string(state.overloads)}});
    }
}

void printAdmission(std::ostream &out, const AdmissionReport &report)
{
    // Services without an overload since the start are not listed one by one.
    AdmissionState others;
    others.name = "others";
    others.admittedShares[0] = 1;
    printService(out, others);
    for (const AdmissionState &state : report.services) {
        printService(out, state);
    }
    std::set<Endpoint> printed;
    std::map<std::uint32_t, std::uint64_t> otherRoutes{{0, 0}};
    for (const auto &[key, count] : report.refusals) {
        const auto &[route, priority] = key;
        if (!printed.contains(route) && printed.size() >= MaxRoutes) {
            otherRoutes[priority] += count;
            continue;
        }
        printed.insert(route);
        out << "damaskhall_refused_openings_total{route=\"" << toString(route) << "\",priority=\""
            << priority << "\"} " << count << "\n";
    }
    for (const auto &[priority, count] : otherRoutes) {
        out << "damaskhall_refused_openings_total{route=\"others\",priority=\"" << priority
            << "\"} " << count << "\n";
    }
}

} // namespace damaskhall
