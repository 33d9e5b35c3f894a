#include "core/flow/storereader.h"

#include <algorithm>
#include <utility>

namespace damaskhall {

namespace {

/// Delay after the first failed read; doubles up to MaxRetryDelay.
constexpr Milliseconds InitialRetryDelay = 100_ms;
/// Limits the time from the store's recovery to the first read to less than a second.
constexpr Milliseconds MaxRetryDelay = 800_ms;
constexpr std::uint32_t MaxDelayDoublings = 3;
/// Time between two reads of a declaration that is known to exist, but that a restored store lacks.
/// Watches go on in between.
constexpr Milliseconds DeclarationReadInterval = 500_ms;
/// A follower reads when the last confirmation is older than this many confirmation intervals, plus
/// a random share of FollowerTimeoutSpread. Two readers confirm once per interval each, so several
/// of their updates have failed to arrive by then.
constexpr double FollowerTimeoutFactor = 1.25;
constexpr double FollowerTimeoutSpread = 0.5;
/// A reader reports an outage when the store's last answer is older than this many confirmation
/// intervals; a watch returns within one.
constexpr double OutageNoticeFactor = 1.2;
constexpr Milliseconds OutageNoticeInterval = 500_ms;
/// Expected number of followers that try to read the store upon each notice of an outage. The first
/// that succeeds informs the others, so that a store that refuses most instances, including the
/// readers, is still read.
constexpr std::size_t ReadsPerOutageNotice = 4;
/// A follower that hears of an outage tries on its own when the last answer is older than this many
/// confirmation intervals: the store may refuse its peers and serve it, and what the store reports
/// must be in force within three. After own failures the time doubles up to MaxOwnReadFactor.
constexpr std::int64_t OwnReadFactor = 2;
constexpr std::int64_t MaxOwnReadFactor = 8;
/// Number of upstreams that platforms list in one page; a snapshot would cost no less than that
/// page.
constexpr std::size_t UpstreamsPerPage = 500;
/// Age at which a snapshot is replaced: less than half of the 20 s for which platforms keep
/// changes, as its reader needs the changes since.
constexpr Milliseconds SnapshotInterval = 8_s;
/// One in this many instances lists a large directory at once when there is no snapshot. The share
/// doubles with each draw, so every instance lists after four draws at the latest.
constexpr std::uint64_t ListingShareDivisor = 16;
/// Time between two draws: about as long as a list of some thousand upstreams takes.
constexpr Milliseconds ListDrawInterval = 1_s;
/// Maximum random delay added to the snapshot interval, within which the first of several readers
/// saves the snapshot for all.
constexpr Milliseconds SnapshotJitter = 2_s;

} // namespace

std::string_view toString(StoreCall::Kind kind)
{
    switch (kind) {
    case StoreCall::Kind::Snapshot:
        return "snapshot";
    case StoreCall::Kind::List:
        return "list";
    case StoreCall::Kind::Watch:
        return "watch";
    case StoreCall::Kind::Declaration:
        return "declaration";
    case StoreCall::Kind::SaveSnapshot:
        break;
    }
    return "save_snapshot";
}

std::string_view toString(StoreCall::Reason reason)
{
    switch (reason) {
    case StoreCall::Reason::Start:
        return "start";
    case StoreCall::Reason::Interval:
        return "interval";
    case StoreCall::Reason::PeersSilent:
        return "peers_silent";
    case StoreCall::Reason::ChangesMissing:
        return "changes_missing";
    case StoreCall::Reason::OutageTrial:
        return "outage_trial";
    case StoreCall::Reason::Retry:
        return "retry";
    case StoreCall::Reason::NewDeclaration:
        return "new_declaration";
    case StoreCall::Reason::RouteMissing:
        return "route_missing";
    case StoreCall::Reason::NewEra:
        return "new_era";
    case StoreCall::Reason::SnapshotDue:
        break;
    }
    return "snapshot_due";
}

std::string_view toString(StoreOutcome outcome)
{
    switch (outcome) {
    case StoreOutcome::Done:
        return "done";
    case StoreOutcome::HistoryLost:
        return "history_lost";
    case StoreOutcome::Refused:
        return "refused";
    case StoreOutcome::Oversized:
        return "oversized";
    case StoreOutcome::Unanswered:
        break;
    }
    return "unanswered";
}

StoreReader::StoreReader(Times times, RandomSource random)
    : m_times(times)
    , m_random(std::move(random))
{
    m_followerTimeoutFactor = FollowerTimeoutFactor + FollowerTimeoutSpread * randomUnit(m_random);
}

std::optional<StoreCall> StoreReader::next(Milliseconds now)
{
    if (m_isPending || now < m_due) {
        return std::nullopt;
    }
    const bool isNewerRequested =
            m_requestedDeclaration > m_declaration && now >= m_nextDeclarationRead;
    const bool isDeclarationDue =
            isFollowing() && (m_isCurrentDeclarationRequested || isNewerRequested);
    StoreCall call;
    call.after.era = m_after.era;
    if (!isDeclarationDue && !isSnapshotDue(now) && isCoveredByPeers(now)) {
        return std::nullopt;
    }
    m_isPending = true;
    m_startedAt = now;
    if (m_phase == Phase::Snapshot) {
        call.kind = StoreCall::Kind::Snapshot;
    } else if (m_phase == Phase::List) {
        call.pageAfter = m_page;
    } else if (isDeclarationDue) {
        call.kind = StoreCall::Kind::Declaration;
        // Without a declaration in force, a stale one would be applied as the current one.
        call.isStaleAllowed = !m_isCurrentDeclarationRequested && !m_hasTriedStaleRead &&
                              m_declaration != Revision{};
        m_hasTriedStaleRead = true;
    } else if (isSnapshotDue(now)) {
        call.kind = StoreCall::Kind::SaveSnapshot;
    } else {
        call.kind = StoreCall::Kind::Watch;
        call.after = m_after;
        call.wait = m_phase == Phase::CatchUp ? 0_ms : watchWait(now);
    }
    m_kind = call.kind;
    m_isStaleAllowed = call.isStaleAllowed || call.kind == StoreCall::Kind::Snapshot;
    call.reason = reasonFor(call.kind);
    m_reason = call.reason;
    if (call.kind == StoreCall::Kind::Declaration) {
        m_isCurrentDeclarationRequested = false;
    } else if (call.kind != StoreCall::Kind::SaveSnapshot) {
        // A read of the directory answers the request; the other calls do not.
        m_requestedReason.reset();
        m_directoryReadAt = now;
    }
    return call;
}

StoreCall::Reason StoreReader::reasonFor(StoreCall::Kind kind) const
{
    if (m_failures > 0) {
        return StoreCall::Reason::Retry;
    }
    if (!isFollowing()) {
        return StoreCall::Reason::Start;
    }
    if (kind == StoreCall::Kind::Declaration) {
        return m_isCurrentDeclarationRequested ? StoreCall::Reason::RouteMissing
                                               : StoreCall::Reason::NewDeclaration;
    }
    if (kind == StoreCall::Kind::SaveSnapshot) {
        return StoreCall::Reason::SnapshotDue;
    }
    if (!m_isFollower) {
        return StoreCall::Reason::Interval;
    }
    return m_requestedReason.value_or(StoreCall::Reason::PeersSilent);
}

bool StoreReader::isResultForPeers() const
{
    return !m_isFollower ||
           (m_kind == StoreCall::Kind::Watch && m_reason != StoreCall::Reason::Start);
}

// A watch that began with a fresh confirmation may wait for the whole interval; one that was due
// later waits for the rest of it.
Milliseconds StoreReader::watchWait(Milliseconds now) const
{
    const Milliseconds confirmed = m_confirmedAt.value_or(now);
    return std::max(confirmed + m_times.confirmationInterval - now, 0_ms);
}

bool StoreReader::isSnapshotDue(Milliseconds now) const
{
    return isFollowing() && (!m_isFollower || m_isSnapshotMissing) && m_isLarge &&
           now >= m_snapshotDue;
}

void StoreReader::setDirectorySize(std::size_t size)
{
    m_isLarge = m_isLarge || size > UpstreamsPerPage;
}

void StoreReader::handleSnapshotSaved(Milliseconds now)
{
    m_isSnapshotMissing = false;
    const auto spread = static_cast<std::uint64_t>(SnapshotJitter.value);
    m_snapshotDue = now + SnapshotInterval +
                    Milliseconds{static_cast<std::int64_t>(randomBelow(m_random, spread))};
}

StoreOutcome StoreReader::handleCallResult(StoreOutcome outcome, StoreRevision asOf,
                                           std::optional<std::string> nextPage, Milliseconds now)
{
    m_isPending = false;
    if (asOf.era < m_after.era) {
        // The response was sent before the store was restored.
        outcome = StoreOutcome::Unanswered;
    }
    const bool isNewEra = asOf.era > m_after.era && beginEra(asOf.era);
    if (m_kind == StoreCall::Kind::SaveSnapshot) {
        // After a refusal another instance may save it; reading has priority.
        handleSnapshotSaved(now);
        if (outcome != StoreOutcome::Unanswered && !isNewEra) {
            return outcome;
        }
    }
    if (outcome == StoreOutcome::Oversized && handleOversized(now)) {
        return outcome;
    }
    if (outcome == StoreOutcome::Refused || outcome == StoreOutcome::Unanswered ||
        outcome == StoreOutcome::Oversized) {
        handleFailure(now);
        return outcome;
    }
    m_failures = 0;
    m_hasOutageNotice = false;
    m_due = now;
    if (isNewEra) {
        return StoreOutcome::HistoryLost;
    }
    if (m_kind == StoreCall::Kind::Declaration) {
        // If it was stale or cannot be decoded, it is requested again after a delay.
        m_due = now + InitialRetryDelay;
        m_nextDeclarationRead =
                now + (m_isStaleAllowed ? InitialRetryDelay : DeclarationReadInterval);
        return outcome;
    }
    if (m_kind == StoreCall::Kind::Snapshot) {
        handleSnapshot(asOf, now);
        return outcome;
    }
    m_confirmedAt = now;
    if (outcome == StoreOutcome::HistoryLost) {
        // A snapshot whose following changes are lost is not requested a second time.
        restartReading(m_phase == Phase::CatchUp ? Phase::List : Phase::Snapshot);
    } else if (m_kind == StoreCall::Kind::Watch) {
        const bool isCaughtUp = m_phase == Phase::CatchUp;
        beginFollowing(std::max(m_after, asOf), now);
        m_due = isCaughtUp ? now : std::max(now, m_startedAt + m_times.watchInterval);
    } else {
        handlePage(asOf, std::move(nextPage), now);
    }
    return outcome;
}

// Returns true if what has been read before is of an earlier era.
bool StoreReader::beginEra(StoreEra era)
{
    const bool hasRead = m_phase != Phase::Snapshot || m_listRevision;
    m_after = {0, era};
    m_listDraws = 0;
    restartReading(Phase::Snapshot);
    return hasRead;
}

void StoreReader::restartReading(Phase phase)
{
    m_phase = phase;
    m_listRevision.reset();
    m_page.clear();
}

void StoreReader::handleFailure(Milliseconds now)
{
    const Milliseconds delay = std::min(
            InitialRetryDelay * (1 << std::min(m_failures, MaxDelayDoublings)), MaxRetryDelay);
    const auto jitter = randomBelow(m_random, static_cast<std::uint64_t>(delay.value));
    m_due = now + delay / 2 + Milliseconds{static_cast<std::int64_t>(jitter)};
    ++m_failures;
    m_isCurrentDeclarationRequested = m_isCurrentDeclarationRequested || isCurrentDeclarationRead();
}

bool StoreReader::handleOversized(Milliseconds now)
{
    if (m_kind != StoreCall::Kind::Watch && m_kind != StoreCall::Kind::Snapshot) {
        return false;
    }
    m_due = now;
    m_failures = 0;
    if (m_kind == StoreCall::Kind::Snapshot) {
        handleSnapshot({}, now);
        return true;
    }
    // Pages are bounded, and the list also contains what the changes would have said.
    m_nextWatch = m_startedAt + m_times.watchInterval;
    m_isListUrgent = m_hasFollowed;
    restartReading(Phase::List);
    return true;
}

void StoreReader::handleSnapshot(StoreRevision revision, Milliseconds now)
{
    if (revision.value != 0) {
        m_isLarge = true;
        m_after = revision;
        restartReading(Phase::CatchUp);
    } else if (m_page.empty()) {
        m_phase = Phase::List;
    } else {
        drawListing(now);
    }
}

void StoreReader::handlePage(StoreRevision asOf, std::optional<std::string> nextPage,
                             Milliseconds now)
{
    const bool isOnlyPage = !m_listRevision && !nextPage;
    m_listRevision = m_listRevision ? *m_listRevision : asOf;
    if (nextPage) {
        const bool isFirst = m_page.empty();
        m_page = *nextPage;
        if (isFirst) {
            m_isLarge = true;
            drawListing(now);
        }
        return;
    }
    beginFollowing(*m_listRevision, now);
    m_due = std::max(now, isOnlyPage ? m_startedAt + m_times.watchInterval : m_nextWatch);
    if (m_isLarge) {
        m_snapshotDue = now;
        m_isSnapshotMissing = true;
    }
    m_listRevision.reset();
    m_page.clear();
}

void StoreReader::drawListing(Milliseconds now)
{
    // Peers rely on the few that read for them, which do not wait for each other. A follower that
    // reads has heard nothing from them.
    const bool isUrgent = m_isListUrgent || (m_hasFollowed && !m_isFollower);
    const std::uint64_t share = ListingShareDivisor >> std::min<std::uint32_t>(m_listDraws, 63);
    if (isUrgent || share <= 1 || randomBelow(m_random, share) == 0) {
        m_phase = Phase::List;
        return;
    }
    ++m_listDraws;
    m_phase = Phase::Snapshot;
    m_due = now + ListDrawInterval;
}

void StoreReader::beginFollowing(StoreRevision revision, Milliseconds now)
{
    m_listDraws = 0;
    m_isListUrgent = false;
    m_after = revision;
    if (!isFollowing()) {
        m_hasFollowed = true;
        m_phase = Phase::Following;
        handleSnapshotSaved(now);
    }
}

bool StoreReader::isCoveredByPeers(Milliseconds now) const
{
    if (!m_isFollower || !isFollowing() || m_requestedReason || !m_confirmedAt) {
        return false;
    }
    const double timeout =
            m_followerTimeoutFactor * static_cast<double>(m_times.confirmationInterval.value);
    if (static_cast<double>((now - *m_confirmedAt).value) < timeout) {
        return true;
    }
    const bool isNoticeRecent =
            m_hasOutageNotice && static_cast<double>((now - m_lastNoticeAt).value) < timeout;
    const Milliseconds lastSign = std::max(*m_confirmedAt, m_directoryReadAt);
    const std::int64_t factor =
            std::min(OwnReadFactor << std::min(m_failures, MaxDelayDoublings), MaxOwnReadFactor);
    return isNoticeRecent && now - lastSign < m_times.confirmationInterval * factor;
}

bool StoreReader::isConfirmationOverdue(Milliseconds confirmedAt, Milliseconds now) const
{
    const auto interval = static_cast<double>(m_times.confirmationInterval.value);
    return static_cast<double>((now - confirmedAt).value) > OutageNoticeFactor * interval;
}

bool StoreReader::takeOutageNotice(Milliseconds now)
{
    if (m_isFollower || !isFollowing() || !m_confirmedAt || now < m_nextOwnNotice ||
        !isConfirmationOverdue(*m_confirmedAt, now)) {
        return false;
    }
    m_nextOwnNotice = now + OutageNoticeInterval;
    return true;
}

void StoreReader::handleDirectoryUpdate(StoreRevision asOf, Milliseconds confirmedAt,
                                        Milliseconds now)
{
    m_after = std::max(m_after, asOf);
    m_confirmedAt = std::max(m_confirmedAt.value_or(confirmedAt), confirmedAt);
    if (*m_confirmedAt >= m_startedAt) {
        // The store responds to peers, even if not to this instance.
        m_failures = 0;
    }
    if (!isConfirmationOverdue(*m_confirmedAt, now)) {
        m_hasOutageNotice = false;
        return;
    }
    m_hasOutageNotice = true;
    m_lastNoticeAt = now;
    if (m_isFollower && !m_isPending &&
        randomBelow(m_random, m_peerCount + 1) < ReadsPerOutageNotice) {
        requestRead(StoreCall::Reason::OutageTrial, now);
    }
}

bool StoreReader::isCurrentDeclarationRead() const
{
    return m_kind == StoreCall::Kind::Declaration && !m_isStaleAllowed;
}

void StoreReader::requestCurrentDeclaration(Milliseconds now)
{
    m_isCurrentDeclarationRequested = true;
    if (m_failures == 0) {
        m_due = std::min(m_due, now);
    }
}

void StoreReader::handleNewEraReport(Milliseconds now)
{
    if (!isFollowing()) {
        return;
    }
    m_requestedReason = StoreCall::Reason::NewEra;
    // A failed call is repeated after its delay.
    if (m_failures == 0) {
        m_due = std::min(m_due, now);
    }
}

void StoreReader::requestDeclaration(Revision revision)
{
    if (revision > m_requestedDeclaration) {
        m_requestedDeclaration = revision;
        m_hasTriedStaleRead = false;
        m_nextDeclarationRead = {};
    }
}

} // namespace damaskhall
