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

/// How work that held a slot of an upstream ended.
enum class SlotResult : std::uint8_t {
    Answered,
    /// An upload is stored; its duration depends on the caller.
    UploadStored,
    /// Refused for lack of a slot.
    Shed,
    TimedOut,
    /// Ended without saying anything about load.
    Neutral,
};

/// Slot of an upstream that was taken for a piece of work.
struct SlotUse
{
    UpstreamId upstream;
    Endpoint endpoint;
    /// Work at the upstream including this one.
    std::uint32_t inFlight = 0;
};

/// Knows the load, learned limit and health of the upstreams of one shard and chooses among them.
/// Thread safety: none. @c now must not decrease.
class UpstreamSelector
{
public:
    /// Replaces the candidates. Upstreams that are gone are forgotten when their work has ended.
    void setUpstreams(const std::vector<UpstreamView> &upstreams);
    /// Gives the upstream no more work, whatever later lists say.
    void markLeaving(UpstreamId id);

    /// Takes a slot of the usable upstream with the least busy share per learned slot, or returns
    /// nothing if no slot is free.
    std::optional<SlotUse> take(Milliseconds now);
    /// Returns a slot. Must be called once for each slot that was taken; @p sentAt is its time.
    void release(const SlotUse &slot, Milliseconds sentAt, SlotResult result, Milliseconds now);

    /// Returns the upstream with the smallest share of connections for its learned limit, or
    /// nothing if none is usable, and counts a connection for it.
    std::optional<UpstreamId> takeFeed(Milliseconds now);

    std::uint32_t freeSlots(Milliseconds now) const;
    std::uint32_t slotsInUse() const;
    bool hasUsable(Milliseconds now) const;
    /// Work per millisecond that the upstreams complete when busy, by learned limits and latency;
    /// zero if not known yet.
    double capacity(Milliseconds now) const;
    /// Mean time from sending to answer; zero if not known yet.
    Milliseconds meanLatency() const;
    /// Highest mean of a single upstream; zero if not known yet.
    Milliseconds slowestLatency() const;

    /// Appends the probes that are due, with random nonces.
    void probe(Milliseconds now, const RandomSource &random, std::vector<SlotUse> &targets,
               std::vector<Probe> &probes);
    /// Returns false if the reply answers no probe of this selector.
    bool handleProbeReply(const ProbeReply &reply, Endpoint from, Milliseconds now);
    /// Notes that the upstream answered something.
    void noteHeard(UpstreamId id);

    void appendStatus(Milliseconds now, std::vector<UpstreamStatus> &out) const;

private:
    struct Load
    {
        UpstreamView view;
        ConcurrencyLimit limit;
        bool isListed = true;
        bool isLeaving = false;
        std::uint32_t inFlight = 0;
        /// Slots in use, averaged over a decaying window that ends at busyAt.
        double busy = 0;
        Milliseconds busyAt;
        double meanLatency = 0;
        Milliseconds skipUntil;
        Milliseconds skipTime;
        bool isHeard = false;
        std::uint32_t unansweredProbes = 0;
        std::uint64_t probeNonce = 0;
        Milliseconds probedAt;
        /// Round trip of probes; it is part of the latency in which no slot is busy.
        double roundTrip = 0;
        std::uint32_t connections = 0;
        /// Feeds sent there since the last probe reply and in the interval before it.
        std::uint32_t newFeeds = 0;
        std::uint32_t earlierFeeds = 0;
    };

    static bool isUsable(const Load &load, Milliseconds now);
    static double busyShare(const Load &load, Milliseconds now);
    static void accumulateBusy(Load &load, Milliseconds now);
    static const char *reasonOf(const Load &load, Milliseconds now);
    void learn(Load &load, const SlotUse &slot, Milliseconds latency, SlotResult result,
               Milliseconds now);

    std::map<UpstreamId, Load> m_loads;
    double m_meanLatency = 0;
};

} // namespace damaskhall
