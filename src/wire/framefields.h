#pragma once

#include "core/messages.h"

#include <tuple>

namespace damaskhall {

// Fields of each message in wire order. The codec writes and reads them as one msgpack array.
// Endpoints are two elements: address and port.

inline auto fields(Endpoint &m)
{
    return std::tie(m.address, m.port);
}

inline auto fields(Token &m)
{
    return std::tie(m.kind, m.service, m.workClass, m.workspace, m.upstream, m.owner,
                    m.ownerIncarnation, m.subject, m.expiry);
}

inline auto fields(Open &m)
{
    return std::tie(m.flow, m.service, m.workClass, m.workspace);
}

inline auto fields(FeedData &m)
{
    return std::tie(m.token, m.body);
}

inline auto fields(Keepalive &m)
{
    return std::tie(m.token, m.acknowledged);
}

inline auto fields(Reserve &m)
{
    return std::tie(m.request, m.service, m.workClass, m.workspace, m.remaining, m.waited);
}

inline auto fields(Execute &m)
{
    return std::tie(m.request, m.permit, m.remaining, m.body);
}

inline auto fields(Cancel &m)
{
    return std::tie(m.request, m.service, m.permit);
}

inline auto fields(AnswerAck &m)
{
    return std::tie(m.request, m.permit);
}

inline auto fields(UploadChunk &m)
{
    return std::tie(m.token, m.offset, m.total, m.body);
}

inline auto fields(Close &m)
{
    return std::tie(m.token);
}

inline auto fields(OpenReply &m)
{
    return std::tie(m.subject, m.token);
}

inline auto fields(Permit &m)
{
    return std::tie(m.request, m.permit);
}

inline auto fields(Answer &m)
{
    return std::tie(m.request, m.outcome, m.fragment, m.fragmentCount, m.body);
}

inline auto fields(Refusal &m)
{
    return std::tie(m.subject, m.reason, m.retryAfter, m.permit);
}

inline auto fields(Push &m)
{
    return std::tie(m.token, m.caller, m.sequence, m.body);
}

inline auto fields(KeepaliveReply &m)
{
    return std::tie(m.token, m.caller, m.lastSequence);
}

inline auto fields(UploadAck &m)
{
    return std::tie(m.token, m.caller, m.acknowledged, m.stored);
}

template <typename Inner>
auto fields(Forwarded<Inner> &m)
{
    return std::tuple_cat(std::tie(m.caller, m.service), fields(m.inner));
}

inline auto fields(UpstreamRequest &m)
{
    return std::tie(m.attempt, m.service, m.workClass, m.workspace, m.remaining, m.body);
}

inline auto fields(UpstreamCancel &m)
{
    return std::tie(m.attempt);
}

inline auto fields(UpstreamReplyAck &m)
{
    return std::tie(m.attempt);
}

inline auto fields(Probe &m)
{
    return std::tie(m.nonce);
}

inline auto fields(UpstreamReply &m)
{
    return std::tie(m.attempt, m.status, m.fragment, m.fragmentCount, m.body);
}

inline auto fields(ProbeReply &m)
{
    return std::tie(m.nonce, m.upstream, m.service, m.draining, m.slotsInUse, m.connections);
}

template <typename Inner>
auto fields(Relayed<Inner> &m)
{
    return std::tuple_cat(std::tie(m.caller, m.hops), fields(m.inner));
}

inline auto fields(UploadFinished &m)
{
    return std::tie(m.token);
}

} // namespace damaskhall
