#include "core/flow/unreachabledetector.h"

#include <utility>

namespace damaskhall {

namespace {

/// Minimum time between the starts of two rounds about one upstream.
constexpr Milliseconds RoundInterval = 500_ms;
/// A single failed attempt may be lost, or wait behind other packets on this instance's own link.
constexpr std::uint32_t FailureThreshold = 2;
/// A reference is known to have worked a moment before. Its failure shows that this instance is
/// held up, which usually lasts longer than one attempt.
constexpr Milliseconds ReferenceFailureLifetime = 1_s;
/// Half of the 150 ms that an attempt may take: a timer that fires so late leaves no time for the
/// response.
constexpr Milliseconds MaxTimerLateness = 75_ms;
/// Time for which a late timer counts: that of the two attempts of a round, and a margin.
constexpr Milliseconds DelayLifetime = 400_ms;

} // namespace

std::string_view toString(WithheldReason reason)
{
    switch (reason) {
    case WithheldReason::ReferenceFailed:
        return "reference_failed";
    case WithheldReason::NoReference:
        return "no_reference";
    case WithheldReason::OwnDelay:
        break;
    }
    return "own_delay";
}

UnreachableDetector::UnreachableDetector(Hooks hooks)
    : m_hooks(std::move(hooks))
{
}

void UnreachableDetector::suspect(UpstreamKey upstream, Milliseconds now)
{
    const auto [found, isNew] = m_rounds.try_emplace(upstream);
    if (!isNew && now - found->second.startedAt < RoundInterval) {
        return;
    }
    found->second = {};
    found->second.startedAt = now;
    m_hooks.attempt(upstream);
}

std::vector<UpstreamKey> UnreachableDetector::handleResult(UpstreamKey upstream, bool isReachable,
                                                           Milliseconds now)
{
    handleReference(upstream, isReachable, now);
    const auto found = m_rounds.find(upstream);
    if (found != m_rounds.end() && !found->second.isEnded) {
        if (isReachable) {
            found->second.isEnded = true;
        } else {
            handleFailure(upstream, found->second, now);
        }
    }
    return finishRounds(now);
}

void UnreachableDetector::handleFailure(UpstreamKey suspect, Round &round, Milliseconds now)
{
    ++round.failures;
    if (round.failures >= FailureThreshold) {
        return;
    }
    m_hooks.attempt(suspect);
    round.reference = m_hooks.chooseReference(suspect, now);
    if (round.reference) {
        m_hooks.attempt(*round.reference);
    }
}

// One attempt may be the reference of several suspects.
void UnreachableDetector::handleReference(UpstreamKey reference, bool isReachable, Milliseconds now)
{
    for (auto &[suspect, round] : m_rounds) {
        if (round.reference != reference || round.isReferenceReachable) {
            continue;
        }
        round.isReferenceReachable = isReachable;
        if (!isReachable) {
            m_referenceFailedAt = now;
            m_failedReference = reference;
        }
    }
}

std::vector<UpstreamKey> UnreachableDetector::finishRounds(Milliseconds now)
{
    std::vector<UpstreamKey> unreachable;
    for (auto &[suspect, round] : m_rounds) {
        const bool isWaiting = round.reference && !round.isReferenceReachable;
        if (round.isEnded || round.failures < FailureThreshold || isWaiting) {
            continue;
        }
        round.isEnded = true;
        if (const auto objection = findObjection(round, now)) {
            m_hooks.reportWithheld(suspect, *objection);
        } else {
            unreachable.push_back(suspect);
        }
    }
    return unreachable;
}

std::optional<WithheldReason> UnreachableDetector::findObjection(const Round &round,
                                                                 Milliseconds now) const
{
    if (!round.reference) {
        return WithheldReason::NoReference;
    }
    const bool isFailureRecent =
            m_referenceFailedAt && now - *m_referenceFailedAt < ReferenceFailureLifetime;
    if (!round.isReferenceReachable.value_or(false) || isFailureRecent) {
        return WithheldReason::ReferenceFailed;
    }
    if (m_delayedAt && now - *m_delayedAt < DelayLifetime) {
        return WithheldReason::OwnDelay;
    }
    return std::nullopt;
}

void UnreachableDetector::handleTimerLateness(Milliseconds lateness, Milliseconds now)
{
    if (lateness > MaxTimerLateness) {
        m_delayedAt = now;
    }
}

std::optional<Milliseconds> UnreachableDetector::roundStart(UpstreamKey upstream) const
{
    const auto found = m_rounds.find(upstream);
    return found == m_rounds.end() ? std::nullopt : std::optional(found->second.startedAt);
}

bool UnreachableDetector::mayBeReference(UpstreamKey upstream, Milliseconds now) const
{
    const auto round = m_rounds.find(upstream);
    const bool isSuspect = round != m_rounds.end() && !round->second.isEnded;
    const bool hasFailed = m_failedReference == upstream &&
                           now - *m_referenceFailedAt < ReferenceFailureLifetime * 2;
    return !isSuspect && !hasFailed;
}

void UnreachableDetector::tick(Milliseconds now)
{
    // A result may come late; after two intervals it does not come any more.
    std::erase_if(m_rounds, [now](const auto &item) {
        return now - item.second.startedAt >= RoundInterval * 2;
    });
}

} // namespace damaskhall
