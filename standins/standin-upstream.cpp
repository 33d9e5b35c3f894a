// Stand-in for an upstream: runs every request packet that it gets while a slot is free, sheds the
// rest, serves feeds and uploads, and leaves on SIGUSR1. Faults are options.

#include "feedstore.h"
#include "loadreport.h"
#include "runlog.h"
#include "uploadstore.h"
#include "upstreamport.h"

#include "base/clock.h"
#include "base/random.h"
#include "platform/platformclient.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <boost/program_options.hpp>
#include <cmath>
#include <iostream>
#include <map>
#include <thread>

using namespace damaskhall;

namespace {

namespace po = boost::program_options;

constexpr std::chrono::milliseconds TickInterval{5};
constexpr std::chrono::milliseconds RegisterInterval{500};
constexpr Milliseconds PlatformTimeout = 1_s;
constexpr Milliseconds ReplyResendInterval = 50_ms;
constexpr int MaxReplySends = 20;
constexpr Milliseconds BusyLogInterval = 1_s;

struct Options
{
    UpstreamId id;
    std::string service;
    Endpoint listen;
    Endpoint inner;
    unsigned slots = 2;
    double meanServiceMs = 40;
    /// Time after the start in which requests take longer by coldFactor.
    Milliseconds coldFor;
    double coldFactor = 5;
    Milliseconds pushInterval;
    /// Share of requests that are shed although a slot is free.
    double shedShare = 0;
    LoadReport::Mode loadMode = LoadReport::Mode::Honest;
    std::optional<Milliseconds> silentAfter;
};

class Upstream
{
public:
    Upstream(const Options &options, const std::string &runLog)
        : m_options(options)
        , m_random(seededRandom(options.id.value))
        , m_startedAt(m_clock.now())
        , m_log(runLog, options.service)
        , m_load(options.loadMode, options.slots)
        , m_port(SilentPaths(silentFrom()),
                 [this](const Frame &frame, const Origin &origin) { handle(frame, origin); })
        , m_feeds(options.pushInterval, [this](const Frame &frame) { toFabric(frame); })
        , m_uploads(m_log, [this](const Frame &frame) { toFabric(frame); })
    {
    }

    Result<void> open(asio::io_context &context) { return m_port.open(context, m_options.listen); }

    void tick()
    {
        const Milliseconds now = m_clock.now();
        for (auto &[attempt, run] : m_runs) {
            if (now >= run.nextSend) {
                reply(attempt, run, now);
            }
        }
        std::erase_if(m_runs, [](const auto &entry) { return entry.second.sends > MaxReplySends; });
        m_feeds.tick(now);
        m_load.observe(m_busy, now);
        if (now >= m_nextBusyLog) {
            m_nextBusyLog = now + BusyLogInterval;
            m_log.busy(m_options.id.value, m_options.slots, m_busyMs, now);
        }
    }

    void startLeaving() { m_isLeaving = true; }

private:
    struct Run
    {
        Origin owner;
        std::string body;
        /// End of the run, then the next repetition of the reply.
        Milliseconds nextSend;
        bool isDone = false;
        int sends = 0;
    };

    std::optional<Milliseconds> silentFrom() const
    {
        return m_options.silentAfter ? std::optional(m_startedAt + *m_options.silentAfter)
                                     : std::nullopt;
    }

    void toFabric(const Frame &frame) { m_port.sendDatagram(frame, m_options.inner); }

    void handle(const Frame &frame, const Origin &origin)
    {
        if (const auto *request = std::get_if<UpstreamRequest>(&frame)) {
            handleRequest(*request, origin);
        } else if (const auto *ack = std::get_if<UpstreamReplyAck>(&frame)) {
            m_runs.erase(ack->attempt);
        } else if (const auto *keepalive = std::get_if<Forwarded<Keepalive>>(&frame)) {
            m_feeds.handle(*keepalive, m_clock.now());
        } else if (const auto *chunk = std::get_if<Forwarded<UploadChunk>>(&frame)) {
            m_uploads.handle(*chunk);
        } else if (const auto *close = std::get_if<Forwarded<Close>>(&frame)) {
            m_feeds.close(close->inner.token);
            m_uploads.close(close->inner.token);
        } else if (const auto *probe = std::get_if<Probe>(&frame)) {
            const auto feeds = static_cast<std::uint32_t>(m_feeds.size());
            m_port.reply(ProbeReply{probe->nonce, m_options.id, serviceId(m_options.service),
                                    m_isLeaving, m_load.slotsInUse(), feeds},
                         origin);
        }
    }

    void handleRequest(const UpstreamRequest &request, const Origin &origin)
    {
        const bool isFull = m_busy >= m_options.slots || randomUnit(m_random) < m_options.shedShare;
        if (m_isLeaving || isFull) {
            const ReplyStatus status = m_isLeaving ? ReplyStatus::Draining : ReplyStatus::Shed;
            m_port.reply(UpstreamReply{request.attempt, status, 0, 1, {}}, origin);
            return;
        }
        ++m_busy;
        m_log.run(request.body);
        const Milliseconds now = m_clock.now();
        const bool isCold = now - m_startedAt < m_options.coldFor;
        const double mean = m_options.meanServiceMs * (isCold ? m_options.coldFactor : 1);
        const double serviceMs = -std::log(1.0 - randomUnit(m_random)) * mean;
        const Milliseconds end = now + Milliseconds{static_cast<std::int64_t>(serviceMs)};
        m_busyMs += serviceMs;
        m_runs[request.attempt] = {origin, request.body, end, false, 0};
    }

