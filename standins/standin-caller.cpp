// Stand-in for callers: holds feeds and offers requests and uploads at fixed rates for a bounded
// time, prints a line a second and a table by class at the end.

#include "callergroup.h"

#include <asio/steady_timer.hpp>
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <random>

using namespace damaskhall;

namespace {

namespace po = boost::program_options;
using Names = std::vector<std::string>;

constexpr std::chrono::milliseconds TickInterval{5};
/// Time after the end of the offered work in which pending work may finish.
constexpr Milliseconds DrainLimit = 8_s;
/// Upstreams write their busy times once a second.
constexpr Milliseconds LogLag = 1'100_ms;

struct Options
{
    Endpoint fabric;
    std::vector<Workload> workloads;
    Names workspaces;
    Milliseconds duration;
    std::string runLog;
    std::uint64_t seed = 0;
};

class Caller
{
public:
    Caller(asio::io_context &context, const Options &options)
        : m_options(options)
        , m_random(seededRandom(options.seed))
        , m_startedAt(m_clock.now())
        , m_nextReport(m_startedAt + 1_s)
    {
        for (const Workload &workload : options.workloads) {
            m_groups.emplace_back(context, options.fabric, workload, options.workspaces, m_random);
        }
    }

    /// Returns false when the run has ended.
    bool tick()
    {
        const Milliseconds now = m_clock.now();
        const Milliseconds elapsed = now - m_startedAt;
        bool isIdle = true;
        for (CallerGroup &group : m_groups) {
            if (elapsed < m_options.duration) {
                group.start(now, elapsed);
            }
            group.tick(now);
            isIdle = isIdle && group.isIdle();
        }
        if (now >= m_nextReport) {
            m_nextReport += 1_s;
            report(now);
        }
        if (elapsed < m_options.duration) {
            return true;
        }
        const bool isOver = isIdle && elapsed >= m_options.duration + LogLag;
        return !isOver && elapsed < m_options.duration + DrainLimit;
    }

    void printTable()
    {
        RunLog log(m_options.runLog, m_startedAt);
        std::printf("%-28s %8s %8s %8s %8s %8s %8s %8s %8s %8s %8s\n", "class", "asked", "answered",
                    "refused", "unknown", "doubled", "lost", "falseref", "opened", "broken",
                    "alive");
        for (CallerGroup &group : m_groups) {
            group.checkAgainst(log.service(group.workload().service));
            printRow(group);
        }
        for (const CallerGroup &group : m_groups) {
            for (const auto &[reason, count] : group.totals().refused) {
                std::printf("refused class=%s reason=%s count=%llu\n",
                            group.workload().name().c_str(), std::string(toString(reason)).c_str(),
                            number(count));
            }
        }
        for (const CallerGroup &group : m_groups) {
            if (group.workload().kind == WorkKind::Request) {
                const std::string &service = group.workload().service;
                std::printf("imbalance service=%s value=%.2f\n", service.c_str(),
                            log.service(service).imbalance());
            }
        }
    }

private:
    static unsigned long long number(std::uint64_t value) { return value; }

    void printRow(const CallerGroup &group) const
    {
        const ClassTotals totals = group.totals();
        const std::uint64_t columns[] = {totals.asked,          totals.answered,
                                         totals.refusedSum(),   totals.unknown,
                                         totals.doubled,        totals.lost,
                                         totals.falselyRefused, totals.flowsOpened,
                                         totals.flowsBroken,    group.liveFeeds(m_clock.now())};
        std::printf("%-28s", group.workload().name().c_str());
        for (const std::uint64_t column : columns) {
            std::printf(" %8llu", number(column));
        }
        std::printf("\n");
    }

    void report(Milliseconds now) const
    {
        std::printf("t=%llds", static_cast<long long>((now - m_startedAt).value / 1000));
        for (const CallerGroup &group : m_groups) {
            const ClassTotals totals = group.totals();
            std::printf(" | %s", group.workload().className.c_str());
            if (group.workload().kind == WorkKind::Feed) {
                std::printf(" alive=%zu/%llu broken=%llu", group.liveFeeds(now),
                            number(totals.asked), number(totals.flowsBroken));
            } else {
                std::printf(" asked=%llu done=%llu refused=%llu unknown=%llu", number(totals.asked),
                            number(totals.answered), number(totals.refusedSum()),
                            number(totals.unknown));
            }
        }
        std::printf("\n");
        std::fflush(stdout);
    }

    Options m_options;
    Clock m_clock;
    RandomSource m_random;
    Milliseconds m_startedAt;
    Milliseconds m_nextReport;
    std::list<CallerGroup> m_groups;
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

bool addWorkloads(const po::variables_map &values, const char *name, WorkKind kind,
                  Options &options)
{
    if (values.count(name) == 0) {
        return true;
    }
    for (const std::string &text : values[name].as<Names>()) {
        const auto workload = Workload::parse(kind, text);
        if (!workload) {
            std::cerr << "standin-caller: bad --" << name << " " << text << "\n";
            return false;
        }
        options.workloads.push_back(*workload);
    }
    return true;
}

Result<int> run(const po::variables_map &values)
{
    Options options;
    BOOST_OUTCOME_TRY(fabric, parseEndpoint(values["fabric"].as<std::string>()));
    options.fabric = fabric;
    options.workspaces = values["house"].as<Names>();
    options.duration = Milliseconds{values["seconds"].as<std::int64_t>() * 1000};
    options.runLog = values["run-log"].as<std::string>();
    options.seed =
            values.count("seed") > 0 ? values["seed"].as<std::uint64_t>() : std::random_device{}();
    if (!addWorkloads(values, "feed", WorkKind::Feed, options) ||
        !addWorkloads(values, "request", WorkKind::Request, options) ||
        !addWorkloads(values, "upload", WorkKind::Upload, options)) {
        return 2;
    }
    asio::io_context context{1};
    Caller caller(context, options);
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
            ("house", po::value<Names>()->required(), "house; may be repeated")
            ("feed", po::value<Names>(), "SERVICE/CLASS:COUNT of feeds to hold; may be repeated")
            ("request", po::value<Names>(), "SERVICE/CLASS:RATE a second; may be repeated")
            ("upload", po::value<Names>(), "SERVICE/CLASS:RATE:BYTES a second; may be repeated")
            ("run-log", po::value<std::string>()->required(), "file that the upstreams append to")
            ("seed", po::value<std::uint64_t>(), "seed of ids and houses; random by default")
            ("seconds", po::value<std::int64_t>()->default_value(10), "time to offer work for");
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
