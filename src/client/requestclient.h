#pragma once

#include "core/control/replytimer.h"
#include "core/messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace damaskhall {

enum class RequestPhase : std::uint8_t {
    Reserving,
    Executing,
    Answered,
    /// The request did not run.
    Refused,
    /// The request may or may not have run.
    Unknown,
};

/// Client state machine of one request: repeats Reserve until it receives a permit, then Execute
/// under that permit until answered. Uses another permit only after the owner of the first one has
/// refused the Execute, so that the request cannot run at two owners.
/// Takes events and returns frames; performs no I/O. Thread safety: none. @c now must not decrease.
class RequestClient
{
public:
    /// @p reservation holds the ids, and in @c remaining the time until the deadline; @p body is
    /// sent with Execute.
    RequestClient(const Reserve &reservation, std::string body, Milliseconds now);

    /// Appends the frames that are due.
    void tick(Milliseconds now, std::vector<Frame> &out);
    /// Handles a frame from a balancer; frames of other requests are ignored.
    void handle(const Frame &frame, Milliseconds now, std::vector<Frame> &out);

    RequestPhase phase() const { return m_phase; }
    bool isFinished() const { return m_phase > RequestPhase::Executing; }
    /// Permit in use; empty while phase() is Reserving.
    const SealedToken &permit() const { return m_permit; }
    /// Complete answer; empty unless phase() is Answered.
    std::string answer() const;
    /// Reason of the last refusal; set if phase() is Refused.
    std::optional<RefusalReason> refusal() const { return m_refusal; }
    /// Number of local port changes requested so far. When it increases, the adapter must send from
    /// a new port; the old one may still receive.
    unsigned portChanges() const { return m_portChanges; }
    Milliseconds startedAt() const { return m_startedAt; }

private:
    void handlePermit(const Permit &frame, Milliseconds now, std::vector<Frame> &out);
    void handleAnswer(const Answer &frame, std::vector<Frame> &out);
    void handleRefusal(const Refusal &frame, Milliseconds now);

    Reserve m_reservation;
    std::string m_body;
    Milliseconds m_startedAt;
    Milliseconds m_deadline;
    Milliseconds m_nextSendAt;
    RequestPhase m_phase = RequestPhase::Reserving;
    SealedToken m_permit;
    std::vector<std::optional<std::string>> m_fragments;
    std::optional<RefusalReason> m_refusal;
    ReplyTimer m_replyTimer;
    unsigned m_portChanges = 0;
};

} // namespace damaskhall
