#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace damaskhall {

enum class ErrorCode : std::uint8_t {
    InvalidValue,
    Malformed,
    Oversized,
    Forged,
    Expired,
    VersionMismatch,
    NotFound,
    Conflict,
    Unreachable,
    Timeout,
    OutcomeUnknown,
    System,
};

/// Operation in which an error arose.
enum class Step : std::uint8_t {
    ParseEndpoint,
    ParseIni,
    CheckSettings,
    CheckDeclaration,
    DecodeFrame,
    OpenToken,
    OpenSocket,
    Connect,
    SendMessage,
    ReceiveMessage,
    ReadPlatform,
    WritePlatform,
    WatchPlatform,
    CallAdmin,
};

/// Error with the step and the peer at which it arose. @c peer is an endpoint, a file name or
/// empty. Thread safety: a plain value.
struct Error
{
    ErrorCode code = ErrorCode::System;
    Step step = Step::ParseIni;
    std::string peer;
    std::string detail;
};

/// Thread safety: reentrant.
std::string_view toString(ErrorCode code);
/// Thread safety: reentrant.
std::string_view toString(Step step);
/// Returns one line with step, peer, code and detail. Thread safety: reentrant.
std::string toString(const Error &error);

} // namespace damaskhall
