#include "measure/overloadrows.h"

#include "measure/fleet.h"
#include "measure/report.h"
#include "measure/requestload.h"
#include "measure/seedrunner.h"
#include "measure/statistics.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>

namespace damaskhall::measure {

namespace {

/// Load by class in units of the capacity; together twice the capacity.
constexpr double ClaimLoad = 0.5;
constexpr double LookupLoad = 1.5;
constexpr double RandomSheds = 0.02;
constexpr int EqualWorkspaces = 8;
/// Load of each equal workspace; the additional one sends ten times as much.
constexpr double WorkspaceLoad = 0.1;
constexpr std::uint64_t Feeds = 200;
constexpr Milliseconds PushInterval = 2_s;

fakes::SessionOptions fleetOptions(std::uint64_t seed)
{
    fakes::SessionOptions options;
    options.seed = seed;
    options.balancers = FleetBalancers;
    return options;
}

/// Pushes on all feeds at intervals and counts those that arrive within the feed target.
class PushTimer
{
public:
    explicit PushTimer(fakes::Session &session)
        : m_session(session)
    {
        for (std::uint64_t flow = 1; flow <= Feeds; ++flow) {
            m_feeds.push_back(
                    &session.startFeed({FlowId{flow}, serviceId(BoardService),
                                        classId(BoardService, "queue"), workspaceId("benches")}));
        }
    }

    void run(Milliseconds end)
    {
        std::map<const FeedClient *, std::uint64_t> before;
        for (const FeedClient *feed : m_feeds) {
            before[feed] = feed->lastReceivedSequence();
        }
        for (const auto &[id, upstream] : m_session.upstreams()) {
            upstream->pushAll();
        }
        m_session.events().schedule(m_session.events().now() + FeedTarget, [this, before] {
            for (const auto &[feed, received] : before) {
                ++m_pushes;
                m_inTime += feed->lastReceivedSequence() > received ? 1 : 0;
            }
        });
        if (m_session.events().now() + PushInterval < end) {
            m_session.events().schedule(m_session.events().now() + PushInterval,
                                        [this, end] { run(end); });
        }
    }

