#include "core/dispatch/upstreamselector.h"

#include <algorithm>
#include <cmath>

namespace damaskhall {

namespace {

/// Averaging window of the busy share: long enough to smooth out single requests, short enough to
/// follow a change of capacity.
constexpr double BusyWindowMs = 10'000;
constexpr double LatencyGain = 1.0 / 32;
constexpr double RoundTripGain = 1.0 / 8;
constexpr Milliseconds ProbeInterval = 1_s;
/// With 10% loss each way, three probes in a row are lost in 0.7% of all cases.
constexpr std::uint32_t MaxUnansweredProbes = 3;
constexpr Milliseconds FirstShedBackOff = 10_ms;
constexpr Milliseconds MaxShedBackOff = 1_s;

} // namespace

void UpstreamSelector::setUpstreams(const std::vector<UpstreamView> &upstreams)
{
    for (auto &[id, candidate] : m_upstreams) {
        candidate.isListed = false;
    }
    for (const UpstreamView &upstream : upstreams) {
        Candidate &candidate = m_upstreams[upstream.id];
        candidate.view = upstream;
        candidate.isListed = true;
    }
    std::erase_if(m_upstreams, [](const auto &item) {
        return !item.second.isListed && item.second.inFlight == 0;
    });
}

void UpstreamSelector::markLeaving(UpstreamId id)
{
    const auto found = m_upstreams.find(id);
    if (found != m_upstreams.end()) {
        found->second.isLeaving = true;
    }
}

std::optional<UpstreamSlot> UpstreamSelector::tryAcquire(Milliseconds now)
{
    Candidate *best = nullptr;
    double bestShare = 0;
    for (auto &[id, candidate] : m_upstreams) {
        if (!isUsable(candidate, now) || candidate.inFlight >= candidate.limit.value()) {
            continue;
        }
        const double share = busyShare(candidate, now);
        if (!best || share < bestShare) {
            best = &candidate;
            bestShare = share;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    updateAverageSlotsInUse(*best, now);
    ++best->inFlight;
    return UpstreamSlot{best->view.id, best->view.endpoint, best->inFlight};
}

void UpstreamSelector::release(const UpstreamSlot &slot, Milliseconds sentAt, SlotResult result,
                               Milliseconds now)
{
    const auto found = m_upstreams.find(slot.upstream);
    if (found == m_upstreams.end() || found->second.inFlight == 0) {
        return;
    }
    Candidate &candidate = found->second;
    updateAverageSlotsInUse(candidate, now);
    --candidate.inFlight;
    // The slot was idle while the request and the answer were in transit.
    const double idle = std::min(candidate.roundTrip, static_cast<double>((now - sentAt).value));
    candidate.averageSlotsInUse = std::max(0.0, candidate.averageSlotsInUse - idle / BusyWindowMs);
    applyResult(candidate, slot, now - sentAt, result, now);
    if (!candidate.isListed && candidate.inFlight == 0) {
        m_upstreams.erase(found);
    }
}

void UpstreamSelector::applyResult(Candidate &candidate, const UpstreamSlot &slot,
                                   Milliseconds latency, SlotResult result, Milliseconds now)
{
    const auto update = [latency](double &mean) {
        const auto sample = static_cast<double>(latency.value);
        mean += mean == 0 ? sample : (sample - mean) * LatencyGain;
    };
    switch (result) {
    case SlotResult::Answered:
        update(candidate.meanLatency);
        update(m_meanLatency);
        candidate.shedBackOff = 0_ms;
        candidate.limit.onAnswer(slot.inFlight, latency, now);
        break;
    case SlotResult::UploadStored:
        candidate.shedBackOff = 0_ms;
        candidate.limit.onCompletion(slot.inFlight, now);
        break;
    case SlotResult::Shed:
        candidate.shedBackOff =
                std::clamp(candidate.shedBackOff * 2, FirstShedBackOff, MaxShedBackOff);
        candidate.shedBackOffUntil = now + candidate.shedBackOff;
        candidate.limit.onShed(slot.inFlight, now);
        break;
    case SlotResult::TimedOut:
        candidate.limit.onTimeout(now);
        break;
    case SlotResult::Neutral:
        break;
    }
}

std::optional<UpstreamId> UpstreamSelector::acquireFeed(Milliseconds now)
{
    Candidate *best = nullptr;
    double bestShare = 0;
    for (auto &[id, candidate] : m_upstreams) {
        if (!isUsable(candidate, now)) {
            continue;
        }
        const double connections = candidate.connections + candidate.feedsSinceProbeReply +
                                   candidate.feedsBeforeProbeReply;
        const double share = (connections + 1) / candidate.limit.confirmedLimit();
        if (!best || share < bestShare) {
            best = &candidate;
            bestShare = share;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    ++best->feedsSinceProbeReply;
    return best->view.id;
}

std::uint32_t UpstreamSelector::freeSlots(Milliseconds now) const
{
    std::uint32_t slots = 0;
    for (const auto &[id, candidate] : m_upstreams) {
        if (isUsable(candidate, now) && candidate.inFlight < candidate.limit.value()) {
            slots += candidate.limit.value() - candidate.inFlight;
        }
    }
    return slots;
}

std::uint32_t UpstreamSelector::slotsInUse() const
{
    std::uint32_t slots = 0;
    for (const auto &[id, candidate] : m_upstreams) {
        slots += candidate.inFlight;
    }
    return slots;
}

bool UpstreamSelector::hasUsableUpstream(Milliseconds now) const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(),
                       [now](const auto &item) { return isUsable(item.second, now); });
}

double UpstreamSelector::capacity(Milliseconds now) const
{
    double rate = 0;
    for (const auto &[id, candidate] : m_upstreams) {
        const double latency = candidate.meanLatency > 0 ? candidate.meanLatency : m_meanLatency;
        if (isUsable(candidate, now) && latency > 0) {
            rate += candidate.limit.value() / latency;
        }
    }
    return rate;
}

Milliseconds UpstreamSelector::maxUpstreamLatency() const
{
    double slowest = 0;
    for (const auto &[id, candidate] : m_upstreams) {
        slowest = std::max(slowest, candidate.meanLatency);
    }
    return {std::llround(slowest)};
}

Milliseconds UpstreamSelector::meanLatency() const
{
    return {std::llround(m_meanLatency)};
}

void UpstreamSelector::appendDueProbes(Milliseconds now, const RandomSource &random,
                                       std::vector<UpstreamSlot> &targets,
                                       std::vector<Probe> &probes)
{
    for (auto &[id, candidate] : m_upstreams) {
        const bool isFirst = candidate.probeNonce == 0;
        if (!candidate.isListed || (!isFirst && now - candidate.probedAt < ProbeInterval)) {
            continue;
        }
        candidate.probeNonce = random() | 1;
        candidate.probedAt = now;
        ++candidate.unansweredProbes;
        targets.push_back({id, candidate.view.endpoint, 0});
        probes.push_back({candidate.probeNonce});
    }
}

bool UpstreamSelector::handleProbeReply(const ProbeReply &reply, Endpoint from, Milliseconds now)
{
    const auto found = m_upstreams.find(reply.upstream);
    if (found == m_upstreams.end() || found->second.view.endpoint != from ||
        found->second.probeNonce != reply.nonce) {
        return false;
    }
    Candidate &candidate = found->second;
    const auto sample = static_cast<double>((now - candidate.probedAt).value);
    candidate.roundTrip +=
            candidate.hasResponded ? (sample - candidate.roundTrip) * RoundTripGain : sample;
    candidate.connections = reply.connections;
    candidate.feedsBeforeProbeReply = candidate.feedsSinceProbeReply;
    candidate.feedsSinceProbeReply = 0;
    recordResponse(reply.upstream);
    return true;
}

void UpstreamSelector::recordResponse(UpstreamId id)
{
    const auto found = m_upstreams.find(id);
    if (found != m_upstreams.end()) {
        found->second.hasResponded = true;
        found->second.unansweredProbes = 0;
    }
}

void UpstreamSelector::appendStatus(Milliseconds now, std::vector<UpstreamStatus> &out) const
{
    for (const auto &[id, candidate] : m_upstreams) {
        UpstreamStatus status;
        status.id = id;
        status.service = candidate.view.service;
        status.limit = candidate.limit.value();
        status.inFlight = candidate.inFlight;
        status.busyShare = busyShare(candidate, now);
        status.inUse = isUsable(candidate, now);
        status.reason = usageReason(candidate, now);
        out.push_back(status);
    }
}

bool UpstreamSelector::isUsable(const Candidate &candidate, Milliseconds now)
{
    const bool isResponsive =
            candidate.hasResponded && candidate.unansweredProbes <= MaxUnansweredProbes;
    return candidate.isListed && !candidate.isLeaving && isResponsive &&
           now >= candidate.shedBackOffUntil;
}

double UpstreamSelector::busyShare(const Candidate &candidate, Milliseconds now)
{
    const double decayFactor =
            std::exp(-static_cast<double>((now - candidate.averageUpdatedAt).value) / BusyWindowMs);
    const double average =
            candidate.averageSlotsInUse * decayFactor + candidate.inFlight * (1 - decayFactor);
    return average / candidate.limit.confirmedLimit();
}

void UpstreamSelector::updateAverageSlotsInUse(Candidate &candidate, Milliseconds now)
{
    const double decayFactor =
            std::exp(-static_cast<double>((now - candidate.averageUpdatedAt).value) / BusyWindowMs);
    candidate.averageSlotsInUse =
            candidate.averageSlotsInUse * decayFactor + candidate.inFlight * (1 - decayFactor);
    candidate.averageUpdatedAt = now;
}

const char *UpstreamSelector::usageReason(const Candidate &candidate, Milliseconds now)
{
    if (!candidate.isListed) {
        return "gone from the list";
    }
    if (candidate.isLeaving) {
        return "leaving";
    }
    if (!candidate.hasResponded) {
        return "has not answered yet";
    }
    if (candidate.unansweredProbes > MaxUnansweredProbes) {
        return "does not answer";
    }
    return now < candidate.shedBackOffUntil ? "sheds load" : "in use";
}

} // namespace damaskhall
