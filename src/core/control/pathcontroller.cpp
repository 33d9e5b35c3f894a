#include "core/control/pathcontroller.h"

#include <algorithm>
#include <utility>

namespace damaskhall {

namespace {

constexpr Milliseconds SilenceLimit = 1'500_ms;
/// An upstream that is gone makes every new path silent as well; its path is replaced less often.
constexpr Milliseconds FirstBackOff = 1'500_ms;
constexpr Milliseconds MaxBackOff = 12_s;
/// Time between checks of a datagram channel that carries flow frames. At a target size of some
/// 1,600 upstreams in a data centre this costs a balancer about 500 packets a second.
constexpr Milliseconds CheckInterval = 3_s;
/// A check is repeated, so that one lost packet does not make a path look silent.
constexpr Milliseconds CheckResendInterval = 500_ms;

} // namespace

PathChannel channelOf(const Frame &frame)
{
    const bool isStream = std::holds_alternative<UpstreamRequest>(frame) ||
                          std::holds_alternative<UpstreamCancel>(frame) ||
                          std::holds_alternative<UpstreamReplyAck>(frame) ||
                          std::holds_alternative<Probe>(frame);
    return isStream ? PathChannel::Stream : PathChannel::Datagram;
}

PathController::PathController(PathHooks hooks)
    : m_hooks(std::move(hooks))
{
}

void PathController::noteSent(UpstreamId upstream, const Frame &frame, Milliseconds now)
{
    Path &path = m_paths[upstream];
    if (const auto *request = std::get_if<UpstreamRequest>(&frame)) {
        path.watch(PathChannel::Stream).recordSend(now);
        if (m_hooks.isIdempotent(request->service, request->workClass)) {
            path.requests[request->attempt] = {*request, now + request->remaining};
        }
    } else if (const auto *probe = std::get_if<Probe>(&frame)) {
        path.watch(PathChannel::Stream).recordSend(now);
        path.lastProbe = *probe;
    } else if (const auto *cancel = std::get_if<UpstreamCancel>(&frame)) {
        path.requests.erase(cancel->attempt);
    } else if (channelOf(frame) == PathChannel::Datagram) {
        path.hasFlowTraffic = true;
    }
}

bool PathController::noteReceived(UpstreamId upstream, PathChannel channel, const Frame &frame)
{
    const auto found = m_paths.find(upstream);
    if (found == m_paths.end()) {
        return false;
    }
    Path &path = found->second;
    path.watch(channel).recordReceive();
    path.backOff = 0_ms;
    if (const auto *reply = std::get_if<UpstreamReply>(&frame)) {
        path.requests.erase(reply->attempt);
    }
    const auto *probe = std::get_if<ProbeReply>(&frame);
    if (!probe || channel != PathChannel::Datagram) {
        return false;
    }
    if (probe->nonce == path.checkNonce) {
        path.checkNonce = 0;
        path.nextCheck += CheckInterval;
    }
    // The dispatcher's own probes travel on the stream.
    return true;
}

void PathController::tick(Milliseconds now, std::vector<PathStep> &steps)
{
    for (auto &[upstream, path] : m_paths) {
        std::erase_if(path.requests, [now](const auto &entry) { //
            return entry.second.deadline <= now;
        });
        if (isSilent(path, now)) {
            steps.push_back(replace(upstream, path, now));
        }
        checkDatagrams(upstream, path, now, steps);
    }
}

bool PathController::isSilent(Path &path, Milliseconds now) const
{
    const Milliseconds longest = std::max(path.watch(PathChannel::Stream).unansweredTime(now),
                                          path.watch(PathChannel::Datagram).unansweredTime(now));
    return longest >= SilenceLimit && now >= path.notBefore;
}

PathStep PathController::replace(UpstreamId upstream, Path &path, Milliseconds now)
{
    path.backOff = std::clamp(path.backOff * 2, FirstBackOff, MaxBackOff);
    path.notBefore = now + path.backOff;
    for (ReplyTimer &watch : path.watches) {
        watch.recordReceive();
    }
    path.checkNonce = 0;
    path.nextCheck = now;
    PathStep step{upstream, true, {}};
    if (path.lastProbe) {
        m_hooks.countRetry(RetryReason::PathSilent, {}, {});
        step.frames.emplace_back(PathChannel::Stream, *path.lastProbe);
    }
    for (const auto &[attempt, sent] : path.requests) {
        m_hooks.countRetry(RetryReason::PathSilent, sent.request.service, sent.request.workClass);
        UpstreamRequest request = sent.request;
        request.remaining = sent.deadline - now;
        step.frames.emplace_back(PathChannel::Stream, std::move(request));
    }
    return step;
}

void PathController::checkDatagrams(UpstreamId upstream, Path &path, Milliseconds now,
                                    std::vector<PathStep> &steps)
{
    if (now < path.nextCheck) {
        return;
    }
    if (path.checkNonce == 0) {
        if (!path.hasFlowTraffic) {
            return;
        }
        path.hasFlowTraffic = false;
        path.checkNonce = m_hooks.random() | 1;
    }
    path.watch(PathChannel::Datagram).recordSend(now);
    path.nextCheck = now + CheckResendInterval;
    steps.push_back({upstream, false, {{PathChannel::Datagram, Probe{path.checkNonce}}}});
}

void PathController::retain(const std::function<bool(UpstreamId)> &isListed)
{
    std::erase_if(m_paths, [&](const auto &entry) { return !isListed(entry.first); });
}

} // namespace damaskhall
