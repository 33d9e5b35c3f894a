// Stand-in for callers: holds feeds and posts requests at a fixed rate for a bounded time, prints a
// line a second and a table at the end.

#include "base/clock.h"
#include "base/random.h"
#include "client/feedclient.h"
#include "client/requestclient.h"
#include "node/udpport.h"
#include "wire/framecodec.h"

#include <asio/steady_timer.hpp>
#include <boost/program_options.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <list>
#include <map>
#include <random>

using namespace damaskhall;

namespace {

namespace po = boost::program_options;

constexpr std::chrono::milliseconds TickInterval{5};
constexpr Milliseconds RequestDeadline = 5_s;
/// A feed that hears nothing for longer than this counts as broken.
constexpr Milliseconds FeedSilenceLimit = 3_s;

struct Options
{
    Endpoint fabric;
    std::string service;
    std::string requestClass;
    std::string feedClass;
    std::vector<std::string> houses;
    unsigned feeds = 0;
    double requestsPerSecond = 0;
    Milliseconds duration;
};

struct Totals
{
    std::uint64_t asked = 0;
    std::uint64_t answered = 0;
    std::uint64_t unknown = 0;
    std::map<RefusalReason, std::uint64_t> refused;
    std::uint64_t brokenFeeds = 0;
};

class Caller
{
public:
    Caller(asio::io_context &context, Options options)
        : m_context(context)
        , m_options(std::move(options))
        , m_random(seededRandom(std::random_device{}()))
        , m_startedAt(m_clock.now())
        , m_nextRequest(m_startedAt)
        , m_nextReport(m_startedAt + 1_s)
    {
    }

    Result<void> open()
    {
        const auto receiver = [this](std::string_view datagram, Endpoint) {
            const auto frame = decodeFrame(datagram);
            if (frame) {
                handle(frame.assume_value());
            }
        };
        BOOST_OUTCOME_TRY(port, UdpPort::open(m_context, {INADDR_LOOPBACK, 0}, receiver));
        m_port = std::move(port);
        for (unsigned i = 0; i < m_options.feeds; ++i) {
            const Open frame{FlowId{m_random()}, serviceId(m_options.service),
                             classId(m_options.service, m_options.feedClass), randomHouse()};
            m_feeds.emplace_back(frame, m_clock.now());
        }
        return success();
    }

    /// Returns false when the run has ended.
    bool tick()
    {
        const Milliseconds now = m_clock.now();
        const bool isAsking = now < m_startedAt + m_options.duration;
        while (isAsking && m_options.requestsPerSecond > 0 && m_nextRequest <= now) {
            startRequest(now);
            const double gapMs = 1000.0 / m_options.requestsPerSecond;
            m_debtMs += gapMs;
            const auto whole = static_cast<std::int64_t>(m_debtMs);
            m_debtMs -= static_cast<double>(whole);
            m_nextRequest += Milliseconds{whole};
        }
        for (RequestClient &request : m_requests) {
            request.tick(now, m_out);
        }
        for (FeedClient &feed : m_feeds) {
            feed.tick(now, m_out);
        }
        flush();
        collectFinished();
        if (now >= m_nextReport) {
            m_nextReport += 1_s;
            report(now);
        }
        return isAsking || (!m_requests.empty() && now < m_startedAt + m_options.duration * 2);
    }

    void printTable()
    {
        for (const FeedClient &feed : m_feeds) {
            if (!feed.isOpen() || feed.silence(m_clock.now()) > FeedSilenceLimit) {
                ++m_totals.brokenFeeds;
            }
        }
        std::printf("class=%s asked=%llu answered=%llu unknown=%llu unfinished=%zu\n",
                    m_options.requestClass.c_str(), count(m_totals.asked), count(m_totals.answered),
                    count(m_totals.unknown), m_requests.size());
        for (const auto &[reason, number] : m_totals.refused) {
            std::printf("class=%s refused=%llu reason=%s\n", m_options.requestClass.c_str(),
                        count(number), std::string(toString(reason)).c_str());
        }
        std::printf("class=%s feeds=%zu broken=%llu\n", m_options.feedClass.c_str(), m_feeds.size(),
                    count(m_totals.brokenFeeds));
    }

private:
    static unsigned long long count(std::uint64_t number) { return number; }

    HouseId randomHouse()
    {
        return houseId(m_options.houses[randomBelow(m_random, m_options.houses.size())]);
    }

