#pragma once

#include "base/random.h"
#include "base/result.h"
#include "core/messages.h"

#include <functional>

namespace damaskhall {

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
    /// Reports that an upstream said that it is leaving.
    std::function<void(UpstreamId)> reportLeaving;
};

} // namespace damaskhall
