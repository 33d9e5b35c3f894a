#include "forwarder/forwarderprocess.h"

#include "config/configfile.h"
#include "config/declaration.h"
#include "config/inidocument.h"
#include "core/flow/peercontroller.h"
#include "forwarder/forwardertelemetry.h"
#include "io/boundedlog.h"
#include "io/statusserver.h"
#include "io/tcpprobe.h"
#include "io/udpport.h"
#include "wire/changesrequestcodec.h"
#include "wire/controlcodec.h"
#include "wire/directoryupdatecodec.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <random>
#include <set>
#include <unistd.h>
#include <utility>

namespace damaskhall {

namespace {

constexpr std::chrono::milliseconds TickInterval{100};
/// Time within which the fabric detects that this instance is not ready: two readiness checks half
/// a second apart, and the transit time of a packet.
constexpr Milliseconds UnreadyDetectionTime = 1500_ms;
/// If no packet has arrived for this long, the fabric has stopped sending to this instance.
constexpr Milliseconds TrafficIdleTime = 400_ms;
/// Part of the stop limit that is reserved for process shutdown.
constexpr Milliseconds ShutdownReserve = 1500_ms;
/// A reachable host accepts a connection within a few round trips between data centres.
constexpr Milliseconds ProbeTimeout = 150_ms;

constexpr double BytesPerMillisecondAndMbps = 125;

RandomSource systemRandom()
{
    std::random_device device;
    return seededRandom(std::uint64_t{device()} << 32 | device());
}

} // namespace

Result<ForwarderSettings> readForwarderSettings(const std::string &file)
{
    BOOST_OUTCOME_TRY(text, readFile(file));
    Diagnostics diagnostics(file);
    const IniDocument document = IniDocument::scan(text, diagnostics);
    ForwarderSettings settings = checkForwarderSettings(document, diagnostics);
    if (!diagnostics.isEmpty()) {
        return diagnostics.toError(Step::CheckSettings);
    }
    return settings;
}

struct ForwarderProcess::Private
{
    Private(std::string file, ForwarderPlatform hooks)
        : settingsFile(std::move(file))
        , platform(std::move(hooks))
        , log(STDOUT_FILENO, LogLevel::Info)
        , telemetry(log, clock)
        , timer(context)
        , signals(context, SIGTERM, SIGINT, SIGHUP)
    {
    }

    Result<void> open()
    {
        BOOST_OUTCOME_TRY(loaded, readForwarderSettings(settingsFile));
        settings = std::move(loaded);
        log.setLevel(parseLogLevel(settings.logLevel));
        makeController();
        BOOST_OUTCOME_TRYV(openPeers());
        callStore = platform.makeStoreCaller(context, settings.store);
        FlowWorkerOptions options;
        options.listen = settings.listen;
        options.linkBytesPerMillisecond = settings.linkMbps * BytesPerMillisecondAndMbps;
        options.router.dataCentre.value = serviceId(settings.dataCentre).value;
        options.router.isAdmissionControlled =
                platform.translateFeatures(settings.platformFeatures).isAdmissionControlled;
        options.router.isSpilloverEnabled = true;
        options.router.cold = makeColdBudgetOptions();
        FlowRouterHooks hooks = telemetry.flowHooks(systemRandom());
        hooks.probe = [this](UpstreamKey upstream, Endpoint endpoint) {
            asio::post(context, [this, upstream, endpoint] { probe(upstream, endpoint); });
        };
        hooks.confirmDeclaration = [this] {
            asio::post(context, [this] {
                controller->requestCurrentDeclaration(clock.now());
                advance();
            });
        };
        worker = std::make_unique<FlowWorker>(options, platform.packetCodec, std::move(hooks),
                                              clock);
        BOOST_OUTCOME_TRYV(worker->start());
        statusServer = std::make_unique<StatusServer>(
                context, StatusHooks{[this] { return isReady(); }, [this] { return metrics(); }});
        BOOST_OUTCOME_TRYV(statusServer->open(settings.statusListen));
        telemetry.reportStart(settings);
        return success();
    }

    InstanceId instanceId() const
    {
        return {static_cast<std::uint32_t>(serviceId(settings.name).value)};
    }

    ColdBudgetOptions makeColdBudgetOptions() const
    {
        ColdBudgetOptions options;
        options.self = instanceId();
        options.hasSeeds =
                std::any_of(settings.seeds.begin(), settings.seeds.end(),
                            [this](Endpoint seed) { return seed != settings.peerListen; });
        options.overshoot = settings.coldOvershoot;
        options.slack = settings.coldSlack;
        return options;
    }

