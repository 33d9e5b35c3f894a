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
    /// Requests whose Execute has arrived and which wait for a slot, in order of transmission.
    std::list<RequestId> &held() { return m_held; }

    /// Returns whether another permit may be outstanding: permits are limited to the free slots
    /// and the completions that are expected during one permit round trip.
    bool mayPermit(Milliseconds now) const;
    /// Returns whether an upload may take a slot that no permit counts on.
    bool mayStartUpload(Milliseconds now) const;
    void permitIssued() { ++m_permits; }
    /// Counts an entry that left the queue for a permit or upload.
    void countAdmission(const QueueEntry &entry, Milliseconds now);
    /// A permit no longer counts: it was used, has expired or its answer is overdue.
    void permitSettled();
    /// Records the time from Permit to Execute.
    void observePermitRoundTrip(Milliseconds elapsed);
    Milliseconds permitRoundTrip() const;

    void countCompletion(Milliseconds now) { m_completions.count(now); }

    /// Returns how long a new reservation is expected to wait; nothing if that is not known yet.
    std::optional<Milliseconds> expectedWait(const QueueEntry &entry, Milliseconds now) const;

    /// Returns the shortest target, below @p target, of the classes that were admitted lately, or
    /// nothing if there is none.
    std::optional<Milliseconds> shorterTarget(Milliseconds target, Milliseconds now) const;

    bool isIdle() const;

private:
    struct ClassRate
    {
        Milliseconds target;
        RateMeter admissions;
    };

    std::size_t outstanding() const { return m_permits + m_held.size(); }

    ShardKey m_key;
    FairQueue m_queue;
    UpstreamSelector m_selector;
    RetryBudget m_retryBudget;
    RateMeter m_completions;
    std::map<ClassId, ClassRate> m_classRates;
    std::list<RequestId> m_held;
    std::size_t m_permits = 0;
    double m_permitRoundTrip = 0;
};

} // namespace damaskhall
