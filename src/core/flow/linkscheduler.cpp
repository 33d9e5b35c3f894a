#include "core/flow/linkscheduler.h"

#include <algorithm>

namespace damaskhall {

namespace {

/// Share of the link's rate that is used. The receiving side has the same rate and also carries the
/// packets that clients send again: at 0.93 it was full and lost packets of short requests.
constexpr double UsedShare = 0.7;
/// Bursts up to this time of the full rate pass unchanged. It is the period in which instances get
/// their share of a processor, and half of the time after which clients retransmit.
constexpr Milliseconds BurstTime = 100_ms;
/// At least two full packets pass at once on the slowest link.
constexpr double MinBurstBytes = 3000;
/// Fastest link that is distinguished from one without limit: 1 Tbit/s.
constexpr double MaxBytesPerMillisecond = 125'000'000;
/// UDP and IP headers, and the upstream's id before the packet.
constexpr std::size_t HeaderBytes = 36;
/// Clients retransmit after 200 ms and 400 ms more, so a packet without a later copy by then
/// belongs to a flow that has ended.
constexpr Milliseconds MaxWait = 500_ms;
/// Memory of a waiting packet and of its flow, in addition to its datagram.
constexpr std::size_t EntryBytes = 512;
/// Upper bound of the memory of all waiting packets, for small instances on fast links.
constexpr std::size_t MaxWaitingBytes = 4 << 20;
constexpr std::size_t MinWaitingBytes = 128 << 10;
/// A flow that has used less than its share sends this much before those that have used theirs: an
/// opening packet, an acknowledgment and a request of one packet. The same number is taken off the
/// order of these packets, which is enough to go before any full packet.
constexpr double ShortFlowBytes = 1500;
/// Clients keep at most 16 packets of a flow in flight.
constexpr std::size_t MaxPacketsPerFlow = 64;

std::size_t sizeOnLink(const ScheduledPacket &packet)
{
    return packet.datagram.size() + HeaderBytes;
}

std::size_t sizeInMemory(const ScheduledPacket &packet)
{
    return packet.datagram.size() + EntryBytes;
}

bool isCopyOf(const FlowPacket &packet, const FlowPacket &earlier)
{
    return packet.sequence == earlier.sequence && packet.length == earlier.length &&
           packet.isOpening == earlier.isOpening && packet.isClosing == earlier.isClosing &&
           packet.isReset == earlier.isReset;
}

} // namespace

LinkScheduler::LinkScheduler(double bytesPerMillisecond)
    : m_rate(std::min(bytesPerMillisecond, MaxBytesPerMillisecond) * UsedShare)
    , m_maxTokens(std::max(m_rate * static_cast<double>(BurstTime.value), MinBurstBytes))
    , m_maxWaitingBytes(
              std::clamp(static_cast<std::size_t>(2 * m_rate * static_cast<double>(MaxWait.value)),
                         MinWaitingBytes, MaxWaitingBytes))
    , m_tokens(m_maxTokens)
{
}

void LinkScheduler::refill(Milliseconds now)
{
    const Milliseconds elapsed = now - m_refilledAt.value_or(now);
    m_refilledAt = now;
    m_tokens = std::min(m_tokens + m_rate * static_cast<double>(elapsed.value), m_maxTokens);
}

bool LinkScheduler::trySend(std::size_t bytes, Milliseconds now)
{
    refill(now);
    if (!isEmpty() || m_tokens <= 0) {
        return false;
    }
    m_tokens -= static_cast<double>(bytes + HeaderBytes);
    return true;
}

void LinkScheduler::enqueue(ScheduledPacket packet, Milliseconds now)
{
    const FlowKey key = packet.packet.key;
    FlowQueue &queue = m_flows[key];
    if (replaceCopy(queue, packet, now)) {
        ++m_counters.superseded;
        return;
    }
    if (queue.packets.size() >= MaxPacketsPerFlow) {
        ++m_counters.dropped;
        return;
    }
    m_idle.erase({queue.finish, key});
    if (queue.finish <= m_virtualTime) {
        queue.finish = m_virtualTime;
        queue.activeSince = m_virtualTime;
    }
    queue.finish += static_cast<double>(sizeOnLink(packet));
    const bool isShort = queue.finish - queue.activeSince <= ShortFlowBytes;
    const VirtualTime order = isShort ? queue.finish - ShortFlowBytes : queue.finish;
    m_counters.waitingBytes += sizeInMemory(packet);
    m_backlogBytes += sizeOnLink(packet);
    ++m_counters.queued;
    queue.packets.push_back({std::move(packet), order, now});
    if (queue.packets.size() == 1) {
        addHead(key, queue);
    }
    dropExcess();
}

// The copy keeps its place, so that no flow gains by retransmitting; its acknowledgment may be
// newer. Packets without data are acknowledgments, which differ.
bool LinkScheduler::replaceCopy(FlowQueue &queue, ScheduledPacket &packet, Milliseconds now)
{
    const FlowPacket &head = packet.packet;
    if (head.length == 0 && !head.isOpening && !head.isClosing) {
        return false;
    }
    for (Waiting &waiting : queue.packets) {
        if (isCopyOf(head, waiting.packet.packet)) {
            waiting.packet.packet = head;
            waiting.packet.decision = packet.decision;
            // Of the same size, as both have the same payload.
            waiting.packet.datagram = std::move(packet.datagram);
            waiting.since = now;
            return true;
        }
    }
    return false;
}

// Drops the newest packets of the flow that is furthest ahead of its share: the client retransmits
// them after those before.
void LinkScheduler::dropExcess()
{
    while (m_counters.waitingBytes > m_maxWaitingBytes) {
        const Head last = *m_heads.rbegin();
        const FlowKey key = std::get<FlowKey>(last);
        FlowQueue &queue = m_flows.at(key);
        const ScheduledPacket &packet = queue.packets.back().packet;
        m_counters.waitingBytes -= sizeInMemory(packet);
        m_backlogBytes -= sizeOnLink(packet);
        queue.finish -= static_cast<double>(sizeOnLink(packet));
        queue.packets.pop_back();
        ++m_counters.dropped;
        if (queue.packets.empty()) {
            m_heads.erase(last);
            m_idle.emplace(queue.finish, key);
        }
    }
}

LinkScheduler::Waiting LinkScheduler::takeFirst(FlowQueue &queue)
{
    Waiting first = std::move(queue.packets.front());
    queue.packets.pop_front();
    m_counters.waitingBytes -= sizeInMemory(first.packet);
    m_backlogBytes -= sizeOnLink(first.packet);
    return first;
}

Milliseconds LinkScheduler::backlog() const
{
    return {static_cast<std::int64_t>(static_cast<double>(m_backlogBytes) / m_rate)};
}

void LinkScheduler::addHead(const FlowKey &key, const FlowQueue &queue)
{
    m_heads.emplace(queue.packets.front().order, m_sequence++, key);
}

void LinkScheduler::forgetIdleFlows()
{
    while (!m_idle.empty() && m_idle.begin()->first <= m_virtualTime) {
        m_flows.erase(m_idle.begin()->second);
        m_idle.erase(m_idle.begin());
    }
}

std::optional<ScheduledPacket> LinkScheduler::dequeue(Milliseconds now)
{
    refill(now);
    while (m_tokens > 0 && !isEmpty()) {
        const FlowKey key = std::get<FlowKey>(*m_heads.begin());
        m_heads.erase(m_heads.begin());
        FlowQueue &queue = m_flows.at(key);
        Waiting next = takeFirst(queue);
        if (queue.packets.empty()) {
            m_idle.emplace(queue.finish, key);
        } else {
            addHead(key, queue);
        }
        const std::size_t bytes = sizeOnLink(next.packet);
        m_virtualTime += static_cast<double>(bytes) / static_cast<double>(m_heads.size() + 1);
        forgetIdleFlows();
        if (now - next.since >= MaxWait) {
            ++m_counters.dropped;
            continue;
        }
        m_counters.longestWait = std::max(m_counters.longestWait, now - next.since);
        m_tokens -= static_cast<double>(bytes);
        return std::move(next.packet);
    }
    if (isEmpty()) {
        m_flows.clear();
        m_idle.clear();
        m_virtualTime = 0;
    }
    return std::nullopt;
}

} // namespace damaskhall
