#include "forwarder/routemetrics.h"

#include "metrics/distribution.h"

#include <map>
#include <mutex>
#include <sstream>

namespace damaskhall {

namespace {

/// Routes with figures of their own: more than operators read; the bound keeps the memory small.
constexpr std::size_t MaxRoutes = 32;

struct Figures
{
    Distribution openings;
    Distribution answers;
    std::uint64_t late = 0;
};

} // namespace

struct RouteMetrics::Private
{
    Figures &figures(Endpoint route)
    {
        const auto found = byRoute.find(route);
        if (found != byRoute.end()) {
            return found->second;
        }
        return byRoute.size() < MaxRoutes ? byRoute[route] : others;
    }

    mutable std::mutex mutex;
    std::map<Endpoint, Figures> byRoute;
    Figures others;
};

RouteMetrics::RouteMetrics()
    : m_d(std::make_unique<Private>())
{
}

RouteMetrics::~RouteMetrics() = default;

void RouteMetrics::addOpening(Endpoint route, Milliseconds duration, Milliseconds now)
{
    const std::lock_guard lock(m_d->mutex);
    m_d->figures(route).openings.add(duration, now);
}

void RouteMetrics::addAnswer(Endpoint route, Milliseconds duration, bool isLate, Milliseconds now)
{
    const std::lock_guard lock(m_d->mutex);
    Figures &figures = m_d->figures(route);
    figures.answers.add(duration, now);
    figures.late += isLate ? 1 : 0;
}

std::string RouteMetrics::text(Milliseconds now) const
{
    std::ostringstream out;
    const auto printAll = [&](const std::string &route, const Figures &figures) {
        const std::string label = "route=\"" + route + "\"";
        printDistribution(out, "damaskhall_opening_milliseconds", label, figures.openings, now);
        printDistribution(out, "damaskhall_answer_milliseconds", label, figures.answers, now);
        out << "damaskhall_late_answers_total{" << label << "} " << figures.late << "\n";
    };
    const std::lock_guard lock(m_d->mutex);
    for (const auto &[route, figures] : m_d->byRoute) {
        printAll(toString(route), figures);
    }
    if (m_d->byRoute.size() == MaxRoutes) {
        printAll("others", m_d->others);
    }
    return out.str();
}

} // namespace damaskhall
