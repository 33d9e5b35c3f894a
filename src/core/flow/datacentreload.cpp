#include "core/flow/datacentreload.h"

#include <algorithm>
#include <cmath>

namespace damaskhall {

namespace {

/// Time constant of the own data centre's load: an overload must be noticed within a second.
constexpr Milliseconds OwnMemory = 700_ms;
/// Other data centres answer few requests of this instance.
constexpr Milliseconds RemoteMemory = 3_s;
/// Answers below which an estimate is not known.
constexpr double MinWeight = 2.0;
/// Weight of one answer in the mean answer time of a route: averages over about fifty answers, so
/// that the lowest mean is about a tenth below the usual one by chance.
constexpr double MeanWeight = 0.02;
/// Answers after which the mean of a route counts as usual.
constexpr std::uint32_t MinUsualSamples = 50;
/// Rise per minute of the lowest usual time: follows a change of the work within minutes, and
/// not an overload of seconds.
constexpr double RisePerMinute = 0.1;
/// Upper bound of one answer's slowdown, so that a single late one does not decide: a little above
/// that of a full queue.
constexpr double MaxSlowdown = 6.0;

} // namespace

DataCentreLoad::DataCentreLoad(DataCentreId dataCentre)
    : m_dataCentre(dataCentre)
{
}

double DataCentreLoad::lapsed(const Sums &sums, DataCentreId dataCentre, Milliseconds now) const
{
    const Milliseconds memory = dataCentre == m_dataCentre ? OwnMemory : RemoteMemory;
    const auto age = static_cast<double>((now - sums.updatedAt).value);
    return std::exp(-age / static_cast<double>(memory.value));
}

void DataCentreLoad::record(const Sample &sample, Milliseconds now)
{
    if (sample.kind == AnswerKind::Unknown) {
        return;
    }
    Sums &sums = m_sums[{sample.service, sample.dataCentre}];
    const double factor = lapsed(sums, sample.dataCentre, now);
    sums.answers = sums.answers * factor + 1;
    sums.refusals *= factor;
    sums.served *= factor;
    sums.slowdown *= factor;
    sums.updatedAt = now;
    if (sample.kind == AnswerKind::Refused) {
        sums.refusals += sample.refusalWeight;
        return;
    }
    recordUsualTime(sample, now);
    if (const auto lowest = lowestUsualTime({sample.route, sample.dataCentre})) {
        const double ratio = static_cast<double>(sample.duration.value) / *lowest;
        sums.served += 1;
        sums.slowdown += std::min(ratio, MaxSlowdown);
    }
}

void DataCentreLoad::recordUsualTime(const Sample &sample, Milliseconds now)
{
    const auto duration = static_cast<double>(std::max<std::int64_t>(sample.duration.value, 1));
    UsualTime &usual = m_usualTimes[{sample.route, sample.dataCentre}];
    ++usual.samples;
    // A plain mean at first, so that the first answer does not weigh more than the others.
    const double weight = std::max(MeanWeight, 1.0 / usual.samples);
    usual.mean += weight * (duration - usual.mean);
    if (usual.samples == MinUsualSamples) {
        usual.lowest = usual.mean;
    } else if (usual.samples > MinUsualSamples) {
        const auto elapsed = static_cast<double>((now - usual.updatedAt).value);
        const double risen = usual.lowest * (1.0 + RisePerMinute * elapsed / 60'000);
        usual.lowest = std::min(risen, usual.mean);
    }
    usual.updatedAt = now;
}

// A data centre that has not answered enough is compared with the fastest other one.
std::optional<double> DataCentreLoad::lowestUsualTime(const RouteInDataCentre &key) const
{
    if (const auto found = m_usualTimes.find(key);
        found != m_usualTimes.end() && found->second.lowest > 0) {
        return found->second.lowest;
    }
    std::optional<double> lowest;
    for (auto found = m_usualTimes.lower_bound({key.first, DataCentreId{}});
         found != m_usualTimes.end() && found->first.first == key.first; ++found) {
        const UsualTime &usual = found->second;
        if (usual.lowest > 0) {
            lowest = std::min(lowest.value_or(usual.lowest), usual.lowest);
        }
    }
    return lowest;
}

std::optional<LoadEstimate> DataCentreLoad::find(ServiceId service, DataCentreId dataCentre,
                                                 Milliseconds now) const
{
    const auto found = m_sums.find({service, dataCentre});
    if (found == m_sums.end()) {
        return std::nullopt;
    }
    const Sums &sums = found->second;
    LoadEstimate estimate;
    estimate.weight = sums.answers * lapsed(sums, dataCentre, now);
    if (estimate.weight < MinWeight) {
        return std::nullopt;
    }
    estimate.refusalShare = sums.refusals / sums.answers;
    estimate.slowdown = sums.served > 0 ? std::max(1.0, sums.slowdown / sums.served) : 1.0;
    estimate.served = sums.served * lapsed(sums, dataCentre, now);
    estimate.age = now - sums.updatedAt;
    return estimate;
}

} // namespace damaskhall
