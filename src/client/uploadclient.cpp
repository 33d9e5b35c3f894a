#include "client/uploadclient.h"

#include "client/retrypolicy.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <variant>

namespace damaskhall {

namespace {

constexpr std::uint64_t UploadWindowBytes = 8 * MaxUploadChunkBytes;
/// Time without progress after which all bytes beyond the acknowledged offset are retransmitted.
constexpr Milliseconds ChunkRetransmitTimeout = 100_ms;
/// Time without an UploadAck after which the upstream is replaced. It exceeds twice
/// RequestPortChangeTimeout, so that an unresponsive path alone does not restart an upload.
constexpr Milliseconds UploadUpstreamTimeout = 5_s;

/// Derives a new request id from @p id with the finalizer of SplitMix64; another upload is unlikely
/// to have the same one.
RequestId nextRequestId(RequestId id)
{
    std::uint64_t bits = id.value + 0x9e3779b97f4a7c15;
    bits = (bits ^ bits >> 30) * 0xbf58476d1ce4e5b9;
    bits = (bits ^ bits >> 27) * 0x94d049bb133111eb;
    return RequestId{bits ^ bits >> 31};
}

} // namespace

UploadClient::UploadClient(const Reserve &reservation, std::string body, Milliseconds now)
    : m_reservation(reservation)
    , m_body(std::move(body))
    , m_startedAt(now)
    , m_deadline(now + reservation.remaining)
    , m_nextSendAt(now)
    , m_lastUpstreamFrameAt(now)
{
    assert(!m_body.empty());
}

void UploadClient::tick(Milliseconds now, std::vector<Frame> &out)
{
    if (isFinished()) {
        return;
    }
    if (now >= m_deadline) {
        m_phase = UploadPhase::Failed;
        m_refusal = RefusalReason::DeadlinePassed;
        out.emplace_back(Cancel{m_reservation.request, m_reservation.service, {}});
        return;
    }
    changePortOnTimeout(now);
    if (m_phase == UploadPhase::Uploading && now - m_lastUpstreamFrameAt >= UploadUpstreamTimeout) {
        restart(now, out);
    }
    if (now < m_nextSendAt) {
        return;
    }
    if (m_phase == UploadPhase::Reserving) {
        sendReserve(now, out);
    } else {
        m_nextOffset = m_acknowledged;
        sendWindow(now, out);
    }
}

void UploadClient::handle(const Frame &frame, Milliseconds now, std::vector<Frame> &out)
{
    if (const auto *reply = std::get_if<OpenReply>(&frame)) {
        handleOpenReply(*reply, now, out);
    } else if (const auto *ack = std::get_if<UploadAck>(&frame)) {
        handleAck(*ack, now, out);
    } else if (const auto *refusal = std::get_if<Refusal>(&frame)) {
        handleRefusal(*refusal, now, out);
    }
}

void UploadClient::handleOpenReply(const OpenReply &frame, Milliseconds now,
                                   std::vector<Frame> &out)
{
    if (m_phase != UploadPhase::Reserving || frame.subject != m_reservation.request.value) {
        return;
    }
    m_token = frame.token;
    m_phase = UploadPhase::Uploading;
    m_lastUpstreamFrameAt = now;
    m_replyTimer.recordReceive();
    m_consecutiveRefusals = 0;
    sendWindow(now, out);
}

void UploadClient::handleAck(const UploadAck &frame, Milliseconds now, std::vector<Frame> &out)
{
    if (m_phase != UploadPhase::Uploading || frame.token != m_token) {
        return;
    }
    m_lastUpstreamFrameAt = now;
    m_replyTimer.recordReceive();
    m_consecutiveRefusals = 0;
    if (frame.stored) {
        m_phase = UploadPhase::Stored;
        return;
    }
    if (frame.acknowledged > m_acknowledged && frame.acknowledged <= m_body.size()) {
        m_acknowledged = frame.acknowledged;
        m_nextOffset = std::max(m_nextOffset, m_acknowledged);
        sendWindow(now, out);
    }
}

void UploadClient::handleRefusal(const Refusal &frame, Milliseconds now, std::vector<Frame> &out)
{
    if (isFinished() || frame.subject != m_reservation.request.value) {
        return;
    }
    if (m_phase == UploadPhase::Uploading) {
        // Refusals for other reasons answer an earlier Reserve and do not concern the chunks.
        if (frame.reason == RefusalReason::NoUpstream &&
            ++m_consecutiveRefusals >= ConsecutiveRefusalLimit) {
            restart(now, out);
        }
        return;
    }
    m_refusal = frame.reason;
    m_replyTimer.recordReceive();
    if (!isRetryable(frame.reason)) {
        m_phase = UploadPhase::Failed;
        return;
    }
    m_nextSendAt = now + frame.retryAfter;
}

void UploadClient::restart(Milliseconds now, std::vector<Frame> &out)
{
    // Both release the slot that is held for the upload, in case the upstream is still alive.
    out.emplace_back(Close{m_token});
    out.emplace_back(Cancel{m_reservation.request, m_reservation.service, {}});
    // Under the old id, the dispatcher would return the token of the old upstream again.
    m_reservation.request = nextRequestId(m_reservation.request);
    m_phase = UploadPhase::Reserving;
    m_token.clear();
    m_acknowledged = 0;
    m_nextOffset = 0;
    m_consecutiveRefusals = 0;
    m_replyTimer.recordReceive();
    m_nextSendAt = now;
    ++m_restarts;
}

void UploadClient::changePortOnTimeout(Milliseconds now)
{
    if (m_replyTimer.unansweredTime(now) >= RequestPortChangeTimeout) {
        ++m_portChanges;
        m_replyTimer.recordReceive();
        m_nextSendAt = now;
    }
}

void UploadClient::sendReserve(Milliseconds now, std::vector<Frame> &out)
{
    Reserve reserve = m_reservation;
    reserve.remaining = m_deadline - now;
    reserve.waited = now - m_startedAt;
    out.emplace_back(reserve);
    m_replyTimer.recordSend(now);
    m_nextSendAt = now + RetransmitInterval;
}

void UploadClient::sendWindow(Milliseconds now, std::vector<Frame> &out)
{
    const std::uint64_t end =
            std::min<std::uint64_t>(m_body.size(), m_acknowledged + UploadWindowBytes);
    while (m_nextOffset < end) {
        const std::uint64_t size =
                std::min<std::uint64_t>(MaxUploadChunkBytes, m_body.size() - m_nextOffset);
        out.emplace_back(UploadChunk{m_token, m_nextOffset, m_body.size(),
                                     m_body.substr(m_nextOffset, size)});
        m_nextOffset += size;
        m_replyTimer.recordSend(now);
    }
    m_nextSendAt = now + ChunkRetransmitTimeout;
}

} // namespace damaskhall
