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

/// Time settings of the directory.
struct DirectoryTimes
{
    /// Time after the platform is reachable again within which upstreams renew entries that expired
    /// while it was unreachable.
    Milliseconds confirmation = 2_s;
    /// Maximum lifetime of a flow. A record without an entry is kept this long for the flows that
    /// its upstream may still hold.
    Milliseconds flowLifetime = 60_s;
};

/// Upstreams of all data centres, read from the platform's store by this instance or its peers.
///
/// The states follow from what has been read, not from the order in which it arrived. Reports about
/// one id are ordered by the store's era and revision, so a stale read or a late update never
/// restores an older state. Upstreams with the same address are ordered by their start times: the
/// store may execute a write of an ended upstream after its successor has registered.
/// Deterministic. Thread safety: none.
class UpstreamDirectory
{
public:
    explicit UpstreamDirectory(DirectoryTimes times = {});

    /// Processes an entry as written at @p revision.
    void handleEntry(const UpstreamEntry &entry, StoreRevision revision, Milliseconds now);
    /// Processes the removal at @p revision of an entry, or the replacement by one that cannot be
    /// decoded.
    void handleRemoval(UpstreamId id, StoreRevision revision, Milliseconds now);
    /// Processes a complete list read at @p revision: entries that are not in it are removed.
    /// Returns their ids.
    std::vector<UpstreamId> handleCompleteList(std::vector<UpstreamId> listed,
                                               StoreRevision revision, Milliseconds now);
    /// Processes the end of the evacuation of @p dataCentre: its upstreams of the services in
    /// @p limits are cold again from now on, before their entries say so.
    void handleEvacuationEnd(DataCentreId dataCentre,
                             const std::unordered_map<ServiceId, WarmupLimit> &limits,
                             Milliseconds now);
    /// Sets the services that the declaration in force names. An entry of another service does not
    /// take over the address that it names. Until the first call, every service counts as declared.
    void setDeclaredServices(std::set<ServiceId> services);

    /// Marks the store as unreachable: an entry that expires from now on does not prove that its
    /// upstream is gone.
    void handleStoreUnreachable();
    void handleStoreReachable(Milliseconds now);
    /// Processes that the store has lost its last changes. Upstreams whose entries are missing are
    /// unconfirmed for the confirmation time, in which they write them again.
    void handleStoreRestored(Milliseconds now);

    /// Ends the confirmation period and removes old records.
    void tick(Milliseconds now);

    /// Returns all records, sorted by key.
    std::vector<UpstreamRecord> records() const;
    /// Returns all entries known to be in the store, with their remaining warm-up time.
    std::vector<StoreChange> entries(Milliseconds now) const;
    /// Number of entries().
    std::size_t entryCount() const { return m_entryCount; }
    /// Returns the record of an incarnation. Precondition: the directory has it.
    const UpstreamRecord &record(UpstreamKey key) const { return m_records.at(key).view; }
    /// Returns the data centres of all records.
    std::set<DataCentreId> dataCentres() const;
    /// Returns the incarnation that the current entry of an id names, if there is one.
    std::optional<UpstreamKey> present(UpstreamId id) const;
    /// Incremented with each change of records() or of the set of entries().
    std::uint64_t version() const { return m_version; }
    /// True once a complete list has been processed.
    bool isComplete() const { return m_isComplete; }

private:
    struct Record
    {
        UpstreamRecord view;
        /// State according to the entries of its id alone; view.health also considers other
        /// upstreams with the same address.
        UpstreamHealth ownHealth = UpstreamHealth::Ready;
        Milliseconds missingSince;
    };

    /// Current state of one upstream id.
    struct IdState
    {
        StoreRevision revision;
        /// Incarnation named by the last entry.
        std::optional<UpstreamKey> lastKey;
        bool hasEntry = false;
        /// Whether the last entry announced that the upstream is leaving; its record stays leaving
        /// if a later one does not.
        bool hasLeavingEntry = false;
    };

    bool advanceRevision(UpstreamId id, StoreRevision revision);
    void handleOldEntry(const UpstreamEntry &entry);
    void storeEntry(const UpstreamEntry &entry, Milliseconds now);
    void removeEntry(IdState &idState, Milliseconds now);
    void markMissing(UpstreamKey key, UpstreamHealth health, Milliseconds now);
    void eraseRecord(UpstreamKey key);
    void removeFromAddress(UpstreamKey key, Endpoint address);
    void updateAddress(Endpoint address);
    std::optional<UpstreamKey> ownerOf(const std::vector<UpstreamKey> &keys) const;
    bool isDeclared(const Record &record) const;
    bool isPresent(UpstreamKey key) const;
    void setHealth(Record &record, UpstreamHealth health);
    bool isExpiryUnconfirmed(Milliseconds now) const;

    DirectoryTimes m_times;
    std::map<UpstreamKey, Record> m_records;
    /// Records that have, or once had, no entry; no others change with time.
    std::set<UpstreamKey> m_missing;
    std::map<UpstreamId, IdState> m_idStates;
    /// Upstreams whose last entries name an address.
    std::unordered_map<Endpoint, std::vector<UpstreamKey>> m_addresses;
    /// Empty until the first declaration.
    std::optional<std::set<ServiceId>> m_declaredServices;
    std::size_t m_entryCount = 0;
    std::uint64_t m_version = 1;
    bool m_isComplete = false;
    bool m_isStoreUnreachable = false;
    std::optional<Milliseconds> m_storeReachableSince;
};

} // namespace damaskhall
