#pragma once

#include "core/flow/capacitystatus.h"
#include "core/flow/flowview.h"
#include "core/flow/spillcontroller.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace damaskhall {

/// Spillover between data centres for all services of one traffic thread: collects the load, lets a
/// SpillController adjust the shares, and prefers a data centre for each new flow. Deterministic.
/// Thread safety: none.
class Spillover
{
public:
    /// Called when flows of a service begin or cease to leave the own data centre.
    using TransitionHook = std::function<void(const std::string &service, bool isSpilling,
                                              const LoadEstimate &own)>;

    /// @p dataCentre: data centre of this instance. @p reportTransition may be empty.
    Spillover(DataCentreId dataCentre, bool isEnabled, TransitionHook reportTransition);

    /// Learns which data centres have upstreams of which services.
    void handleView(const FlowView &view);
    /// Adds an answer of an upstream in @p view.
    /// @p refusalFactor: see UpstreamStatsTable::refusalFactor().
    void recordAnswer(const FlowView &view, UpstreamKey upstream, double refusalFactor,
                      const ObservedAnswer &answer, AnswerKind kind, Milliseconds now);
    /// Adjusts the shares; call every 100 ms.
    void tick(const FlowView &view, Milliseconds now);
    /// Returns the data centre that a new flow prefers instead of the own one, or nothing.
    std::optional<DataCentreId> choose(ServiceId service, const RandomSource &random) const;
    /// Counts a new flow that goes to @p dataCentre.
    void countFlow(DataCentreId dataCentre, std::optional<DataCentreId> preferred);

    /// Adds the shares, the loads and the counts to @p status.
    void addStatus(CapacityStatus &status, const FlowView &view, Milliseconds now) const;

private:
    DataCentreId m_dataCentre;
    bool m_isEnabled;
    TransitionHook m_reportTransition;
    DataCentreLoad m_load;
    SpillController m_controller;
    std::map<ServiceId, std::set<DataCentreId>> m_dataCentres;
    std::set<ServiceId> m_spilling;
    std::uint64_t m_spilledFlows = 0;
    std::uint64_t m_otherRemoteFlows = 0;
};

} // namespace damaskhall
