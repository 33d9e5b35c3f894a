#pragma once

#include "core/flow/upstreamledger.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace damaskhall {

enum class FlowPhase : std::uint8_t {
    /// Only opening packets were seen.
    Opening,
    Open,
    /// The client closed it.
    Closing,
};

/// A flow that this balancer forwards. Losing it costs no more than load knowledge: the cookie in
/// the client's packets names the upstream.
struct Flow
{
    UpstreamKey upstream;
    AccountId account;
    FlowPhase phase = FlowPhase::Opening;
    bool isBusy = false;
    /// The client repeats a request after any failure.
    bool isIdempotent = false;
    /// The opening or request under way counts as load of the upstream.
    bool isCounted = true;
    Milliseconds lastSeen;
    /// Last time that an opening packet was forwarded.
    Milliseconds lastOpeningAt;
    /// When the last request was sent; while opening: the first opening packet.
    Milliseconds requestAt;
    /// Sequence number after the last byte of the client.
    std::uint32_t sentEnd = 0;
    /// Last acknowledgment of the client.
    std::uint32_t acknowledged = 0;
};

/// Flows of one traffic thread. Keeps the ledger's flow counts true. Thread safety: none.
class FlowTable
{
public:
    /// Times after which a flow is forgotten.
    struct Times
    {
        Milliseconds idle = 60_s;
        /// Unanswered opening packets: clients give up before.
        Milliseconds opening = 2_s;
        /// Last acknowledgments of a closed flow still arrive.
        Milliseconds closing = 3_s;
        /// Openings and requests whose answer nobody has seen for this long do not count as load:
        /// the rest of the flow may take the way through another balancer.
        Milliseconds inFlight = 400_ms;
    };

    /// Precondition: @p ledger outlives this.
    explicit FlowTable(UpstreamLedger &ledger);
    ~FlowTable();
    FlowTable(const FlowTable &) = delete;
    FlowTable &operator=(const FlowTable &) = delete;

    /// Returns the flow, or null. The pointer lives until the next insert, erase or tick.
    Flow *find(const FlowKey &key);
    /// Adds a flow. Precondition: there is none with that key.
    Flow &insert(const FlowKey &key, const UpstreamEntry &upstream, FlowPhase phase,
                 Milliseconds now);
    void erase(const FlowKey &key);

    void setPhase(Flow &flow, FlowPhase phase);
    void setBusy(Flow &flow, bool isBusy);
    /// Moves a flow to another upstream.
    void move(Flow &flow, const UpstreamEntry &upstream);

    /// Calls @p visit for each flow. The flows must not be added or removed meanwhile.
    void forEach(const std::function<void(const FlowKey &, const Flow &)> &visit) const;
    /// Forgets flows that ended.
    void tick(const Times &times, Milliseconds now);

    std::size_t size() const;

private:
    void stopCounting(Flow &flow, const Times &times, Milliseconds now);

    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace damaskhall
