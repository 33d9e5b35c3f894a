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
        /// Reads the last saved snapshot of the directory; a stale read is sufficient.
        Snapshot,
        /// Lists one page of all items.
        List,
        /// Returns the changes since a revision; waits until there is one.
        Watch,
        /// Reads only the declaration.
        Declaration,
        /// Saves a snapshot of the directory.
        SaveSnapshot,
    };

    /// Why the call is made.
    enum class Reason : std::uint8_t {
        /// This instance does not know the directory yet.
        Start,
        /// This instance reads the store for its peers.
        Interval,
        /// The updates of the peers failed to arrive.
        PeersSilent,
        /// Changes are missing between the known revision and an update of a peer.
        ChangesMissing,
        /// The peers that read the store get no answers, and this instance was selected to try.
        OutageTrial,
        /// The last call failed.
        Retry,
        /// A declaration newer than the one in force is known to exist.
        NewDeclaration,
        /// An open flow uses a route that the declaration in force lacks.
        RouteMissing,
        /// A peer has read the store in an era that this instance does not know.
        NewEra,
        /// The saved snapshot is old or missing.
        SnapshotDue,
    };

    Kind kind = Kind::List;
    Reason reason = Reason::Start;
    /// List: key after which the page begins; empty: the first page.
    std::string pageAfter;
    /// Watch: revision after which changes are requested. Of any call: the era that its caller
    /// knows and that a response which names none is taken for.
    StoreRevision after;
    /// Watch: maximum time that the store waits for a change.
    Milliseconds wait;
    /// Declaration: a stale read is sufficient, which costs the store less.
    bool isStaleAllowed = false;
    /// SaveSnapshot: the entries of all upstreams, as an update from revision zero.
    std::shared_ptr<const DirectoryUpdate> snapshot;
};

/// Returns the name in lower case with underscores. Thread safety: reentrant.
std::string_view toString(StoreCall::Kind kind);

/// Returns the name in lower case with underscores. Thread safety: reentrant.
std::string_view toString(StoreCall::Reason reason);

/// Result of a call.
enum class StoreOutcome : std::uint8_t {
    Done,
    /// The store no longer keeps the requested changes; a new list is needed.
    HistoryLost,
    /// The store responded and refused the call.
    Refused,
    /// No response, or one that cannot be decoded.
    Unanswered,
    /// The response is too large to be received; the same call would fail again.
    Oversized,
};

/// Returns the name in lower case with underscores. Thread safety: reentrant.
std::string_view toString(StoreOutcome outcome);

/// Decides when the store is read. Reads a snapshot of the directory and the changes since, or
/// lists all items if there is no snapshot; then watches for changes at a limited rate. Starts
/// again when changes were lost, and lists all items when the changes are too large for one
/// response. Failed reads are retried with jittered exponential backoff.
///
/// Snapshots address the load when many instances of a large fleet start at once: lists by all of
/// them would saturate the store's link for seconds. Snapshots are saved by readers only, and only
/// of a directory that needs more than one page. While there is no snapshot, a randomly selected
/// share of the instances lists the directory, and the others wait until one of them saves a
/// snapshot.
///
/// A store that has returned from an older copy is read again as a whole: a watch would miss
/// changes whose revisions had been assigned before, and never mentions what the copy lacks.
/// Deterministic. Thread safety: none.
class StoreReader
{
public:
    struct Times
    {
        /// Minimum time between the starts of two watches.
        Milliseconds watchInterval = 1_s;
        /// Maximum time between two answers of the store that confirm the known state: a watch
        /// waits for a change until then.
        Milliseconds confirmationInterval = 1_s;
    };

    StoreReader(Times times, RandomSource random);

    /// Returns the call that is due, or nothing. The caller passes its result to
    /// handleCallResult().
    std::optional<StoreCall> next(Milliseconds now);
    /// Processes the result of the call. @p asOf: revision that the response reflects; its value is
    /// zero if there is none, or if the snapshot that was asked for does not exist. @p nextPage:
    /// key after which the next page of a list begins, if there is one. Returns the outcome that
    /// counts: the content of a response that belongs to another era than what was read before it
    /// must not be used.
    StoreOutcome handleCallResult(StoreOutcome outcome, StoreRevision asOf,
                                  std::optional<std::string> nextPage, Milliseconds now);