    void startRequest(Milliseconds now)
    {
        ++m_totals.asked;
        const RequestId id{m_random()};
        const Reserve reserve{id,
                              serviceId(m_options.service),
                              classId(m_options.service, m_options.requestClass),
                              randomHouse(),
                              RequestDeadline,
                              0_ms};
        m_requests.emplace_back(reserve, std::to_string(id.value), now);
    }

    void handle(const Frame &frame)
    {
        const Milliseconds now = m_clock.now();
        for (RequestClient &request : m_requests) {
            request.handle(frame, now, m_out);
        }
        for (FeedClient &feed : m_feeds) {
            feed.handle(frame, now, m_out);
        }
        flush();
    }

    void flush()
    {
        for (const Frame &frame : m_out) {
            m_port->send(encodeFrame(frame), m_options.fabric);
        }
        m_out.clear();
    }

    void collectFinished()
    {
        for (auto it = m_requests.begin(); it != m_requests.end();) {
            if (!it->isFinished()) {
                ++it;
                continue;
            }
            if (it->phase() == RequestPhase::Answered) {
                ++m_totals.answered;
            } else if (it->phase() == RequestPhase::Unknown) {
                ++m_totals.unknown;
            } else {
                ++m_totals.refused[*it->refusal()];
            }
            it = m_requests.erase(it);
        }
    }

    void report(Milliseconds now)
    {
        std::size_t alive = 0;
        for (const FeedClient &feed : m_feeds) {
            alive += feed.isOpen() && feed.silence(now) <= FeedSilenceLimit ? 1 : 0;
        }
        std::printf("t=%llds asked=%llu answered=%llu unknown=%llu open=%zu feeds=%zu/%zu\n",
                    static_cast<long long>((now - m_startedAt).value / 1000), count(m_totals.asked),
                    count(m_totals.answered), count(m_totals.unknown), m_requests.size(), alive,
                    m_feeds.size());
        std::fflush(stdout);
    }

    asio::io_context &m_context;
    Options m_options;
    Clock m_clock;
    RandomSource m_random;
    Milliseconds m_startedAt;
    Milliseconds m_nextRequest;
    Milliseconds m_nextReport;
    double m_debtMs = 0;
    std::unique_ptr<UdpPort> m_port;
    std::list<RequestClient> m_requests;
    std::list<FeedClient> m_feeds;
    std::vector<Frame> m_out;
    Totals m_totals;
};

void scheduleTick(asio::steady_timer &timer, Caller &caller, asio::io_context &context)
{
    timer.expires_after(TickInterval);
    timer.async_wait([&](const std::error_code &error) {
        if (error || !caller.tick()) {
            context.stop();
            return;
        }
        scheduleTick(timer, caller, context);
    });
}

Result<int> run(const po::variables_map &values)
{
    Options options;
    BOOST_OUTCOME_TRY(fabric, parseEndpoint(values["fabric"].as<std::string>()));
    options.fabric = fabric;
    options.service = values["service"].as<std::string>();
    options.requestClass = values["request-class"].as<std::string>();
    options.feedClass = values["feed-class"].as<std::string>();
    options.houses = values["house"].as<std::vector<std::string>>();
    options.feeds = values["feeds"].as<unsigned>();
    options.requestsPerSecond = values["rate"].as<double>();
    options.duration = Milliseconds{values["seconds"].as<std::int64_t>() * 1000};
    asio::io_context context{1};
    Caller caller(context, options);
    BOOST_OUTCOME_TRYV(caller.open());
    asio::steady_timer timer(context);
    scheduleTick(timer, caller, context);
    context.run();
    caller.printTable();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        po::options_description options("standin-caller");
        // clang-format off
        options.add_options()
            ("fabric", po::value<std::string>()->required(), "address and port of the fabric")
            ("service", po::value<std::string>()->required(), "service to call")
            ("request-class", po::value<std::string>()->required(), "class of the requests")
            ("feed-class", po::value<std::string>()->required(), "class of the feeds")
            ("house", po::value<std::vector<std::string>>()->required(), "house; may be repeated")
            ("feeds", po::value<unsigned>()->default_value(20), "feeds to hold")
            ("rate", po::value<double>()->default_value(50), "requests a second")
            ("seconds", po::value<std::int64_t>()->default_value(10), "time to send requests for");
        // clang-format on
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
        const Result<int> result = run(values);
        if (!result) {
            std::cerr << "standin-caller: " << toString(result.assume_error()) << "\n";
            return 1;
        }
        return result.assume_value();
    } catch (const std::exception &error) {
        std::cerr << "standin-caller: " << error.what() << "\n";
        return 2;
    }
}