    void reply(AttemptId attempt, Run &run, Milliseconds now)
    {
        if (!run.isDone) {
            run.isDone = true;
            --m_busy;
        }
        ++run.sends;
        run.nextSend = now + ReplyResendInterval;
        m_port.reply(UpstreamReply{attempt, ReplyStatus::Ok, 0, 1, "done " + run.body}, run.owner);
    }

    Options m_options;
    Clock m_clock;
    RandomSource m_random;
    Milliseconds m_startedAt;
    RunLogWriter m_log;
    unsigned m_busy = 0;
    double m_busyMs = 0;
    Milliseconds m_nextBusyLog;
    bool m_isLeaving = false;
    LoadReport m_load;
    UpstreamPort m_port;
    std::map<AttemptId, Run> m_runs;
    FeedStore m_feeds;
    UploadStore m_uploads;
};

void scheduleTick(asio::steady_timer &timer, Upstream &upstream)
{
    timer.expires_after(TickInterval);
    timer.async_wait([&](const std::error_code &error) {
        if (!error) {
            upstream.tick();
            scheduleTick(timer, upstream);
        }
    });
}

Result<int> run(const po::variables_map &values)
{
    Options options;
    options.id = UpstreamId{values["id"].as<std::uint64_t>()};
    options.service = values["service"].as<std::string>();
    BOOST_OUTCOME_TRY(listen, parseEndpoint(values["listen"].as<std::string>()));
    BOOST_OUTCOME_TRY(inner, parseEndpoint(values["inner"].as<std::string>()));
    BOOST_OUTCOME_TRY(platform, parseEndpoint(values["platform"].as<std::string>()));
    options.listen = listen;
    options.inner = inner;
    options.slots = values["slots"].as<unsigned>();
    options.meanServiceMs = values["service-ms"].as<double>();
    options.coldFor = Milliseconds{values["cold-ms"].as<std::int64_t>()};
    options.pushInterval = Milliseconds{values["push-ms"].as<std::int64_t>()};
    options.shedShare = values["shed"].as<double>();
    if (values.count("silent-after-ms") > 0) {
        options.silentAfter = Milliseconds{values["silent-after-ms"].as<std::int64_t>()};
    }
    const auto loadMode = LoadReport::parseMode(values["load"].as<std::string>());
    if (!loadMode) {
        return Error{ErrorCode::InvalidValue, Step::CheckSettings, "", "unknown value of --load"};
    }
    options.loadMode = *loadMode;
    asio::io_context context{1};
    Upstream upstream(options, values["run-log"].as<std::string>());
    BOOST_OUTCOME_TRYV(upstream.open(context));

    std::atomic<bool> isStopping = false;
    std::atomic<bool> isLeaving = false;
    std::thread registrar([&] {
        PlatformClient client(platform, PlatformTimeout);
        while (!isStopping) {
            const PlatformInstance self{
                    options.id.value, "upstream", listen,   values["data-centre"].as<std::string>(),
                    options.service,  0,          isLeaving};
            static_cast<void>(client.registerInstance(self));
            std::this_thread::sleep_for(RegisterInterval);
        }
    });
    asio::steady_timer timer(context);
    scheduleTick(timer, upstream);
    asio::signal_set leaving(context, SIGUSR1);
    leaving.async_wait([&](const std::error_code &, int) {
        upstream.startLeaving();
        isLeaving = true;
    });
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const std::error_code &, int) { context.stop(); });
    context.run();
    isStopping = true;
    registrar.join();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        po::options_description options("standin-upstream");
        // clang-format off
        options.add_options()
            ("id", po::value<std::uint64_t>()->required(), "id of this upstream")
            ("service", po::value<std::string>()->required(), "service that it serves")
            ("listen", po::value<std::string>()->required(), "address and port")
            ("inner", po::value<std::string>()->required(), "the fabric's inner address and port")
            ("platform", po::value<std::string>()->required(), "address and port of the platform")
            ("data-centre", po::value<std::string>()->required(), "data centre of this upstream")
            ("service-ms", po::value<double>()->default_value(40), "mean service time in ms")
            ("slots", po::value<unsigned>()->default_value(2), "requests that run at once")
            ("cold-ms", po::value<std::int64_t>()->default_value(0), "slow time after the start")
            ("push-ms", po::value<std::int64_t>()->default_value(500), "time between pushes")
            ("shed", po::value<double>()->default_value(0), "share of requests to shed, 0 to 1")
            ("load", po::value<std::string>()->default_value("honest"), "honest, lagging or misleading")
            ("silent-after-ms", po::value<std::int64_t>(), "time until all known senders are ignored")
            ("run-log", po::value<std::string>()->required(), "file to append runs, stored uploads and busy times to");
        // clang-format on
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
        const Result<int> result = run(values);
        if (!result) {
            std::cerr << "standin-upstream: " << toString(result.assume_error()) << "\n";
            return 1;
        }
        return result.assume_value();
    } catch (const std::exception &error) {
        std::cerr << "standin-upstream: " << error.what() << "\n";
        return 2;
    }
}
