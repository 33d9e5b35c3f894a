#include "node/trafficworker.h"

#include "node/udpport.h"
#include "wire/framecodec.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <mutex>
#include <thread>
#include <utility>

namespace damaskhall {

namespace {

constexpr std::chrono::milliseconds TickInterval{5};

} // namespace

struct TrafficWorker::Private
{
    Private(const TrafficOptions &trafficOptions, const CoreHooks &hooks, Clock workerClock)
        : options(trafficOptions)
        , clock(std::move(workerClock))
        , router(trafficOptions.self, trafficOptions.incarnation, hooks)
        , timer(context)
    {
    }

    void receive(std::string_view datagram, Endpoint from)
    {
        if (!isEncapsulated(datagram)) {
            handleDatagram(datagram, from);
            return;
        }
        const Result<Encapsulated> inner = decapsulate(datagram);
        if (!inner) {
            router.handleUndecodable(inner.assume_error());
            return;
        }
        handleDatagram(inner.assume_value().datagram, inner.assume_value().source);
    }

    void handleDatagram(std::string_view datagram, Endpoint from)
    {
        const Result<Frame> frame = decodeFrame(datagram);
        if (!frame) {
            router.handleUndecodable(frame.assume_error());
            return;
        }
        router.handle(frame.assume_value(), from, clock.now(), actions);
        perform();
    }

    void perform()
    {
        for (const Send &action : actions) {
            port->send(encodeFrame(action.frame), action.to);
        }
        actions.clear();
    }

    void tick()
    {
        router.tick(clock.now(), actions);
        perform();
        {
            const std::lock_guard lock(loadMutex);
            load = router.load();
        }
        timer.expires_after(TickInterval);
        timer.async_wait([this](const std::error_code &error) {
            if (!error) {
                tick();
            }
        });
    }

    TrafficOptions options;
    Clock clock;
    asio::io_context context{1};
    Router router;
    asio::steady_timer timer;
    std::unique_ptr<UdpPort> port;
    Actions actions;
    std::thread thread;
    mutable std::mutex loadMutex;
    DispatcherLoad load;
};

TrafficWorker::TrafficWorker(const TrafficOptions &options, const CoreHooks &hooks, Clock clock)
    : m_d(std::make_unique<Private>(options, hooks, std::move(clock)))
{
}

TrafficWorker::~TrafficWorker()
{
    stop();
}

Result<void> TrafficWorker::start()
{
    const auto receiver = [d = m_d.get()](std::string_view datagram, Endpoint from) {
        d->receive(datagram, from);
    };
    BOOST_OUTCOME_TRY(port, UdpPort::open(m_d->context, m_d->options.listen, receiver));
    m_d->port = std::move(port);
    m_d->thread = std::thread([d = m_d.get()] {
        d->tick();
        d->context.run();
    });
    return success();
}

void TrafficWorker::publish(std::shared_ptr<const RoutingView> view)
{
    asio::post(m_d->context, [d = m_d.get(), view = std::move(view)] { d->router.setView(view); });
}

void TrafficWorker::beginLeaving()
{
    asio::post(m_d->context, [d = m_d.get()] {
        d->router.beginLeaving(d->clock.now(), d->actions);
        d->perform();
    });
}

DispatcherLoad TrafficWorker::load() const
{
    const std::lock_guard lock(m_d->loadMutex);
    return m_d->load;
}

void TrafficWorker::stop()
{
    m_d->context.stop();
    if (m_d->thread.joinable()) {
        m_d->thread.join();
    }
}

} // namespace damaskhall
