#include "forwarder/flowworker.h"

#include "io/udpport.h"

#include <array>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

namespace damaskhall {

namespace {

constexpr std::chrono::milliseconds TickInterval{100};
/// Packets kept while nothing is known yet: at 1,240 bytes each, about half a megabyte.
constexpr std::size_t MaxHeldPackets = 400;
/// Clients repeat a packet or give up after this; a packet held longer has a fresher copy.
constexpr Milliseconds MaxHoldTime = 1_s;

} // namespace

struct FlowWorker::Private
{
    struct HeldPacket
    {
        std::string datagram;
        Milliseconds since;
    };

    Private(const FlowWorkerOptions &workerOptions, PacketFormat packetFormat,
            FlowRouterHooks hooks, Clock workerClock)
        : options(workerOptions)
        , format(std::move(packetFormat))
        , clock(std::move(workerClock))
        , router(options.dataCentre, counted(std::move(hooks)))
        , timer(context)
    {
    }

    FlowRouterHooks counted(FlowRouterHooks hooks)
    {
        hooks.report = [this, report = std::move(hooks.report)](const FlowPacket &packet,
                                                                const FlowDecision &decision,
                                                                Milliseconds now) {
            ++counts.byReason.at(static_cast<std::size_t>(decision.reason));
            report(packet, decision, now);
        };
        return hooks;
    }

    Result<void> open()
    {
        BOOST_OUTCOME_TRY(opened, UdpPort::open(
                                          context, options.listen,
                                          [this](std::string_view datagram, Endpoint) {
                                              receive(datagram, clock.now());
                                          },
                                          [this] { port->flush(); }));
        port = std::move(opened);
        return success();
    }

    void receive(std::string_view datagram, Milliseconds now)
    {
        lastPacketAt = now.value;
        const auto packet = format.decode(datagram);
        if (!packet) {
            ++counts.byReason.at(static_cast<std::size_t>(FlowReason::Malformed));
            return;
        }
        carryOut(datagram, *packet, router.handlePacket(*packet, now), now);
    }

    void carryOut(std::string_view datagram, const FlowPacket &packet, const FlowDecision &decision,
                  Milliseconds now)
    {
        switch (decision.action) {
        case FlowAction::Forward:
            format.writeForwarded(datagram, decision, port->prepare(decision.endpoint));
            return;
        case FlowAction::Reset:
            format.writeReset(packet,
                              port->prepare({packet.key.client.address, options.listen.port}));
            return;
        case FlowAction::Hold:
            hold(datagram, now);
            return;
        case FlowAction::Drop:
            return;
        }
    }

    void hold(std::string_view datagram, Milliseconds now)
    {
        if (held.size() >= MaxHeldPackets) {
            ++counts.heldTooMany;
            return;
        }
        held.push_back({std::string(datagram), now});
    }

    void handleView(std::shared_ptr<const FlowView> view)
    {
        router.handleView(std::move(view));
        const Milliseconds now = clock.now();
        for (const HeldPacket &packet : std::exchange(held, {})) {
            if (now - packet.since < MaxHoldTime) {
                receive(packet.datagram, now);
            }
        }
        port->flush();
    }

    void handleProbe(UpstreamKey upstream, bool isReachable)
    {
        for (const FlowPacket &packet : router.handleProbe(upstream, isReachable, clock.now())) {
            format.writeReset(packet,
                              port->prepare({packet.key.client.address, options.listen.port}));
        }
        port->flush();
    }

    void tick()
    {
        const Milliseconds now = clock.now();
        router.tick(now);
        {
            const std::lock_guard lock(mutex);
            published = counts;
            published.flows = router.flowCount();
        }
        timer.expires_after(TickInterval);
        timer.async_wait([this](const std::error_code &error) {
            if (!error) {
                tick();
            }
        });
    }

    FlowWorkerOptions options;
    PacketFormat format;
    Clock clock;
    FlowCounts counts;
    FlowRouter router;
    asio::io_context context{1};
    asio::steady_timer timer;
    std::unique_ptr<UdpPort> port;
    std::deque<HeldPacket> held;
    std::thread thread;
    std::atomic<std::int64_t> lastPacketAt{0};
    mutable std::mutex mutex;
    FlowCounts published;
};

FlowWorker::FlowWorker(const FlowWorkerOptions &options, PacketFormat format, FlowRouterHooks hooks,
                       Clock clock)
    : m_d(std::make_unique<Private>(options, std::move(format), std::move(hooks), std::move(clock)))
{
}

FlowWorker::~FlowWorker()
{
    stop();
}

Result<void> FlowWorker::start()
{
    BOOST_OUTCOME_TRYV(m_d->open());
    m_d->thread = std::thread([d = m_d.get()] {
        d->tick();
        d->context.run();
    });
    return success();
}

void FlowWorker::publish(std::shared_ptr<const FlowView> view)
{
    asio::post(m_d->context, [d = m_d.get(), view = std::move(view)] { d->handleView(view); });
}

void FlowWorker::reportProbe(UpstreamKey upstream, bool isReachable)
{
    asio::post(m_d->context,
               [d = m_d.get(), upstream, isReachable] { d->handleProbe(upstream, isReachable); });
}

FlowCounts FlowWorker::counts() const
{
    const std::lock_guard lock(m_d->mutex);
    return m_d->published;
}

Milliseconds FlowWorker::lastPacketAt() const
{
    return {m_d->lastPacketAt.load()};
}

void FlowWorker::stop()
{
    m_d->context.stop();
    if (m_d->thread.joinable()) {
        m_d->thread.join();
    }
}

} // namespace damaskhall
