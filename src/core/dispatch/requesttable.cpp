#include "core/dispatch/requesttable.h"

#include <cassert>

namespace damaskhall {

RequestTable::RequestTable(std::size_t capacity)
    : m_capacity(capacity)
{
}

RequestRecord *RequestTable::find(RequestId request)
{
    const auto found = m_records.find(request);
    return found == m_records.end() ? nullptr : &found->second;
}

RequestRecord *RequestTable::findAttempt(AttemptId attempt)
{
    const auto found = m_attempts.find(attempt);
    return found == m_attempts.end() ? nullptr : find(found->second);
}

RequestRecord *RequestTable::insert(const Reserve &reservation)
{
    if (m_records.size() >= m_capacity) {
        return nullptr;
    }
    const auto [position, isNew] = m_records.try_emplace(reservation.request);
    assert(isNew);
    RequestRecord &record = position->second;
    record.reservation = reservation;
    ++m_counts[static_cast<std::size_t>(record.phase)];
    return &record;
}

std::vector<RequestRecord *> RequestTable::sentTo(UpstreamId upstream)
{
    std::vector<RequestRecord *> records;
    for (auto &[id, record] : m_records) {
        if (record.phase == RecordPhase::Sent && record.upstream == upstream) {
            records.push_back(&record);
        }
    }
    return records;
}

void RequestTable::erase(RequestId request)
{
    RequestRecord *record = find(request);
    if (!record) {
        return;
    }
    clearAttempt(*record);
    if (record->timerAt) {
        m_timers.erase({*record->timerAt, request});
    }
    --m_counts[static_cast<std::size_t>(record->phase)];
    m_records.erase(request);
}

void RequestTable::setPhase(RequestRecord &record, RecordPhase phase)
{
    --m_counts[static_cast<std::size_t>(record.phase)];
    record.phase = phase;
    ++m_counts[static_cast<std::size_t>(phase)];
}

void RequestTable::setAttempt(RequestRecord &record, AttemptId attempt)
{
    clearAttempt(record);
    record.attempt = attempt;
    m_attempts[attempt] = record.id();
}

void RequestTable::clearAttempt(RequestRecord &record)
{
    const auto found = m_attempts.find(record.attempt);
    if (found != m_attempts.end() && found->second == record.id()) {
        m_attempts.erase(found);
    }
    record.attempt = {};
    record.fragments.clear();
}

void RequestTable::setTimer(RequestRecord &record, Milliseconds time)
{
    if (record.timerAt) {
        m_timers.erase({*record.timerAt, record.id()});
    }
    record.timerAt = time;
    m_timers.emplace(time, record.id());
}

RequestRecord *RequestTable::popDueRecord(Milliseconds now)
{
    if (m_timers.empty() || m_timers.begin()->first > now) {
        return nullptr;
    }
    RequestRecord *record = find(m_timers.begin()->second);
    m_timers.erase(m_timers.begin());
    assert(record);
    record->timerAt.reset();
    return record;
}

} // namespace damaskhall
