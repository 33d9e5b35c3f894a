#pragma once

#include "base/random.h"
#include "core/flow/coldlimiter.h"
#include "core/flow/upstreamstatstable.h"

#include <optional>

namespace damaskhall {

/// Chooses the upstream of a new flow. docs/overload.md describes the load patterns that the rules
/// address.
/// Deterministic: the same inputs and random numbers give the same choice. Thread safety: none.
class Placement
{
public:
    /// @p dataCentre: data centre of this instance.
    explicit Placement(DataCentreId dataCentre);

    /// Returns the upstream for a flow to @p service, or null if none may receive one. The upstream
    /// @p avoided is only chosen if there is no other. Upstreams of @p preferred take the place of
    /// those of the own data centre. Cold upstreams that @p cold excludes are not chosen. In a
    /// large fleet the choice is made among a sample.
    /// Precondition: @p cold.beginChoice() was called for @p service.
    const UpstreamRecord *choose(const FlowView &view, const UpstreamStatsTable &upstreamStats,
                                 ServiceId service, std::optional<UpstreamKey> avoided,
                                 std::optional<DataCentreId> preferred, ColdLimiter &cold,
                                 Milliseconds now, const RandomSource &random) const;

    /// Returns true if an opening packet has been unanswered for longer than an answer usually
    /// takes, or if the upstream is unreachable.
    static bool isSilent(const UpstreamStats &stats, Milliseconds now);

private:
    /// Priority of an upstream. A lower value is preferred whatever the load.
    enum class Suitability : std::uint8_t {
        Good,
        /// Its entry expired while the platform was unreachable.
        Unconfirmed,
        /// It has not answered opening packets.
        Silent,
        /// The caller prefers another one.
        Avoided,
    };

    /// Inputs of a choice, and the best upstream so far.
    struct Selection
    {
        const FlowView &view;
        const UpstreamStatsTable &upstreamStats;
        std::optional<UpstreamKey> avoided;
        /// Data centre whose upstreams are preferred.
        DataCentreId home;
        ColdLimiter &cold;
        Milliseconds now;
        const RandomSource &random;
        const UpstreamRecord *best = nullptr;
        Suitability suitability = Suitability::Avoided;
        double bestCost = 0;
    };

    /// Evaluates up to @p maxCount of @p candidates, beginning at a random one.
    void evaluate(Selection &selection, const std::vector<std::uint32_t> &candidates,
                  std::size_t maxCount) const;
    void evaluate(Selection &selection, const UpstreamRecord &record) const;
    double cost(const UpstreamRecord &record, const UpstreamStatsTable &upstreamStats,
                Milliseconds now) const;

    DataCentreId m_dataCentre;
};

} // namespace damaskhall
