#pragma once

#include "core/flow/flowdecision.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace damaskhall {

/// Packet that waits for the link, with the decision to forward it. Thread safety: a plain value.
struct ScheduledPacket
{
    FlowPacket packet;
    FlowDecision decision;
    std::string datagram;
};

/// Counters of a LinkScheduler since its start. Thread safety: a plain value.
struct LinkSchedulerCounters
{
    std::uint64_t queued = 0;
    /// Retransmissions whose earlier copy still waited.
    std::uint64_t superseded = 0;
    /// Packets that were dropped because the queues were full or because they waited too long.
    std::uint64_t dropped = 0;
    /// Memory of the waiting packets.
    std::size_t waitingBytes = 0;
    /// Longest wait of a packet that was sent.
    Milliseconds longestWait;
};

/// Shares this instance's link among flows while more is to be sent than it carries. Answers the
/// load pattern in which a few uploads fill the link of a small instance and short requests wait
/// behind them until their clients give up.
///
/// Packets pass unchanged while the link has room. Otherwise they wait per flow and are sent by
/// weighted fair queueing with equal weights: a flow that sends less than its share goes before
/// those that have used theirs up, and no flow starves. Clients keep a
/// bounded number of packets in flight, so delayed bulk packets also relieve the receiving side of
/// the link. Deterministic. Thread safety: none.
class LinkScheduler
{
public:
    /// @p bytesPerMillisecond: rate of the link; above zero.
    explicit LinkScheduler(double bytesPerMillisecond);

    /// Returns true if a packet with a datagram of @p bytes may be sent now, and counts it as sent.
    /// Otherwise it must be passed to enqueue().
    bool trySend(std::size_t bytes, Milliseconds now);
    /// Adds a packet to the queue of its flow. A retransmission replaces its earlier copy.
    void enqueue(ScheduledPacket packet, Milliseconds now);
    /// Returns the next packet that may be sent now and counts it as sent, or nothing.
    std::optional<ScheduledPacket> dequeue(Milliseconds now);

    /// True if no packet waits.
    bool isEmpty() const { return m_heads.empty(); }
    /// Time in which the link carries the packets that wait now.
    Milliseconds backlog() const;
    const LinkSchedulerCounters &counters() const { return m_counters; }

private:
    /// Bytes that each flow would have sent if those with packets had shared the link equally.
    using VirtualTime = double;

    struct Waiting
    {
        ScheduledPacket packet;
        /// Packets are sent in ascending order of this value.
        VirtualTime order = 0;
        Milliseconds since;
    };

    struct FlowQueue
    {
        std::deque<Waiting> packets;
        /// When the flow has used its share for the packets that it has sent.
        VirtualTime finish = 0;
        /// Start of the time in which it uses its share without a pause.
        VirtualTime activeSince = 0;
    };

    /// First packet of a flow: its order, a number that keeps equal ones in sequence, the flow.
    using Head = std::tuple<VirtualTime, std::uint64_t, FlowKey>;

    void refill(Milliseconds now);
    static bool replaceCopy(FlowQueue &queue, ScheduledPacket &packet, Milliseconds now);
    void dropExcess();
    /// Removes the flow's first packet and returns it.
    Waiting takeFirst(FlowQueue &queue);
    void addHead(const FlowKey &key, const FlowQueue &queue);
    /// Forgets flows that have no packet and no debt.
    void forgetIdleFlows();

    double m_rate;
    double m_maxTokens;
    std::size_t m_maxWaitingBytes;
    double m_tokens;
    std::optional<Milliseconds> m_refilledAt;
    std::unordered_map<FlowKey, FlowQueue> m_flows;
    std::set<Head> m_heads;
    /// Flows without packets, by their finish.
    std::set<std::pair<VirtualTime, FlowKey>> m_idle;
    VirtualTime m_virtualTime = 0;
    std::uint64_t m_sequence = 0;
    /// Bytes on the link of the waiting packets.
    std::size_t m_backlogBytes = 0;
    LinkSchedulerCounters m_counters;
};

} // namespace damaskhall
