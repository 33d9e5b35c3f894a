#pragma once

#include "base/random.h"
#include "core/reasons.h"

#include <cstdint>
#include <functional>

namespace damaskhall {

/// Control plane events that are counted.
enum class ControlEvent : std::uint8_t {
    /// A source offered a revision below the one in force.
    LowerRevisionIgnored,
    /// A declaration could not be parsed; the one in force stays.
    DeclarationRejected,
    DeclarationApplied,
    /// A datagram or stream message was malformed, oversized or of another protocol or data centre.
    MessageRefused,
    /// A message of another protocol version was refused.
    VersionRefused,
    MemberSuspected,
    MemberDied,
    /// Another process runs under the own instance id.
    InstanceIdTaken,
    /// An entry of the platform's list of instances could not be read; the others hold.
    ListEntryRefused,
};
inline constexpr int ControlEventCount = 9;

/// Callbacks that the control plane needs. Called on the thread that calls the control plane; all
/// hooks must be set.
struct ControlHooks
{
    RandomSource random;
    std::function<void(RetryReason)> countRetry;
    std::function<void(ControlEvent)> countEvent;
};

} // namespace damaskhall
