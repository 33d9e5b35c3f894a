#pragma once

#include "base/result.h"
#include "core/control/controlhooks.h"
#include "core/control/controlmessages.h"

#include <functional>
#include <memory>
#include <optional>

#include <asio/io_context.hpp>

namespace damaskhall {

/// TCP connections between balancers: one request per message, each answered by one reply. A
/// connection carries a heartbeat each second and is replaced if nothing is received for 3 s.
/// Thread safety: all calls come from the thread that runs the io_context.
class PeerConnections
{
public:
    struct Hooks
    {
        /// Returns the reply to a peer's request; nullopt rejects the request.
        std::function<std::optional<StreamMessage>(const StreamMessage &)> answerRequest;
        /// Called with the reply to a request sent to the endpoint.
        std::function<void(Endpoint, const StreamMessage &)> handleReply;
        /// Called when requests to the endpoint will get no reply.
        std::function<void(Endpoint)> handleFailure;
    };

    /// Binds to @p local and accepts connections. Preconditions: all hooks are set. Errors: System
    /// with Step::OpenSocket.
    static Result<std::unique_ptr<PeerConnections>> open(asio::io_context &context, Endpoint local,
                                                         InstanceId self, const Hooks &hooks,
                                                         const ControlHooks &controlHooks);
    ~PeerConnections();
    PeerConnections(const PeerConnections &) = delete;
    PeerConnections &operator=(const PeerConnections &) = delete;

    /// Sends a request over the connection to @p peer, which is opened if there is none.
    void request(Endpoint peer, const StreamMessage &message);

private:
    struct Shared;
    class Connection;
    explicit PeerConnections(std::shared_ptr<Shared> shared);
    std::shared_ptr<Shared> m_shared;
};

} // namespace damaskhall
