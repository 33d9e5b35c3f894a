#pragma once

#include "base/endpoint.h"
#include "base/milliseconds.h"

#include <memory>
#include <string>

namespace damaskhall {

/// Durations of handshakes and answers by route. To bound memory, as each route's statistics take
/// some kilobytes, only the routes used first have their own; all others are aggregated.
/// Thread safety: all methods may be called from any thread.
class RouteMetrics
{
public:
    RouteMetrics();
    ~RouteMetrics();
    RouteMetrics(const RouteMetrics &) = delete;
    RouteMetrics &operator=(const RouteMetrics &) = delete;

    /// Records the time from a client's first opening packet to the end of the handshake.
    void addOpening(Endpoint route, Milliseconds duration, Milliseconds now);
    /// Records the time from a request to the client's acknowledgment of its answer.
    void addAnswer(Endpoint route, Milliseconds duration, bool isLate, Milliseconds now);

    /// Returns the metrics in the Prometheus text format.
    std::string toPrometheusText(Milliseconds now) const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace damaskhall
