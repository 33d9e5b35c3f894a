#include "measure/flowrows.h"

#include "measure/fleet.h"
#include "measure/report.h"
#include "measure/requestload.h"
#include "measure/seedrunner.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace damaskhall::measure {

namespace {

constexpr std::uint64_t Feeds = 300;
/// A feed without any sign of its upstream for this long counts as broken: several keepalives, each
/// over another balancer, have failed.
constexpr Milliseconds BrokenAfter = 5_s;
constexpr Milliseconds SampleInterval = 200_ms;
constexpr Milliseconds SettleTime = 5_s;
constexpr double PlannedLoad = 0.4;
/// Rolling replacement: how often a stopping balancer is checked, and the pause before and after
/// its successor starts.
constexpr Milliseconds PollInterval = 100_ms;
constexpr Milliseconds Gap = 1_s;

struct FlowResult
{
    double broken = 0;
    double worstSilenceMs = 0;
    double missedPushes = 0;
    double unknownRequests = 0;
    double refusedRequests = 0;
};

/// Feeds of a session and the ones that broke.
class FeedWatch
{
public:
    explicit FeedWatch(fakes::Session &session)
        : m_session(session)
    {
        for (std::uint64_t flow = 1; flow <= Feeds; ++flow) {
            m_feeds.push_back(
                    &session.startFeed({FlowId{flow}, serviceId(BoardService),
                                        classId(BoardService, "queue"), workspaceId("benches")}));
        }
    }

    /// Samples all feeds until @p end.
    void watch(Milliseconds end)
    {
        sample();
        if (m_session.events().now() < end) {
            m_session.events().schedule(m_session.events().now() + SampleInterval,
                                        [this, end] { watch(end); });
        }
    }

    /// Sends a push on every feed and counts feeds that do not get it. Runs the session for 5 s.
    void pushToAll()
    {
        std::map<const FeedClient *, std::uint64_t> before;
        for (const FeedClient *feed : m_feeds) {
            before[feed] = feed->lastReceivedSequence();
        }
        // Pushes are repeated until they are acknowledged.
        for (int i = 0; i < 5; ++i) {
            for (const auto &[id, upstream] : m_session.upstreams()) {
                upstream->pushAll();
            }
            m_session.runFor(1_s);
        }
        for (const FeedClient *feed : m_feeds) {
            m_missedPushes += feed->lastReceivedSequence() == before[feed] ? 1 : 0;
        }
    }

    FlowResult result() const
    {
        FlowResult result;
        result.broken = static_cast<double>(m_broken.size());
        result.worstSilenceMs = static_cast<double>(m_worstSilence.value);
        result.missedPushes = m_missedPushes;
        return result;
    }

private:
    void sample()
    {
        for (const FeedClient *feed : m_feeds) {
            const Milliseconds silence = feed->timeSinceUpstreamFrame(m_session.events().now());
            m_worstSilence = std::max(m_worstSilence, silence);
            if (!feed->isOpen() || feed->upstreamLossCount() > 0 || silence > BrokenAfter) {
                m_broken.insert(feed);
            }
        }
    }

    fakes::Session &m_session;
    std::vector<const FeedClient *> m_feeds;
    std::set<const FeedClient *> m_broken;
    Milliseconds m_worstSilence;
    double m_missedPushes = 0;
};

fakes::SessionOptions flowOptions(std::uint64_t seed)
{
    fakes::SessionOptions options;
    options.seed = seed;
    options.balancers = FleetBalancers;
    options.loss = 0.005;
    options.duplication = 0.005;
    options.jitter = 3_ms;
    return options;
}

/// Replaces all balancers one after the other, each when its predecessor is back.
class RollingReplacement
{
public:
    explicit RollingReplacement(fakes::Session &session)
        : m_session(session)
    {
    }

    void stopNext(std::uint32_t index)
    {
        if (index == m_session.balancerCount()) {
            m_isDone = true;
            return;
        }
        m_session.beginLeaving(index);
        waitUntilEmpty(index);
    }

    bool isDone() const { return m_isDone; }

private:
    void waitUntilEmpty(std::uint32_t index)
    {
        m_session.events().schedule(m_session.events().now() + PollInterval, [this, index] {
            if (!m_session.router(index).load().isEmpty()) {
                waitUntilEmpty(index);
                return;
            }
            m_session.killBalancer(index);
            m_session.events().schedule(m_session.events().now() + Gap, [this, index] {
                m_session.restartBalancer(index);
                m_session.events().schedule(m_session.events().now() + Gap,
                                            [this, index] { stopNext(index + 1); });
            });
        });
    }

