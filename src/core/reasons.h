#pragma once

#include <cstdint>
#include <string_view>

namespace damaskhall {

/// Why work was refused or a packet was dropped.
enum class RefusalReason : std::uint8_t {
    UnknownService,
    UnknownClass,
    UnknownWorkspace,
    WrongKind,
    BadToken,
    ExpiredToken,
    WrongService,
    QueueFull,
    DeadlineUnreachable,
    DeadlinePassed,
    NoUpstream,
    Leaving,
    UpstreamShed,
    Cancelled,
    OwnerUnreachable,
    NoRecord,
    Malformed,
    Oversized,
    ProtocolVersion,
    /// The data centre is evacuated.
    Evacuated,
};
inline constexpr int RefusalReasonCount = 20;

/// Why something was sent again.
enum class RetryReason : std::uint8_t {
    UpstreamShed,
    UpstreamDraining,
    UpstreamTimeout,
    PathSilent,
    PeerReconnect,
    PlatformRetry,
};
inline constexpr int RetryReasonCount = 6;

/// Returns the name in lower case with underscores, as used in counters and logs.
/// Thread safety: reentrant.
std::string_view toString(RefusalReason reason);
/// Returns the name in lower case with underscores, as used in counters and logs.
/// Thread safety: reentrant.
std::string_view toString(RetryReason reason);

} // namespace damaskhall
