#pragma once

#include "base/milliseconds.h"
#include "core/control/controlmessages.h"
#include "core/control/updatequeue.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace damaskhall {

/// Directory of the upstreams of one data centre, from the platform's list and from peers.
/// Thread safety: none.
class UpstreamController
{
public:
    /// Takes a report from a peer. @p sends: transmissions if it is new.
    void merge(const UpstreamUpdate &update, Milliseconds now, std::uint32_t sends);
    /// Takes a complete list that the platform returned. Only lists remove: an outage of the
    /// platform, however long, removes nothing.
    void handleList(const std::vector<UpstreamUpdate> &listed, Milliseconds now,
                    std::uint32_t sends);
    /// Marks an upstream as leaving; the mark is never withdrawn. Unknown ids are ignored.
    void reportLeaving(UpstreamId id, Milliseconds now, std::uint32_t sends);
    /// Forgets removed entries after some time.
    void expire(Milliseconds now);

    /// Returns the present upstreams.
    std::unordered_map<UpstreamId, UpstreamView> views() const;
    /// Returns all entries, including the removed ones that are still remembered.
    std::vector<UpstreamUpdate> snapshot() const;
    /// Hash over the present upstreams and their leaving marks.
    std::uint64_t digest() const { return m_digest; }
    /// Raised with each change of views().
    std::uint64_t version() const { return m_version; }
    UpdateQueue<UpstreamUpdate> &updates() { return m_updates; }

private:
    struct Entry
    {
        UpstreamUpdate report;
        /// Time for which lists that the platform returned did not contain the upstream.
        Milliseconds absent;
        Milliseconds removedAt;
    };

    void change(Entry &entry, const UpstreamUpdate &report, Milliseconds now, std::uint32_t sends);
    void remove(Entry &entry, Milliseconds now, std::uint32_t sends);
    bool isTakenOver(const UpstreamUpdate &report) const;
    void dropPredecessorAt(const UpstreamUpdate &report, Milliseconds now, std::uint32_t sends);

    std::map<UpstreamId, Entry> m_entries;
    /// Present upstream at each endpoint.
    std::unordered_map<Endpoint, UpstreamId> m_byEndpoint;
    std::uint64_t m_digest = 0;
    std::uint64_t m_version = 1;
    Milliseconds m_lastList{-1};
    UpdateQueue<UpstreamUpdate> m_updates;
};

} // namespace damaskhall
