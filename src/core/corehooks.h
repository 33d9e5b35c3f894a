#pragma once

#include "base/random.h"
#include "base/result.h"
#include "core/messages.h"

#include <cstdint>
#include <functional>

namespace damaskhall {

/// Occurrences that are counted beside refusals and retries.
enum class CoreEvent : std::uint8_t {
    FlowOpened,
    RequestTaken,
    RequestAnswered,
    RequestUnknown,
    TargetMet,
    TargetMissed,
    ReservationHandedOver,
    LateReplyDropped,
};
inline constexpr int CoreEventCount = 8;

/// Durations whose distribution is recorded.
enum class CoreSample : std::uint8_t {
    QueueWait,
    AnswerTime,
};
inline constexpr int CoreSampleCount = 2;

/// What the core needs from outside. All hooks are called on the thread that calls the core and
/// must be set.
struct CoreHooks
{
    /// Authenticates and serialises a token.
    std::function<SealedToken(const Token &)> sealToken;
    /// Verifies and parses a token. Errors: Malformed, Forged.
    std::function<Result<Token>(const SealedToken &)> openToken;
    RandomSource random;
    /// Counts a refusal or drop. Service and class are zero where unknown.
    std::function<void(RefusalReason, ServiceId, ClassId)> countRefusal;
    /// Counts a retry. Service and class are zero where unknown.
    std::function<void(RetryReason, ServiceId, ClassId)> countRetry;
    /// Counts another occurrence.
    std::function<void(CoreEvent, ServiceId, ClassId)> countEvent;
    /// Records a duration.
    std::function<void(CoreSample, ServiceId, ClassId, Milliseconds)> observe;
    /// Reports that an upstream said that it is leaving.
    std::function<void(UpstreamId)> reportLeaving;
};

} // namespace damaskhall