    double shareInTime() const { return m_pushes == 0 ? 0 : m_inTime / m_pushes; }

private:
    fakes::Session &m_session;
    std::vector<const FeedClient *> m_feeds;
    double m_pushes = 0;
    double m_inTime = 0;
};

/// What differs between the overload runs.
struct OverloadCase
{
    /// Tells the rows of the runs apart.
    std::string suffix;
    double randomSheds = 0;
    Milliseconds innerLatency = 1_ms;
};

struct OverloadResult
{
    double total = 0;
    double claim = 0;
    double lookup = 0;
    double feed = 0;
    double amplification = 0;
    double claimP99Ms = 0;
    /// Share of the slots' time spent running, and of requests that ran but were not answered in
    /// time.
    double busy = 0;
    double lateRuns = 0;
    double refused = 0;
};

double triesPerTriedRequest(const fakes::Session &session)
{
    std::map<std::string, int> tries;
    double sum = 0;
    for (const auto &[id, upstream] : session.upstreams()) {
        for (const auto &[body, count] : upstream->tries()) {
            tries[body] += count;
            sum += count;
        }
    }
    return tries.empty() ? 0 : sum / static_cast<double>(tries.size());
}

OverloadResult runOverload(std::uint64_t seed, const OverloadCase &setting, Milliseconds warmUp,
                           Milliseconds duration)
{
    fakes::SessionOptions options = fleetOptions(seed);
    options.innerLatency = setting.innerLatency;
    fakes::Session session(options, fleetDeclaration());
    BoardOptions board;
    board.randomSheds = setting.randomSheds;
    addBoard(session, board);
    RequestLoad load(session, seededRandom(seed + 2));
    session.runFor(100_ms);
    PushTimer pushes(session);
    session.runFor(1_s);
    pushes.run(duration);
    const double capacity = capacityPerMs(meanServiceTimes());
    const std::size_t claims = load.addStream(
            {BoardService, "claim", "benches", ClaimLoad * capacity, ClaimTarget}, duration);
    const std::size_t lookups = load.addStream(
            {BoardService, "lookup", "benches", LookupLoad * capacity, LookupTarget}, duration);
    session.runFor(duration + LookupTarget + 1_s - session.events().now());

    std::map<std::size_t, double> offered;
    std::map<std::size_t, double> inTime;
    std::vector<double> claimLatencies;
    OverloadResult result;
    double ran = 0;
    for (const IssuedRequest &request : load.issued()) {
        if (request.client->startedAt() < warmUp) {
            continue;
        }
        const Milliseconds target = request.stream == claims ? ClaimTarget : LookupTarget;
        const bool isInTime = request.isAnswered() && request.latency() <= target;
        ++offered[request.stream];
        inTime[request.stream] += isInTime ? 1 : 0;
        const bool hasRun = !isInTime && runsOf(session, request.body) > 0;
        ran += isInTime || hasRun ? 1 : 0;
        result.lateRuns += hasRun ? 1 : 0;
        result.refused += request.client->phase() == RequestPhase::Refused ? 1 : 0;
        if (request.stream == claims && request.isAnswered()) {
            claimLatencies.push_back(static_cast<double>(request.latency().value));
        }
    }
    const double possible = capacity * static_cast<double>((duration - warmUp).value);
    result.lateRuns /= std::max(ran, 1.0);
    result.refused /= offered[claims] + offered[lookups];
    for (const double busyMs : boardBusyMs(session)) {
        result.busy += busyMs / static_cast<double>(duration.value * WorkshopUpstreams);
    }
    result.total = (inTime[claims] + inTime[lookups]) / possible;
    result.claim = inTime[claims] / offered[claims];
    result.lookup = inTime[lookups] / (possible - offered[claims]);
    result.feed = pushes.shareInTime();
    result.amplification = triesPerTriedRequest(session);
    result.claimP99Ms = percentile(claimLatencies, 0.99);
    return result;
}

struct FairnessResult
{
    double jain = 0;
    double equalWorkspacesServed = 0;
    double largeWorkspaceServed = 0;
};

FairnessResult runFairness(std::uint64_t seed, Milliseconds warmUp, Milliseconds duration)
{
    std::vector<std::string> workspaces;
    for (int i = 0; i <= EqualWorkspaces; ++i) {
        workspaces.push_back("house" + std::to_string(i));
    }
    fakes::Session session(fleetOptions(seed), fleetDeclaration(workspaces));
    addBoard(session);
    RequestLoad load(session, seededRandom(seed + 2));
    session.runFor(100_ms);
    const double rate = WorkspaceLoad * capacityPerMs(meanServiceTimes());
    for (int i = 0; i < EqualWorkspaces; ++i) {
        load.addStream(
                {BoardService, "claim", workspaces[static_cast<std::size_t>(i)], rate, ClaimTarget},
                duration);
    }
    const std::size_t large = load.addStream(
            {BoardService, "claim", workspaces.back(), rate * 10, ClaimTarget}, duration);
    session.runFor(duration + ClaimTarget + 1_s - session.events().now());

    std::vector<double> offered(workspaces.size());
    std::vector<double> inTime(workspaces.size());
    for (const IssuedRequest &request : load.issued()) {
        if (request.client->startedAt() >= warmUp) {
            ++offered[request.stream];
            inTime[request.stream] +=
                    request.isAnswered() && request.latency() <= ClaimTarget ? 1 : 0;
        }
    }
    FairnessResult result;
    result.largeWorkspaceServed = inTime[large] / offered[large];
    // Served share of the demand, so that the randomness of the demand itself does not count.
    std::vector<double> served;
    for (std::size_t i = 0; i < large; ++i) {
        served.push_back(inTime[i] / offered[i]);
        result.equalWorkspacesServed += served.back() / EqualWorkspaces;
    }
    result.jain = jainIndex(served);
    return result;
}

std::vector<Row> measureOverloadWith(const MeasureOptions &options, const OverloadCase &setting)
{
    const std::string &suffix = setting.suffix;
    const Milliseconds warmUp = options.quick ? 5_s : 10_s;
    const Milliseconds duration = options.quick ? 15_s : 40_s;
    const std::function<OverloadResult(std::uint64_t)> experiment = [&](std::uint64_t seed) {
        return runOverload(seed, setting, warmUp, duration);
    };
    const auto results = runSeeds(options, experiment);
    const std::string inputs = "balancers=9 upstreams=14 load=200% claims=50% lookups=150% "
                               "feeds=200 random_sheds=" +
                               std::to_string(setting.randomSheds) +
                               " inner_ms=" + std::to_string(setting.innerLatency.value) +
                               " measured_s=" + std::to_string((duration - warmUp).value / 1000);
    const auto goodput = [&](const std::string &name) {
        return Figure{"goodput_overload." + name + suffix, "ratio", 0.95, Bound::AtLeast};
    };
    std::vector<Row> rows =
            summarise(goodput("total"), column(results, &OverloadResult::total), inputs);
    append(rows, summarise(goodput("claim"), column(results, &OverloadResult::claim), inputs));
    append(rows, summarise(goodput("lookup"), column(results, &OverloadResult::lookup), inputs));
    append(rows, summarise(goodput("feed"), column(results, &OverloadResult::feed), inputs));
    append(rows, summarise({"overload_claim_p99" + suffix, "ms"},
                           column(results, &OverloadResult::claimP99Ms), inputs));
    append(rows, summarise({"overload_busy_share" + suffix, "share"},
                           column(results, &OverloadResult::busy), inputs));
    append(rows, summarise({"overload_late_runs" + suffix, "share"},
                           column(results, &OverloadResult::lateRuns), inputs));
    append(rows, summarise({"overload_refused" + suffix, "share"},
                           column(results, &OverloadResult::refused), inputs));
    append(rows, summarise({"retry_amplification" + suffix, "ratio", 1.1, Bound::AtMost},
                           column(results, &OverloadResult::amplification), inputs));
    return rows;
}

} // namespace

std::vector<Row> measureOverload(const MeasureOptions &options)
{
    std::vector<Row> rows = measureOverloadWith(options, {});
    append(rows, measureOverloadWith(options, {".random_sheds", RandomSheds, 1_ms}));
    // Shows how much of the loss is the time in which a slot waits for two hops.
    append(rows, measureOverloadWith(options, {".inner_0ms", 0, 0_ms}));
    return rows;
}

std::vector<Row> measureFairness(const MeasureOptions &options)
{
    const Milliseconds warmUp = options.quick ? 5_s : 10_s;
    const Milliseconds duration = options.quick ? 15_s : 40_s;
    const std::function<FairnessResult(std::uint64_t)> experiment = [&](std::uint64_t seed) {
        return runFairness(seed, warmUp, duration);
    };
    const auto results = runSeeds(options, experiment);
    const std::string inputs = "balancers=9 upstreams=14 equal_houses=8 house_load=10% "
                               "large_house_load=100% measured_s=" +
                               std::to_string((duration - warmUp).value / 1000);
    std::vector<Row> rows = summarise({"member_fairness", "index", 0.98, Bound::AtLeast},
                                      column(results, &FairnessResult::jain), inputs);
    append(rows, summarise({"equal_houses_served", "share"},
                           column(results, &FairnessResult::equalWorkspacesServed), inputs));
    append(rows, summarise({"large_house_served", "share"},
                           column(results, &FairnessResult::largeWorkspaceServed), inputs));
    return rows;
}

} // namespace damaskhall::measure
