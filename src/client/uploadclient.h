#pragma once

#include "core/control/replytimer.h"
#include "core/messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace damaskhall {

enum class UploadPhase : std::uint8_t {
    Reserving,
    Uploading,
    Stored,
    /// Refused for good, or not stored by its deadline.
    Failed,
};

/// Largest part of an upload in one UploadChunk; with token and header the datagram stays within
/// 1,200 bytes.
inline constexpr std::size_t UploadChunkBytes = 1'050;

/// Caller's side of one upload: Reserve until a token arrives, then chunks within a small window
/// until the upstream has stored the whole body. An upstream that is gone or silent is replaced by
/// a new Reserve under a new request id, and the upload starts again there.
/// Events in, frames out; no I/O. Thread safety: none. @c now must not decrease.
class UploadClient
{
public:
    /// @p reservation gives ids and the deadline in @c remaining. Precondition: @p body is not
    /// empty.
    UploadClient(const Reserve &reservation, std::string body, Milliseconds now);

    /// Appends the frames that are due.
    void tick(Milliseconds now, std::vector<Frame> &out);
    /// Handles a frame from a balancer; frames of other uploads are ignored.
    void handle(const Frame &frame, Milliseconds now, std::vector<Frame> &out);

    UploadPhase phase() const { return m_phase; }
    bool isFinished() const { return m_phase >= UploadPhase::Stored; }
    /// Bytes that the current upstream has acknowledged.
    std::uint64_t acknowledged() const { return m_acknowledged; }
    /// Reason of the last refusal.
    std::optional<RefusalReason> refusal() const { return m_refusal; }
    /// Number of upstreams that were given up.
    unsigned restarts() const { return m_restarts; }
    /// Number of times that a new local port was asked for. When it rises, the adapter sends from a
    /// new port; the old one may still receive.
    unsigned portChanges() const { return m_portChanges; }
    Milliseconds startedAt() const { return m_startedAt; }

private:
    void handleToken(const OpenReply &frame, Milliseconds now, std::vector<Frame> &out);
    void handleAck(const UploadAck &frame, Milliseconds now, std::vector<Frame> &out);
    void handleRefusal(const Refusal &frame, Milliseconds now, std::vector<Frame> &out);
    void restart(Milliseconds now, std::vector<Frame> &out);
    void changePortIfSilent(Milliseconds now);
    void sendReserve(Milliseconds now, std::vector<Frame> &out);
    void sendWindow(Milliseconds now, std::vector<Frame> &out);

    Reserve m_reservation;
    std::string m_body;
    Milliseconds m_startedAt;
    Milliseconds m_deadline;
    UploadPhase m_phase = UploadPhase::Reserving;
    SealedToken m_token;
    std::uint64_t m_acknowledged = 0;
    /// End of the bytes that have been sent since the last repetition.
    std::uint64_t m_sent = 0;
    Milliseconds m_nextSend;
    /// Time of the last frame from the upstream, or of its token.
    Milliseconds m_lastHeard;
    ReplyTimer m_replies;
    std::optional<RefusalReason> m_refusal;
    unsigned m_refusalsInRow = 0;
    unsigned m_restarts = 0;
    unsigned m_portChanges = 0;
};

} // namespace damaskhall
