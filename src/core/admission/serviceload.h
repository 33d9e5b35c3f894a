#pragma once

#include "base/milliseconds.h"
#include "core/flow/upstreamentry.h"

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace damaskhall {

/// Refusals among the recent answers of a service. Thread safety: a plain value.
struct RefusalEstimate
{
    /// Answers of the window that are known to be served or refused, without those of upstreams
    /// that refuse far more than the others.
    std::uint32_t answers = 0;
    std::uint32_t refused = 0;
    /// As above, in the last 300 ms.
    std::uint32_t recentAnswers = 0;
    std::uint32_t recentRefused = 0;
    /// False: the answers are too few to conclude anything.
    bool isKnown = false;
    /// Enough answers of each upstream are known to tell one that refuses more than the others.
    bool isPerUpstream = false;

    /// Share of refused answers; zero if there are none.
    double refusedShare() const;
    /// Share of refusals that is exceeded with near certainty.
    double certainShare() const;
};

/// Recent answers of the upstreams of one service, as seen by one traffic thread. Answers the load
/// pattern in which a minority of faulty upstreams refuses work that the others would do: it is no
/// overload. Thread safety: none.
class ServiceLoad
{
public:
    void recordAnswer(UpstreamKey upstream, bool isRefused, Milliseconds now);
    /// Forgets old answers and returns the estimate of the last half second.
    RefusalEstimate estimate(Milliseconds now);

private:
    struct Answer
    {
        UpstreamKey upstream;
        bool isRefused = false;
        Milliseconds at;
    };

    struct Counts
    {
        std::uint32_t answers = 0;
        std::uint32_t refused = 0;

        double share() const { return static_cast<double>(refused) / answers; }
    };

    void removeOldest();
    /// Returns the upstreams that refuse far more than the others.
    std::unordered_map<UpstreamKey, Counts> findFaulty() const;

    std::deque<Answer> m_history;
    std::unordered_map<UpstreamKey, Counts> m_upstreams;
    std::uint32_t m_refused = 0;
};

} // namespace damaskhall
