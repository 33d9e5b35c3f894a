#pragma once

#include "base/random.h"
#include "core/dispatch/concurrencylimit.h"
#include "core/messages.h"
#include "core/routingview.h"
#include "core/status.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace damaskhall {

/// Result of work that used an upstream slot.
enum class SlotResult : std::uint8_t {
    Answered,
    /// An upload is stored; its duration depends on the caller, not on load.
    UploadStored,
    /// Refused for lack of a slot.
    Shed,
    TimedOut,
    /// The result is independent of load.
    Neutral,
};

/// Upstream slot in use, or the target of a probe.
struct UpstreamSlot
{
    UpstreamId upstream;
    Endpoint endpoint;
    /// Requests and uploads at the upstream, including this one.
    std::uint32_t inFlight = 0;
};

/// Tracks the load, learned limit and health of one shard's upstreams and selects among them.
/// Thread safety: none. @c now must not decrease.
class UpstreamSelector
{
public:
    /// Replaces the candidates. Upstreams that are no longer listed are removed once their work has
    /// ended.
    void setUpstreams(const std::vector<UpstreamView> &upstreams);
    /// Stops sending new work to the upstream, even if later lists still contain it.
    void markLeaving(UpstreamId id);

    /// Acquires a slot of the usable upstream with the lowest busy share, or returns nothing if no
    /// slot is free.
    std::optional<UpstreamSlot> tryAcquire(Milliseconds now);
    /// Releases a slot. Must be called once for each acquired slot. @p sentAt is the time at which
    /// it was acquired.
    void release(const UpstreamSlot &slot, Milliseconds sentAt, SlotResult result,
                 Milliseconds now);

    /// Returns the usable upstream with the fewest connections relative to its learned limit and
    /// counts a connection for it, or returns nothing if none is usable.
    std::optional<UpstreamId> acquireFeed(Milliseconds now);

    std::uint32_t freeSlots(Milliseconds now) const;
    std::uint32_t slotsInUse() const;
    bool hasUsableUpstream(Milliseconds now) const;
    /// Completions per millisecond of the usable upstreams at full use, from their learned limits
    /// and latency; zero if not known yet.
    double capacity(Milliseconds now) const;
    /// Mean time from sending to answer; zero if not known yet.
    Milliseconds meanLatency() const;
    /// Highest mean latency of a single upstream; zero if not known yet.
    Milliseconds maxUpstreamLatency() const;

    /// Appends the probes that are due, with random nonces.
    void appendDueProbes(Milliseconds now, const RandomSource &random,
                         std::vector<UpstreamSlot> &targets, std::vector<Probe> &probes);
    /// Returns false if the reply answers no probe of this selector.
    bool handleProbeReply(const ProbeReply &reply, Endpoint from, Milliseconds now);
    /// Records that the upstream sent a reply of any kind, which marks it as responsive.
    void recordResponse(UpstreamId id);

    void appendStatus(Milliseconds now, std::vector<UpstreamStatus> &out) const;

private:
    struct Candidate
    {
        UpstreamView view;
        ConcurrencyLimit limit;
        bool isListed = true;
        bool isLeaving = false;
        std::uint32_t inFlight = 0;
        /// Slots in use, as an exponentially decaying average up to averageUpdatedAt.
        double averageSlotsInUse = 0;
        Milliseconds averageUpdatedAt;
        double meanLatency = 0;
        Milliseconds shedBackOffUntil;
        Milliseconds shedBackOff;
        bool hasResponded = false;
        std::uint32_t unansweredProbes = 0;
        std::uint64_t probeNonce = 0;
        Milliseconds probedAt;
        /// Smoothed round trip of probes: the part of the latency in which no slot is in use.
        double roundTrip = 0;
        std::uint32_t connections = 0;
        /// Feeds assigned since the last probe reply, and in the interval before that reply.
        std::uint32_t feedsSinceProbeReply = 0;
        std::uint32_t feedsBeforeProbeReply = 0;
    };

    static bool isUsable(const Candidate &candidate, Milliseconds now);
    static double busyShare(const Candidate &candidate, Milliseconds now);
    static void updateAverageSlotsInUse(Candidate &candidate, Milliseconds now);
    static const char *usageReason(const Candidate &candidate, Milliseconds now);
    void applyResult(Candidate &candidate, const UpstreamSlot &slot, Milliseconds latency,
                     SlotResult result, Milliseconds now);

    std::map<UpstreamId, Candidate> m_upstreams;
    double m_meanLatency = 0;
};

} // namespace damaskhall
