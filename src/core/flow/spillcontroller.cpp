#include "core/flow/spillcontroller.h"

#include <algorithm>
#include <cmath>

namespace damaskhall {

namespace {

/// Refusal share from which flows leave a data centre.
constexpr double RefusalLimit = 0.03;
/// Refusals behind an estimate below which they do not count: a single one is chance.
constexpr double MinRefusals = 1.5;
/// Slowdown of an idle data centre, allowing for the lowest usual time being low by chance, and
/// the one from which flows leave. A queue of 8 on two slots is a slowdown of 5.
constexpr double IdleSlowdown = 1.2;
constexpr double SlowdownLimit = 2.5;
/// Uncertainty of the slowdown, divided by the root of the number of answers: about two standard
/// deviations of answer times that vary by half of their mean, at a slowdown of 1 to 2.
constexpr double SlowdownError = 1.8;
/// Served answers behind an estimate below which the slowdown does not count: a single late answer
/// is chance.
constexpr double MinServed = 3.0;
/// Pressure below which flows return. Between it and 1 the share falls slowly, so that it neither
/// oscillates nor stays after the load has fallen a little.
constexpr double ReturnPressure = 0.5;
/// Steps per update: a full change takes 2.5 s, several times the age of the estimates.
constexpr double MaxRise = 0.04;
constexpr double Fall = 0.04;
constexpr double SlowFall = 0.002;
/// While the own load is unknown, as most flows leave or few answers arrive.
constexpr double UnknownFall = 0.01;
constexpr double MaxShare = 0.9;
/// Spare capacity of another data centre at which MaxShare is reached. Below it the bound shrinks
/// with the spare capacity, so that flows do not fill that data centre and return by turns.
constexpr double FullLimitSpare = 0.4;
/// Upper bound while no other data centre is known to have spare capacity: enough to learn it.
constexpr double UnknownShare = 0.15;
/// Assumed spare capacity of a data centre of unknown load.
constexpr double UnknownSpare = 0.25;

} // namespace

double SpillController::pressure(const LoadEstimate &load)
{
    const double refusals =
            load.refusalShare * load.weight >= MinRefusals ? load.refusalShare / RefusalLimit : 0.0;
    if (load.served < MinServed) {
        return refusals;
    }
    const double slowdown = load.slowdown - SlowdownError / std::sqrt(load.served);
    const double slow = (slowdown - IdleSlowdown) / (SlowdownLimit - IdleSlowdown);
    return std::max({refusals, slow, 0.0});
}

void SpillController::update(ServiceId service, const std::optional<LoadEstimate> &own,
                             const std::vector<Remote> &remotes)
{
    Spill &spill = m_spills[service];
    spill.targets.clear();
    double limit = 0;
    for (const Remote &remote : remotes) {
        const double spare =
                remote.load ? std::max(0.0, 1.0 - pressure(*remote.load)) : UnknownSpare;
        if (remote.upstreams == 0 || spare <= 0) {
            continue;
        }
        const double remoteLimit =
                remote.load ? MaxShare * std::min(1.0, spare / FullLimitSpare) : UnknownShare;
        limit = std::max(limit, remoteLimit);
        spill.targets.push_back({remote.dataCentre, spare * static_cast<double>(remote.upstreams)});
    }
    const double load = own ? pressure(*own) : 0.0;
    double target = spill.share - Fall;
    if (!own && spill.share <= limit) {
        target = spill.share - UnknownFall;
    } else if (load >= 1.0 && spill.share < limit) {
        target = std::min(limit, spill.share + std::min(MaxRise, MaxRise * (load - 1.0)));
    } else if (load >= ReturnPressure && spill.share <= limit) {
        target = spill.share - (load >= 1.0 ? 0.0 : SlowFall);
    }
    spill.share = std::max(0.0, target);
}

double SpillController::share(ServiceId service) const
{
    const auto found = m_spills.find(service);
    return found == m_spills.end() ? 0 : found->second.share;
}

std::optional<DataCentreId> SpillController::choose(ServiceId service,
                                                    const RandomSource &random) const
{
    const auto found = m_spills.find(service);
    if (found == m_spills.end() || found->second.share <= 0 ||
        randomUnit(random) >= found->second.share) {
        return std::nullopt;
    }
    double sum = 0;
    for (const Target &target : found->second.targets) {
        sum += target.spare;
    }
    double drawn = randomUnit(random) * sum;
    for (const Target &target : found->second.targets) {
        drawn -= target.spare;
        if (drawn < 0) {
            return target.dataCentre;
        }
    }
    return std::nullopt;
}

} // namespace damaskhall
