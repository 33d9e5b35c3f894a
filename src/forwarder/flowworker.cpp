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
/// Time between two bursts of packets that waited for the link.
constexpr std::chrono::milliseconds SendInterval{5};
/// Interval at which the figures about upstreams are collected; the effort grows with the fleet.
constexpr Milliseconds CapacityInterval = 1_s;
/// Bounds the packets buffered until the declaration and the upstreams are known: about half a
/// megabyte at 1,240 bytes each.
constexpr std::size_t MaxHoldQueueSize = 400;
/// Clients retransmit a packet or give up after this time, so an older packet has been superseded.
constexpr Milliseconds MaxHoldTime = 1_s;

} // namespace

struct FlowWorker::Private
{
    struct HeldPacket
    {
        std::string datagram;
        Milliseconds since;
    };

    Private(const FlowWorkerOptions &workerOptions, PacketCodec packetCodec, FlowRouterHooks hooks,
            Clock workerClock)
        : options(workerOptions)
        , codec(std::move(packetCodec))
        , clock(std::move(workerClock))
        , router(options.router, withCounting(std::move(hooks)))
        , timer(context)
        , sendTimer(context)
    {
        if (options.linkBytesPerMillisecond > 0) {
            scheduler.emplace(options.linkBytesPerMillisecond);
        }
    }

    FlowRouterHooks withCounting(FlowRouterHooks hooks)
    {
        hooks.report = [this, report = std::move(hooks.report)](const FlowPacket &packet,
                                                                const FlowDecision &decision,
                                                                Milliseconds now) {
            ++counters.byReason.at(static_cast<std::size_t>(decision.reason));
            report(packet, decision, now);
        };
        hooks.reportWithheld = [this, report = std::move(hooks.reportWithheld)](
                                       UpstreamKey upstream, WithheldReason reason) {
            ++counters.withheld.at(static_cast<std::size_t>(reason));
            report(upstream, reason);
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
        const auto packet = codec.decode(datagram);
        if (!packet) {
            ++counters.byReason.at(static_cast<std::size_t>(FlowReason::Malformed));
            return;
        }
        if (scheduler) {
            router.setLinkBacklog(scheduler->backlog());
        }
        applyDecision(datagram, *packet, router.handlePacket(*packet, now), now);
    }

    void applyDecision(std::string_view datagram, const FlowPacket &packet,
                       const FlowDecision &decision, Milliseconds now)
    {
        switch (decision.action) {
        case FlowAction::Forward:
            forward(datagram, packet, decision, now);
            return;
        case FlowAction::Reset:
            codec.writeReset(packet,
                             port->prepare({packet.key.client.address, options.listen.port}));
            return;
        case FlowAction::Hold:
            hold(datagram, now);
            return;
        case FlowAction::Drop:
            return;
        }
    }

    void forward(std::string_view datagram, const FlowPacket &packet, const FlowDecision &decision,
                 Milliseconds now)
    {
        if (!scheduler || scheduler->trySend(datagram.size(), now)) {
            codec.writeForwarded(datagram, decision, port->prepare(decision.endpoint));
            return;
        }
        scheduler->enqueue({packet, decision, std::string(datagram)}, now);
        if (!isSendTimerRunning) {
            waitForLink();
        }
    }

    void waitForLink()
    {
        isSendTimerRunning = true;
        sendTimer.expires_after(SendInterval);
        sendTimer.async_wait([this](const std::error_code &error) {
            isSendTimerRunning = false;
            if (!error) {
                sendScheduled();
            }
        });
    }

    void sendScheduled()
    {
        const Milliseconds now = clock.now();
        while (const auto next = scheduler->dequeue(now)) {
            codec.writeForwarded(next->datagram, next->decision,
                                 port->prepare(next->decision.endpoint));
        }
        port->flush();
        if (!scheduler->isEmpty()) {
            waitForLink();
        }
    }

    void hold(std::string_view datagram, Milliseconds now)
    {
        if (holdQueue.size() >= MaxHoldQueueSize) {
            ++counters.holdQueueOverflows;
            return;
        }
        holdQueue.push_back({std::string(datagram), now});
    }

    void handleView(std::shared_ptr<const FlowView> view)
    {
        router.handleView(std::move(view));
        const Milliseconds now = clock.now();
        for (const HeldPacket &packet : std::exchange(holdQueue, {})) {
            if (now - packet.since < MaxHoldTime) {
                receive(packet.datagram, now);
            }
        }
        port->flush();
    }

    void handleProbe(UpstreamKey upstream, bool isReachable)
    {
        for (const FlowPacket &packet : router.handleProbe(upstream, isReachable, clock.now())) {
            codec.writeReset(packet,
                             port->prepare({packet.key.client.address, options.listen.port}));
        }
        port->flush();
    }

    void tick()
    {
        const Milliseconds now = clock.now();
        router.tick(now);
        if (now >= nextCapacityStatus) {
            nextCapacityStatus = now + CapacityInterval;
            counters.capacity = router.capacityStatus(now);
        }
        {
            const std::lock_guard lock(mutex);
            publishedCounters = counters;
            publishedCounters.flows = router.flowCount();
            if (scheduler) {
                publishedCounters.link = scheduler->counters();
            }
            publishedCounters.admission = router.admissionReport();
            publishedCounters.cold = router.coldCounters();
        }
        timer.expires_after(TickInterval);
        timer.async_wait([this](const std::error_code &error) {
            if (!error) {
                tick();
            }
        });
    }

    FlowWorkerOptions options;
    PacketCodec codec;
    Clock clock;
    FlowCounters counters;
    Milliseconds nextCapacityStatus;
    FlowRouter router;
    asio::io_context context{1};
    asio::steady_timer timer;
    asio::steady_timer sendTimer;
    bool isSendTimerRunning = false;
    /// Empty if the rate of the link is not known.
    std::optional<LinkScheduler> scheduler;
    std::unique_ptr<UdpPort> port;
    std::deque<HeldPacket> holdQueue;
    std::thread thread;
    std::atomic<std::int64_t> lastPacketAt{0};
    mutable std::mutex mutex;
    FlowCounters publishedCounters;
};

FlowWorker::FlowWorker(const FlowWorkerOptions &options, PacketCodec codec, FlowRouterHooks hooks,
                       Clock clock)
    : m_d(std::make_unique<Private>(options, std::move(codec), std::move(hooks), std::move(clock)))
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

void FlowWorker::publish(const DeclarationState &state)
{
    asio::post(m_d->context, [d = m_d.get(), state] { d->router.handleDeclarationState(state); });
}

void FlowWorker::publish(std::vector<MemberView> members)
{
    asio::post(m_d->context, [d = m_d.get(), members = std::move(members)] {
        d->router.handleMembers(members, d->clock.now());
    });
}

void FlowWorker::reportProbeResult(UpstreamKey upstream, bool isReachable)
{
    asio::post(m_d->context,
               [d = m_d.get(), upstream, isReachable] { d->handleProbe(upstream, isReachable); });
}

FlowCounters FlowWorker::counters() const
{
    const std::lock_guard lock(m_d->mutex);
    return m_d->publishedCounters;
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
