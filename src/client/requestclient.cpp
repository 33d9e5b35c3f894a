#include "client/requestclient.h"

#include "client/retrypolicy.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace damaskhall {

RequestClient::RequestClient(const Reserve &reservation, std::string body, Milliseconds now)
    : m_reservation(reservation)
    , m_body(std::move(body))
    , m_startedAt(now)
    , m_deadline(now + reservation.remaining)
    , m_nextSendAt(now)
{
}

void RequestClient::tick(Milliseconds now, std::vector<Frame> &out)
{
    if (isFinished()) {
        return;
    }
    if (now >= m_deadline) {
        // Without an Execute the request cannot have run: Reserve runs nothing.
        const bool executeNotSent = m_phase == RequestPhase::Reserving;
        m_phase = executeNotSent ? RequestPhase::Refused : RequestPhase::Unknown;
        m_refusal = RefusalReason::DeadlinePassed;
        out.emplace_back(Cancel{m_reservation.request, m_reservation.service, m_permit});
        return;
    }
    if (m_replyTimer.unansweredTime(now) >= RequestPortChangeTimeout) {
        ++m_portChanges;
        m_replyTimer.recordReceive();
        m_nextSendAt = now;
    }
    if (now < m_nextSendAt) {
        return;
    }
    m_nextSendAt = now + RetransmitInterval;
    m_replyTimer.recordSend(now);
    if (m_phase == RequestPhase::Reserving) {
        Reserve reserve = m_reservation;
        reserve.remaining = m_deadline - now;
        reserve.waited = now - m_startedAt;
        out.emplace_back(reserve);
    } else {
        out.emplace_back(Execute{m_reservation.request, m_permit, m_deadline - now, m_body});
    }
}

void RequestClient::handle(const Frame &frame, Milliseconds now, std::vector<Frame> &out)
{
    if (const auto *permit = std::get_if<Permit>(&frame)) {
        handlePermit(*permit, now, out);
    } else if (const auto *answer = std::get_if<Answer>(&frame)) {
        handleAnswer(*answer, out);
    } else if (const auto *refusal = std::get_if<Refusal>(&frame)) {
        handleRefusal(*refusal, now);
    }
}

void RequestClient::handlePermit(const Permit &frame, Milliseconds now, std::vector<Frame> &out)
{
    if (frame.request != m_reservation.request || frame.permit == m_permit) {
        return;
    }
    if (m_phase != RequestPhase::Reserving) {
        // Releases the capacity that another dispatcher holds for this request.
        out.emplace_back(Cancel{frame.request, m_reservation.service, frame.permit});
        return;
    }
    m_replyTimer.recordReceive();
    m_permit = frame.permit;
    m_phase = RequestPhase::Executing;
    m_nextSendAt = now;
    tick(now, out);
}

void RequestClient::handleAnswer(const Answer &frame, std::vector<Frame> &out)
{
    if (frame.request != m_reservation.request || m_permit.empty()) {
        return;
    }
    if (m_phase == RequestPhase::Answered) {
        out.emplace_back(AnswerAck{frame.request, m_permit});
        return;
    }
    if (m_phase != RequestPhase::Executing) {
        return;
    }
    if (frame.outcome == Outcome::Unknown) {
        m_phase = RequestPhase::Unknown;
        return;
    }
    if (m_fragments.empty()) {
        m_fragments.resize(frame.fragmentCount);
    }
    if (frame.fragment >= m_fragments.size()) {
        return;
    }
    m_fragments[frame.fragment] = frame.body;
    const bool isComplete = std::all_of(m_fragments.begin(), m_fragments.end(),
                                        [](const auto &fragment) { return fragment.has_value(); });
    if (isComplete) {
        m_phase = RequestPhase::Answered;
        out.emplace_back(AnswerAck{frame.request, m_permit});
    }
}

void RequestClient::handleRefusal(const Refusal &frame, Milliseconds now)
{
    if (frame.subject != m_reservation.request.value || isFinished()) {
        return;
    }
    // After an Execute, only its owner's refusal, which names the permit, proves that the request
    // did not run.
    if (frame.permit != m_permit) {
        return;
    }
    m_replyTimer.recordReceive();
    m_refusal = frame.reason;
    if (!isRetryable(frame.reason)) {
        m_phase = RequestPhase::Refused;
        return;
    }
    m_phase = RequestPhase::Reserving;
    m_permit.clear();
    m_nextSendAt = now + frame.retryAfter;
}

std::string RequestClient::answer() const
{
    std::string body;
    if (m_phase != RequestPhase::Answered) {
        return body;
    }
    for (const auto &fragment : m_fragments) {
        body += *fragment;
    }
    return body;
}

} // namespace damaskhall
