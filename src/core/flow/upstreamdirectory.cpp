#include "core/flow/upstreamdirectory.h"

#include <algorithm>

namespace damaskhall {

UpstreamDirectory::UpstreamDirectory(DirectoryTimes times)
    : m_times(times)
{
}

bool UpstreamDirectory::advance(UpstreamId id, Revision revision)
{
    Slot &slot = m_slots[id];
    if (revision <= slot.revision) {
        return false;
    }
    slot.revision = revision;
    return true;
}

void UpstreamDirectory::handleEntry(const UpstreamEntry &entry, Revision revision, Milliseconds now)
{
    if (!advance(entry.key.id, revision)) {
        return;
    }
    // The start before under this id, and whoever had the address, have ended.
    Slot &slot = m_slots[entry.key.id];
    if (slot.last && *slot.last != entry.key) {
        replace(*slot.last, now);
    }
    const bool hasAddress = takeAddress(entry, revision, now);
    slot.last = entry.key;
    m_presentCount += slot.isPresent ? 0 : 1;
    slot.isPresent = true;

    const auto [found, isNew] = m_records.try_emplace(entry.key);
    UpstreamRecord &view = found->second.view;
    UpstreamRecord next{entry, UpstreamHealth::Ready, now + entry.warmupLeft};
    // The record keeps the end of the warm-up instead, which does not change with each heartbeat.
    next.entry.warmupLeft = 0_ms;
    if (!isNew) {
        next.warmupEnd = view.warmupEnd;
        // A start that announced its leaving never takes that back.
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

// Returns false if a newer report names another holder of the entry's address.
bool UpstreamDirectory::takeAddress(const UpstreamEntry &entry, Revision revision, Milliseconds now)
{
    const auto [found, isNew] = m_holders.try_emplace(entry.endpoint, Holder{entry.key, revision});
    Holder &holder = found->second;
    if (holder.key != entry.key) {
        if (revision < holder.revision) {
            return false;
        }
        replace(holder.key, now);
    }
    holder = {entry.key, std::max(holder.revision, revision)};
    return true;
}

void UpstreamDirectory::replace(UpstreamKey key, Milliseconds now)
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
    if (!advance(id, revision)) {
        return;
    }
    removeEntry(m_slots[id], now);
}

void UpstreamDirectory::removeEntry(Slot &slot, Milliseconds now)
{
    if (slot.isPresent) {
        slot.isPresent = false;
        --m_presentCount;
        lose(*slot.last, now);
    }
}

void UpstreamDirectory::handleListEnd(std::vector<UpstreamId> listed, Revision revision,
                                      Milliseconds now)
{
    std::sort(listed.begin(), listed.end());
    for (auto &[id, slot] : m_slots) {
        const bool isListed = std::binary_search(listed.begin(), listed.end(), id);
        if (slot.isPresent && slot.revision <= revision && !isListed) {
            slot.revision = revision;
            removeEntry(slot, now);
        }
    }
    if (!m_isComplete) {
        m_isComplete = true;
        ++m_version;
    }
}

void UpstreamDirectory::lose(UpstreamKey key, Milliseconds now)
{
    Record &record = m_records.at(key);
    if (record.view.health == UpstreamHealth::Replaced) {
        return;
    }
    record.missingSince = now;
    m_missing.insert(key);
    const bool isLapse = record.view.health == UpstreamHealth::Ready;
    setHealth(record,
              isLapse && isStoreDoubtful(now) ? UpstreamHealth::Unconfirmed : UpstreamHealth::Gone);
}

void UpstreamDirectory::setHealth(Record &record, UpstreamHealth health)
{
    if (record.view.health != health) {
        record.view.health = health;
        ++m_version;
    }
}

bool UpstreamDirectory::isStoreDoubtful(Milliseconds now) const
{
    return m_isStoreAway || (m_regainedAt && now - *m_regainedAt < m_times.confirmation);
}

void UpstreamDirectory::handleStoreLost()
{
    m_isStoreAway = true;
}

void UpstreamDirectory::handleStoreRegained(Milliseconds now)
{
    if (m_isStoreAway) {
        m_isStoreAway = false;
        m_regainedAt = now;
    }
}

void UpstreamDirectory::tick(Milliseconds now)
{
    const bool isDoubtful = isStoreDoubtful(now);
    for (auto it = m_missing.begin(); it != m_missing.end();) {
        Record &record = m_records.at(*it);
        if (record.view.health == UpstreamHealth::Unconfirmed && !isDoubtful) {
            setHealth(record, UpstreamHealth::Gone);
        }
        const UpstreamHealth health = record.view.health;
        if (health == UpstreamHealth::Ready || health == UpstreamHealth::Leaving) {
            // Its entry is back.
            it = m_missing.erase(it);
        } else if (health == UpstreamHealth::Unconfirmed ||
                   now - record.missingSince < m_times.flowLifetime) {
            ++it;
        } else {
            ++m_version;
            forget(*it);
            m_records.erase(*it);
            it = m_missing.erase(it);
        }
    }
}

void UpstreamDirectory::forget(UpstreamKey key)
{
    const auto slot = m_slots.find(key.id);
    if (slot != m_slots.end() && slot->second.last == key) {
        m_slots.erase(slot);
    }
    const auto holder = m_holders.find(m_records.at(key).view.entry.endpoint);
    if (holder != m_holders.end() && holder->second.key == key) {
        m_holders.erase(holder);
    }
}

std::optional<UpstreamKey> UpstreamDirectory::present(UpstreamId id) const
{
    const auto found = m_slots.find(id);
    return found != m_slots.end() && found->second.isPresent ? found->second.last : std::nullopt;
}

std::vector<StoreChange> UpstreamDirectory::entries(Milliseconds now) const
{
    std::vector<StoreChange> entries;
    entries.reserve(m_presentCount);
    for (const auto &[id, slot] : m_slots) {
        if (slot.isPresent) {
            const UpstreamRecord &record = m_records.at(*slot.last).view;
            UpstreamEntry entry = record.entry;
            entry.warmupLeft = std::max(record.warmupEnd - now, 0_ms);
            entries.push_back({slot.revision, entry});
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
