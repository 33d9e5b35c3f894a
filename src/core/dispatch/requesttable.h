#pragma once

#include "core/dispatch/shardkey.h"
#include "core/messages.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace damaskhall {

enum class RecordPhase : std::uint8_t {
    /// Reservation queued.
    Waiting,
    /// Permit issued, no Execute yet.
    Permitted,
    /// Execute received, not sent to an upstream yet.
    AwaitingSlot,
    /// Sent to an upstream.
    Sent,
    /// Upload token issued, slot in use.
    Uploading,
    Answered,
    Unknown,
    /// Refused or cancelled; the request did not run.
    Refused,
    /// The caller acknowledged the answer, or an upload is stored.
    Acknowledged,
};
inline constexpr std::size_t RecordPhaseCount = 9;

/// State of one request or upload at its owner.
struct RequestRecord
{
    Reserve reservation;
    Endpoint caller;
    RecordPhase phase = RecordPhase::Waiting;
    ShardKey shard;
    Milliseconds arrival;
    Milliseconds target;
    Milliseconds deadline;
    bool isIdempotent = false;
    /// Current permit, or upload token.
    SealedToken permit;
    Milliseconds permitIssuedAt;
    Milliseconds permitExpiry;
    /// Whether the shard counts the permit as outstanding.
    bool isPermitCounted = false;
    /// Earlier permits of this request, each refused without a run.
    std::vector<SealedToken> refusedPermits;
    RefusalReason refusal = RefusalReason::NoUpstream;
    /// Kept until the request is finished: it is sent again if an upstream refuses it.
    std::string body;
    UpstreamId upstream;
    Endpoint upstreamEndpoint;
    AttemptId attempt;
    Milliseconds sentAt;
    /// Whether the slot of the current attempt was released; a reply may still arrive.
    bool isSlotReleased = false;
    /// Requests in flight at the upstream when this one was sent, including it.
    std::uint32_t inFlightAtSend = 0;
    /// Earliest time of the next attempt after an upstream refused one.
    Milliseconds notBefore;
    std::uint32_t attemptCount = 0;
    /// An attempt was abandoned without a reply, so the request can't be reported as not run.
    bool mayHaveRun = false;
    std::vector<std::optional<std::string>> fragments;
    /// Expiry of the record's timer; maintained by RequestTable.
    std::optional<Milliseconds> timerAt;

    RequestId id() const { return reservation.request; }
    bool isFinished() const { return phase >= RecordPhase::Answered; }
};

/// Request records, indexed by request id and by attempt id. Each record has one timer in an
/// ordered index, so that the cost of a tick depends only on the records that are due. Thread
/// safety: none.
class RequestTable
{
public:
    explicit RequestTable(std::size_t capacity);

    /// Returns the record, or null.
    RequestRecord *find(RequestId request);
    /// Returns the record whose current attempt this is, or null.
    RequestRecord *findAttempt(AttemptId attempt);
    /// Adds a waiting record. Returns null if the table is full.
    /// Precondition: there is no record of this request. Pointers stay valid until erase().
    RequestRecord *insert(const Reserve &reservation);
    void erase(RequestId request);
    /// Returns the records in RecordPhase::Sent whose current attempt went to @p upstream. Scans
    /// all records.
    std::vector<RequestRecord *> sentTo(UpstreamId upstream);

    void setPhase(RequestRecord &record, RecordPhase phase);
    /// Replaces the current attempt; findAttempt() no longer finds the previous one.
    void setAttempt(RequestRecord &record, AttemptId attempt);
    void clearAttempt(RequestRecord &record);
    /// Sets the record's timer and replaces any earlier one.
    void setTimer(RequestRecord &record, Milliseconds time);
    /// Removes the earliest due timer and returns its record, or null if none is due.
    RequestRecord *popDueRecord(Milliseconds now);

    std::size_t size() const { return m_records.size(); }
    std::size_t countOf(RecordPhase phase) const
    {
        return m_counts[static_cast<std::size_t>(phase)];
    }

private:
    std::size_t m_capacity;
    std::unordered_map<RequestId, RequestRecord> m_records;
    std::unordered_map<AttemptId, RequestId> m_attempts;
    std::set<std::pair<Milliseconds, RequestId>> m_timers;
    std::array<std::size_t, RecordPhaseCount> m_counts{};
};

} // namespace damaskhall