    /// Processes an update from a peer: all changes up to @p asOf are known, as confirmed by the
    /// store at @p confirmedAt. If that is long ago, the peer cannot read the store, and this
    /// instance decides at random whether it tries.
    void handleDirectoryUpdate(StoreRevision asOf, Milliseconds confirmedAt, Milliseconds now);
    /// A follower does not read the store while the updates of its peers are recent.
    void setFollower(bool isFollower) { m_isFollower = isFollower; }
    /// Sets the number of other members that are not dead.
    void setPeerCount(std::size_t count) { m_peerCount = count; }
    /// Returns true if this instance reads for its peers, has had no answer for longer than a
    /// confirmation interval, and should tell them so now. Call about every 100 ms.
    bool takeOutageNotice(Milliseconds now);
    /// Makes the next watch due immediately, for @p reason.
    void requestRead(StoreCall::Reason reason, Milliseconds now)
    {
        m_due = std::min(m_due, now);
        m_requestedReason = reason;
    }
    /// Makes a watch due, as a peer has read the store in a later era: immediately, or after the
    /// delay of a failed call. The era is known when the store itself names it.
    void handleNewEraReport(Milliseconds now);
    /// Requests the declaration until @p revision or a newer one is in force.
    void requestDeclaration(Revision revision);
    /// Requests one read of the declaration that begins now or later and is not stale.
    void requestCurrentDeclaration(Milliseconds now);
    /// Newest revision passed to requestDeclaration().
    Revision requestedDeclaration() const { return m_requestedDeclaration; }
    /// Sets the number of upstreams that have an entry.
    void setDirectorySize(std::size_t size);
    /// Called when any instance has saved a snapshot.
    void handleSnapshotSaved(Milliseconds now);
    /// Sets the revision of the declaration in force.
    void setDeclaration(Revision revision) { m_declaration = revision; }
    /// Revision up to which all changes are known; in a new era, zero until the directory has been
    /// read again.
    StoreRevision revision() const { return m_after; }
    /// Kind of the call in progress, or of the last one.
    StoreCall::Kind lastCall() const { return m_kind; }
    /// When the call in progress, or the last one, began.
    Milliseconds lastCallAt() const { return m_startedAt; }
    /// True if the last call read the declaration, and its result cannot be stale.
    bool isCurrentDeclarationRead() const;
    /// True if the peers need the result of the last call: it was made by an instance that reads
    /// for them, or by one to which those that read have been silent.
    bool isResultForPeers() const;
    /// True if the last call failed, or if the peers that read the store get no answers, and no
    /// peer has reached the store since.
    bool isStoreUnreachable() const { return m_failures > 0 || m_hasOutageNotice; }
    /// Time of the last call of this instance or a peer that did not fail.
    std::optional<Milliseconds> confirmedAt() const { return m_confirmedAt; }
    /// True if all changes up to revision() are known.
    bool isFollowing() const { return m_phase == Phase::Following; }

private:
    /// Progress of reading the directory.
    enum class Phase : std::uint8_t {
        /// Nothing is known yet; the next call reads a snapshot.
        Snapshot,
        /// A snapshot was read; the changes since are missing.
        CatchUp,
        /// There is no usable snapshot; all items are listed.
        List,
        /// All changes are known.
        Following,
    };

    Milliseconds watchWait(Milliseconds now) const;
    bool isCoveredByPeers(Milliseconds now) const;
    bool isConfirmationOverdue(Milliseconds confirmedAt, Milliseconds now) const;
    bool isSnapshotDue(Milliseconds now) const;
    StoreCall::Reason reasonFor(StoreCall::Kind kind) const;
    bool beginEra(StoreEra era);
    void handleFailure(Milliseconds now);
    /// Replaces a call whose response is too large by one whose response is bounded. Returns false
    /// if there is none.
    bool handleOversized(Milliseconds now);
    void handleSnapshot(StoreRevision revision, Milliseconds now);
    void handlePage(StoreRevision asOf, std::optional<std::string> nextPage, Milliseconds now);
    /// Discards what has been read of a list, and goes on with @p phase.
    void restartReading(Phase phase);
    void beginFollowing(StoreRevision revision, Milliseconds now);
    /// Decides whether this instance lists the whole of a large directory or waits for a snapshot:
    /// at random, unless others rely on it.
    void drawListing(Milliseconds now);

    Times m_times;
    RandomSource m_random;
    /// Differs between instances, so that followers do not all read at once.
    double m_followerTimeoutFactor = 1;
    bool m_isPending = false;
    Phase m_phase = Phase::Snapshot;
    /// The directory needs more than one page, or once did.
    bool m_isLarge = false;
    Milliseconds m_snapshotDue;
    /// This instance had to list because there was no snapshot. Instances that start now need one,
    /// so it saves a snapshot even if it is a follower.
    bool m_isSnapshotMissing = false;
    StoreCall::Kind m_kind = StoreCall::Kind::List;
    StoreCall::Reason m_reason = StoreCall::Reason::Start;
    Milliseconds m_startedAt;
    /// When the last call that reads the directory began.
    Milliseconds m_directoryReadAt;
    Milliseconds m_due;
    StoreRevision m_after;
    /// Revision of the first page. Later pages may be newer; the watch starts here so that it
    /// misses no change.
    std::optional<StoreRevision> m_listRevision;
    std::string m_page;
    /// When the next watch may begin after a list.
    Milliseconds m_nextWatch;
    /// All changes were known once.
    bool m_hasFollowed = false;
    /// The list replaces changes that were too large to be received.
    bool m_isListUrgent = false;
    /// Calls of drawListing() that decided to wait.
    std::uint32_t m_listDraws = 0;
    std::uint32_t m_failures = 0;
    std::optional<Milliseconds> m_confirmedAt;
    std::size_t m_peerCount = 0;
    /// A peer has reported that the store does not answer, and none has read it since.
    bool m_hasOutageNotice = false;
    Milliseconds m_lastNoticeAt;
    Milliseconds m_nextOwnNotice;
    bool m_isFollower = false;
    /// Reason why a read is due even if peers read the store.
    std::optional<StoreCall::Reason> m_requestedReason;
    Revision m_declaration;
    Revision m_requestedDeclaration;
    /// The requested declaration is not read before, unless a newer one is requested.
    Milliseconds m_nextDeclarationRead;
    /// A stale read of the requested declaration has been tried.
    bool m_hasTriedStaleRead = false;
    bool m_isCurrentDeclarationRequested = false;
    /// Whether the last call may return a stale result.
    bool m_isStaleAllowed = false;
};

} // namespace damaskhall
