#pragma once

#include "base/milliseconds.h"
#include "core/control/controlmessages.h"
#include "core/control/updatequeue.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace damaskhall {

/// Directory of the upstreams of one data centre, built from the platform's list and from peers'
/// reports. Thread safety: none.
class UpstreamController
{
public:
    /// Merges a report from a peer. @p transmissions is the number of times that a new report is
    /// sent on.
    void merge(const UpstreamUpdate &update, Milliseconds now, std::uint32_t transmissions);
    /// Handles a complete list from the platform. Upstreams are removed only by lists: an outage of
    /// the platform, however long, removes nothing.
    void handleList(const std::vector<UpstreamUpdate> &listed, Milliseconds now,
                    std::uint32_t transmissions);
    /// Marks an upstream as leaving; the mark is never cleared. Unknown ids are ignored.
    void reportLeaving(UpstreamId id, Milliseconds now, std::uint32_t transmissions);
    /// Erases removed entries after their retention time.
    void expire(Milliseconds now);

    /// Returns the present upstreams.
    std::unordered_map<UpstreamId, UpstreamView> views() const;
    /// Returns all entries, including removed ones within their retention time.
    std::vector<UpstreamUpdate> snapshot() const;
    /// Hash over the present upstreams and their leaving marks.
    std::uint64_t digest() const { return m_digest; }
    /// Incremented with each change of views().
    std::uint64_t version() const { return m_version; }
    UpdateQueue<UpstreamUpdate> &updates() { return m_updates; }

private:
    struct Entry
    {
        UpstreamUpdate report;
        /// Accumulated time for which the platform's lists have not contained the upstream.
        Milliseconds absentTime;
        Milliseconds removedAt;
    };

    void applyChange(Entry &entry, const UpstreamUpdate &report, Milliseconds now,
                     std::uint32_t transmissions);
    void remove(Entry &entry, Milliseconds now, std::uint32_t transmissions);
    bool isSuperseded(const UpstreamUpdate &report) const;
    void removePredecessor(const UpstreamUpdate &report, Milliseconds now,
                           std::uint32_t transmissions);

    std::map<UpstreamId, Entry> m_entries;
    /// Present upstream at each endpoint.
    std::unordered_map<Endpoint, UpstreamId> m_idByEndpoint;
    std::uint64_t m_digest = 0;
    std::uint64_t m_version = 1;
    Milliseconds m_lastListAt{-1};
    UpdateQueue<UpstreamUpdate> m_updates;
};

} // namespace damaskhall
