#pragma once

#include "core/flow/upstreamstatstable.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace damaskhall {

enum class FlowPhase : std::uint8_t {
    /// Only opening packets have been seen.
    Opening,
    Open,
    /// The client has closed the flow.
    Closing,
};

/// A flow that this balancer forwards. Losing this record only loses load information, as the
/// cookie in the client's packets identifies the upstream.
struct Flow
{
    UpstreamKey upstream;
    UpstreamStatsId statsId;
    FlowPhase phase = FlowPhase::Opening;
    bool isBusy = false;
    /// The client may safely repeat its requests.
    bool isIdempotent = false;
    /// The pending opening packet or request is included in the load of the upstream.
    bool isCountedAsLoad = true;
    /// The route was declared when a packet of the flow arrived.
    bool wasRouteDeclared = false;
    Milliseconds firstSeen;
    Milliseconds lastSeen;
    /// When an opening packet was last forwarded.
    Milliseconds lastOpeningAt;
    /// When the last request was sent; while the flow is opening: when the first opening packet was
    /// sent.
    Milliseconds requestAt;
    /// Sequence number of the client's first packet that arrived here: of the opening packet, if
    /// wasOpeningSeen is set.
    std::uint32_t firstSequence = 0;
    bool wasOpeningSeen = false;
    /// Sequence number after the last byte that the client has sent.
    std::uint32_t nextClientSequence = 0;
    /// Last acknowledgment number from the client.
    std::uint32_t acknowledged = 0;
};

/// Flows of one traffic thread. Keeps the flow counts in the upstream statistics up to date. Thread
/// safety: none.
class FlowTable
{
public:
    /// Timeouts of flows.
    struct Times
    {
        Milliseconds idle = 60_s;
        /// Unanswered opening packets; clients give up before this.
        Milliseconds opening = 2_s;
        /// Closed flows, whose last acknowledgments may still arrive.
        Milliseconds closing = 3_s;
        /// Opening packets and requests without a visible answer stop counting as load after this
        /// time, as the remaining packets of the flow may pass through another balancer.
        Milliseconds inFlight = 400_ms;
    };

    /// Precondition: @p upstreamStats outlives this object.
    explicit FlowTable(UpstreamStatsTable &upstreamStats);
    ~FlowTable();
    FlowTable(const FlowTable &) = delete;
    FlowTable &operator=(const FlowTable &) = delete;

    /// Returns the flow, or null. The pointer is valid until the next call to insert(), erase() or
    /// tick().
    Flow *find(const FlowKey &key);
    /// Adds a flow. Precondition: no flow has that key.
    Flow &insert(const FlowKey &key, const UpstreamEntry &upstream, FlowPhase phase,
                 Milliseconds now);
    void erase(const FlowKey &key);

    void setPhase(Flow &flow, FlowPhase phase);
    void setBusy(Flow &flow, bool isBusy);
    /// Reassigns a flow to another upstream.
    void move(Flow &flow, const UpstreamEntry &upstream);

    /// Calls @p visit for each flow. It must not add or remove flows.
    void forEach(const std::function<void(const FlowKey &, const Flow &)> &visit) const;
    /// Removes flows whose timeout has expired, and excludes old unanswered requests from the load.
    void tick(const Times &times, Milliseconds now);

    std::size_t size() const;

private:
    void expireLoad(Flow &flow, const Times &times, Milliseconds now);

    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace damaskhall
