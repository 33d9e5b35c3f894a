#pragma once

#include "base/ids.h"
#include "base/milliseconds.h"
#include "base/random.h"
#include "core/flow/directoryupdate.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace damaskhall {

/// Call to the platform's store. Thread safety: a plain value.
struct StoreCall
{
    enum class Kind : std::uint8_t {
        /// The latest snapshot of the directory; an older one will do.
        Snapshot,
        /// One page of all items.
        List,
        /// Changes since a revision; waits for one.
        Watch,
        /// The declaration alone.
        Declaration,
        /// Writes a snapshot of the directory.
        SaveSnapshot,
    };

    Kind kind = Kind::List;
    /// List: key after which the page begins; empty: the first page.
    std::string pageAfter;
    /// Watch: revision after which changes are asked for.
    Revision after;
    /// Watch: longest time that the store waits for a change.
    Milliseconds wait;
    /// Declaration: an older one will do, which costs the store less.
    bool isStaleAllowed = false;
    /// SaveSnapshot: every upstream that has an entry, as an update since the beginning.
    std::shared_ptr<const DirectoryUpdate> snapshot;
};

/// Returns the name in lower case with underscores. Thread safety: reentrant.
std::string_view toString(StoreCall::Kind kind);

/// How a call ended.
enum class StoreOutcome : std::uint8_t {
    Done,
    /// The changes asked for are no longer kept: list again.
    HistoryLost,
    /// The store answered and declined.
    Refused,
    /// No answer, or none that can be read.
    Unanswered,
};

/// Returns the name in lower case with underscores. Thread safety: reentrant.
std::string_view toString(StoreOutcome outcome);

/// Decides when the store is read: takes a snapshot of the directory and the changes since, or
/// lists all items if there is none, then follows the changes at a bounded rate. Begins again when
/// changes were lost. Failed reads are repeated after a jittered exponential delay.
///
/// Snapshots answer the load pattern of many instances that start at once in a large fleet: all
/// lists together would fill the store's link for seconds. Only readers of a directory of more than
/// one page save them. While there is none, a drawn share of the instances lists and the others
/// wait for the first to save one.
/// Deterministic. Thread safety: none.
class StoreReader
{
public:
    struct Times
    {
        /// Shortest time between the starts of two watches.
        Milliseconds watchInterval = 1_s;
        /// Longest wait of a watch.
        Milliseconds wait = 1_s;
    };

    StoreReader(Times times, RandomSource random);

    /// Returns the call that is due, or nothing. The caller reports its end with handleEnd().
    std::optional<StoreCall> next(Milliseconds now);
    /// Takes the end of the call. @p asOf: revision that the answer reflects. @p nextPage: key
    /// after which the next page of a list begins, if there is one. A snapshot that does not exist
    /// has no revision.
    void handleEnd(StoreOutcome outcome, Revision asOf, std::optional<std::string> nextPage,
                   Milliseconds now);

    /// Takes what a peer read: everything up to @p asOf is known, as the store confirmed at
    /// @p confirmedAt.
    void handleDirectoryUpdate(Revision asOf, Milliseconds confirmedAt);
    /// A follower leaves reading to others while their updates are recent.
    void setFollower(bool isFollower) { m_isFollower = isFollower; }
    /// Makes the next watch due at once.
    void readSoon(Milliseconds now)
    {
        m_due = std::min(m_due, now);
        m_isImpatient = true;
    }
    /// Asks for the declaration until @p revision or a newer one is in force.
    void wantDeclaration(Revision revision);
    /// Tells how many upstreams have an entry.
    void setDirectorySize(std::size_t size);
    /// Takes notice that some instance has saved a snapshot.
    void handleSnapshotSaved(Milliseconds now);
    /// Tells which declaration is in force.
    void setDeclaration(Revision revision) { m_declaration = revision; }
    /// Revision up to which all changes are known.
    Revision revision() const { return m_after; }
    /// Kind of the call under way, or of the last one.
    StoreCall::Kind lastCall() const { return m_kind; }
    /// True while the store does not answer.
    bool isAway() const { return m_failures > 0; }
    /// Time of the last answer that was not a failure.
    std::optional<Milliseconds> confirmedAt() const { return m_confirmedAt; }
    /// True if all changes up to revision() are known.
    bool isFollowing() const { return m_phase == Phase::Following; }

private:
    /// How far the directory is known.
    enum class Phase : std::uint8_t {
        /// Nothing yet: a snapshot is asked for.
        Snapshot,
        /// The changes since the snapshot are missing.
        CatchUp,
        /// There is no snapshot, or it is too old: all items are listed.
        List,
        /// All changes are known.
        Following,
    };

    bool isLeftToOthers(Milliseconds now) const;
    bool isSnapshotDue(Milliseconds now) const;
    void beginFollowing(Revision revision, Milliseconds now);
    /// Draws whether this instance lists the whole of a large directory or waits for a snapshot.
    void drawLister(Milliseconds now);

    Times m_times;
    RandomSource m_random;
    /// Different for each instance, so that followers do not all read at once.
    double m_patience = 1;
    bool m_isPending = false;
    Phase m_phase = Phase::Snapshot;
    /// The directory takes more than one page to list, or did so once.
    bool m_isLarge = false;
    Milliseconds m_snapshotDue;
    /// This instance had to list: whoever starts now needs its snapshot, follower or not.
    bool m_isSnapshotMissing = false;
    StoreCall::Kind m_kind = StoreCall::Kind::List;
    Milliseconds m_startedAt;
    Milliseconds m_due;
    Revision m_after;
    /// Revision of the first page: later pages may be newer, and a watch must miss nothing.
    std::optional<Revision> m_listRevision;
    std::string m_page;
    /// Draws of drawLister() that were lost.
    std::uint32_t m_draws = 0;
    std::uint32_t m_failures = 0;
    std::optional<Milliseconds> m_confirmedAt;
    bool m_isFollower = false;
    /// Read although others do.
    bool m_isImpatient = false;
    Revision m_declaration;
    Revision m_wantedDeclaration;
    /// The cheap read, which may be old, was made.
    bool m_hasAskedOld = false;
};

} // namespace damaskhall
