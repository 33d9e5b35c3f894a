// Stand-in for an upstream: runs every request packet that it gets while a slot is free, sheds the
// rest, serves feeds, and leaves on SIGUSR1.

#include "base/clock.h"
#include "base/random.h"
#include "node/udpport.h"
#include "platform/platformclient.h"
#include "wire/framecodec.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <boost/program_options.hpp>
#include <cmath>
#include <fstream>
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
constexpr Milliseconds FeedTimeout = 10_s;

struct Options
{
    UpstreamId id;
    ServiceId service;
    Endpoint listen;
    Endpoint inner;
    unsigned slots = 2;
    double meanServiceMs = 40;
    Milliseconds pushInterval = 1_s;
};

class Upstream
{
public:
    Upstream(const Options &options, const std::string &runLog)
        : m_options(options)
        , m_random(seededRandom(options.id.value))
        , m_runLog(runLog, std::ios::app)
    {
    }

    Result<void> open(asio::io_context &context)
    {
        const auto receiver = [this](std::string_view datagram, Endpoint from) {
            const auto frame = decodeFrame(datagram);
            if (frame) {
                handle(frame.assume_value(), from);
            }
        };
        BOOST_OUTCOME_TRY(port, UdpPort::open(context, m_options.listen, receiver));
        m_port = std::move(port);
        return success();
    }

    void tick()
    {
        const Milliseconds now = m_clock.now();
        for (auto &[attempt, run] : m_runs) {
            if (now >= run.nextSend) {
                reply(attempt, run, now);
            }
        }
        std::erase_if(m_runs, [](const auto &entry) { return entry.second.sends > MaxReplySends; });
        std::erase_if(m_feeds,
                      [&](const auto &entry) { return now - entry.second.seen > FeedTimeout; });
        for (auto &[token, feed] : m_feeds) {
            pushIfDue(token, feed, now);
        }
    }

    void startLeaving() { m_isLeaving = true; }
    bool isLeaving() const { return m_isLeaving; }

private:
    struct Run
    {
        Endpoint owner;
        std::string body;
        /// End of the run, then the next repetition of the reply.
        Milliseconds nextSend;
        bool isDone = false;
        int sends = 0;
    };

    struct Feed
    {
        Endpoint caller;
        std::uint64_t sequence = 0;
        std::uint64_t acknowledged = 0;
        Milliseconds nextPush;
        Milliseconds seen;
    };

    void send(const Frame &frame, Endpoint to) { m_port->send(encodeFrame(frame), to); }

    void handle(const Frame &frame, Endpoint from)
    {
        if (const auto *request = std::get_if<UpstreamRequest>(&frame)) {
            handleRequest(*request, from);
        } else if (const auto *ack = std::get_if<UpstreamReplyAck>(&frame)) {
            m_runs.erase(ack->attempt);
        } else if (const auto *keepalive = std::get_if<Forwarded<Keepalive>>(&frame)) {
            handleKeepalive(*keepalive);
        } else if (const auto *chunk = std::get_if<Forwarded<UploadChunk>>(&frame)) {
            handleChunk(*chunk);
        } else if (const auto *close = std::get_if<Forwarded<Close>>(&frame)) {
            m_feeds.erase(close->inner.token);
        } else if (const auto *probe = std::get_if<Probe>(&frame)) {
            const ProbeReply probeReply{
                    probe->nonce, m_options.id, m_options.service,
                    m_isLeaving,  m_busy,       static_cast<std::uint32_t>(m_feeds.size())};
            send(probeReply, from);
        }
    }

    void handleRequest(const UpstreamRequest &request, Endpoint from)
    {
        if (m_isLeaving || m_busy >= m_options.slots) {
            const ReplyStatus status = m_isLeaving ? ReplyStatus::Draining : ReplyStatus::Shed;
            send(UpstreamReply{request.attempt, status, 0, 1, {}}, from);
            return;
        }
        ++m_busy;
        // One line per run: the caller's table counts doubled requests with it.
        m_runLog << request.body << std::endl;
        const double serviceMs = -std::log(1.0 - randomUnit(m_random)) * m_options.meanServiceMs;
        const Milliseconds end = m_clock.now() + Milliseconds{static_cast<std::int64_t>(serviceMs)};
        m_runs[request.attempt] = {from, request.body, end, false, 0};
    }

    void reply(AttemptId attempt, Run &run, Milliseconds now)
    {
        if (!run.isDone) {
            run.isDone = true;
            --m_busy;
        }
        ++run.sends;
        run.nextSend = now + ReplyResendInterval;
        send(UpstreamReply{attempt, ReplyStatus::Ok, 0, 1, "done " + run.body}, run.owner);
    }

    void handleKeepalive(const Forwarded<Keepalive> &frame)
    {
        const Milliseconds now = m_clock.now();
        Feed &feed = m_feeds[frame.inner.token];
        feed.caller = frame.caller;
        feed.seen = now;
        feed.acknowledged = std::max(feed.acknowledged, frame.inner.acknowledged);
        feed.sequence = std::max(feed.sequence, feed.acknowledged);
        send(KeepaliveReply{frame.inner.token, feed.caller, feed.sequence}, m_options.inner);
    }

    void pushIfDue(const SealedToken &token, Feed &feed, Milliseconds now)
    {
        if (now < feed.nextPush) {
            return;
        }
        feed.nextPush = now + m_options.pushInterval;
        if (feed.acknowledged == feed.sequence) {
            ++feed.sequence;
        }
        send(Push{token, feed.caller, feed.sequence, "update"}, m_options.inner);
    }

    void handleChunk(const Forwarded<UploadChunk> &frame)
    {
        std::uint64_t &received = m_uploads[frame.inner.token];
        if (frame.inner.offset <= received) {
            received = std::max(received, frame.inner.offset + frame.inner.body.size());
        }
        const bool isStored = received >= frame.inner.total;
        send(UploadAck{frame.inner.token, frame.caller, received, isStored}, m_options.inner);
    }

    Options m_options;
    Clock m_clock;
    RandomSource m_random;
    std::ofstream m_runLog;
    std::unique_ptr<UdpPort> m_port;
    unsigned m_busy = 0;
    bool m_isLeaving = false;
    std::map<AttemptId, Run> m_runs;
    std::map<SealedToken, Feed> m_feeds;
    std::map<SealedToken, std::uint64_t> m_uploads;
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
    const std::string service = values["service"].as<std::string>();
    options.service = serviceId(service);
    BOOST_OUTCOME_TRY(listen, parseEndpoint(values["listen"].as<std::string>()));
    BOOST_OUTCOME_TRY(inner, parseEndpoint(values["inner"].as<std::string>()));
    BOOST_OUTCOME_TRY(platform, parseEndpoint(values["platform"].as<std::string>()));
    options.listen = listen;
    options.inner = inner;
    options.meanServiceMs = values["service-ms"].as<double>();
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
                    service,          0,          isLeaving};
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
            ("run-log", po::value<std::string>()->required(), "file to append each run's body to");
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
