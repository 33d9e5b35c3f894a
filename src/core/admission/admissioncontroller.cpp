#include "core/admission/admissioncontroller.h"

#include <algorithm>
#include <utility>

namespace damaskhall {

namespace {

/// Share of refused answers above which an overload starts. A fifth of the upstreams refusing half
/// of their requests reaches it, which is no overload; with two retries for each request, one
/// in a thousand fails at this share.
constexpr double StartShare = 0.1;
/// Share of refused answers that is left during an overload. Some refusals show that the upstreams
/// are in full use, and their queues should not always be full.
constexpr double TargetShare = 0.03;
/// As above, while faulty upstreams cannot be told from the others.
constexpr double UncertainTargetShare = StartShare;
/// Part of the target share below which refusals are those of single upstreams, not of the load.
constexpr double StrayShare = 0.25;
/// Share of refused answers up to which only the least urgent priority is refused. With two
/// retries, 97% of the requests of the others are served at this share, while the refused share
/// that this instance needs settles.
constexpr double UrgentTargetShare = 0.3;
/// Amount by which the refused share falls with each tick. The excess is proportional to what an
/// instance admits and this amount is not, so that instances that admit different shares converge.
constexpr double Drift = 0.015;
/// Ticks in which the refused share falls to zero while no upstream refuses: with the 300 ms that
/// show it, everything is admitted again within one second.
constexpr double DecayTicks = 6;
/// Ticks without refusals after which the level before the decay is out of date.
constexpr int LevelLifetimeTicks = 20;
/// Upper bound for a service whose openings all have the same priority, so that answers continue
/// to show the load.
constexpr double MaxRefused = 0.9;
/// Smaller shares are not worth a refusal.
constexpr double MinRefused = 0.01;
/// Admitted share of a priority from which retries need a budget. Above, the next attempt is
/// probably admitted.
constexpr double RetryBudgetShare = 0.5;

} // namespace

bool AdmissionController::admit(const FlowOpening &opening, const RandomSource &random,
                                Milliseconds now)
{
    Service &service = m_services[opening.service];
    Priority &priority = service.priorities[opening.priority];
    ++priority.openings.at(m_tick);
    ++priority.windowOpenings;
    if (!service.isOverloaded || priority.admittedShare >= 1) {
        m_retryBudgets[opening.key.route].onRequestTaken();
        return true;
    }
    const Verdict verdict = admitOverloaded(priority, opening, random, now);
    if (verdict == Verdict::Admitted) {
        return true;
    }
    if (verdict == Verdict::Refused) {
        // Those that the budget refuses say nothing about the share that must be refused.
        ++service.refusals.at(m_tick);
        ++service.windowRefusals;
    }
    ++m_refusals[{opening.key.route, opening.priority}];
    return false;
}

AdmissionController::Verdict AdmissionController::admitOverloaded(const Priority &priority,
                                                                  const FlowOpening &opening,
                                                                  const RandomSource &random,
                                                                  Milliseconds now)
{
    RetryBudget &budget = m_retryBudgets[opening.key.route];
    const bool isRetry = m_refusedClients.takeRetry(opening.key, now);
    const bool isBudgetNeeded = isRetry && priority.admittedShare < RetryBudgetShare;
    const bool isDrawn = randomUnit(random) < priority.admittedShare;
    // A retry that the budget refuses is not recorded: it would make the next first attempt of the
    // same address count as a retry.
    if (isDrawn && isBudgetNeeded && !budget.tryAcquire()) {
        return Verdict::OverBudget;
    }
    if (!isDrawn) {
        m_refusedClients.add(opening.key, now);
        return Verdict::Refused;
    }
    if (!isRetry) {
        budget.onRequestTaken();
    }
    return Verdict::Admitted;
}

void AdmissionController::recordAnswer(ServiceId service, UpstreamKey upstream, const FlowKey &key,
                                       AnswerKind kind, Milliseconds now)
{
    if (kind == AnswerKind::Unknown) {
        return;
    }
    const bool isRefused = kind == AnswerKind::Refused;
    m_services[service].load.recordAnswer(upstream, isRefused, now);
    if (isRefused) {
        m_refusedClients.add(key, now);
    }
}

void AdmissionController::tick(Milliseconds now)
{
    m_tick = (m_tick + 1) % WindowTicks;
    for (auto &[id, service] : m_services) {
        std::uint32_t openings = 0;
        for (const auto &[level, priority] : service.priorities) {
            openings += priority.windowOpenings;
        }
        const RefusalEstimate estimate = service.load.estimate(now);
        service.refusedShare = estimate.refusedShare();
        updateRefusedOpenings(service, openings, estimate);
        divideByPriority(service, openings);
        advanceWindow(service);
    }
}

void AdmissionController::updateRefusedOpenings(Service &service, std::uint32_t openings,
                                                const RefusalEstimate &estimate)
{
    const bool isMeasured = estimate.isKnown && openings > 0;
    if (!service.isOverloaded) {
        ++service.quietTicks;
        if (!isMeasured || estimate.certainShare() <= StartShare) {
            return;
        }
        service.isOverloaded = true;
        ++service.overloads;
    }
    const double target = estimate.isPerUpstream ? TargetShare : UncertainTargetShare;
    const bool isQuiet = estimate.recentRefused <= target * StrayShare * estimate.recentAnswers;
    if (!isMeasured || isQuiet) {
        decay(service);
    } else {
        const double excess = std::max(0.0, estimate.refused - target * estimate.answers);
        const double urgentExcess = (openings - service.windowRefusals) *
                                    std::max(0.0, estimate.refusedShare() - UrgentTargetShare);
        service.refusedOpenings = (service.windowRefusals + excess) / openings - Drift;
        service.urgentLimit = (service.windowRefusals + urgentExcess) / openings - Drift;
        if (service.quietTicks > 0 && service.quietTicks < LevelLifetimeTicks) {
            // The decay has shown that the level is still needed.
            service.refusedOpenings = std::max(service.refusedOpenings, service.level);
        }
        service.quietTicks = 0;
    }
    if (service.refusedOpenings < MinRefused) {
        service.refusedOpenings = 0;
        service.isOverloaded = false;
    }
}

// Admits little more at first, as upstreams that refuse again show it within some 100 ms, and
// everything after DecayTicks.
void AdmissionController::decay(Service &service)
{
    if (service.quietTicks == 0) {
        service.level = service.refusedOpenings;
    }
    ++service.quietTicks;
    const double progress = service.quietTicks / DecayTicks;
    service.refusedOpenings = service.level * (1 - progress * progress * progress);
}

// Takes the refused openings from the least urgent priority first.
void AdmissionController::divideByPriority(Service &service, std::uint32_t openings)
{
    double excess = service.refusedOpenings * openings;
    double limit = 1;
    bool isLeastUrgent = true;
    double refused = 0;
    for (auto it = service.priorities.rbegin(); it != service.priorities.rend(); ++it) {
        Priority &priority = it->second;
        if (priority.windowOpenings == 0) {
            // A small instance may see no less urgent opening for a moment.
            isLeastUrgent = false;
            continue;
        }
        if (!isLeastUrgent) {
            excess = std::min(excess, service.urgentLimit * openings - refused);
        } else if (priority.windowOpenings == openings) {
            limit = MaxRefused;
        }
        const double share = std::clamp(excess / priority.windowOpenings, 0.0, limit);
        priority.admittedShare = 1 - share;
        refused += share * priority.windowOpenings;
        excess -= share * priority.windowOpenings;
        limit = share;
        isLeastUrgent = false;
    }
    if (openings > 0) {
        // What cannot be refused is not accumulated: admission would return late.
        service.refusedOpenings = std::min(service.refusedOpenings, refused / openings);
    }
    // Priorities that were not seen are admitted like the next more urgent one.
    double admitted = 1;
    for (auto &[level, priority] : service.priorities) {
        if (priority.windowOpenings == 0) {
            priority.admittedShare = admitted;
        }
        admitted = priority.admittedShare;
    }
}

void AdmissionController::advanceWindow(Service &service) const
{
    service.windowRefusals -= std::exchange(service.refusals.at(m_tick), 0);
    for (auto &[level, priority] : service.priorities) {
        priority.windowOpenings -= std::exchange(priority.openings.at(m_tick), 0);
    }
}

std::vector<AdmissionState> AdmissionController::states() const
{
    std::vector<AdmissionState> states;
    for (const auto &[id, service] : m_services) {
        if (service.overloads == 0) {
            continue;
        }
        AdmissionState state;
        state.service = id;
        state.isOverloaded = service.isOverloaded;
        state.overloads = service.overloads;
        state.refusedShare = service.refusedShare;
        for (const auto &[level, priority] : service.priorities) {
            state.admittedShares[level] = priority.admittedShare;
        }
        states.push_back(std::move(state));
    }
    return states;
}

} // namespace damaskhall
