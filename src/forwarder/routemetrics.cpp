#include "forwarder/routemetrics.h"

#include "metrics/distribution.h"

#include <map>
#include <mutex>
#include <sstream>

namespace damaskhall {

namespace {

/// Routes with their own statistics: more than operators look at. The bound limits memory use.
constexpr std::size_t MaxRoutes = 32;

struct RouteStats
{
    Distribution openings;
    Distribution answers;
    std::uint64_t lateAnswers = 0;
};

} // namespace

struct RouteMetrics::Private
{
    RouteStats &stats(Endpoint route)
    {
        const auto found = statsByRoute.find(route);
        if (found != statsByRoute.end()) {
            return found->second;
        }
        return statsByRoute.size() < MaxRoutes ? statsByRoute[route] : overflowStats;
    }

    mutable std::mutex mutex;
    std::map<Endpoint, RouteStats> statsByRoute;
    RouteStats overflowStats;
};

RouteMetrics::RouteMetrics()
    : m_d(std::make_unique<Private>())
{
}

RouteMetrics::~RouteMetrics() = default;

void RouteMetrics::addOpening(Endpoint route, Milliseconds duration, Milliseconds now)
{
    const std::lock_guard lock(m_d->mutex);
    m_d->stats(route).openings.add(duration, now);
}

void RouteMetrics::addAnswer(Endpoint route, Milliseconds duration, bool isLate, Milliseconds now)
{
    const std::lock_guard lock(m_d->mutex);
    RouteStats &stats = m_d->stats(route);
    stats.answers.add(duration, now);
    stats.lateAnswers += isLate ? 1 : 0;
}

std::string RouteMetrics::toPrometheusText(Milliseconds now) const
{
    std::ostringstream out;
    const auto printRoute = [&](const std::string &route, const RouteStats &stats) {
        const std::string label = "route=\"" + route + "\"";
        printDistribution(out, "damaskhall_opening_milliseconds", label, stats.openings, now);
        printDistribution(out, "damaskhall_answer_milliseconds", label, stats.answers, now);
        out << "damaskhall_late_answers_total{" << label << "} " << stats.lateAnswers << "\n";
    };
    const std::lock_guard lock(m_d->mutex);
    for (const auto &[route, stats] : m_d->statsByRoute) {
        printRoute(toString(route), stats);
    }
    if (m_d->statsByRoute.size() == MaxRoutes) {
        printRoute("others", m_d->overflowStats);
    }
    return out.str();
}

} // namespace damaskhall
