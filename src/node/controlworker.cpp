#include "node/controlworker.h"

#include "core/control/controlplane.h"
#include "io/udpport.h"
#include "node/peerconnections.h"
#include "wire/controlcodec.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <limits>
#include <mutex>
#include <random>
#include <thread>
#include <utility>

namespace damaskhall {

namespace {

constexpr std::chrono::milliseconds TickInterval{50};
constexpr Milliseconds PlatformTimeout = 1_s;
/// A watch cannot be interrupted; this and PlatformTimeout bound the duration of stop(). It also
/// bounds how long a watch misses changes after the platform returned to a lower version.
constexpr Milliseconds MaxWatchDuration = 1_s;
constexpr const char *DeclarationKey = "declaration";

RandomSource systemRandom()
{
    std::random_device device;
    const std::uint64_t seed = std::uint64_t{device()} << 32 | device();
    return seededRandom(seed);
}

ControlHooks withDefaults(ControlHooks hooks)
{
    if (!hooks.random) {
        hooks.random = systemRandom();
    }
    if (!hooks.countRetry) {
        hooks.countRetry = [](RetryReason) {};
    }
    if (!hooks.countEvent) {
        hooks.countEvent = [](ControlEvent) {};
    }
    return hooks;
}

ControlOptions withDefaults(ControlOptions options)
{
    if (options.controlListen.isNull()) {
        options.controlListen = defaultControlEndpoint(options.listen);
    }
    return options;
}

ControlPlaneOptions makePlaneOptions(const ControlOptions &options)
{
    ControlPlaneOptions plane;
    plane.self = {options.self,       options.incarnation, 0,
                  MemberState::Alive, options.listen,      options.controlListen};
    plane.dataCentre = dataCentreId(options.dataCentre);
    plane.seeds = options.seeds;
    plane.remotePeers = options.remotePeers;
    return plane;
}

/// Thread that makes blocking platform calls one after the other.
class PlatformThread
{
public:
    explicit PlatformThread(Endpoint platform)
        : m_client(platform, PlatformTimeout)
        , m_work(asio::make_work_guard(m_context))
    {
    }

    ~PlatformThread() { stop(); }
    PlatformThread(const PlatformThread &) = delete;
    PlatformThread &operator=(const PlatformThread &) = delete;

    void start()
    {
        m_thread = std::thread([this] { m_context.run(); });
    }

    void stop()
    {
        m_context.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    template <typename Call>
    void post(Call call)
    {
        asio::post(m_context, [this, call = std::move(call)] { call(m_client); });
    }

private:
    PlatformClient m_client;
    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

} // namespace

Endpoint defaultControlEndpoint(Endpoint traffic)
{
    const int port = int{traffic.port} + ControlPortOffset;
    const bool fits = port <= std::numeric_limits<std::uint16_t>::max();
    // If the sum exceeds the port range, the offset is subtracted instead.
    const int chosen = fits ? port : int{traffic.port} - ControlPortOffset;
    return {traffic.address, static_cast<std::uint16_t>(chosen)};
}

struct ControlWorker::Private
{
    Private(const ControlOptions &controlOptions, Publisher publisher, const ControlHooks &counters)
        : options(withDefaults(controlOptions))
        , hooks(withDefaults(counters))
        , publish(std::move(publisher))
        , plane(makePlaneOptions(options), hooks)
        , timer(context)
        , watchThread(options.platform)
        , callThread(options.platform)
        , published(plane.view())
    {
    }

    Result<void> open()
    {
        const auto receiver = [this](std::string_view bytes, Endpoint from) {
            receive(bytes, from);
        };
        BOOST_OUTCOME_TRY(udp, UdpPort::open(context, options.controlListen, receiver));
        port = std::move(udp);
        PeerConnections::Hooks connectionHooks;
        connectionHooks.answerRequest = [this](const StreamMessage &request) {
            return plane.answerRequest(request);
        };
        connectionHooks.handleReply = [this](Endpoint peer, const StreamMessage &reply) {
            plane.handleReply(peer, reply, clock.now(), actions);
            perform();
        };
        connectionHooks.handleFailure = [this](Endpoint peer) {
            plane.handleRequestFailure(peer, clock.now(), actions);
            perform();
        };
        BOOST_OUTCOME_TRY(tcp, PeerConnections::open(context, options.controlListen, options.self,
                                                     connectionHooks, hooks));
        connections = std::move(tcp);
        return success();
    }

    void run()
    {
        tick();
        context.run();
    }

    void tick()
    {
        plane.tick(clock.now(), actions);
        perform();
        timer.expires_after(TickInterval);
        timer.async_wait([this](const std::error_code &error) {
            if (!error) {
                tick();
            }
        });
    }

    void receive(std::string_view bytes, Endpoint from)
    {
        const auto datagram = decodeControlDatagram(bytes);
        if (!datagram) {
            const bool isVersionMismatch =
                    datagram.assume_error().code == ErrorCode::VersionMismatch;
            hooks.countEvent(isVersionMismatch ? ControlEvent::VersionRefused
                                               : ControlEvent::MessageRefused);
            return;
        }
        plane.handleDatagram(datagram.assume_value(), from, clock.now(), actions);
        perform();
    }

    // Performing an action may post its result to the context, but never appends actions directly.
    void perform()
    {
        const ControlActions pendingActions = std::exchange(actions, {});
        for (const ControlAction &action : pendingActions) {
            std::visit([this](const auto &step) { perform(step); }, action);
        }
    }

