#include "apps/balancerprocess.h"

#include "admin/adminserver.h"
#include "apps/balancerlog.h"
#include "apps/gracefulstop.h"
#include "metrics/metrics.h"
#include "node/controlworker.h"
#include "node/trafficworker.h"
#include "wire/tokensealer.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <random>

namespace damaskhall {

namespace {

constexpr Milliseconds AdminPlatformTimeout = 1_s;
constexpr Milliseconds HealthInterval = 1_s;

RandomSource systemRandom()
{
    std::random_device device;
    const std::uint64_t seed = std::uint64_t{device()} << 32 | device();
    return seededRandom(seed);
}

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

bool waitForSignal(Milliseconds duration)
{
    const sigset_t signals = stopSignals();
    const timespec time{duration.value / 1000, duration.value % 1000 * 1'000'000};
    return sigtimedwait(&signals, nullptr, &time) > 0;
}

ControlOptions controlOptions(const Settings &settings, Incarnation incarnation)
{
    return {settings.id,         incarnation,         settings.listen,
            settings.dataCentre, settings.platform,   settings.controlListen,
            settings.seeds,      settings.remotePeers};
}

} // namespace

struct BalancerProcess::Private
{
    explicit Private(const Settings &processSettings)
        : settings(processSettings)
        , sealer(TokenKeyRing{settings.currentTokenKey, settings.tokenKeys})
        , traffic({settings.id, incarnation, settings.listen}, coreHooks(), clock)
        , control(
                  controlOptions(settings, incarnation), [this](auto view) { publish(view); },
                  controlHooks())
        , client(settings.platform, AdminPlatformTimeout)
        , store(storeHooks(client), settings.maxDeclarationBytes)
        , api(adminHooks(), store)
        , admin(api)
    {
    }

    CoreHooks coreHooks()
    {
        CoreHooks hooks;
        hooks.sealToken = [this](const Token &token) { return sealer.seal(token); };
        hooks.openToken = [this](const SealedToken &sealed) { return sealer.open(sealed); };
        hooks.random = systemRandom();
        connectMetrics(hooks, metrics);
        hooks.countRefusal = [this](RefusalReason reason, ServiceId service, ClassId workClass) {
            metrics.countRefusal(reason, service, workClass);
            log.noteRefusal(reason);
        };
        hooks.countRetry = [this](RetryReason reason, ServiceId service, ClassId workClass) {
            metrics.countRetry(reason, service, workClass);
            log.noteRetry(reason);
        };
        hooks.reportLeaving = [this](UpstreamId upstream) { control.reportLeaving(upstream); };
        return hooks;
    }

    ControlHooks controlHooks()
    {
        ControlHooks hooks;
        hooks.random = systemRandom();
        hooks.countRetry = [this](RetryReason reason) {
            metrics.countRetry(reason, {}, {});
            log.noteRetry(reason);
        };
        hooks.countEvent = [this](ControlEvent event) {
            metrics.countControlEvent(event);
            log.noteControlEvent(event);
        };
        return hooks;
    }

    AdminHooks adminHooks()
    {
        return {[this] { return status(); }, [this] { return metrics.text(gauges()); },
                [this](const ChangeRequest &change, const ChangeResult &result) {
                    log.noteChange(change, result);
                }};
    }

    // On the control thread.
    void publish(const std::shared_ptr<const RoutingView> &view)
    {
        if (view->declaration != lastDeclaration) {
            lastDeclaration = view->declaration;
            metrics.setDeclaration(*lastDeclaration);
        }
        log.noteView(view);
        traffic.publish(view);
    }

    NodeStatus status()
    {
        NodeStatus status;
        status.self = settings.id;
        status.incarnation = incarnation;
        status.dataCentre = settings.dataCentre;
        status.isLeaving = isLeaving;
        status.isPlatformReachable = log.checkPlatform();
        status.view = control.view();
        status.load = traffic.load();
        status.traffic = traffic.status();
        return status;
    }

