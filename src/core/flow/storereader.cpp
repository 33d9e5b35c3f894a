#include "core/flow/storereader.h"

#include <algorithm>
#include <utility>

namespace damaskhall {

namespace {

/// First delay after a failed read; doubles up to MaxRetryDelay.
constexpr Milliseconds RetryDelay = 100_ms;
/// Keeps the time from the store's return to the first read below a second.
constexpr Milliseconds MaxRetryDelay = 800_ms;
constexpr std::uint32_t MaxDoublings = 3;
/// A follower reads when the last confirmation is older than this many paces, up to one half more:
/// two readers confirm once a pace each, so their news has failed to come several times by then.
constexpr double FollowerPatience = 1.25;
constexpr double PatienceSpread = 0.5;

} // namespace

std::string_view toString(StoreOutcome outcome)
{
    switch (outcome) {
    case StoreOutcome::Done:
        return "done";
    case StoreOutcome::HistoryLost:
        return "history_lost";
    case StoreOutcome::Refused:
        return "refused";
    case StoreOutcome::Unanswered:
        break;
    }
    return "unanswered";
}

StoreReader::StoreReader(Times times, RandomSource random)
    : m_times(times)
    , m_random(std::move(random))
{
    m_patience = FollowerPatience + PatienceSpread * randomUnit(m_random);
}

std::optional<StoreCall> StoreReader::next(Milliseconds now)
{
    if (m_isPending || now < m_due) {
        return std::nullopt;
    }
    StoreCall call;
    const bool isDeclarationDue = m_isFollowing && m_wantedDeclaration > m_declaration;
    if (!isDeclarationDue && isLeftToOthers(now)) {
        return std::nullopt;
    }
    m_isPending = true;
    m_startedAt = now;
    if (isDeclarationDue) {
        call.kind = StoreCall::Kind::Declaration;
        call.mayBeOld = !m_hasAskedOld;
        m_hasAskedOld = true;
    } else if (m_isFollowing) {
        call.kind = StoreCall::Kind::Watch;
        call.after = m_after;
        call.wait = m_times.wait;
    } else {
        call.pageAfter = m_page;
    }
    m_kind = call.kind;
    return call;
}

void StoreReader::handleEnd(StoreOutcome outcome, Revision asOf,
                            std::optional<std::string> nextPage, Milliseconds now)
{
    m_isPending = false;
    if (outcome == StoreOutcome::Refused || outcome == StoreOutcome::Unanswered) {
        const Milliseconds delay =
                std::min(RetryDelay * (1 << std::min(m_failures, MaxDoublings)), MaxRetryDelay);
        const auto jitter = randomBelow(m_random, static_cast<std::uint64_t>(delay.value));
        m_due = now + delay / 2 + Milliseconds{static_cast<std::int64_t>(jitter)};
        ++m_failures;
        return;
    }
    m_failures = 0;
    m_due = now;
    if (m_kind != StoreCall::Kind::Declaration) {
        m_confirmedAt = now;
    }
    if (outcome == StoreOutcome::HistoryLost) {
        m_isFollowing = false;
        m_listRevision.reset();
        m_page.clear();
        return;
    }
    if (m_kind == StoreCall::Kind::Declaration) {
        // If it was too old or cannot be read, it is asked for again, but not at once.
        m_due = now + RetryDelay;
        return;
    }
    m_isImpatient = false;
    if (m_kind == StoreCall::Kind::Watch) {
        m_after = std::max(m_after, asOf);
        m_due = std::max(now, m_startedAt + m_times.pace);
        return;
    }
    m_listRevision = m_listRevision ? *m_listRevision : asOf;
    if (nextPage) {
        m_page = *nextPage;
        return;
    }
    m_isFollowing = true;
    m_after = *m_listRevision;
    m_listRevision.reset();
    m_page.clear();
}

bool StoreReader::isLeftToOthers(Milliseconds now) const
{
    if (!m_isFollower || !m_isFollowing || m_isImpatient || !m_confirmedAt) {
        return false;
    }
    const double patience = m_patience * static_cast<double>(m_times.pace.value);
    return static_cast<double>((now - *m_confirmedAt).value) < patience;
}

void StoreReader::handleNews(Revision asOf, Milliseconds confirmedAt)
{
    m_after = std::max(m_after, asOf);
    m_confirmedAt = std::max(m_confirmedAt.value_or(confirmedAt), confirmedAt);
    // The store answers, if not to this instance.
    m_failures = 0;
}

void StoreReader::wantDeclaration(Revision revision)
{
    if (revision > m_wantedDeclaration) {
        m_wantedDeclaration = revision;
        m_hasAskedOld = false;
    }
}

} // namespace damaskhall
