#pragma once

#include "base/milliseconds.h"
#include "core/flow/upstreamentry.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace damaskhall {

/// Why an upstream that failed its connection attempts is not taken as unreachable.
enum class WithheldReason : std::uint8_t {
    /// The attempt to the reference upstream failed as well, now or a moment ago.
    ReferenceFailed,
    /// No other upstream is known that could serve as the reference.
    NoReference,
    /// This instance has been held up itself.
    OwnDelay,
};
inline constexpr int WithheldReasonCount = 3;

/// Returns the name in lower case with underscores. Thread safety: reentrant.
std::string_view toString(WithheldReason reason);

/// Decides by connection attempts whether an upstream that does not respond is unreachable. Answers
/// the load pattern in which this instance's own link or processor is full: attempts then fail for
/// upstreams that work, and a reset would end flows that they hold.
///
/// Two consecutive attempts must fail. Together with the second one, but after it, an attempt to a
/// reference upstream begins, which must succeed: what holds up this instance would delay the later
/// one as well.
/// Deterministic. Thread safety: none.
class UnreachableDetector
{
public:
    /// All hooks must be set.
    struct Hooks
    {
        /// Starts a connection attempt; its result is passed to handleResult(), not before the hook
        /// has returned.
        std::function<void(UpstreamKey)> attempt;
        /// Returns an upstream that is believed to work, other than @p suspect, or nothing.
        std::function<std::optional<UpstreamKey>(UpstreamKey suspect, Milliseconds now)>
                chooseReference;
        std::function<void(UpstreamKey suspect, WithheldReason)> reportWithheld;
    };

    explicit UnreachableDetector(Hooks hooks);

    /// Starts a round of attempts to an upstream that does not respond, unless one began a short
    /// time ago.
    void suspect(UpstreamKey upstream, Milliseconds now);
    /// Processes the result of an attempt. Returns the upstreams that are found unreachable by it:
    /// @p upstream itself, or the suspects for which it was the reference.
    std::vector<UpstreamKey> handleResult(UpstreamKey upstream, bool isReachable, Milliseconds now);
    /// Records that a timer of this instance fired @p lateness after its due time.
    void handleTimerLateness(Milliseconds lateness, Milliseconds now);
    /// Returns when the last round about the upstream began. A sign of life since then proves that
    /// it is reachable.
    std::optional<Milliseconds> roundStart(UpstreamKey upstream) const;
    /// Returns false for an upstream that is suspected itself, or has failed as a reference
    /// recently.
    bool mayBeReference(UpstreamKey upstream, Milliseconds now) const;
    /// Removes rounds that have ended; call about every 100 ms.
    void tick(Milliseconds now);

private:
    /// Attempts to one suspect.
    struct Round
    {
        Milliseconds startedAt;
        std::uint32_t failures = 0;
        bool isEnded = false;
        /// Set while the second attempt runs, if there is a reference.
        std::optional<UpstreamKey> reference;
        std::optional<bool> isReferenceReachable;
    };

    void handleFailure(UpstreamKey suspect, Round &round, Milliseconds now);
    void handleReference(UpstreamKey reference, bool isReachable, Milliseconds now);
    /// Ends the rounds whose results are complete. Returns their suspects that are unreachable.
    std::vector<UpstreamKey> finishRounds(Milliseconds now);
    std::optional<WithheldReason> findObjection(const Round &round, Milliseconds now) const;

    Hooks m_hooks;
    std::unordered_map<UpstreamKey, Round> m_rounds;
    std::optional<Milliseconds> m_referenceFailedAt;
    std::optional<UpstreamKey> m_failedReference;
    std::optional<Milliseconds> m_delayedAt;
};

} // namespace damaskhall
