#pragma once

#include "core/flow/answerclassifier.h"
#include "core/flow/upstreamentry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace damaskhall {

/// How loaded the upstreams of a service in a data centre are. Thread safety: a plain value.
struct LoadEstimate
{
    /// Share of the answers that were refusals.
    double refusalShare = 0;
    /// Ratio of the answer time to the lowest usual one; 1 is an idle data centre.
    double slowdown = 1;
    /// Answers behind the estimate; older ones count less.
    double weight = 0;
    /// Those of them that were served and compared with a usual time.
    double served = 0;
    /// Time since the last answer.
    Milliseconds age;
};

/// Load of each data centre and service, from the answers that this instance has seen. Answers the
/// load pattern in which an instance sees a small share of the traffic, so that the work which it
/// has placed itself says nothing about the load. Deterministic. Thread safety: none.
class DataCentreLoad
{
public:
    /// @p dataCentre: data centre of this instance.
    explicit DataCentreLoad(DataCentreId dataCentre);

    /// An answer to a request that this instance has forwarded.
    struct Sample
    {
        ServiceId service;
        DataCentreId dataCentre;
        Endpoint route;
        AnswerKind kind = AnswerKind::Unknown;
        Milliseconds duration;
        /// How much a refusal says about the data centre, 0 to 1: less if its upstream refuses more
        /// than the others of its service.
        double refusalWeight = 1;
    };

    /// Adds an answer. One of unknown kind is ignored: it may be a refusal that looks fast.
    void record(const Sample &sample, Milliseconds now);
    /// Returns the load, or nothing if there are too few recent answers.
    std::optional<LoadEstimate> find(ServiceId service, DataCentreId dataCentre,
                                     Milliseconds now) const;

private:
    /// Sums over answers, each weighted by its age.
    struct Sums
    {
        double answers = 0;
        double refusals = 0;
        double served = 0;
        double slowdown = 0;
        Milliseconds updatedAt;
    };

    /// Usual answer time of a route in a data centre, in milliseconds.
    struct UsualTime
    {
        double mean = 0;
        double lowest = 0;
        std::uint32_t samples = 0;
        Milliseconds updatedAt;
    };

    using RouteInDataCentre = std::pair<Endpoint, DataCentreId>;

    double lapsed(const Sums &sums, DataCentreId dataCentre, Milliseconds now) const;
    void recordUsualTime(const Sample &sample, Milliseconds now);
    std::optional<double> lowestUsualTime(const RouteInDataCentre &key) const;

    DataCentreId m_dataCentre;
    std::map<std::pair<ServiceId, DataCentreId>, Sums> m_sums;
    std::map<RouteInDataCentre, UsualTime> m_usualTimes;
};

} // namespace damaskhall
