#pragma once

#include "core/dispatch/fairqueue.h"
#include "core/dispatch/ratemeter.h"
#include "core/dispatch/requesttable.h"
#include "core/dispatch/retrybudget.h"
#include "core/dispatch/shardkey.h"
#include "core/dispatch/upstreamselector.h"

#include <cstddef>
#include <list>
#include <map>
#include <optional>

namespace damaskhall {

/// Queue, permits and upstreams of one shard of a service. Thread safety: none. @c now must not
/// decrease.
class Shard
{
public:
    explicit Shard(ShardKey key);

    ShardKey key() const { return m_key; }
    FairQueue &queue() { return m_queue; }
    const FairQueue &queue() const { return m_queue; }
    UpstreamSelector &selector() { return m_selector; }
    const UpstreamSelector &selector() const { return m_selector; }
    RetryBudget &retryBudget() { return m_retryBudget; }
    /// Requests in RecordPhase::AwaitingSlot, in the order in which they are sent.
    std::list<RequestId> &awaitingSlot() { return m_awaitingSlot; }

    /// Returns whether another permit may be issued: outstanding permits are limited to the free
    /// slots plus the completions that are expected during one permit round trip.
    bool mayIssuePermit(Milliseconds now) const;
    /// Returns whether there is a free slot for an upload that no outstanding permit needs.
    bool mayStartUpload(Milliseconds now) const;
    void onPermitIssued() { ++m_permits; }
    /// Counts an entry that left the queue to get a permit or to start an upload.
    void countAdmission(const QueueEntry &entry, Milliseconds now);
    /// Stops counting a permit as outstanding: it was used or has expired, or its Execute is
    /// overdue.
    void onPermitSettled();
    /// Records the time from Permit to Execute.
    void recordPermitRoundTrip(Milliseconds elapsed);
    Milliseconds permitRoundTrip() const;

    void countCompletion(Milliseconds now) { m_completions.count(now); }

    /// Estimates the queueing delay of a new reservation. Returns nothing if that is not known yet.
    std::optional<Milliseconds> expectedWait(const QueueEntry &entry, Milliseconds now) const;

    /// Returns the shortest target below @p target among the classes with recent admissions, or
    /// nothing if there is none.
    std::optional<Milliseconds> shortestTargetBelow(Milliseconds target, Milliseconds now) const;

    bool isIdle() const;

private:
    struct ClassRate
    {
        Milliseconds target;
        RateMeter admissions;
    };

    std::size_t outstandingAdmissions() const { return m_permits + m_awaitingSlot.size(); }

    ShardKey m_key;
    FairQueue m_queue;
    UpstreamSelector m_selector;
    RetryBudget m_retryBudget;
    RateMeter m_completions;
    std::map<ClassId, ClassRate> m_classRates;
    std::list<RequestId> m_awaitingSlot;
    std::size_t m_permits = 0;
    double m_permitRoundTrip = 0;
};

} // namespace damaskhall
