#pragma once

#include "base/random.h"
#include "core/flow/datacentreload.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace damaskhall {

/// Decides which share of the new flows of each service leaves the own data centre, and where they
/// go. Answers the load pattern of a burst in one data centre while others have spare capacity.
/// Deterministic. Thread safety: none.
class SpillController
{
public:
    /// Another data centre that has upstreams of a service.
    struct Remote
    {
        DataCentreId dataCentre;
        /// Upstreams there that may receive new flows.
        std::size_t upstreams = 0;
        std::optional<LoadEstimate> load;
    };

    /// Adjusts the share of a service by one bounded step; call every 100 ms.
    /// @p own: load of the own data centre, if it is known.
    void update(ServiceId service, const std::optional<LoadEstimate> &own,
                const std::vector<Remote> &remotes);
    /// Returns the share of new flows that leaves the own data centre.
    double share(ServiceId service) const;
    /// Returns the data centre that a new flow prefers instead of the own one, or nothing. Draws
    /// random numbers only if the share is above zero.
    std::optional<DataCentreId> choose(ServiceId service, const RandomSource &random) const;

    /// Returns the load relative to the one from which flows leave: 1 and more is overload. Few
    /// answers are uncertain and count as less.
    static double pressure(const LoadEstimate &load);

private:
    struct Target
    {
        DataCentreId dataCentre;
        /// Estimated spare capacity, in upstreams.
        double spare = 0;
    };

    struct Spill
    {
        double share = 0;
        std::vector<Target> targets;
    };

    std::map<ServiceId, Spill> m_spills;
};

} // namespace damaskhall
