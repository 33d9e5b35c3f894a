#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "core/messages.h"

#include <cstdint>
#include <vector>

namespace damaskhall {

enum class Destination : std::uint8_t {
    Caller,
    Upstream,
    Peer,
};

/// Frame to send. The core decides; the node layer sends.
struct Send
{
    Destination destination = Destination::Caller;
    Endpoint to;
    /// Set when @c destination is Upstream: selects the path.
    UpstreamId upstream;
    Frame frame;
};

/// Output of one step of the core, in order.
using Actions = std::vector<Send>;

} // namespace damaskhall
