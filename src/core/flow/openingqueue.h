#pragma once

#include "core/flow/flowpacket.h"

#include "base/milliseconds.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace damaskhall {

/// Opening packet that waits for room at an upstream.
struct WaitingOpening
{
    FlowPacket packet;
    ServiceId service;
    Milliseconds since;
    /// When the client's first opening packet was sent, as far as its copies tell.
    Milliseconds askedAt;
    /// Until then an answer is in time.
    Milliseconds dueAt;
};

/// Openings that wait while all upstreams of their service are full. Answers the load pattern
/// "return after an outage": most of what arrives at once is late already, and serving it in the
/// order of arrival makes everything late.
///
/// What can still be answered in time goes first, the earliest due first; then the rest, the
/// youngest first, since old clients are about to give up. Deterministic. Thread safety: none.
class OpeningQueue
{
public:
    /// Adds an opening; a copy takes the place of its predecessor and keeps its age.
    void push(const WaitingOpening &opening);
    /// Takes the opening of @p service that goes next, or nothing. @p answerTime: usual time from
    /// a request to its answer.
    std::optional<WaitingOpening> pop(ServiceId service, Milliseconds answerTime, Milliseconds now);
    /// Takes those whose wait has reached @p limit.
    std::vector<WaitingOpening> takeExpired(Milliseconds limit, Milliseconds now);
    /// Returns the services that openings wait for, each once.
    std::vector<ServiceId> services() const;
    /// Removes the opening of a flow.
    void remove(const FlowKey &key);

    std::size_t size() const { return m_waiting.size(); }
    bool isEmpty() const { return m_waiting.empty(); }

private:
    std::unordered_map<FlowKey, WaitingOpening> m_waiting;
};

} // namespace damaskhall
