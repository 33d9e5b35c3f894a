#pragma once

#include "base/endpoint.h"

#include <string>
#include <vector>

namespace damaskhall {

/// Log of one instance.
struct InstanceLog
{
    /// Name of the file or instance, shown before each line.
    std::string name;
    std::string text;
};

/// Returns the story of the flows of one client: its flow lines of all instances in the order of
/// time, together with the lines about the upstreams, the store and the declaration on these
/// instances that came before or between them, the last of each kind only. Every line begins with
/// its instance. Empty if no line names the client. Thread safety: reentrant.
std::vector<std::string> explainClient(const std::vector<InstanceLog> &logs, Endpoint client);

} // namespace damaskhall
