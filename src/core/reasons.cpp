#include "core/reasons.h"

#include <array>
#include <cstddef>

namespace damaskhall {

namespace {

// Index: the enumeration's value.
constexpr std::array<std::string_view, RefusalReasonCount> RefusalNames = {
        "unknown_service",  "unknown_class", "unknown_house",
        "wrong_kind",       "bad_token",     "expired_token",
        "wrong_service",    "queue_full",    "deadline_unreachable",
        "deadline_passed",  "no_upstream",   "leaving",
        "upstream_shed",    "cancelled",     "owner_unreachable",
        "no_record",        "malformed",     "oversized",
        "protocol_version", "evacuated",
};

constexpr std::array<std::string_view, RetryReasonCount> RetryNames = {
        "upstream_shed", "upstream_draining", "upstream_timeout",
        "path_silent",   "peer_reconnect",    "platform_retry",
};

} // namespace

std::string_view toString(RefusalReason reason)
{
    return RefusalNames.at(static_cast<std::size_t>(reason));
}

std::string_view toString(RetryReason reason)
{
    return RetryNames.at(static_cast<std::size_t>(reason));
}

} // namespace damaskhall
