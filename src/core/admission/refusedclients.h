#pragma once

#include "base/milliseconds.h"
#include "core/flow/flowpacket.h"

#include <cstdint>
#include <unordered_map>

namespace damaskhall {

/// Clients that were refused within the last second, to tell their retries from first attempts. A
/// retry comes from another port, so a client is its address; each refusal accounts for one retry,
/// so that clients behind one address are not all taken for one. Thread safety: none.
class RefusedClients
{
public:
    /// Records that an opening packet or a request of the client was refused.
    void add(const FlowKey &key, Milliseconds now);
    /// Returns whether an opening packet is a retry, and deducts it from the client's refusals.
    bool takeRetry(const FlowKey &key, Milliseconds now);

private:
    /// Refusals by the client's address and the route; the client's port is zero.
    using Generation = std::unordered_map<FlowKey, std::uint32_t>;

    void rotate(Milliseconds now);

    Generation m_current;
    Generation m_previous;
    Milliseconds m_rotatedAt;
};

} // namespace damaskhall
