#pragma once

#include "base/endpoint.h"
#include "base/milliseconds.h"

#include <memory>
#include <string>

namespace damaskhall {

/// How long openings and answers took, by route. Only the routes that are used first get figures of
/// their own, as each costs some kilobytes; the others share one. Thread safety: all methods may be
/// called from any thread.
class RouteMetrics
{
public:
    RouteMetrics();
    ~RouteMetrics();
    RouteMetrics(const RouteMetrics &) = delete;
    RouteMetrics &operator=(const RouteMetrics &) = delete;

    /// Takes the time from a client's first opening packet to the end of the handshake.
    void addOpening(Endpoint route, Milliseconds duration, Milliseconds now);
    /// Takes the time from a request to the client's acknowledgment of its answer.
    void addAnswer(Endpoint route, Milliseconds duration, bool isLate, Milliseconds now);

    /// Returns the figures in the Prometheus text format.
    std::string text(Milliseconds now) const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace damaskhall
