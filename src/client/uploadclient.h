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
    /// Refused permanently, or not stored by the deadline.
    Failed,
};

/// Maximum payload of an UploadChunk; with token and header the datagram stays within 1,200 bytes.
inline constexpr std::size_t MaxUploadChunkBytes = 1'050;

/// Client state machine of one upload: repeats Reserve until it receives a token, then sends chunks
/// within a small window until the upstream has stored the whole body. If the upstream is gone or
/// stops responding, the upload is reserved under a new request id and restarts from the first
/// byte.
/// Takes events and returns frames; performs no I/O. Thread safety: none. @c now must not decrease.
class UploadClient
{
public:
    /// @p reservation holds the ids, and in @c remaining the time until the deadline.
    /// Precondition: @p body is not empty.
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
    /// Number of upstreams that were abandoned; each restarts the upload.
    unsigned restarts() const { return m_restarts; }
    /// Number of local port changes requested so far. When it increases, the adapter must send from
    /// a new port; the old one may still receive.
    unsigned portChanges() const { return m_portChanges; }
    Milliseconds startedAt() const { return m_startedAt; }

private:
    void handleOpenReply(const OpenReply &frame, Milliseconds now, std::vector<Frame> &out);
    void handleAck(const UploadAck &frame, Milliseconds now, std::vector<Frame> &out);
    void handleRefusal(const Refusal &frame, Milliseconds now, std::vector<Frame> &out);
    void restart(Milliseconds now, std::vector<Frame> &out);
    void changePortOnTimeout(Milliseconds now);
    void sendReserve(Milliseconds now, std::vector<Frame> &out);
    void sendWindow(Milliseconds now, std::vector<Frame> &out);

    Reserve m_reservation;
    std::string m_body;
    Milliseconds m_startedAt;
    Milliseconds m_deadline;
    UploadPhase m_phase = UploadPhase::Reserving;
    SealedToken m_token;
    std::uint64_t m_acknowledged = 0;
    /// Offset of the next byte to send; a retransmission sets it back to the acknowledged offset.
    std::uint64_t m_nextOffset = 0;
    Milliseconds m_nextSendAt;
    /// Time of the last UploadAck from the upstream, or of the token's arrival.
    Milliseconds m_lastUpstreamFrameAt;
    ReplyTimer m_replyTimer;
    std::optional<RefusalReason> m_refusal;
    unsigned m_consecutiveRefusals = 0;
    unsigned m_restarts = 0;
    unsigned m_portChanges = 0;
};

} // namespace damaskhall
