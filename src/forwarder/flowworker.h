#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "core/flow/flowrouter.h"
#include "core/flow/linkscheduler.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskhall {

/// Encoding and decoding of packets on the wire. All hooks must be set and reentrant.
struct PacketCodec
{
    /// Decodes the header of a client's datagram. Returns nothing if the datagram is not a valid
    /// packet.
    std::function<std::optional<FlowPacket>(std::string_view datagram)> decode;
    /// Writes the datagram to forward to the upstream; replaces the content of @p output.
    std::function<void(std::string_view datagram, const FlowDecision &decision,
                       std::string &output)>
            writeForwarded;
    /// Writes the datagram that resets the flow of @p packet; replaces the content of @p output.
    std::function<void(const FlowPacket &packet, std::string &output)> writeReset;
};

struct FlowWorkerOptions
{
    /// UDP endpoint that receives packets from clients and sends packets to upstreams.
    Endpoint listen;
    FlowRouterOptions router;
    /// Rate of the instance's link; zero if it is not known.
    double linkBytesPerMillisecond = 0;
};

/// Counters of the traffic thread since its start.
struct FlowCounters
{
    std::array<std::uint64_t, FlowReasonCount> byReason{};
    /// Upstreams that failed connection attempts and were not taken as unreachable.
    std::array<std::uint64_t, WithheldReasonCount> withheld{};
    /// Packets dropped because the hold queue was full.
    std::uint64_t holdQueueOverflows = 0;
    LinkSchedulerCounters link;
    /// Flows that are tracked now.
    std::size_t flows = 0;
    AdmissionReport admission;
    /// As of at most a second ago.
    CapacityStatus capacity;
    /// New flows that met cold upstreams, by service.
    std::map<ServiceId, ColdCounters> cold;
};

/// Traffic thread: owns the packet socket and the FlowRouter and applies the router's decisions.
/// Thread safety: public methods may be called from any thread unless noted.
class FlowWorker
{
public:
    /// Preconditions: all hooks are set. The traffic thread calls those of @p hooks.
    FlowWorker(const FlowWorkerOptions &options, PacketCodec codec, FlowRouterHooks hooks,
               Clock clock);
    ~FlowWorker();
    FlowWorker(const FlowWorker &) = delete;
    FlowWorker &operator=(const FlowWorker &) = delete;

    /// Opens the socket and starts the thread. Errors: System with Step::OpenSocket.
    Result<void> start();
    /// Replaces the view that the traffic thread uses. Precondition: @p view is not null.
    void publish(std::shared_ptr<const FlowView> view);
    /// Passes what is known about the stored declaration to the traffic thread, after all views
    /// that were published before.
    void publish(const DeclarationState &state);
    /// Passes the members of the fleet, including this instance, to the traffic thread.
    void publish(std::vector<MemberView> members);
    /// Passes the result of a connection attempt that FlowRouterHooks::probe requested to the
    /// traffic thread.
    void reportProbeResult(UpstreamKey upstream, bool isReachable);
    /// Returns the counters as of the last tick (every 100 ms).
    FlowCounters counters() const;
    /// Returns the time at which the last packet arrived.
    Milliseconds lastPacketAt() const;
    /// Stops the thread and joins it.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace damaskhall
