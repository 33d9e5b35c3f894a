#pragma once

#include "base/ids.h"
#include "base/milliseconds.h"
#include "base/random.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

namespace damaskhall {

/// Read of the platform's store. Thread safety: a plain value.
struct StoreCall
{
    enum class Kind : std::uint8_t {
        /// One page of all items.
        List,
        /// Changes since a revision; waits for one.
        Watch,
        /// The declaration alone.
        Declaration,
    };

    Kind kind = Kind::List;
    /// List: key after which the page begins; empty: the first page.
    std::string pageAfter;
    /// Watch: revision after which changes are asked for.
    Revision after;
    /// Watch: longest time that the store waits for a change.
    Milliseconds wait;
    /// Declaration: an older one will do, which costs the store less.
    bool mayBeOld = false;
};

/// How a read ended.
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

/// Decides when the store is read: lists once, then follows the changes, at a bounded rate. Lists
/// again when changes were lost. Failed reads are repeated after a jittered exponential delay.
/// Deterministic. Thread safety: none.
class StoreReader
{
public:
    struct Times
    {
        /// Shortest time between the starts of two watches.
        Milliseconds pace = 1_s;
        /// Longest wait of a watch.
        Milliseconds wait = 1_s;
    };

    StoreReader(Times times, RandomSource random);

    /// Returns the call that is due, or nothing. The caller reports its end with handleEnd().
    std::optional<StoreCall> next(Milliseconds now);
    /// Takes the end of the call. @p asOf: revision that the answer reflects. @p nextPage: key
    /// after which the next page of a list begins, if there is one.
    void handleEnd(StoreOutcome outcome, Revision asOf, std::optional<std::string> nextPage,
                   Milliseconds now);

    /// Takes what a peer read: everything up to @p asOf is known, as the store confirmed at
    /// @p confirmedAt.
    void handleNews(Revision asOf, Milliseconds confirmedAt);
    /// A follower leaves reading to others while their news is recent.
    void setFollower(bool isFollower) { m_isFollower = isFollower; }
    /// Makes the next watch due at once.
    void readSoon(Milliseconds now)
    {
        m_due = std::min(m_due, now);
        m_isImpatient = true;
    }
    /// Asks for the declaration until @p revision or a newer one is in force.
    void wantDeclaration(Revision revision);
    /// Tells which declaration is in force.
    void setDeclaration(Revision revision) { m_declaration = revision; }
    /// Revision up to which all changes are known.
    Revision revision() const { return m_after; }
    /// True while the store does not answer.
    bool isAway() const { return m_failures > 0; }
    /// Time of the last answer that was not a failure.
    std::optional<Milliseconds> confirmedAt() const { return m_confirmedAt; }
    /// True if a list was read to its end since the changes were last lost.
    bool isFollowing() const { return m_isFollowing; }

private:
    bool isLeftToOthers(Milliseconds now) const;

    Times m_times;
    RandomSource m_random;
    /// Different for each instance, so that followers do not all read at once.
    double m_patience = 1;
    bool m_isPending = false;
    bool m_isFollowing = false;
    StoreCall::Kind m_kind = StoreCall::Kind::List;
    Milliseconds m_startedAt;
    Milliseconds m_due;
    Revision m_after;
    /// Revision of the first page: later pages may be newer, and a watch must miss nothing.
    std::optional<Revision> m_listRevision;
    std::string m_page;
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
