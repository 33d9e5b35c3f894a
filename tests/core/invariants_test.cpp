#include "support/workshop.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

using namespace tests;

constexpr std::uint32_t BalancerCount = 5;
constexpr std::uint64_t UpstreamCount = 6;
constexpr int RequestCount = 150;
constexpr int FeedCount = 10;
/// From the first sign of leaving to the last new work.
constexpr Milliseconds LeavingLimit = 3_s;

fakes::SessionOptions faultyNetwork(std::uint64_t seed)
{
    fakes::SessionOptions options;
    options.seed = seed;
    options.balancers = BalancerCount;
    options.loss = 0.05;
    options.duplication = 0.05;
    options.jitter = 20_ms;
    return options;
}

// A run of claims, idempotent requests and feeds while faults strike at random times.
class FaultyRun
{
public:
    explicit FaultyRun(std::uint64_t seed)
        : m_session(faultyNetwork(seed), workshopDeclaration())
        , m_random(seededRandom(seed * 977))
    {
        addBoardUpstreams(m_session, 1, UpstreamCount, 30);
        m_session.runFor(100_ms);
        for (std::uint64_t flow = 1; flow <= FeedCount; ++flow) {
            m_session.startFeed(queueFeed(1'000'000 + flow));
        }
        m_session.runFor(2_s);
    }

    fakes::Session &session() { return m_session; }

    void startRequests()
    {
        for (std::uint64_t i = 1; i <= RequestCount; ++i) {
            const Reserve reserve = i % 3 == 0 ? statusRequest(i, 3_s) : claim(i, 3_s);
            m_session.startRequest(reserve, std::to_string(i));
            m_session.runFor(Milliseconds{static_cast<std::int64_t>(randomBelow(m_random, 20))});
            if (randomBelow(m_random, 25) == 0) {
                strike();
            }
        }
        m_session.runFor(5_s);
        watchFeeds();
    }

    /// Shortest silence of a feed after the last fault. The network still loses packets, so that a
    /// single reading may be long; a broken feed hears nothing at any time.
    Milliseconds shortestSilence(const FeedClient &feed) const { return m_silence.at(&feed); }

    bool wasDrained(UpstreamId id) const { return m_drainedAt.count(id) == 1; }
    Milliseconds drainedAt(UpstreamId id) const { return m_drainedAt.at(id); }

private:
    void strike()
    {
        const auto balancer = static_cast<std::uint32_t>(randomBelow(m_random, BalancerCount));
        switch (randomBelow(m_random, 5)) {
        case 0:
            m_session.killBalancer(balancer);
            m_session.runFor(Milliseconds{static_cast<std::int64_t>(randomBelow(m_random, 300))});
            m_session.restartBalancer(balancer);
            break;
        case 1:
            m_session.freezeBalancer(balancer, m_session.events().now() + 1500_ms);
            break;
        case 2:
            m_session.beginLeaving(balancer);
            m_session.runFor(800_ms);
            m_session.killBalancer(balancer);
            m_session.restartBalancer(balancer);
            break;
        case 3:
            drainOne();
            break;
        default:
            m_session.setDeclaration(workshopDeclaration());
            break;
        }
    }

    void watchFeeds()
    {
        for (int i = 0; i < 150; ++i) {
            m_session.runFor(100_ms);
            for (const FeedClient &feed : m_session.feeds()) {
                const Milliseconds silence = feed.timeSinceUpstreamFrame(m_session.events().now());
                const auto known = m_silence.try_emplace(&feed, silence).first;
                known->second = std::min(known->second, silence);
            }
        }
    }

    void drainOne()
    {
        // Half of the upstreams stay, so that capacity suffices.
        const UpstreamId id{1 + randomBelow(m_random, UpstreamCount / 2)};
        if (!wasDrained(id)) {
            m_drainedAt[id] = m_session.events().now();
            m_session.drainUpstream(id);
        }
    }

    fakes::Session m_session;
    RandomSource m_random;
    std::map<UpstreamId, Milliseconds> m_drainedAt;
    std::map<const FeedClient *, Milliseconds> m_silence;
};

class Invariants : public testing::TestWithParam<std::uint64_t>
{
};

// Guards against a doubled claim, a claim called "not run" that ran, an answer to another request,
// new work on a leaving upstream and a broken feed, under random faults.
TEST_P(Invariants, HoldUnderRandomFaults)
{
    FaultyRun run(GetParam());
    run.startRequests();
    fakes::Session &session = run.session();

    int number = 0;
    for (const RequestClient &client : session.requests()) {
        const std::string body = std::to_string(++number);
        SCOPED_TRACE("request " + body);
        const int runs = runsOf(session, body);
        const bool isIdempotent = number % 3 == 0;
        EXPECT_TRUE(client.isFinished());
        if (!isIdempotent) {
            EXPECT_LE(runs, 1);
        }
        if (client.phase() == RequestPhase::Refused && !isIdempotent) {
            EXPECT_EQ(runs, 0) << toString(*client.refusal());
        }
        if (client.phase() == RequestPhase::Answered) {
            EXPECT_EQ(client.answer(), "done " + body);
        }
    }
    for (const auto &[id, upstream] : session.upstreams()) {
        SCOPED_TRACE("upstream " + std::to_string(id.value));
        EXPECT_EQ(upstream->wrongServicePackets(), 0U);
        if (run.wasDrained(id)) {
            EXPECT_LE(upstream->lastNewWork() - run.drainedAt(id), LeavingLimit);
        }
    }
    for (const FeedClient &feed : session.feeds()) {
        EXPECT_TRUE(feed.isOpen());
        EXPECT_EQ(feed.upstreamLossCount(), 0U);
        EXPECT_LE(run.shortestSilence(feed), 1_s);
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, Invariants, testing::Range<std::uint64_t>(1, 31));

// Guards against a run that depends on anything but its seed.
TEST(Session, ReplaysToTheByteFromItsSeed)
{
    const auto traceOf = [] {
        fakes::SessionOptions options = faultyNetwork(7);
        options.keepTrace = true;
        fakes::Session session(options, workshopDeclaration());
        addBoardUpstreams(session, 1, UpstreamCount);
        for (std::uint64_t i = 1; i <= 30; ++i) {
            session.startRequest(claim(i), std::to_string(i));
            session.runFor(15_ms);
        }
        session.runFor(3_s);
        return session.trace();
    };
    EXPECT_EQ(traceOf(), traceOf());
}

} // namespace
} // namespace damaskhall
