#pragma once

#include "base/endpoint.h"
#include "base/milliseconds.h"
#include "base/result.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace damaskhall {

/// Value of a key with the platform's own version of it, the base of compare-and-swap.
struct PlatformValue
{
    std::string value;
    /// Zero: the key does not exist.
    std::uint64_t version = 0;
    /// Rises when the platform returns from an older copy, which gives out versions again. Zero: it
    /// names none.
    std::uint32_t era = 0;
};

/// Entry of the platform's lagging list of instances.
struct PlatformInstance
{
    std::uint64_t id = 0;
    /// "balancer" or "upstream".
    std::string role;
    Endpoint endpoint;
    std::string dataCentre;
    /// Service of an upstream; empty for a balancer.
    std::string service;
    std::uint64_t incarnation = 0;
    bool isLeaving = false;
};

/// The platform's list of instances.
struct PlatformInstanceList
{
    std::vector<PlatformInstance> instances;
    /// Number of entries that cannot be read; the others hold.
    std::size_t refused = 0;
};

/// Client of the platform's HTTP interface (libcurl). Calls block up to their timeout.
/// Thread safety: one thread at a time.
class PlatformClient
{
public:
    PlatformClient(Endpoint platform, Milliseconds timeout);
    ~PlatformClient();
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    /// Reads a key. Errors: Unreachable, Timeout, Malformed.
    Result<PlatformValue> read(const std::string &key);

    /// Waits until the key's version is above @p version or @p wait has passed, then returns it.
    /// Errors: as read().
    Result<PlatformValue> watch(const std::string &key, std::uint64_t version, Milliseconds wait);

    /// Writes if the key's version is @p expected; returns the new version. Errors: Conflict (not
    /// written), Unreachable (not sent), OutcomeUnknown (sent, no reply).
    Result<std::uint64_t> compareAndSwap(const std::string &key, const std::string &value,
                                         std::uint64_t expected);

    /// Reads the list of instances. An entry that cannot be read does not fail the call. Errors: as
    /// read().
    Result<PlatformInstanceList> instances();

    /// Adds or refreshes an entry of the list. Errors: as read().
    Result<void> registerInstance(const PlatformInstance &instance);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace damaskhall
