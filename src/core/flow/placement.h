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
    /// @p avoided is taken only if there is no other.
    const UpstreamRecord *choose(const FlowView &view, const UpstreamLedger &ledger,
                                 ServiceId service, std::optional<UpstreamKey> avoided,
                                 Milliseconds now, const RandomSource &random) const;

    /// Returns true if the upstream left an opening packet unanswered for longer than an answer
    /// takes, or cannot be reached.
    static bool isSilent(const UpstreamAccount &account, Milliseconds now);

private:
    double cost(const UpstreamRecord &record, const UpstreamLedger &ledger, Milliseconds now) const;

    DataCentreId m_dataCentre;
};

} // namespace damaskhall
