#include "node/trafficworker.h"

#include "core/control/pathcontroller.h"
#include "io/udpport.h"
#include "node/upstreampath.h"
#include "wire/framecodec.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

namespace damaskhall {

namespace {

constexpr std::chrono::milliseconds TickInterval{5};
/// Copying the status allocates a string per upstream.
constexpr Milliseconds StatusInterval = 250_ms;

} // namespace

struct TrafficWorker::Private
{
    Private(const TrafficOptions &trafficOptions, const CoreHooks &hooks, Clock workerClock)
        : options(trafficOptions)
        , clock(std::move(workerClock))
        , router(trafficOptions.self, trafficOptions.incarnation, hooks)
        , pathController(pathHooks(hooks))
        , timer(context)
    {
    }

    PathHooks pathHooks(const CoreHooks &hooks)
    {
        const auto isIdempotent = [this](ServiceId service, ClassId workClass) {
            const auto *declared = view->declaration->findClass(service, workClass);
            return declared && declared->idempotent;
        };
        return {isIdempotent, hooks.countRetry, hooks.random};
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
        route(frame.assume_value(), from);
    }

    void route(const Frame &frame, Endpoint from)
    {
        const Milliseconds now = clock.now();
        router.handle(frame, from, now, actions);
        perform(now);
    }

    void receiveOnPath(UpstreamId upstream, PathChannel channel, std::string_view message)
    {
        const auto path = paths.find(upstream);
        const Result<Frame> frame = decodeFrame(message);
        if (!frame || path == paths.end()) {
            router.handleUndecodable({ErrorCode::Malformed, Step::DecodeFrame, "", ""});
            return;
        }
        if (!pathController.recordReceived(upstream, channel, frame.assume_value())) {
            route(frame.assume_value(), path->second->peer());
            flush();
        }
    }

    // Queues datagrams; flush() sends them.
    void perform(Milliseconds decidedAt)
    {
        for (const Send &action : actions) {
            if (action.destination == Destination::Upstream) {
                pathOf(action).send(action.frame, channelOf(action.frame), decidedAt);
            } else {
                port->queue(encodeFrame(action.frame), action.to);
            }
        }
        actions.clear();
        reportNotWritten();
    }

    UpstreamPath &pathOf(const Send &action)
    {
        auto &path = paths[action.upstream];
        if (!path) {
            const UpstreamView *listed = view->findUpstream(action.upstream);
            const UpstreamIdentity identity{action.upstream,
                                            listed ? listed->service : ServiceId{}};
            path = std::make_unique<UpstreamPath>(context, clock, action.to, identity,
                                                  pathHandlers(action.upstream));
        }
        return *path;
    }

    UpstreamPath::Handlers pathHandlers(UpstreamId upstream)
    {
        UpstreamPath::Handlers handlers;
        handlers.received = [this, upstream](PathChannel channel, std::string_view message) {
            receiveOnPath(upstream, channel, message);
        };
        handlers.written = [this, upstream](const Frame &frame) {
            pathController.recordSent(upstream, frame, clock.now());
        };
        handlers.notWritten = [this, upstream](const UpstreamRequest &request, ReplyStatus reply) {
            notWritten.emplace_back(upstream, UpstreamReply{request.attempt, reply, 0, 1, {}});
        };
        handlers.identityMismatched = [this] { router.handleWrongService(); };
        return handlers;
    }

    // A request of which no byte was written has not been executed: it is reported to the
    // dispatcher like a refusal by the upstream.
    void reportNotWritten()
    {
        while (!notWritten.empty()) {
            const auto [upstream, reply] = notWritten.front();
            notWritten.erase(notWritten.begin());
            const auto path = paths.find(upstream);
            if (path != paths.end()) {
                route(reply, path->second->peer());
            }
        }
    }

    void flush()
    {
        port->flush();
        for (auto &[upstream, path] : paths) {
            path->flush();
        }
    }

    void tick()
    {
        const Milliseconds now = clock.now();
        router.tick(now, actions);
        perform(now);
        tickPaths(now);
        flush();
        publishStatus(now);
        timer.expires_after(TickInterval);
        timer.async_wait([this](const std::error_code &error) {
            if (!error) {
                tick();
            }
        });
    }

    void tickPaths(Milliseconds now)
    {
        std::vector<PathAction> pathActions;
        pathController.tick(now, pathActions);
        for (const PathAction &pathAction : pathActions) {
            const auto path = paths.find(pathAction.upstream);
            if (path == paths.end()) {
                continue;
            }
            if (pathAction.mustReplace) {
                router.handleSilentPath(pathAction.upstream, now);
                path->second->replace();
            }
            for (const auto &[channel, frame] : pathAction.frames) {
                path->second->send(frame, channel, now);
            }
        }
        for (auto &[upstream, path] : paths) {
            path->tick();
        }
        reportNotWritten();
    }

    void publishStatus(Milliseconds now)
    {
        const std::lock_guard lock(statusMutex);
        load = router.load();
        if (now >= nextStatus) {
            nextStatus = now + StatusInterval;
            status = router.status();
        }
    }

    void setView(std::shared_ptr<const RoutingView> newView)
    {
        view = std::move(newView);
        router.setView(view);
        std::erase_if(paths,
                      [this](const auto &entry) { return !view->findUpstream(entry.first); });
        pathController.retain([this](UpstreamId id) { return view->findUpstream(id) != nullptr; });
    }

    TrafficOptions options;
    Clock clock;
    asio::io_context context{1};
    std::shared_ptr<const RoutingView> view = std::make_shared<const RoutingView>();
    Router router;
    PathController pathController;
    asio::steady_timer timer;
    std::unique_ptr<UdpPort> port;
    std::unordered_map<UpstreamId, std::unique_ptr<UpstreamPath>> paths;
    std::vector<std::pair<UpstreamId, UpstreamReply>> notWritten;
    Actions actions;
    std::thread thread;
    mutable std::mutex statusMutex;
    DispatcherLoad load;
    TrafficStatus status;
    Milliseconds nextStatus;
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
    const auto batchEnd = [d = m_d.get()] { d->flush(); };
    BOOST_OUTCOME_TRY(port, UdpPort::open(m_d->context, m_d->options.listen, receiver, batchEnd));
    m_d->port = std::move(port);
    m_d->thread = std::thread([d = m_d.get()] {
        d->tick();
        d->context.run();
    });
    return success();
}

void TrafficWorker::publish(std::shared_ptr<const RoutingView> view)
{
    asio::post(m_d->context, [d = m_d.get(), view = std::move(view)] { d->setView(view); });
}

void TrafficWorker::beginLeaving()
{
    asio::post(m_d->context, [d = m_d.get()] {
        const Milliseconds now = d->clock.now();
        d->router.beginLeaving(now, d->actions);
        d->perform(now);
        d->flush();
    });
}

DispatcherLoad TrafficWorker::load() const
{
    const std::lock_guard lock(m_d->statusMutex);
    return m_d->load;
}

TrafficStatus TrafficWorker::status() const
{
    const std::lock_guard lock(m_d->statusMutex);
    return m_d->status;
}

void TrafficWorker::stop()
{
    m_d->context.stop();
    if (m_d->thread.joinable()) {
        m_d->thread.join();
    }
}

} // namespace damaskhall
