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
    /// Reservation in the queue.
    Waiting,
    /// Permit issued, no Execute yet.
    Permitted,
    /// Execute received, nothing sent to an upstream.
    Held,
    /// Sent to an upstream.
    Sent,
    /// Upload token issued, slot held.
    Uploading,
    Answered,
    Unknown,
    /// Not run.
    Refused,
    /// Answered, and the caller has the answer.
    Acknowledged,
};
inline constexpr std::size_t RecordPhaseCount = 9;

/// What the owner knows about one request or upload.
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
    /// Current permit, or token of an upload.
    SealedToken permit;
    Milliseconds permitIssued;
    Milliseconds permitExpiry;
    /// Whether the shard counts the permit as outstanding.
    bool isPermitCounted = false;
    /// Earlier permits of this request, each refused as not run.
    std::vector<SealedToken> refusedPermits;
    RefusalReason refusal = RefusalReason::NoUpstream;
    /// Kept until the request is finished, as an upstream may refuse to run it.
    std::string body;
    UpstreamId upstream;
    Endpoint upstreamEndpoint;
    AttemptId attempt;
    Milliseconds sentAt;
    /// The slot of the current attempt was given back, although a reply may still come.
    bool isSlotReleased = false;
    /// Requests in flight at the upstream when this one was sent, including it.
    std::uint32_t inFlightAtSend = 0;
    /// Earliest time of the next transmission after an upstream refused.
    Milliseconds notBefore;
    std::uint32_t tries = 0;
    /// An attempt was abandoned without a reply; the request can no longer end as not run.
    bool mayHaveRun = false;
    std::vector<std::optional<std::string>> fragments;
    /// Time of the next timer; owned by RequestTable.
    std::optional<Milliseconds> wakeAt;

    RequestId id() const { return reservation.request; }
    bool isFinished() const { return phase >= RecordPhase::Answered; }
};

/// Records of requests by id and by attempt, with one timer each in an ordered index, so that a
/// tick costs only the records that are due. Thread safety: none.
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
    /// Returns the records in RecordPhase::Sent whose current attempt went to @p upstream. Looks at
    /// all records.
    std::vector<RequestRecord *> sentTo(UpstreamId upstream);

    void setPhase(RequestRecord &record, RecordPhase phase);
    /// Replaces the current attempt; replies to the former one are no longer found.
    void setAttempt(RequestRecord &record, AttemptId attempt);
    void clearAttempt(RequestRecord &record);
    /// Replaces the record's timer.
    void wakeAt(RequestRecord &record, Milliseconds time);
    /// Returns a record whose timer is due and removes the timer, or null.
    RequestRecord *takeDue(Milliseconds now);

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