    void makeController()
    {
        FlowController::Times times;
        times.reader.confirmationInterval = confirmationInterval(settings);
        times.reader.watchInterval = times.reader.confirmationInterval / 2;
        // Two confirmation intervals and the time of a slow answer (500 ms).
        times.confirmation = times.reader.confirmationInterval * 2 + 500_ms;
        times.directory.confirmation = settings.confirmation;
        times.directory.flowLifetime = settings.flowLifetime;
        controller =
                std::make_unique<FlowController>(times, telemetry.controlHooks(systemRandom()));
        std::set<DataCentreId> dataCentres;
        for (const std::string &name : settings.dataCentres) {
            dataCentres.insert(DataCentreId{serviceId(name).value});
        }
        controller->setDataCentres(std::move(dataCentres));
        telemetry.setDataCentres(settings.dataCentres);
    }

    void probe(UpstreamKey upstream, Endpoint endpoint)
    {
        probeTcp(context, endpoint, ProbeTimeout, [this, upstream, endpoint](bool isReachable) {
            telemetry.reportProbeResult(upstream, endpoint, isReachable);
            worker->reportProbeResult(upstream, isReachable);
        });
    }

    Result<void> openPeers()
    {
        if (settings.peerListen.isNull()) {
            return success();
        }
        BOOST_OUTCOME_TRY(opened, UdpPort::open(context, settings.peerListen,
                                                [this](std::string_view bytes, Endpoint from) {
                                                    handlePeerDatagram(bytes, from);
                                                }));
        peerPort = std::move(opened);
        MemberUpdate self;
        self.id = instanceId();
        self.incarnation.value = static_cast<std::uint64_t>(Clock::wallTime().value);
        self.endpoint = settings.listen;
        self.control = settings.peerListen;
        peers = std::make_unique<PeerController>(
                self, DataCentreId{serviceId(settings.region).value}, settings.seeds,
                telemetry.peerHooks(systemRandom()));
        return success();
    }

    void handlePeerDatagram(std::string_view bytes, Endpoint from)
    {
        const Milliseconds now = clock.now();
        if (isDirectoryUpdateDatagram(bytes)) {
            const Result<DirectoryUpdate> update = decodeDirectoryUpdate(bytes);
            if (!update) {
                telemetry.reportPeerDecodeError(update.assume_error(), from);
                return;
            }
            telemetry.reportUpdateAge(update.assume_value().age);
            send(peers->relayUpdate(update.assume_value(), now));
            controller->handleDirectoryUpdate(update.assume_value(), from, now);
            requestChanges(now);
            advance();
            return;
        }
        if (isChangesRequestDatagram(bytes)) {
            const Result<ChangesRequest> request = decodeChangesRequest(bytes);
            if (!request) {
                telemetry.reportPeerDecodeError(request.assume_error(), from);
                return;
            }
            PeerActions actions;
            for (DirectoryUpdate &update :
                 controller->answerChangesRequest(request.assume_value(), now)) {
                actions.updates.push_back(peers->reply(std::move(update), from));
            }
            send(actions);
            return;
        }
        const Result<ControlDatagram> datagram = decodeControlDatagram(bytes);
        if (!datagram) {
            telemetry.reportPeerDecodeError(datagram.assume_error(), from);
            return;
        }
        send(peers->handleDatagram(datagram.assume_value(), from, now));
    }

    void send(const PeerActions &actions)
    {
        using Kind = ForwarderTelemetry::PeerDatagram;
        for (const SendDatagram &datagram : actions.datagrams) {
            queueForPeer(encodeControlDatagram(datagram.datagram), datagram.to, Kind::Membership);
        }
        for (const SendDirectoryUpdate &update : actions.updates) {
            queueForPeer(encodeDirectoryUpdate(update.update), update.to, Kind::DirectoryUpdate);
        }
        peerPort->flush();
    }

    void queueForPeer(std::string bytes, Endpoint to, ForwarderTelemetry::PeerDatagram kind)
    {
        telemetry.countPeerDatagram(kind, bytes.size());
        peerPort->queue(std::move(bytes), to);
    }

    void tickPeers(Milliseconds now)
    {
        if (!peers) {
            return;
        }
        send(peers->tick(now));
        // An instance that knows no peers also reads the store.
        controller->setReader(peers->isReader(), peers->peerCount());
        publishUpdates(now);
        requestChanges(now);
        if (peers->membersVersion() != publishedMembersVersion) {
            publishedMembersVersion = peers->membersVersion();
            worker->publish(peers->members());
        }
    }

    // Sends what the store's last reply changed or confirmed to the peers.
    void publishUpdates(Milliseconds now)
    {
        for (DirectoryUpdate &update : controller->takeDirectoryUpdates(now)) {
            send(peers->publish(std::move(update)));
        }
    }

