#include "core/flow/changelog.h"

#include <algorithm>
#include <utility>

namespace damaskhall {

namespace {

/// Covers several watch intervals in which every upstream of a large service is replaced.
constexpr std::size_t MaxLoggedChanges = 1024;

bool isAfter(StoreRevision revision, const StoreChange &change)
{
    return revision < change.revision;
}

} // namespace

void ChangeLog::record(const StoreChange &change)
{
    const auto position =
            std::upper_bound(m_changes.begin(), m_changes.end(), change.revision, isAfter);
    m_changes.insert(position, change);
    if (m_changes.size() > MaxLoggedChanges) {
        m_start = std::max(m_start, m_changes.front().revision);
        m_changes.pop_front();
    }
}

void ChangeLog::restart(StoreRevision revision)
{
    const auto kept = std::upper_bound(m_changes.begin(), m_changes.end(), revision, isAfter);
    m_changes.erase(m_changes.begin(), kept);
    m_start = std::max(m_start, revision);
}

std::vector<DirectoryUpdate> ChangeLog::updatesSince(StoreRevision known, StoreRevision to) const
{
    std::vector<DirectoryUpdate> updates(1);
    updates.back().from = known;
    auto change = std::upper_bound(m_changes.begin(), m_changes.end(), known, isAfter);
    for (; change != m_changes.end() && change->revision <= to; ++change) {
        DirectoryUpdate &current = updates.back();
        // Changes of one revision stay together, as an update is complete up to a revision.
        if (current.changes.size() >= MaxDirectoryUpdateChanges &&
            current.changes.back().revision < change->revision) {
            current.to = current.changes.back().revision;
            DirectoryUpdate next;
            next.from = current.to;
            updates.push_back(std::move(next));
        }
        updates.back().changes.push_back(*change);
    }
    updates.back().to = to;
    return updates;
}

DirectoryUpdate ChangeLog::latest(StoreRevision to) const
{
    DirectoryUpdate update;
    update.from = m_start;
    update.to = to;
    auto begin = m_changes.begin();
    const auto end = std::upper_bound(m_changes.begin(), m_changes.end(), to, isAfter);
    if (end - begin > static_cast<std::ptrdiff_t>(MaxDirectoryUpdateChanges)) {
        begin = end - static_cast<std::ptrdiff_t>(MaxDirectoryUpdateChanges);
        update.from = std::prev(begin)->revision;
        // Changes of the revision before the first one kept are left out as a whole.
        begin = std::upper_bound(begin, end, update.from, isAfter);
    }
    update.changes.assign(begin, end);
    return update;
}

} // namespace damaskhall
