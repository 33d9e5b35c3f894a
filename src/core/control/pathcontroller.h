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

/// Channel of a path to an upstream.
enum class PathChannel : std::uint8_t {
    /// TCP connection: requests, cancellations, acknowledgements and probes.
    Stream,
    /// UDP socket: flow frames.
    Datagram,
};
inline constexpr int PathChannelCount = 2;

/// Returns the channel on which @p frame is sent to an upstream. Thread safety: reentrant.
PathChannel channelOf(const Frame &frame);

struct PathHooks
{
    std::function<bool(ServiceId, ClassId)> isIdempotent;
    std::function<void(RetryReason, ServiceId, ClassId)> countRetry;
    RandomSource random;
};

/// Action on one path: replace both of its channels if @c mustReplace is set, then send the frames.
struct PathAction
{
    UpstreamId upstream;
    bool mustReplace = false;
    std::vector<std::pair<PathChannel, Frame>> frames;
};

/// Detects paths on which expected replies are missing, and selects the frames to retransmit on a
/// replacement path: the last probe and idempotent requests. Callers retransmit flow frames and
/// chunks themselves. A request that is not idempotent may have been executed and is never
/// retransmitted. Replies to flow frames arrive through the fabric and do not prove that the socket
/// works, so a datagram channel in use is checked with separate probes. Thread safety: none; all
/// calls come from one traffic thread. @c now must not decrease.
class PathController
{
public:
    /// Precondition: all hooks are set.
    explicit PathController(PathHooks hooks);

    /// Records that @p frame was written to the path of @p upstream.
    void recordSent(UpstreamId upstream, const Frame &frame, Milliseconds now);

    /// Records a frame received on a path. Returns true if it is the reply to a check of this
    /// controller and needs no further handling.
    bool recordReceived(UpstreamId upstream, PathChannel channel, const Frame &frame);

    /// Appends the actions that are due. Call at least every 100 ms.
    void tick(Milliseconds now, std::vector<PathAction> &actions);

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
        std::array<ReplyTimer, PathChannelCount> replyTimers;
        std::optional<Probe> lastProbe;
        /// Idempotent requests without a reply.
        std::map<AttemptId, SentRequest> requests;
        /// Earliest time of the next replacement.
        Milliseconds nextReplacement;
        Milliseconds backOff;
        /// Nonce of the running check of the datagram channel; zero while none is running.
        std::uint64_t checkNonce = 0;
        Milliseconds nextCheck;
        bool hasFlowTraffic = false;

        ReplyTimer &replyTimer(PathChannel channel)
        {
            return replyTimers.at(static_cast<int>(channel));
        }
    };

    bool isReplyOverdue(Path &path, Milliseconds now) const;
    PathAction replace(UpstreamId upstream, Path &path, Milliseconds now);
    void checkDatagramChannel(UpstreamId upstream, Path &path, Milliseconds now,
                              std::vector<PathAction> &actions);

    PathHooks m_hooks;
    std::unordered_map<UpstreamId, Path> m_paths;
};

} // namespace damaskhall