    void requestChanges(Milliseconds now)
    {
        const auto request = controller->takeChangesRequest(now);
        const auto to = request ? peers->receiverOf(*request) : std::nullopt;
        if (to) {
            queueForPeer(encodeChangesRequest(request->request), *to,
                         ForwarderTelemetry::PeerDatagram::ChangesRequest);
            peerPort->flush();
        }
    }

    bool isReady() const { return controller->isUsable() && !stopRequestedAt; }

    std::string metrics() const
    {
        return telemetry.metrics(
                {*controller, worker->counters(), peers ? peers->peerCount() : 0, log.lostLines()});
    }

    void advance()
    {
        const Milliseconds now = clock.now();
        controller->tick(now);
        if (const auto call = controller->nextCall(now)) {
            callStore(*call, [this, made = *call, now](const StoreReply &reply) {
                telemetry.reportStoreCall(made, reply.outcome, reply.bodyBytes, clock.now() - now);
                controller->handleReply(reply, clock.now());
                if (peers) {
                    publishUpdates(clock.now());
                }
                advance();
            });
        }
        if (auto view = controller->takeView(now)) {
            worker->publish(std::move(view));
        }
        if (const auto state = controller->takeDeclarationState()) {
            worker->publish(*state);
        }
    }

    void tick()
    {
        tickPeers(clock.now());
        advance();
        telemetry.reportControlTraffic();
        telemetry.reportLink(worker->counters().link);
        telemetry.reportAdmission(worker->counters().admission);
        log.flush();
        if (stopRequestedAt && isShutdownDue(clock.now())) {
            context.stop();
            return;
        }
        timer.expires_after(TickInterval);
        timer.async_wait([this](const std::error_code &error) {
            if (!error) {
                tick();
            }
        });
    }

    bool isShutdownDue(Milliseconds now) const
    {
        const Milliseconds timeSinceRequest = now - *stopRequestedAt;
        const bool isTrafficIdle = now - worker->lastPacketAt() >= TrafficIdleTime;
        return (timeSinceRequest >= UnreadyDetectionTime && isTrafficIdle) ||
               timeSinceRequest >= settings.stopLimit - ShutdownReserve;
    }

    void waitForSignal()
    {
        signals.async_wait([this](const std::error_code &error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGHUP) {
                reload();
            } else if (!stopRequestedAt) {
                stopRequestedAt = clock.now();
                telemetry.reportStopProgress("A stop was requested.", settings);
                if (peers) {
                    peers->beginLeaving();
                }
            }
            waitForSignal();
        });
    }

    // Applies the log level and the stop limit, after which the platform kills the process. The
    // rest cannot change while the process runs: the sockets are already open, a changed address
    // means another instance, and the intervals of the store's readers are those of the start.
    void reload()
    {
        const Result<ForwarderSettings> loaded = readForwarderSettings(settingsFile);
        if (!loaded) {
            telemetry.reportReloadFailure(loaded.assume_error());
            return;
        }
        telemetry.reportReload(settings, loaded.assume_value());
        settings.logLevel = loaded.assume_value().logLevel;
        settings.stopLimit = loaded.assume_value().stopLimit;
        log.setLevel(parseLogLevel(settings.logLevel));
    }

    std::string settingsFile;
    ForwarderPlatform platform;
    ForwarderSettings settings;
    Clock clock;
    BoundedLog log;
    ForwarderTelemetry telemetry;
    asio::io_context context{1};
    asio::steady_timer timer;
    asio::signal_set signals;
    std::unique_ptr<FlowController> controller;
    std::unique_ptr<UdpPort> peerPort;
    std::unique_ptr<PeerController> peers;
    std::uint64_t publishedMembersVersion = 0;
    StoreCaller callStore;
    std::unique_ptr<FlowWorker> worker;
    std::unique_ptr<StatusServer> statusServer;
    std::optional<Milliseconds> stopRequestedAt;
};

ForwarderProcess::ForwarderProcess(std::string settingsFile, ForwarderPlatform platform)
    : m_d(std::make_unique<Private>(std::move(settingsFile), std::move(platform)))
{
}

ForwarderProcess::~ForwarderProcess() = default;

Result<void> ForwarderProcess::start()
{
    return m_d->open();
}

void ForwarderProcess::serve()
{
    m_d->waitForSignal();
    m_d->tick();
    m_d->context.run();
    m_d->telemetry.reportStopProgress("Stopped.", m_d->settings);
    m_d->worker->stop();
    m_d->log.flush();
}

} // namespace damaskhall
