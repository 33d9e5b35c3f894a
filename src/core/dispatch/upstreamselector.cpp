#include "core/dispatch/upstreamselector.h"

#include <algorithm>
#include <cmath>

namespace damaskhall {

namespace {

/// Window of the busy share: long enough to even out single requests, short enough to follow a
/// change of capacity.
constexpr double BusyWindowMs = 10'000;
constexpr double LatencyGain = 1.0 / 32;
constexpr double RoundTripGain = 1.0 / 8;
constexpr Milliseconds ProbeInterval = 1_s;
/// With 10% loss each way, three probes in a row are lost in 0.7% of all cases.
constexpr std::uint32_t MaxUnansweredProbes = 3;
constexpr Milliseconds FirstSkip = 10_ms;
constexpr Milliseconds MaxSkip = 1_s;

} // namespace

void UpstreamSelector::setUpstreams(const std::vector<UpstreamView> &upstreams)
{
    for (auto &[id, load] : m_loads) {
        load.isListed = false;
    }
    for (const UpstreamView &upstream : upstreams) {
        Load &load = m_loads[upstream.id];
        load.view = upstream;
        load.isListed = true;
    }
    std::erase_if(m_loads, [](const auto &item) {
        return !item.second.isListed && item.second.inFlight == 0;
    });
}

void UpstreamSelector::markLeaving(UpstreamId id)
{
    const auto found = m_loads.find(id);
    if (found != m_loads.end()) {
        found->second.isLeaving = true;
    }
}

std::optional<SlotUse> UpstreamSelector::take(Milliseconds now)
{
    Load *best = nullptr;
    double bestShare = 0;
    for (auto &[id, load] : m_loads) {
        if (!isUsable(load, now) || load.inFlight >= load.limit.value()) {
            continue;
        }
        const double share = busyShare(load, now);
        if (!best || share < bestShare) {
            best = &load;
            bestShare = share;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    accumulateBusy(*best, now);
    ++best->inFlight;
    return SlotUse{best->view.id, best->view.endpoint, best->inFlight};
}

void UpstreamSelector::release(const SlotUse &slot, Milliseconds sentAt, SlotResult result,
                               Milliseconds now)
{
    const auto found = m_loads.find(slot.upstream);
    if (found == m_loads.end() || found->second.inFlight == 0) {
        return;
    }
    Load &load = found->second;
    accumulateBusy(load, now);
    --load.inFlight;
    // The slot was idle while the request and the answer were on their way.
    const double idle = std::min(load.roundTrip, static_cast<double>((now - sentAt).value));
    load.busy = std::max(0.0, load.busy - idle / BusyWindowMs);
    learn(load, slot, now - sentAt, result, now);
    if (!load.isListed && load.inFlight == 0) {
        m_loads.erase(found);
    }
}

void UpstreamSelector::learn(Load &load, const SlotUse &slot, Milliseconds latency,
                             SlotResult result, Milliseconds now)
{
    const auto update = [latency](double &mean) {
        const auto sample = static_cast<double>(latency.value);
        mean += mean == 0 ? sample : (sample - mean) * LatencyGain;
    };
    switch (result) {
    case SlotResult::Answered:
        update(load.meanLatency);
        update(m_meanLatency);
        load.skipTime = 0_ms;
        load.limit.onAnswer(slot.inFlight, latency, now);
        break;
    case SlotResult::UploadStored:
        load.skipTime = 0_ms;
        load.limit.onCompletion(slot.inFlight, now);
        break;
    case SlotResult::Shed:
        load.skipTime = std::clamp(load.skipTime * 2, FirstSkip, MaxSkip);
        load.skipUntil = now + load.skipTime;
        load.limit.onShed(slot.inFlight, now);
        break;
    case SlotResult::TimedOut:
        load.limit.onTimeout(now);
        break;
    case SlotResult::Neutral:
        break;
    }
}

std::optional<UpstreamId> UpstreamSelector::takeFeed(Milliseconds now)
{
    Load *best = nullptr;
    double bestShare = 0;
    for (auto &[id, load] : m_loads) {
        if (!isUsable(load, now)) {
            continue;
        }
        const double connections = load.connections + load.newFeeds + load.earlierFeeds;
        const double share = (connections + 1) / load.limit.proven();
        if (!best || share < bestShare) {
            best = &load;
            bestShare = share;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    ++best->newFeeds;
    return best->view.id;
}

std::uint32_t UpstreamSelector::freeSlots(Milliseconds now) const
{
    std::uint32_t slots = 0;
    for (const auto &[id, load] : m_loads) {
        if (isUsable(load, now) && load.inFlight < load.limit.value()) {
            slots += load.limit.value() - load.inFlight;
        }
    }
    return slots;
}

std::uint32_t UpstreamSelector::slotsInUse() const
{
    std::uint32_t slots = 0;
    for (const auto &[id, load] : m_loads) {
        slots += load.inFlight;
    }
    return slots;
}

bool UpstreamSelector::hasUsable(Milliseconds now) const
{
    return std::any_of(m_loads.begin(), m_loads.end(),
                       [now](const auto &item) { return isUsable(item.second, now); });
}

double UpstreamSelector::capacity(Milliseconds now) const
{
    double rate = 0;
    for (const auto &[id, load] : m_loads) {
        const double latency = load.meanLatency > 0 ? load.meanLatency : m_meanLatency;
        if (isUsable(load, now) && latency > 0) {
            rate += load.limit.value() / latency;
        }
    }
    return rate;
}

Milliseconds UpstreamSelector::slowestLatency() const
{
    double slowest = 0;
    for (const auto &[id, load] : m_loads) {
        slowest = std::max(slowest, load.meanLatency);
    }
    return {std::llround(slowest)};
}

Milliseconds UpstreamSelector::meanLatency() const
{
    return {std::llround(m_meanLatency)};
}

void UpstreamSelector::probe(Milliseconds now, const RandomSource &random,
                             std::vector<SlotUse> &targets, std::vector<Probe> &probes)
{
    for (auto &[id, load] : m_loads) {
        const bool isFirst = load.probeNonce == 0;
        if (!load.isListed || (!isFirst && now - load.probedAt < ProbeInterval)) {
            continue;
        }
        load.probeNonce = random() | 1;
        load.probedAt = now;
        ++load.unansweredProbes;
        targets.push_back({id, load.view.endpoint, 0});
        probes.push_back({load.probeNonce});
    }
}

bool UpstreamSelector::handleProbeReply(const ProbeReply &reply, Endpoint from, Milliseconds now)
{
    const auto found = m_loads.find(reply.upstream);
    if (found == m_loads.end() || found->second.view.endpoint != from ||
        found->second.probeNonce != reply.nonce) {
        return false;
    }
    Load &load = found->second;
    const auto sample = static_cast<double>((now - load.probedAt).value);
    load.roundTrip += load.isHeard ? (sample - load.roundTrip) * RoundTripGain : sample;
    load.connections = reply.connections;
    load.earlierFeeds = load.newFeeds;
    load.newFeeds = 0;
    noteHeard(reply.upstream);
    return true;
}

void UpstreamSelector::noteHeard(UpstreamId id)
{
    const auto found = m_loads.find(id);
    if (found != m_loads.end()) {
        found->second.isHeard = true;
        found->second.unansweredProbes = 0;
    }
}

void UpstreamSelector::appendStatus(Milliseconds now, std::vector<UpstreamStatus> &out) const
{
    for (const auto &[id, load] : m_loads) {
        UpstreamStatus status;
        status.id = id;
        status.service = load.view.service;
        status.limit = load.limit.value();
        status.inFlight = load.inFlight;
        status.busyShare = busyShare(load, now);
        status.inUse = isUsable(load, now);
        status.reason = reasonOf(load, now);
        out.push_back(status);
    }
}

bool UpstreamSelector::isUsable(const Load &load, Milliseconds now)
{
    const bool answers = load.isHeard && load.unansweredProbes <= MaxUnansweredProbes;
    return load.isListed && !load.isLeaving && answers && now >= load.skipUntil;
}

double UpstreamSelector::busyShare(const Load &load, Milliseconds now)
{
    const double kept = std::exp(-static_cast<double>((now - load.busyAt).value) / BusyWindowMs);
    const double busy = load.busy * kept + load.inFlight * (1 - kept);
    return busy / load.limit.proven();
}

void UpstreamSelector::accumulateBusy(Load &load, Milliseconds now)
{
    const double kept = std::exp(-static_cast<double>((now - load.busyAt).value) / BusyWindowMs);
    load.busy = load.busy * kept + load.inFlight * (1 - kept);
    load.busyAt = now;
}

const char *UpstreamSelector::reasonOf(const Load &load, Milliseconds now)
{
    if (!load.isListed) {
        return "gone from the list";
    }
    if (load.isLeaving) {
        return "leaving";
    }
    if (!load.isHeard) {
        return "has not answered yet";
    }
    if (load.unansweredProbes > MaxUnansweredProbes) {
        return "does not answer";
    }
    return now < load.skipUntil ? "sheds load" : "in use";
}

} // namespace damaskhall
