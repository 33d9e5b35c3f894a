#include "core/flow/upstreamdirectory.h"

#include <algorithm>

namespace damaskhall {

UpstreamDirectory::UpstreamDirectory(DirectoryTimes times)
    : m_times(times)
{
}

bool UpstreamDirectory::advanceRevision(UpstreamId id, Revision revision)
{
    IdState &idState = m_idStates[id];
    if (revision <= idState.revision) {
        return false;
    }
    idState.revision = revision;
    return true;
}

void UpstreamDirectory::handleEntry(const UpstreamEntry &entry, Revision revision, Milliseconds now)
{
    if (!advanceRevision(entry.key.id, revision)) {
        return;
    }
    // The previous incarnation with this id and the previous owner of the address have ended.
    IdState &idState = m_idStates[entry.key.id];
    if (idState.lastKey && *idState.lastKey != entry.key) {
        markReplaced(*idState.lastKey, now);
    }
    const bool hasAddress = claimAddress(entry, revision, now);
    idState.lastKey = entry.key;
    m_entryCount += idState.hasEntry ? 0 : 1;
    idState.hasEntry = true;

    const auto [found, isNew] = m_records.try_emplace(entry.key);
    UpstreamRecord &view = found->second.view;
    UpstreamRecord next{entry, UpstreamHealth::Ready, now + entry.warmupLeft};
    // The record stores the end of the warm-up instead, as the remaining time differs in each
    // heartbeat.
    next.entry.warmupLeft = 0_ms;
    if (!isNew) {
        next.warmupEnd = view.warmupEnd;
        // An incarnation that has announced that it is leaving stays in that state.
        next.entry.isLeaving = entry.isLeaving || view.entry.isLeaving;
    }
    if (next.entry.isLeaving) {
        next.health = UpstreamHealth::Leaving;
    }
    if (!hasAddress) {
        next.health = UpstreamHealth::Replaced;
        found->second.missingSince = now;
        m_missing.insert(entry.key);
    }
    if (isNew || next != view) {
        view = next;
        ++m_version;
    }
}

// Returns false if a newer report names another owner of the entry's address.
bool UpstreamDirectory::claimAddress(const UpstreamEntry &entry, Revision revision,
                                     Milliseconds now)
{
    const auto [found, isNew] =
            m_addressOwners.try_emplace(entry.endpoint, AddressOwner{entry.key, revision});
    AddressOwner &holder = found->second;
    if (holder.key != entry.key) {
        if (revision < holder.revision) {
            return false;
        }
        markReplaced(holder.key, now);
    }
    holder = {entry.key, std::max(holder.revision, revision)};
    return true;
}

void UpstreamDirectory::markReplaced(UpstreamKey key, Milliseconds now)
{
    const auto found = m_records.find(key);
    if (found != m_records.end() && found->second.view.health != UpstreamHealth::Replaced) {
        found->second.missingSince = now;
        m_missing.insert(key);
        setHealth(found->second, UpstreamHealth::Replaced);
    }
}

void UpstreamDirectory::handleRemoval(UpstreamId id, Revision revision, Milliseconds now)
{
    if (!advanceRevision(id, revision)) {
        return;
    }
    removeEntry(m_idStates[id], now);
}

void UpstreamDirectory::removeEntry(IdState &idState, Milliseconds now)
{
    if (idState.hasEntry) {
        idState.hasEntry = false;
        --m_entryCount;
        markMissing(*idState.lastKey, now);
    }
}

std::vector<UpstreamId> UpstreamDirectory::handleCompleteList(std::vector<UpstreamId> listed,
                                                              Revision revision, Milliseconds now)
{
    std::vector<UpstreamId> removed;
    std::sort(listed.begin(), listed.end());
    for (auto &[id, idState] : m_idStates) {
        const bool isListed = std::binary_search(listed.begin(), listed.end(), id);
        if (idState.hasEntry && idState.revision <= revision && !isListed) {
            idState.revision = revision;
            removeEntry(idState, now);
            removed.push_back(id);
        }
    }
    if (!m_isComplete) {
        m_isComplete = true;
        ++m_version;
    }
    return removed;
}

void UpstreamDirectory::markMissing(UpstreamKey key, Milliseconds now)
{
    Record &record = m_records.at(key);
    if (record.view.health == UpstreamHealth::Replaced) {
        return;
    }
    record.missingSince = now;
    m_missing.insert(key);
    const bool mayHaveExpired = record.view.health == UpstreamHealth::Ready;
    setHealth(record, mayHaveExpired && isExpiryUnconfirmed(now) ? UpstreamHealth::Unconfirmed
                                                                 : UpstreamHealth::Gone);
}

void UpstreamDirectory::setHealth(Record &record, UpstreamHealth health)
{
    if (record.view.health != health) {
        record.view.health = health;
        ++m_version;
    }
}

bool UpstreamDirectory::isExpiryUnconfirmed(Milliseconds now) const
{
    return m_isStoreUnreachable ||
           (m_storeReachableSince && now - *m_storeReachableSince < m_times.confirmation);
}

void UpstreamDirectory::handleStoreUnreachable()
{
    m_isStoreUnreachable = true;
}

void UpstreamDirectory::handleStoreReachable(Milliseconds now)
{
    if (m_isStoreUnreachable) {
        m_isStoreUnreachable = false;
        m_storeReachableSince = now;
    }
}

void UpstreamDirectory::tick(Milliseconds now)
{
    const bool isUnconfirmed = isExpiryUnconfirmed(now);
    for (auto it = m_missing.begin(); it != m_missing.end();) {
        Record &record = m_records.at(*it);
        if (record.view.health == UpstreamHealth::Unconfirmed && !isUnconfirmed) {
            setHealth(record, UpstreamHealth::Gone);
        }
        const UpstreamHealth health = record.view.health;
        if (health == UpstreamHealth::Ready || health == UpstreamHealth::Leaving) {
            // Its entry was written again.
            it = m_missing.erase(it);
        } else if (health == UpstreamHealth::Unconfirmed ||
                   now - record.missingSince < m_times.flowLifetime) {
            ++it;
        } else {
            ++m_version;
            eraseIndexEntries(*it);
            m_records.erase(*it);
            it = m_missing.erase(it);
        }
    }
}

void UpstreamDirectory::eraseIndexEntries(UpstreamKey key)
{
    const auto idState = m_idStates.find(key.id);
    if (idState != m_idStates.end() && idState->second.lastKey == key) {
        m_idStates.erase(idState);
    }
    const auto holder = m_addressOwners.find(m_records.at(key).view.entry.endpoint);
    if (holder != m_addressOwners.end() && holder->second.key == key) {
        m_addressOwners.erase(holder);
    }
}

std::optional<UpstreamKey> UpstreamDirectory::present(UpstreamId id) const
{
    const auto found = m_idStates.find(id);
    return found != m_idStates.end() && found->second.hasEntry ? found->second.lastKey
                                                               : std::nullopt;
}

std::vector<StoreChange> UpstreamDirectory::entries(Milliseconds now) const
{
    std::vector<StoreChange> entries;
    entries.reserve(m_entryCount);
    for (const auto &[id, idState] : m_idStates) {
        if (idState.hasEntry) {
            const UpstreamRecord &record = m_records.at(*idState.lastKey).view;
            UpstreamEntry entry = record.entry;
            entry.warmupLeft = std::max(record.warmupEnd - now, 0_ms);
            entries.push_back({idState.revision, entry});
        }
    }
    return entries;
}

std::vector<UpstreamRecord> UpstreamDirectory::records() const
{
    std::vector<UpstreamRecord> records;
    records.reserve(m_records.size());
    for (const auto &[key, record] : m_records) {
        records.push_back(record.view);
    }
    return records;
}

} // namespace damaskhall