    void perform(const SendDatagram &send)
    {
        port->send(encodeControlDatagram(send.datagram), send.to);
    }

    void perform(const SendRequest &send)
    {
        asio::post(context, [this, send] { connections->request(send.to, send.request); });
    }

    void perform(const ReadDeclaration &read)
    {
        watchThread.post([this, read](PlatformClient &client) {
            auto value = read.wait ? client.watch(DeclarationKey, read.after, MaxWatchDuration)
                                   : client.read(DeclarationKey);
            asio::post(context, [this, value = std::move(value)] { handleDeclaration(value); });
        });
    }

    void perform(const ReadInstances &)
    {
        callThread.post([this](PlatformClient &client) {
            auto list = client.instances();
            asio::post(context, [this, list = std::move(list)] { handleInstances(list); });
        });
    }

    void perform(const RegisterSelf &registration)
    {
        PlatformInstance self;
        self.id = options.self.value;
        self.role = "balancer";
        self.endpoint = options.listen;
        self.dataCentre = options.dataCentre;
        self.incarnation = options.incarnation.value;
        self.isLeaving = registration.isLeaving;
        callThread.post([this, self](PlatformClient &client) {
            const bool isDone = client.registerInstance(self).has_value();
            asio::post(context, [this, isDone] { handleRegistration(isDone); });
        });
    }

    void perform(const PublishView &)
    {
        auto view = plane.view();
        {
            const std::lock_guard lock(viewMutex);
            published = view;
        }
        publish(std::move(view));
    }

    void handleDeclaration(const Result<PlatformValue> &value)
    {
        if (!value) {
            plane.handlePlatformFailure(PlatformSchedule::Call::Declaration, clock.now());
            return;
        }
        plane.handleDeclaration(value.assume_value().value, value.assume_value().version,
                                clock.now(), actions);
        perform();
    }

    void handleInstances(const Result<PlatformInstanceList> &list)
    {
        if (!list) {
            plane.handlePlatformFailure(PlatformSchedule::Call::Instances, clock.now());
            return;
        }
        std::vector<ListedBalancer> balancers;
        std::vector<UpstreamUpdate> upstreams;
        const std::vector<PlatformInstance> &instances = list.assume_value().instances;
        for (std::size_t i = 0; i < list.assume_value().refused; ++i) {
            hooks.countEvent(ControlEvent::ListEntryRefused);
        }
        for (const PlatformInstance &instance : instances) {
            if (instance.dataCentre != options.dataCentre) {
                continue;
            }
            if (instance.role == "balancer") {
                balancers.push_back({InstanceId{static_cast<std::uint32_t>(instance.id)},
                                     Incarnation{instance.incarnation}, instance.endpoint,
                                     defaultControlEndpoint(instance.endpoint),
                                     instance.isLeaving});
            } else if (instance.role == "upstream") {
                upstreams.push_back({UpstreamId{instance.id}, instance.endpoint,
                                     serviceId(instance.service), instance.isLeaving, 0});
            }
        }
        plane.handleInstances(balancers, upstreams, instances.size(), clock.now(), actions);
        perform();
    }

    void handleRegistration(bool isDone)
    {
        if (isDone) {
            plane.handleRegistered(clock.now());
        } else {
            plane.handlePlatformFailure(PlatformSchedule::Call::Registration, clock.now());
        }
    }

    ControlOptions options;
    ControlHooks hooks;
    Publisher publish;
    Clock clock;
    ControlPlane plane;
    ControlActions actions;
    asio::io_context context{1};
    asio::steady_timer timer;
    std::unique_ptr<UdpPort> port;
    std::unique_ptr<PeerConnections> connections;
    // A watch blocks for up to MaxWatchDuration; other calls must not be delayed by it.
    PlatformThread watchThread;
    PlatformThread callThread;
    std::thread thread;
    mutable std::mutex viewMutex;
    std::shared_ptr<const RoutingView> published;
};

ControlWorker::ControlWorker(const ControlOptions &options, Publisher publish,
                             const ControlHooks &hooks)
    : m_d(std::make_unique<Private>(options, std::move(publish), hooks))
{
}

ControlWorker::~ControlWorker()
{
    stop();
}

Result<void> ControlWorker::start()
{
    BOOST_OUTCOME_TRYV(m_d->open());
    m_d->watchThread.start();
    m_d->callThread.start();
    m_d->thread = std::thread([d = m_d.get()] { d->run(); });
    return success();
}

void ControlWorker::beginLeaving()
{
    asio::post(m_d->context, [d = m_d.get()] {
        d->plane.beginLeaving(d->clock.now(), d->actions);
        d->perform();
    });
}

void ControlWorker::reportLeaving(UpstreamId upstream)
{
    asio::post(m_d->context, [d = m_d.get(), upstream] {
        d->plane.reportLeaving(upstream, d->clock.now(), d->actions);
        d->perform();
    });
}

std::shared_ptr<const RoutingView> ControlWorker::view() const
{
    const std::lock_guard lock(m_d->viewMutex);
    return m_d->published;
}

void ControlWorker::stop()
{
    m_d->watchThread.stop();
    m_d->callThread.stop();
    m_d->context.stop();
    if (m_d->thread.joinable()) {
        m_d->thread.join();
    }
}

} // namespace damaskhall
