#include "core/control/pathcontroller.h"

#include <algorithm>
#include <utility>

namespace damaskhall {

namespace {

constexpr Milliseconds PathReplyTimeout = 1'500_ms;
/// Replies are missing on every new path to a stopped upstream as well, so its path is replaced
/// with exponential back-off.
constexpr Milliseconds InitialReplacementBackOff = 1'500_ms;
constexpr Milliseconds MaxReplacementBackOff = 12_s;
/// Interval between checks of a datagram channel that carries flow frames. With about 1,600
/// upstreams in a data centre, the target size, this costs a balancer about 500 packets a second.
constexpr Milliseconds DatagramCheckInterval = 3_s;
/// A check is retransmitted, so that a single lost packet does not cause a replacement.
constexpr Milliseconds DatagramCheckRetransmitInterval = 500_ms;

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

void PathController::recordSent(UpstreamId upstream, const Frame &frame, Milliseconds now)
{
    Path &path = m_paths[upstream];
    if (const auto *request = std::get_if<UpstreamRequest>(&frame)) {
        path.replyTimer(PathChannel::Stream).recordSend(now);
        if (m_hooks.isIdempotent(request->service, request->workClass)) {
            path.requests[request->attempt] = {*request, now + request->remaining};
        }
    } else if (const auto *probe = std::get_if<Probe>(&frame)) {
        path.replyTimer(PathChannel::Stream).recordSend(now);
        path.lastProbe = *probe;
    } else if (const auto *cancel = std::get_if<UpstreamCancel>(&frame)) {
        path.requests.erase(cancel->attempt);
    } else if (channelOf(frame) == PathChannel::Datagram) {
        path.hasFlowTraffic = true;
    }
}

bool PathController::recordReceived(UpstreamId upstream, PathChannel channel, const Frame &frame)
{
    const auto found = m_paths.find(upstream);
    if (found == m_paths.end()) {
        return false;
    }
    Path &path = found->second;
    path.replyTimer(channel).recordReceive();
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
        path.nextCheck += DatagramCheckInterval;
    }
    // The dispatcher's own probes are sent on the stream.
    return true;
}

void PathController::tick(Milliseconds now, std::vector<PathAction> &actions)
{
    for (auto &[upstream, path] : m_paths) {
        std::erase_if(path.requests, [now](const auto &entry) { //
            return entry.second.deadline <= now;
        });
        if (isReplyOverdue(path, now)) {
            actions.push_back(replace(upstream, path, now));
        }
        checkDatagramChannel(upstream, path, now, actions);
    }
}

bool PathController::isReplyOverdue(Path &path, Milliseconds now) const
{
    const Milliseconds longestUnanswered =
            std::max(path.replyTimer(PathChannel::Stream).unansweredTime(now),
                     path.replyTimer(PathChannel::Datagram).unansweredTime(now));
    return longestUnanswered >= PathReplyTimeout && now >= path.nextReplacement;
}

PathAction PathController::replace(UpstreamId upstream, Path &path, Milliseconds now)
{
    path.backOff = std::clamp(path.backOff * 2, InitialReplacementBackOff, MaxReplacementBackOff);
    path.nextReplacement = now + path.backOff;
    for (ReplyTimer &timer : path.replyTimers) {
        timer.recordReceive();
    }
    path.checkNonce = 0;
    path.nextCheck = now;
    PathAction action{upstream, true, {}};
    if (path.lastProbe) {
        m_hooks.countRetry(RetryReason::PathSilent, {}, {});
        action.frames.emplace_back(PathChannel::Stream, *path.lastProbe);
    }
    for (const auto &[attempt, sent] : path.requests) {
        m_hooks.countRetry(RetryReason::PathSilent, sent.request.service, sent.request.workClass);
        UpstreamRequest request = sent.request;
        request.remaining = sent.deadline - now;
        action.frames.emplace_back(PathChannel::Stream, std::move(request));
    }
    return action;
}

void PathController::checkDatagramChannel(UpstreamId upstream, Path &path, Milliseconds now,
                                          std::vector<PathAction> &actions)
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
    path.replyTimer(PathChannel::Datagram).recordSend(now);
    path.nextCheck = now + DatagramCheckRetransmitInterval;
    actions.push_back({upstream, false, {{PathChannel::Datagram, Probe{path.checkNonce}}}});
}

void PathController::retain(const std::function<bool(UpstreamId)> &isListed)
{
    std::erase_if(m_paths, [&](const auto &entry) { return !isListed(entry.first); });
}

} // namespace damaskhall
