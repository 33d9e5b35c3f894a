#include "base/error.h"

namespace damaskhall {

std::string_view toString(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidValue:
        return "invalid value";
    case ErrorCode::Malformed:
        return "malformed";
    case ErrorCode::Oversized:
        return "oversized";
    case ErrorCode::Forged:
        return "forged";
    case ErrorCode::Expired:
        return "expired";
    case ErrorCode::VersionMismatch:
        return "version mismatch";
    case ErrorCode::NotFound:
        return "not found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Unreachable:
        return "unreachable";
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::OutcomeUnknown:
        return "outcome unknown";
    case ErrorCode::System:
        return "system error";
    }
    return "error";
}

std::string_view toString(Step step)
{
    switch (step) {
    case Step::ParseEndpoint:
        return "parse endpoint";
    case Step::ParseIni:
        return "parse INI";
    case Step::CheckSettings:
        return "check settings";
    case Step::CheckDeclaration:
        return "check declaration";
    case Step::DecodeFrame:
        return "decode frame";
    case Step::OpenToken:
        return "open token";
    case Step::OpenSocket:
        return "open socket";
    case Step::Connect:
        return "connect";
    case Step::SendMessage:
        return "send message";
    case Step::ReceiveMessage:
        return "receive message";
    case Step::ReadPlatform:
        return "read platform";
    case Step::WritePlatform:
        return "write platform";
    case Step::WatchPlatform:
        return "watch platform";
    case Step::CallAdmin:
        return "call admin";
    }
    return "step";
}

std::string toString(const Error &error)
{
    std::string text(toString(error.step));
    if (!error.peer.empty()) {
        text += " at " + error.peer;
    }
    text += ": ";
    text += toString(error.code);
    if (!error.detail.empty()) {
        text += ": " + error.detail;
    }
    return text;
}

} // namespace damaskhall