    fakes::Session &m_session;
    bool m_isDone = false;
};

void drainThird(fakes::Session &session, Milliseconds from, Milliseconds to)
{
    std::vector<UpstreamId> ids;
    for (const auto &[id, upstream] : session.upstreams()) {
        ids.push_back(id);
    }
    constexpr std::size_t Drained = WorkshopUpstreams / 3;
    for (std::size_t i = 0; i < Drained; ++i) {
        std::swap(ids[i], ids[i + randomBelow(session.random(), ids.size() - i)]);
        const auto span = static_cast<std::uint64_t>((to - from).value);
        const Milliseconds at =
                from + Milliseconds{static_cast<std::int64_t>(randomBelow(session.random(), span))};
        session.events().schedule(at, [&session, id = ids[i]] { session.drainUpstream(id); });
    }
}

FlowResult runPlanned(std::uint64_t seed)
{
    fakes::Session session(flowOptions(seed), fleetDeclaration());
    addBoard(session);
    RequestLoad load(session, seededRandom(seed + 2));
    session.runFor(100_ms);
    FeedWatch feeds(session);
    session.runFor(SettleTime);
    constexpr Milliseconds Start = SettleTime;
    constexpr Milliseconds LoadEnd = 40_s;
    constexpr Milliseconds End = 60_s;
    feeds.watch(End);
    const double rate = PlannedLoad * capacityPerMs(meanServiceTimes());
    load.addStream({BoardService, "claim", "benches", rate, 10_s}, LoadEnd);
    RollingReplacement replacement(session);
    session.events().schedule(Start + 1_s, [&] { replacement.stopNext(0); });
    drainThird(session, Start + 1_s, Start + 20_s);
    session.events().schedule(Start + 10_s, [&] {
        Declaration changed = fleetDeclaration({"benches", "visitors"});
        changed.revision = Revision{2};
        session.setDeclaration(changed);
    });
    session.runFor(End - session.events().now());
    feeds.pushToAll();
    FlowResult result = feeds.result();
    // A replacement that does not come to its end has broken nothing yet; count it as failed.
    result.broken += replacement.isDone() ? 0 : static_cast<double>(Feeds);
    for (const IssuedRequest &request : load.issued()) {
        result.unknownRequests += request.client->phase() == RequestPhase::Unknown ? 1 : 0;
        result.refusedRequests += request.client->phase() == RequestPhase::Refused ? 1 : 0;
    }
    return result;
}

FlowResult runOneKill(std::uint64_t seed)
{
    fakes::Session session(flowOptions(seed), fleetDeclaration());
    addBoard(session);
    session.runFor(100_ms);
    FeedWatch feeds(session);
    session.runFor(SettleTime);
    constexpr Milliseconds End = 20_s;
    feeds.watch(End);
    const Milliseconds killAt =
            SettleTime +
            Milliseconds{static_cast<std::int64_t>(randomBelow(session.random(), 5'000))};
    const auto victim = static_cast<std::uint32_t>(randomBelow(session.random(), FleetBalancers));
    session.events().schedule(killAt, [&, victim] { session.killBalancer(victim); });
    session.runFor(End - session.events().now());
    feeds.pushToAll();
    return feeds.result();
}

struct LeavingResult
{
    double lastNewWorkMs = 0;
    double meanLastNewWorkMs = 0;
};

/// Drains five upstreams; every second one is not in the lists, so that only the upstream itself
/// says that it leaves. New feeds and claims arrive all the time.
LeavingResult runLeaving(std::uint64_t seed)
{
    fakes::SessionOptions options = flowOptions(seed);
    options.viewLag = 1_s;
    fakes::Session session(options, fleetDeclaration());
    addBoard(session);
    RequestLoad load(session, seededRandom(seed + 2));
    session.runFor(100_ms);
    constexpr Milliseconds End = 40_s;
    constexpr std::int64_t Drained = 5;
    load.addStream({BoardService, "claim", "benches",
                    PlannedLoad * capacityPerMs(meanServiceTimes()), 5_s},
                   End);
    for (std::uint64_t flow = 1; flow <= 800; ++flow) {
        const Milliseconds at{static_cast<std::int64_t>(randomBelow(session.random(), 35'000))};
        session.events().schedule(100_ms + at, [&session, flow] {
            session.startFeed({FlowId{flow}, serviceId(BoardService),
                               classId(BoardService, "queue"), workspaceId("benches")});
        });
    }
    std::map<UpstreamId, Milliseconds> drainedAt;
    const std::uint64_t first = randomBelow(session.random(), WorkshopUpstreams);
    for (std::int64_t i = 0; i < Drained; ++i) {
        const UpstreamId id{FirstBoardUpstream +
                            (first + 3 * static_cast<std::uint64_t>(i)) % WorkshopUpstreams};
        const Milliseconds at =
                5_s * (i + 1) + Milliseconds{static_cast<std::int64_t>(session.random()() % 1'000)};
        drainedAt[id] = at;
        session.events().schedule(at, [&session, id, i] {
            if (i % 2 == 0) {
                session.drainUpstream(id);
            } else {
                session.drainUpstreamUnlisted(id);
            }
        });
    }
    session.runFor(End + 5_s - session.events().now());
    LeavingResult result;
    for (const auto &[id, at] : drainedAt) {
        const Milliseconds last = std::max(0_ms, session.upstream(id).lastNewWork() - at);
        result.lastNewWorkMs = std::max(result.lastNewWorkMs, static_cast<double>(last.value));
        result.meanLastNewWorkMs += static_cast<double>(last.value) / Drained;
    }
    return result;
}

} // namespace

std::vector<Row> measureFlows(const MeasureOptions &options)
{
    const std::string common = "balancers=9 upstreams=14 feeds=300 loss=0.5% duplication=0.5% "
                               "jitter_ms=3 broken_after_ms=5000 ";
    const std::function<FlowResult(std::uint64_t)> planned = runPlanned;
    const auto plannedRuns = runSeeds(options, planned);
    const std::string plannedInputs =
            common + "replaced=9 drained=4 configuration_changes=1 claims_load=40%";
    std::vector<Row> rows;
    append(rows, summarise({"broken_flows_planned", "feeds", 0, Bound::AtMost},
                           column(plannedRuns, &FlowResult::broken), plannedInputs));
    append(rows, summarise({"planned_worst_silence", "ms"},
                           column(plannedRuns, &FlowResult::worstSilenceMs), plannedInputs));
    append(rows, summarise({"planned_missed_pushes", "feeds"},
                           column(plannedRuns, &FlowResult::missedPushes), plannedInputs));
    append(rows, summarise({"planned_unknown_claims", "claims"},
                           column(plannedRuns, &FlowResult::unknownRequests), plannedInputs));
    append(rows, summarise({"planned_refused_claims", "claims"},
                           column(plannedRuns, &FlowResult::refusedRequests), plannedInputs));
    const std::function<FlowResult(std::uint64_t)> oneKill = runOneKill;
    const auto killRuns = runSeeds(options, oneKill);
    append(rows, summarise({"broken_flows_one_kill", "feeds", 0, Bound::AtMost},
                           column(killRuns, &FlowResult::broken), common + "killed=1"));
    append(rows, summarise({"one_kill_worst_silence", "ms"},
                           column(killRuns, &FlowResult::worstSilenceMs), common + "killed=1"));
    append(rows, summarise({"one_kill_missed_pushes", "feeds"},
                           column(killRuns, &FlowResult::missedPushes), common + "killed=1"));
    return rows;
}

std::vector<Row> measureLeaving(const MeasureOptions &options)
{
    const std::function<LeavingResult(std::uint64_t)> experiment = runLeaving;
    const auto results = runSeeds(options, experiment);
    const std::string inputs = "balancers=9 upstreams=14 drained=5 unlisted=2 view_lag_ms=1000 "
                               "claims_load=40% new_feeds_per_s=23 loss=0.5%";
    std::vector<Row> rows =
            summarise({"leaving_upstream_last_new_work", "ms", 3'000, Bound::AtMost},
                      column(results, &LeavingResult::lastNewWorkMs), inputs);
    append(rows, summarise({"leaving_upstream_mean_last_new_work", "ms"},
                           column(results, &LeavingResult::meanLastNewWorkMs), inputs));
    return rows;
}

} // namespace damaskhall::measure
