#pragma once

#include "base/endpoint.h"
#include "base/result.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <asio/io_context.hpp>

namespace damaskhall {

/// UDP socket that reads and writes in batches on an io_context.
/// Thread safety: all calls come from the thread that runs the io_context.
class UdpPort
{
public:
    /// Called for each datagram; the view is valid only during the call.
    using Receiver = std::function<void(std::string_view datagram, Endpoint from)>;

    /// Binds to @p local (port 0: an ephemeral port) and starts reading. @p batchEnd, if set, is
    /// called after each batch of datagrams. Errors: System with Step::OpenSocket.
    static Result<std::unique_ptr<UdpPort>> open(asio::io_context &context, Endpoint local,
                                                 Receiver receiver,
                                                 std::function<void()> batchEnd = {});
    ~UdpPort();
    UdpPort(const UdpPort &) = delete;
    UdpPort &operator=(const UdpPort &) = delete;

    /// Restricts the socket to @p peer: datagrams of others are not received, and all are sent
    /// there.
    void connect(Endpoint peer);

    /// Sends one datagram without blocking. A datagram that the system cannot take is lost, as on
    /// any network; senders retransmit.
    void send(std::string_view datagram, Endpoint to);

    /// Queues a datagram for flush().
    void queue(std::string datagram, Endpoint to);
    /// Returns an empty buffer that is sent to @p to with the next flush(). Buffers are used again,
    /// so that a steady load allocates nothing. The reference lives until the next call.
    std::string &prepare(Endpoint to);
    /// Sends all queued datagrams with as few system calls as possible.
    void flush();

    Endpoint local() const;

private:
    struct Private;
    explicit UdpPort(std::shared_ptr<Private> d);
    std::shared_ptr<Private> m_d;
};

} // namespace damaskhall
