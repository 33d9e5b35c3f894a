#pragma once

#include "core/flow/storechange.h"
#include "core/flow/upstreamentry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace damaskhall {

/// Times of the directory.
struct DirectoryTimes
{
    /// Time after the platform's return within which entries that lapsed during its absence are
    /// written again.
    Milliseconds confirmation = 2_s;
    /// Longest life of a flow: a record without entry is kept this long for the flows it may hold.
    Milliseconds flowLifetime = 60_s;
};

/// Upstreams of all data centres, from the platform's store and from peers that read it.
///
/// Reports about one entry are ordered by the store's revision, so that a stale read or a slow
/// peer never brings an older one back. Deterministic. Thread safety: none.
class UpstreamDirectory
{
public:
    explicit UpstreamDirectory(DirectoryTimes times = {});

    /// Takes the entry as written at @p revision.
    void handleEntry(const UpstreamEntry &entry, Revision revision, Milliseconds now);
    /// Takes the removal of an entry, or of one that cannot be read, at @p revision.
    void handleRemoval(UpstreamId id, Revision revision, Milliseconds now);
    /// Takes a complete list read at @p revision: what it lacks is removed.
    void handleListEnd(std::vector<UpstreamId> listed, Revision revision, Milliseconds now);

    /// The store does not answer any more: entries that lapse from now on are not believed gone.
    void handleStoreLost();
    void handleStoreRegained(Milliseconds now);

    /// Ends confirmation times and forgets old records.
    void tick(Milliseconds now);

    /// Returns all records, sorted by key.
    std::vector<UpstreamRecord> records() const;
    /// Returns every entry that the store has, as far as known, with its remaining warm-up.
    std::vector<StoreChange> entries(Milliseconds now) const;
    /// Number of entries().
    std::size_t presentCount() const { return m_presentCount; }
    /// Returns the record of a start. Precondition: it is in the directory.
    const UpstreamRecord &record(UpstreamKey key) const { return m_records.at(key).view; }
    /// Returns the start that the present entry of an id names, if there is one.
    std::optional<UpstreamKey> present(UpstreamId id) const;
    /// Raised with each change of records().
    std::uint64_t version() const { return m_version; }
    /// True once a complete list was taken.
    bool isComplete() const { return m_isComplete; }

private:
    struct Record
    {
        UpstreamRecord view;
        Milliseconds missingSince;
    };

    /// Current state of one id.
    struct Slot
    {
        Revision revision;
        /// Start that the last entry named.
        std::optional<UpstreamKey> last;
        bool isPresent = false;
    };

    /// Who has an address, and the newest report that says so.
    struct Holder
    {
        UpstreamKey key;
        Revision revision;
    };

    bool takeAddress(const UpstreamEntry &entry, Revision revision, Milliseconds now);
    bool advance(UpstreamId id, Revision revision);
    void replace(UpstreamKey key, Milliseconds now);
    void forget(UpstreamKey key);
    void removeEntry(Slot &slot, Milliseconds now);
    void lose(UpstreamKey key, Milliseconds now);
    void setHealth(Record &record, UpstreamHealth health);
    bool isStoreDoubtful(Milliseconds now) const;

    DirectoryTimes m_times;
    std::map<UpstreamKey, Record> m_records;
    /// Records that are or were neither ready nor leaving: the only ones that time changes.
    std::set<UpstreamKey> m_missing;
    std::map<UpstreamId, Slot> m_slots;
    /// Last start at each address.
    std::unordered_map<Endpoint, Holder> m_holders;
    std::size_t m_presentCount = 0;
    std::uint64_t m_version = 1;
    bool m_isComplete = false;
    bool m_isStoreAway = false;
    std::optional<Milliseconds> m_regainedAt;
};

} // namespace damaskhall
