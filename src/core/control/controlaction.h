#pragma once

#include "core/control/controlmessages.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace damaskhall {

struct SendDatagram
{
    Endpoint to;
    /// Receiver, if known. Any suspicion about it is added to the datagram, so that it can refute
    /// it.
    InstanceId receiver;
    ControlDatagram datagram;
};

/// Request over TCP. The reply or failure comes back as an event with the same endpoint.
struct SendRequest
{
    Endpoint to;
    StreamMessage request;
};

/// Returns a request with @p content. Constructing the variant in place avoids a false positive of
/// GCC 12 about uninitialised members. Thread safety: reentrant.
template <typename Content>
SendRequest makeRequest(Endpoint to, const Content &content)
{
    SendRequest request;
    request.to = to;
    request.request.emplace<Content>(content);
    return request;
}

/// Reads the declaration key. With @c wait, watches for a version above @c after.
struct ReadDeclaration
{
    std::uint64_t after = 0;
    bool wait = false;
};

struct ReadInstances
{
};

struct RegisterSelf
{
    bool isLeaving = false;
};

/// The routing view changed.
struct PublishView
{
};

using ControlAction = std::variant<SendDatagram, SendRequest, ReadDeclaration, ReadInstances,
                                   RegisterSelf, PublishView>;

/// Output of one step of the control plane, in order.
using ControlActions = std::vector<ControlAction>;

} // namespace damaskhall
