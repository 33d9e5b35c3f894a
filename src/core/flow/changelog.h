#pragma once

#include "core/flow/directoryupdate.h"

#include <deque>
#include <vector>

namespace damaskhall {

/// The most recent changes of the upstream directory in the order of their revisions, from which
/// instances that lack some of them catch up. Bounded: the oldest changes are dropped.
/// Deterministic. Thread safety: none.
class ChangeLog
{
public:
    /// Adds a change of an upstream. Its revision may be lower than that of the last one added, but
    /// not than start().
    void record(const StoreChange &change);
    /// Drops the changes up to @p revision. From now on, the log contains all changes after it,
    /// those included that are known already.
    void restart(StoreRevision revision);

    /// The log contains all changes after this revision.
    StoreRevision start() const { return m_start; }
    /// Returns the changes after @p known and up to @p to as consecutive updates that each fit into
    /// a datagram; a single update without changes if there are none. Only the fields from, to and
    /// changes are set. Precondition: start() <= @p known <= @p to.
    std::vector<DirectoryUpdate> updatesSince(StoreRevision known, StoreRevision to) const;
    /// Returns the changes up to @p to that fit into one datagram, newest first kept. Only the
    /// fields from, to and changes are set. Precondition: start() <= @p to.
    DirectoryUpdate latest(StoreRevision to) const;

private:
    std::deque<StoreChange> m_changes;
    StoreRevision m_start;
};

} // namespace damaskhall
