#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "core/flow/flowrouter.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace damaskhall {

/// Format of the packets on the wire; all hooks must be set and reentrant.
struct PacketFormat
{
    /// Decodes the head of a client's datagram; nothing if it is not a packet.
    std::function<std::optional<FlowPacket>(std::string_view datagram)> decode;
    /// Writes the datagram for an upstream in place of the content of @p output.
    std::function<void(std::string_view datagram, const FlowDecision &decision,
                       std::string &output)>
            writeForwarded;
    /// Writes the datagram that resets the flow of @p packet.
    std::function<void(const FlowPacket &packet, std::string &output)> writeReset;
};

struct FlowWorkerOptions
{
    /// UDP socket for packets of clients and to upstreams.
    Endpoint listen;
    DataCentreId dataCentre;
};

/// Counts of the traffic thread since its start.
struct FlowCounts
{
    std::array<std::uint64_t, FlowReasonCount> byReason{};
    std::uint64_t heldTooMany = 0;
    std::size_t flows = 0;
};

/// Traffic thread: owns the packet socket and the FlowRouter and carries out its decisions.
/// Thread safety: public methods may be called from any thread unless noted.
class FlowWorker
{
public:
    /// Preconditions: all hooks are set; those of @p hooks are called on the traffic thread.
    FlowWorker(const FlowWorkerOptions &options, PacketFormat format, FlowRouterHooks hooks,
               Clock clock);
    ~FlowWorker();
    FlowWorker(const FlowWorker &) = delete;
    FlowWorker &operator=(const FlowWorker &) = delete;

    /// Opens the socket and starts the thread. Errors: System with Step::OpenSocket.
    Result<void> start();
    /// Publishes a new view to the traffic thread. Precondition: @p view is not null.
    void publish(std::shared_ptr<const FlowView> view);
    /// Passes on the result of a connection attempt that the hooks asked for.
    void reportProbe(UpstreamKey upstream, bool isReachable);
    /// Returns the counts as of the last tick.
    FlowCounts counts() const;
    /// Returns the time of the last packet.
    Milliseconds lastPacketAt() const;
    /// Ends the thread and waits for it.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace damaskhall
