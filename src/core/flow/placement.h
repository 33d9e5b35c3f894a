#pragma once

#include "base/random.h"
#include "core/flow/upstreamledger.h"

#include <optional>

namespace damaskhall {

/// Chooses the upstream of a new flow. Each rule answers a load pattern that docs/overload.md
/// describes. Deterministic: same inputs and random numbers, same choice. Thread safety: none.
class Placement
{
public:
    /// @p dataCentre is the own one.
    explicit Placement(DataCentreId dataCentre);

    /// Returns the upstream for a flow to @p service, or null if none may get one. An upstream
    /// @p avoided is taken only if there is no other. In a large fleet it is the best of a sample.
    const UpstreamRecord *choose(const FlowView &view, const UpstreamLedger &ledger,
                                 ServiceId service, std::optional<UpstreamKey> avoided,
                                 Milliseconds now, const RandomSource &random) const;

    /// Returns true if the upstream left an opening packet unanswered for longer than an answer
    /// takes, or cannot be reached.
    static bool isSilent(const UpstreamAccount &account, Milliseconds now);

private:
    /// Order in which upstreams are considered; a lower class wins whatever the load.
    enum class Suitability : std::uint8_t {
        Good,
        /// Its entry lapsed while the platform was away.
        Unconfirmed,
        /// It left opening packets unanswered.
        Silent,
        /// The caller asks for another one.
        Avoided,
    };

    /// What a choice depends on, and the best upstream so far.
    struct Search
    {
        const FlowView &view;
        const UpstreamLedger &ledger;
        std::optional<UpstreamKey> avoided;
        Milliseconds now;
        const RandomSource &random;
        const UpstreamRecord *best = nullptr;
        Suitability suitability = Suitability::Avoided;
        double price = 0;
    };

    /// Weighs up to @p most of @p candidates, beginning at a random one.
    void consider(Search &search, const std::vector<std::uint32_t> &candidates,
                  std::size_t most) const;
    void consider(Search &search, const UpstreamRecord &record) const;
    double cost(const UpstreamRecord &record, const UpstreamLedger &ledger, Milliseconds now) const;

    DataCentreId m_dataCentre;
};

} // namespace damaskhall