    std::vector<GaugeValue> gauges()
    {
        const auto view = control.view();
        const DispatcherLoad load = traffic.load();
        std::vector<GaugeValue> values;
        values.push_back({"damaskhall_revision", "",
                          static_cast<double>(view->declaration->revision.value)});
        for (const MemberState state :
             {MemberState::Alive, MemberState::Suspect, MemberState::Leaving, MemberState::Dead}) {
            const auto count =
                    std::count_if(view->members.begin(), view->members.end(),
                                  [state](const auto &member) { return member.state == state; });
            values.push_back({"damaskhall_members",
                              std::string("state=\"") + toString(state) + "\"",
                              static_cast<double>(count)});
        }
        const auto leaving = std::count_if(
                view->upstreams.begin(), view->upstreams.end(),
                [](const auto &entry) { return entry.second.state == UpstreamState::Leaving; });
        const auto listed = static_cast<double>(view->upstreams.size());
        values.push_back(
                {"damaskhall_upstreams", "state=\"live\"", listed - static_cast<double>(leaving)});
        values.push_back(
                {"damaskhall_upstreams", "state=\"leaving\"", static_cast<double>(leaving)});
        values.push_back({"damaskhall_waiting", "", static_cast<double>(load.waiting)});
        values.push_back({"damaskhall_in_progress", "",
                          static_cast<double>(load.permitted + load.sent + load.uploads)});
        values.push_back({"damaskhall_leaving", "", isLeaving ? 1.0 : 0.0});
        values.push_back({"damaskhall_evacuated", "", view->isEvacuated ? 1.0 : 0.0});
        values.push_back({"damaskhall_platform_reachable", "", log.checkPlatform() ? 1.0 : 0.0});
        return values;
    }

    StopReport stopGracefully()
    {
        GracefulStopHooks hooks;
        hooks.beginLeaving = [this] {
            isLeaving = true;
            control.beginLeaving();
            traffic.beginLeaving();
        };
        hooks.load = [this] { return traffic.load(); };
        hooks.waitForSignal = [](Milliseconds duration) { return waitForSignal(duration); };
        return runGracefulStop(hooks, clock, settings.stopLimit);
    }

    Settings settings;
    Clock clock;
    Incarnation incarnation{static_cast<std::uint64_t>(Clock::wallTime().value)};
    TokenSealer sealer;
    Metrics metrics{clock};
    BalancerLog log{clock};
    std::shared_ptr<const Declaration> lastDeclaration;
    std::atomic<bool> isLeaving = false;
    TrafficWorker traffic;
    ControlWorker control;
    PlatformClient client;
    DeclarationStore store;
    AdminApi api;
    AdminServer admin;
};

BalancerProcess::BalancerProcess(const Settings &settings)
{
    // Before any thread starts, so that only sigtimedwait() receives them.
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    m_d = std::make_unique<Private>(settings);
}

BalancerProcess::~BalancerProcess()
{
    m_d->admin.stop();
    m_d->control.stop();
    m_d->traffic.stop();
}

Result<void> BalancerProcess::start()
{
    BOOST_OUTCOME_TRYV(m_d->traffic.start());
    BOOST_OUTCOME_TRYV(m_d->control.start());
    BOOST_OUTCOME_TRYV(m_d->admin.start(m_d->settings.adminListen));
    m_d->log.process().log(LogLevel::Info, "Started.",
                           {{"version", DAMASKHALL_VERSION},
                            {"id", std::to_string(m_d->settings.id.value)},
                            {"data_centre", m_d->settings.dataCentre},
                            {"listen", toString(m_d->settings.listen)},
                            {"control", toString(m_d->settings.controlListen)},
                            {"admin", toString(m_d->settings.adminListen)}});
    return success();
}

bool BalancerProcess::serve()
{
    while (!waitForSignal(HealthInterval)) {
        m_d->log.checkPlatform();
    }
    const Logger &log = m_d->log.process();
    log.log(LogLevel::Info, "Graceful stop begins.",
            {{"stop_limit_ms", std::to_string(m_d->settings.stopLimit.value)}});
    const StopReport report = m_d->stopGracefully();
    if (report.interrupted.isEmpty()) {
        log.log(LogLevel::Info, "Stopped.", {{"reason", report.reason}});
        return true;
    }
    log.log(LogLevel::Error, "Stopped with work interrupted.",
            {{"reason", report.reason},
             {"waiting", std::to_string(report.interrupted.waiting)},
             {"permitted", std::to_string(report.interrupted.permitted)},
             {"sent", std::to_string(report.interrupted.sent)},
             {"uploads", std::to_string(report.interrupted.uploads)}});
    std::cout << "interrupted by " << report.reason << ": " << describe(report.interrupted)
              << std::endl;
    return false;
}

} // namespace damaskhall
