#pragma once

#include "base/endpoint.h"
#include "base/random.h"
#include "platform/httpclient.h"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace damaskhall {

/// Exit status of damaskhallctl.
enum class CtlExit : int {
    Done = 0,
    /// Mistakes, another change won, or `diff` found differences.
    Refused = 1,
    Usage = 2,
    /// A change may or may not have taken effect.
    Unknown = 3,
    /// No balancer, or not the platform, could be reached; nothing was changed.
    Unreachable = 4,
};

/// What damaskhallctl needs from outside. Tests replace the network.
struct CtlEnvironment
{
    /// Sends one request to a balancer. Errors: as HttpClient::call().
    std::function<Result<HttpReply>(Endpoint admin, HttpMethod method, const std::string &path,
                                    const std::string &body)>
            call;
    RandomSource random;
    /// Name that the history shows unless --author is given.
    std::string author;
    /// Admin addresses unless --admin is given, separated by commas.
    std::string defaultAdmin;
    std::ostream *out = nullptr;
    std::ostream *err = nullptr;
};

/// Runs damaskhallctl with @p arguments (without the program's name). Precondition: every member of
/// @p environment is set. Thread safety: reentrant.
CtlExit runCtl(const std::vector<std::string> &arguments, const CtlEnvironment &environment);

} // namespace damaskhall
