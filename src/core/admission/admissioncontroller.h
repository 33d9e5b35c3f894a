#pragma once

#include "base/random.h"
#include "core/admission/refusedclients.h"
#include "core/admission/serviceload.h"
#include "core/dispatch/retrybudget.h"
#include "core/flow/answerclassifier.h"

#include <array>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace damaskhall {

/// Opening packet of a new flow. Thread safety: a plain value.
struct FlowOpening
{
    ServiceId service;
    FlowKey key;
    /// Zero is the most urgent.
    std::uint32_t priority = 0;
};

/// Admission of one service, for metrics and logs. Thread safety: a plain value.
struct AdmissionState
{
    ServiceId service;
    /// Name in the declaration in force; set by the owner of the controller.
    std::string name;
    bool isOverloaded = false;
    /// Overloads since the start.
    std::uint64_t overloads = 0;
    double refusedShare = 0;
    /// Share of the opening packets that are admitted, by priority.
    std::map<std::uint32_t, double> admittedShares;
};

/// Refused opening packets since the start, by route and priority.
using RefusalCounts = std::map<std::pair<Endpoint, std::uint32_t>, std::uint64_t>;

/// What a traffic thread reports about its admission. Thread safety: a plain value.
struct AdmissionReport
{
    /// Services that were in overload since the start.
    std::vector<AdmissionState> services;
    RefusalCounts refusals;
};

/// Decides which opening packets are admitted while the upstreams of their service refuse requests.
/// Answers the load pattern of more work than the upstreams can do: the least urgent is refused
/// first, and at random within one priority. Deterministic. Thread safety: none.
class AdmissionController
{
public:
    /// Counts an opening packet and returns whether it is admitted. Draws a random number only if
    /// a share of its priority is refused.
    bool admit(const FlowOpening &opening, const RandomSource &random, Milliseconds now);
    /// Records an answer. Precondition: the flow of @p key is at @p upstream of @p service.
    void recordAnswer(ServiceId service, UpstreamKey upstream, const FlowKey &key, AnswerKind kind,
                      Milliseconds now);
    /// Updates the admitted shares; call every 100 ms.
    void tick(Milliseconds now);

    /// Returns the services that were in overload since the start.
    std::vector<AdmissionState> states() const;
    const RefusalCounts &refusals() const { return m_refusals; }

private:
    static constexpr std::size_t WindowTicks = 5;

    struct Priority
    {
        /// Opening packets in each tick of the window.
        std::array<std::uint32_t, WindowTicks> openings{};
        std::uint32_t windowOpenings = 0;
        double admittedShare = 1;
    };

    struct Service
    {
        ServiceLoad load;
        std::map<std::uint32_t, Priority> priorities;
        bool isOverloaded = false;
        std::uint64_t overloads = 0;
        /// Opening packets that were refused in each tick of the window.
        std::array<std::uint32_t, WindowTicks> refusals{};
        std::uint32_t windowRefusals = 0;
        /// Share of all opening packets that is refused.
        double refusedOpenings = 0;
        /// Share of all opening packets up to which others than the least urgent are refused.
        double urgentLimit = 0;
        /// Ticks since upstreams stopped refusing, and the refused share at that time.
        int quietTicks = 1000;
        double level = 0;
        double refusedShare = 0;
    };

    enum class Verdict : std::uint8_t {
        Admitted,
        Refused,
        /// A retry for which the route has no budget left.
        OverBudget,
    };

    static void updateRefusedOpenings(Service &service, std::uint32_t openings,
                                      const RefusalEstimate &estimate);
    static void decay(Service &service);
    static void divideByPriority(Service &service, std::uint32_t openings);
    void advanceWindow(Service &service) const;
    Verdict admitOverloaded(const Priority &priority, const FlowOpening &opening,
                            const RandomSource &random, Milliseconds now);

    std::unordered_map<ServiceId, Service> m_services;
    std::unordered_map<Endpoint, RetryBudget> m_retryBudgets;
    RefusedClients m_refusedClients;
    RefusalCounts m_refusals;
    std::size_t m_tick = 0;
};

} // namespace damaskhall
