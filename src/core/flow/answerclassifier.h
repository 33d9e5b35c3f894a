#pragma once

#include "base/endpoint.h"
#include "base/milliseconds.h"
#include "core/flow/routetable.h"

#include <cstdint>
#include <unordered_map>

namespace damaskhall {

/// First part of an answer, as seen from the client's acknowledgment. Thread safety: a plain value.
struct ObservedAnswer
{
    Endpoint route;
    /// Bytes that the first acknowledgment of the answer covers: all of a short answer, the first
    /// packets of a longer one.
    std::uint32_t bytes = 0;
    /// Time from the last request byte to that acknowledgment.
    Milliseconds duration;
};

enum class AnswerKind : std::uint8_t {
    Served,
    /// The upstream refused the request before running it.
    Refused,
    /// Too few answers of the route are known to tell.
    Unknown,
};

/// Tells refusals by upstreams from served answers, which cannot be read: a refusal is shorter and
/// quicker than what is usual for its route. Answers the load pattern in which upstreams that
/// refuse quickly look fast. Deterministic. Thread safety: none.
class AnswerClassifier
{
public:
    /// Classifies an answer and learns from it.
    AnswerKind classify(const ObservedAnswer &answer, Milliseconds now);
    /// Removes what was learned about routes that @p current lacks, or leads to other services than
    /// @p previous did: their answers may differ.
    void handleRoutes(const RouteTable &previous, const RouteTable &current);

private:
    /// What is usual for the served answers of one route.
    struct Usual
    {
        /// Answers that are longer than any refusal.
        std::uint32_t longAnswers = 0;
        Milliseconds lastLongAt;
        /// Lower quartile of their times in milliseconds.
        double duration = 0;
        /// Share of short answers among those that took too long for a refusal.
        double shortShare = 0;
    };

    static void learnLong(Usual &usual, Milliseconds duration, Milliseconds now);

    std::unordered_map<Endpoint, Usual> m_usual;
};

} // namespace damaskhall
