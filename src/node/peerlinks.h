#pragma once

#include "base/result.h"
#include "core/control/controlhooks.h"
#include "core/control/controlmessages.h"

#include <functional>
#include <memory>
#include <optional>

#include <asio/io_context.hpp>

namespace damaskhall {

/// TCP connections between balancers: one request at a time per message, each answered by one
/// reply. A connection carries heartbeats each second and is replaced after 3 s of silence.
/// Thread safety: all calls come from the thread that runs the io_context.
class PeerLinks
{
public:
    struct Hooks
    {
        /// Returns the reply to a peer's request; nothing refuses it.
        std::function<std::optional<StreamMessage>(const StreamMessage &)> answer;
        /// Reply to a request sent to the endpoint.
        std::function<void(Endpoint, const StreamMessage &)> handleReply;
        /// A request to the endpoint gets no reply.
        std::function<void(Endpoint)> handleFailure;
    };

    /// Binds to @p local and accepts connections. Preconditions: all hooks are set. Errors: System
    /// with Step::OpenSocket.
    static Result<std::unique_ptr<PeerLinks>> open(asio::io_context &context, Endpoint local,
                                                   InstanceId self, const Hooks &hooks,
                                                   const ControlHooks &controlHooks);
    ~PeerLinks();
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    /// Sends a request over the connection to @p peer, which is opened if there is none.
    void request(Endpoint peer, const StreamMessage &message);

private:
    struct Shared;
    class Link;
    explicit PeerLinks(std::shared_ptr<Shared> shared);
    std::shared_ptr<Shared> m_shared;
};

} // namespace damaskhall
