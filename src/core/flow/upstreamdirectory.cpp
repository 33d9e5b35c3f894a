#include "core/flow/upstreamdirectory.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace damaskhall {

namespace {

/// Difference between the delays with which two heartbeats of one warm-up are read. A heartbeat
/// that moves the end of the warm-up further belongs to a later one: the upstream has become cold
/// again. Smaller differences are no change that peers must be told.
constexpr Milliseconds WarmupReadDelay = 500_ms;

} // namespace

UpstreamDirectory::UpstreamDirectory(DirectoryTimes times)
    : m_times(times)
{
}

bool UpstreamDirectory::advanceRevision(UpstreamId id, StoreRevision revision)
{
    IdState &idState = m_idStates[id];
    if (revision <= idState.revision) {
        return false;
    }
    idState.revision = revision;
    return true;
}

void UpstreamDirectory::handleEntry(const UpstreamEntry &entry, StoreRevision revision,
                                    Milliseconds now)
{
    if (!advanceRevision(entry.key.id, revision)) {
        handleOldEntry(entry);
        return;
    }
    IdState &idState = m_idStates[entry.key.id];
    const std::optional<UpstreamKey> previous = std::exchange(idState.lastKey, entry.key);
    // Peers are told of changes of the version, and need each one that changes what the store says:
    // they may not know what this instance knew before.
    const bool isRepeated =
            idState.hasEntry && previous == entry.key && idState.hasLeavingEntry == entry.isLeaving;
    m_version += isRepeated ? 0 : 1;
    idState.hasLeavingEntry = entry.isLeaving;
    m_entryCount += idState.hasEntry ? 0 : 1;
    idState.hasEntry = true;
    storeEntry(entry, now);
    if (previous && *previous != entry.key) {
        // The previous incarnation with this id has ended, unless this entry was written late.
        markMissing(*previous,
                    previous->born < entry.key.born ? UpstreamHealth::Replaced
                                                    : UpstreamHealth::Gone,
                    now);
    }
    updateAddress(entry.endpoint);
}

// An upstream that has announced that it is leaving stays in that state, whichever report arrives
// first.
void UpstreamDirectory::handleOldEntry(const UpstreamEntry &entry)
{
    if (!entry.isLeaving || !isPresent(entry.key)) {
        return;
    }
    Record &record = m_records.at(entry.key);
    if (!record.view.entry.isLeaving) {
        record.view.entry.isLeaving = true;
        record.ownHealth = UpstreamHealth::Leaving;
        ++m_version;
        updateAddress(record.view.entry.endpoint);
    }
}

void UpstreamDirectory::storeEntry(const UpstreamEntry &entry, Milliseconds now)
{
    const auto [found, isNew] = m_records.try_emplace(entry.key);
    Record &record = found->second;
    UpstreamRecord next{entry, record.view.health, now + entry.warmupLeft};
    // The record stores the end of the warm-up instead, as the remaining time differs in each
    // heartbeat.
    next.entry.warmupLeft = 0_ms;
    if (!isNew) {
        const bool isColdAgain =
                entry.warmupLeft > 0_ms && next.warmupEnd - record.view.warmupEnd > WarmupReadDelay;
        next.warmupEnd = isColdAgain ? next.warmupEnd : record.view.warmupEnd;
        next.entry.isLeaving = entry.isLeaving || record.view.entry.isLeaving;
    }
    record.ownHealth = next.entry.isLeaving ? UpstreamHealth::Leaving : UpstreamHealth::Ready;
    const Endpoint previousAddress = record.view.entry.endpoint;
    if (isNew || next != record.view) {
        record.view = next;
        ++m_version;
    }
    if (isNew) {
        m_addresses[entry.endpoint].push_back(entry.key);
    } else if (previousAddress != entry.endpoint) {
        removeFromAddress(entry.key, previousAddress);
        m_addresses[entry.endpoint].push_back(entry.key);
    }
}

void UpstreamDirectory::handleEvacuationEnd(
        DataCentreId dataCentre, const std::unordered_map<ServiceId, WarmupLimit> &limits,
        Milliseconds now)
{
    for (auto &[key, record] : m_records) {
        const auto limit = limits.find(record.view.entry.service);
        if (record.view.entry.dataCentre != dataCentre || limit == limits.end()) {
            continue;
        }
        const Milliseconds end = now + limit->second.duration;
        if (end > record.view.warmupEnd) {
            record.view.warmupEnd = end;
            ++m_version;
        }
    }
}

void UpstreamDirectory::setDeclaredServices(std::set<ServiceId> services)
{
    if (m_declaredServices == services) {
        return;
    }
    m_declaredServices = std::move(services);
    for (const auto &[address, keys] : m_addresses) {
        updateAddress(address);
    }
}

