#pragma once

#include "base/ids.h"
#include "base/milliseconds.h"
#include "base/random.h"
#include "core/control/replytimer.h"
#include "core/messages.h"
#include "core/reasons.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace damaskhall {

/// Half of a path to an upstream.
enum class PathChannel : std::uint8_t {
    /// TCP connection: requests, cancellations, acknowledgements and probes.
    Stream,
    /// UDP socket: flow frames.
    Datagram,
};
inline constexpr int PathChannelCount = 2;

/// Returns the channel on which @p frame travels to an upstream. Thread safety: reentrant.
PathChannel channelOf(const Frame &frame);

struct PathHooks
{
    std::function<bool(ServiceId, ClassId)> isIdempotent;
    std::function<void(RetryReason, ServiceId, ClassId)> countRetry;
    RandomSource random;
};

/// What to do about one path: replace both of its channels if @c isSilent, then send the frames.
struct PathStep
{
    UpstreamId upstream;
    bool isSilent = false;
    std::vector<std::pair<PathChannel, Frame>> frames;
};

/// Finds paths on which expected replies stay away, and what may be repeated on their replacement:
/// the last probe and idempotent requests. Callers repeat flow frames and chunks themselves. A
/// request that is not idempotent may have run and is never repeated.
/// Replies to flow frames come through the fabric and say nothing about the socket, so a datagram
/// channel in use is checked with a probe of its own.
/// Thread safety: none; all calls come from one traffic thread. @c now must not decrease.
class PathController
{
public:
    /// Precondition: all hooks are set.
    explicit PathController(PathHooks hooks);

    /// Notes that @p frame was written to the path of @p upstream.
    void noteSent(UpstreamId upstream, const Frame &frame, Milliseconds now);

    /// Notes a frame that arrived on a path. Returns true if it answers a check of this controller
    /// and is meant for nobody else.
    bool noteReceived(UpstreamId upstream, PathChannel channel, const Frame &frame);

    /// Appends what is due. Call at least every 100 ms.
    void tick(Milliseconds now, std::vector<PathStep> &steps);

    /// Drops the paths of all upstreams for which @p isListed returns false.
    void retain(const std::function<bool(UpstreamId)> &isListed);

private:
    struct SentRequest
    {
        UpstreamRequest request;
        Milliseconds deadline;
    };

    struct Path
    {
        std::array<ReplyTimer, PathChannelCount> watches;
        std::optional<Probe> lastProbe;
        /// Idempotent requests without a reply.
        std::map<AttemptId, SentRequest> requests;
        /// Time at which the path may be replaced again.
        Milliseconds notBefore;
        Milliseconds backOff;
        /// Check of the datagram channel: zero while none is running.
        std::uint64_t checkNonce = 0;
        Milliseconds nextCheck;
        bool hasFlowTraffic = false;

        ReplyTimer &watch(PathChannel channel) { return watches.at(static_cast<int>(channel)); }
    };

    bool isSilent(Path &path, Milliseconds now) const;
    PathStep replace(UpstreamId upstream, Path &path, Milliseconds now);
    void checkDatagrams(UpstreamId upstream, Path &path, Milliseconds now,
                        std::vector<PathStep> &steps);

    PathHooks m_hooks;
    std::unordered_map<UpstreamId, Path> m_paths;
};

} // namespace damaskhall
