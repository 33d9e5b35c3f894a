#include "core/control/upstreamcontroller.h"

#include <algorithm>
#include <array>
#include <set>
#include <xxhash.h>

namespace damaskhall {

namespace {

/// An upstream that cannot reach the platform for a minute must stay in the directory.
constexpr Milliseconds AbsenceRemovalTimeout = 120_s;
/// Longest interval between two lists that counts as absence. A longer interval is an outage, and
/// the first list after an outage may be incomplete.
constexpr Milliseconds MaxListGap = 10_s;
constexpr Milliseconds RemovedRetention = 6_s * 3600;

std::uint64_t entryHash(const UpstreamUpdate &update)
{
    if (!update.isPresent()) {
        return 0;
    }
    const std::array<std::uint64_t, 2> words = {update.id.value,
                                                static_cast<std::uint64_t>(update.isLeaving)};
    return XXH64(words.data(), sizeof(words), 2);
}

} // namespace

void UpstreamController::merge(const UpstreamUpdate &update, Milliseconds now,
                               std::uint32_t transmissions)
{
    const auto found = m_entries.find(update.id);
    if (found == m_entries.end()) {
        if (update.isPresent() && isSuperseded(update)) {
            return;
        }
        Entry &entry = m_entries[update.id];
        entry.report.presenceCounter = 1;
        applyChange(entry, update, now, transmissions);
        removePredecessor(update, now, transmissions);
        return;
    }
    UpstreamUpdate merged = found->second.report;
    merged.isLeaving = merged.isLeaving || update.isLeaving;
    merged.presenceCounter = std::max(merged.presenceCounter, update.presenceCounter);
    if (merged == found->second.report || (merged.isPresent() && isSuperseded(merged))) {
        return;
    }
    applyChange(found->second, merged, now, transmissions);
    removePredecessor(merged, now, transmissions);
}

// Ids are assigned in increasing order: of two upstreams at one endpoint, the one with the higher
// id is newer.
bool UpstreamController::isSuperseded(const UpstreamUpdate &report) const
{
    const auto owner = m_idByEndpoint.find(report.endpoint);
    return owner != m_idByEndpoint.end() && owner->second > report.id;
}

void UpstreamController::removePredecessor(const UpstreamUpdate &report, Milliseconds now,
                                           std::uint32_t transmissions)
{
    if (!report.isPresent()) {
        return;
    }
    const auto owner = m_idByEndpoint.find(report.endpoint);
    if (owner != m_idByEndpoint.end() && owner->second < report.id) {
        remove(m_entries.at(owner->second), now, transmissions);
    }
    m_idByEndpoint[report.endpoint] = report.id;
}

void UpstreamController::applyChange(Entry &entry, const UpstreamUpdate &report, Milliseconds now,
                                     std::uint32_t transmissions)
{
    ++m_version;
    m_digest ^= entryHash(entry.report) ^ entryHash(report);
    entry.report = report;
    if (report.isPresent()) {
        m_idByEndpoint.try_emplace(report.endpoint, report.id);
    } else {
        entry.removedAt = now;
        const auto owner = m_idByEndpoint.find(report.endpoint);
        if (owner != m_idByEndpoint.end() && owner->second == report.id) {
            m_idByEndpoint.erase(owner);
        }
    }
    m_updates.push(report, transmissions);
}

void UpstreamController::remove(Entry &entry, Milliseconds now, std::uint32_t transmissions)
{
    UpstreamUpdate removed = entry.report;
    ++removed.presenceCounter;
    applyChange(entry, removed, now, transmissions);
}

void UpstreamController::handleList(const std::vector<UpstreamUpdate> &listed, Milliseconds now,
                                    std::uint32_t transmissions)
{
    const bool isFirst = m_lastListAt < 0_ms;
    const Milliseconds gap = isFirst || now - m_lastListAt > MaxListGap ? 0_ms : now - m_lastListAt;
    m_lastListAt = now;
    std::set<UpstreamId> present;
    for (const UpstreamUpdate &report : listed) {
        present.insert(report.id);
        const auto found = m_entries.find(report.id);
        if (found == m_entries.end()) {
            merge(report, now, transmissions);
            continue;
        }
        found->second.absentTime = 0_ms;
        UpstreamUpdate seen = found->second.report;
        seen.isLeaving = seen.isLeaving || report.isLeaving;
        seen.presenceCounter += seen.isPresent() ? 0 : 1;
        merge(seen, now, transmissions);
    }
    for (auto &[id, entry] : m_entries) {
        if (!entry.report.isPresent() || present.contains(id)) {
            continue;
        }
        entry.absentTime += gap;
        if (entry.absentTime >= AbsenceRemovalTimeout) {
            remove(entry, now, transmissions);
        }
    }
}

void UpstreamController::reportLeaving(UpstreamId id, Milliseconds now, std::uint32_t transmissions)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.report.isLeaving) {
        return;
    }
    UpstreamUpdate report = found->second.report;
    report.isLeaving = true;
    applyChange(found->second, report, now, transmissions);
}

void UpstreamController::expire(Milliseconds now)
{
    std::erase_if(m_entries, [now](const auto &item) {
        const Entry &entry = item.second;
        return !entry.report.isPresent() && now - entry.removedAt > RemovedRetention;
    });
}

std::unordered_map<UpstreamId, UpstreamView> UpstreamController::views() const
{
    std::unordered_map<UpstreamId, UpstreamView> views;
    views.reserve(m_entries.size());
    for (const auto &[id, entry] : m_entries) {
        const UpstreamUpdate &report = entry.report;
        if (report.isPresent()) {
            const UpstreamState state =
                    report.isLeaving ? UpstreamState::Leaving : UpstreamState::Live;
            views[id] = {id, report.endpoint, report.service, state};
        }
    }
    return views;
}

std::vector<UpstreamUpdate> UpstreamController::snapshot() const
{
    std::vector<UpstreamUpdate> reports;
    reports.reserve(m_entries.size());
    for (const auto &[id, entry] : m_entries) {
        reports.push_back(entry.report);
    }
    return reports;
}

} // namespace damaskhall