// An upstream is replaced if another one with its address was started later: the states of the
// others do not depend on which of the entries arrived first.
void UpstreamDirectory::updateAddress(Endpoint address)
{
    const std::vector<UpstreamKey> &keys = m_addresses.at(address);
    const std::optional<UpstreamKey> owner = ownerOf(keys);
    for (const UpstreamKey key : keys) {
        Record &record = m_records.at(key);
        const bool isReplaced = owner && owner->id != key.id && owner->born > key.born;
        setHealth(record, isReplaced ? UpstreamHealth::Replaced : record.ownHealth);
    }
}

// Returns the upstream that runs at the address of @p keys, if its service is declared. An entry in
// the store counts more than a start time, which a stepped clock may have put too early.
std::optional<UpstreamKey> UpstreamDirectory::ownerOf(const std::vector<UpstreamKey> &keys) const
{
    std::optional<UpstreamKey> owner;
    const auto rank = [this](UpstreamKey key) {
        return std::tuple(isPresent(key), key.born, key.id);
    };
    for (const UpstreamKey key : keys) {
        if (isDeclared(m_records.at(key)) && (!owner || rank(*owner) < rank(key))) {
            owner = key;
        }
    }
    return owner;
}

bool UpstreamDirectory::isDeclared(const Record &record) const
{
    return !m_declaredServices || m_declaredServices->contains(record.view.entry.service);
}

bool UpstreamDirectory::isPresent(UpstreamKey key) const
{
    return present(key.id) == key;
}

void UpstreamDirectory::handleRemoval(UpstreamId id, StoreRevision revision, Milliseconds now)
{
    if (!advanceRevision(id, revision)) {
        return;
    }
    removeEntry(m_idStates[id], now);
}

void UpstreamDirectory::removeEntry(IdState &idState, Milliseconds now)
{
    if (!idState.hasEntry) {
        return;
    }
    idState.hasEntry = false;
    --m_entryCount;
    ++m_version;
    const Record &record = m_records.at(*idState.lastKey);
    const bool mayHaveExpired = record.ownHealth == UpstreamHealth::Ready;
    markMissing(*idState.lastKey,
                mayHaveExpired && isExpiryUnconfirmed(now) ? UpstreamHealth::Unconfirmed
                                                           : UpstreamHealth::Gone,
                now);
}

std::vector<UpstreamId> UpstreamDirectory::handleCompleteList(std::vector<UpstreamId> listed,
                                                              StoreRevision revision,
                                                              Milliseconds now)
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

void UpstreamDirectory::markMissing(UpstreamKey key, UpstreamHealth health, Milliseconds now)
{
    const auto found = m_records.find(key);
    if (found == m_records.end()) {
        return;
    }
    found->second.ownHealth = health;
    found->second.missingSince = now;
    m_missing.insert(key);
    updateAddress(found->second.view.entry.endpoint);
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

void UpstreamDirectory::handleStoreRestored(Milliseconds now)
{
    m_storeReachableSince = now;
}

void UpstreamDirectory::tick(Milliseconds now)
{
    const bool isUnconfirmed = isExpiryUnconfirmed(now);
    for (auto it = m_missing.begin(); it != m_missing.end();) {
        Record &record = m_records.at(*it);
        if (isPresent(*it)) {
            // Its entry was written again.
            it = m_missing.erase(it);
            continue;
        }
        if (record.ownHealth == UpstreamHealth::Unconfirmed && !isUnconfirmed) {
            record.ownHealth = UpstreamHealth::Gone;
            updateAddress(record.view.entry.endpoint);
        }
        if (record.ownHealth == UpstreamHealth::Unconfirmed ||
            now - record.missingSince < m_times.flowLifetime) {
            ++it;
        } else {
            eraseRecord(*it);
            it = m_missing.erase(it);
        }
    }
}

void UpstreamDirectory::eraseRecord(UpstreamKey key)
{
    const auto idState = m_idStates.find(key.id);
    if (idState != m_idStates.end() && idState->second.lastKey == key) {
        m_idStates.erase(idState);
    }
    const Endpoint address = m_records.at(key).view.entry.endpoint;
    m_records.erase(key);
    ++m_version;
    removeFromAddress(key, address);
}

void UpstreamDirectory::removeFromAddress(UpstreamKey key, Endpoint address)
{
    std::vector<UpstreamKey> &keys = m_addresses.at(address);
    std::erase(keys, key);
    if (keys.empty()) {
        m_addresses.erase(address);
    } else {
        updateAddress(address);
    }
}

std::optional<UpstreamKey> UpstreamDirectory::present(UpstreamId id) const
{
    const auto found = m_idStates.find(id);
    return found != m_idStates.end() && found->second.hasEntry ? found->second.lastKey
                                                               : std::nullopt;
}

std::set<DataCentreId> UpstreamDirectory::dataCentres() const
{
    std::set<DataCentreId> dataCentres;
    for (const auto &[key, record] : m_records) {
        dataCentres.insert(record.view.entry.dataCentre);
    }
    return dataCentres;
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
