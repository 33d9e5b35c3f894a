#include "core/dispatch/concurrencylimit.h"

#include "base/random.h"

#include <cmath>
#include <gtest/gtest.h>

namespace damaskhall {
namespace {

/// Upstream with exponential service times under constant demand. It either sheds the requests that
/// exceed its slots or queues them.
class SimulatedUpstream
{
public:
    SimulatedUpstream(std::uint32_t slots, bool shedsExcess)
        : m_slots(slots)
        , m_shedsExcess(shedsExcess)
    {
    }

    void run(ConcurrencyLimit &limit, int requests)
    {
        for (int i = 0; i < requests; ++i) {
            m_now += 10_ms;
            // Requests in flight vary, so that lower levels are sampled as well.
            const auto inFlight =
                    1 + static_cast<std::uint32_t>(randomBelow(m_random, limit.value()));
            if (inFlight > m_slots && m_shedsExcess) {
                ++sheds;
                limit.onShed(inFlight, m_now);
                continue;
            }
            const double queueing = std::max(1.0, static_cast<double>(inFlight) / m_slots);
            const double latency = -std::log(1 - randomUnit(m_random)) * 40 * queueing;
            limit.onAnswer(inFlight, Milliseconds{std::llround(latency)}, m_now);
        }
    }

    int sheds = 0;

private:
    std::uint32_t m_slots;
    bool m_shedsExcess;
    RandomSource m_random = seededRandom(7);
    Milliseconds m_now = 1_s;
};

// Guards against constants that determine the limit: the same rules must find each capacity.
TEST(ConcurrencyLimit, ConvergesToSlotsOfSheddingUpstream)
{
    for (const std::uint32_t slots : {1U, 2U, 3U, 5U}) {
        SCOPED_TRACE(slots);
        ConcurrencyLimit limit;
        EXPECT_EQ(limit.value(), 1U);
        SimulatedUpstream upstream(slots, true);
        upstream.run(limit, 20'000);
        EXPECT_EQ(limit.value(), slots);
        EXPECT_EQ(limit.confirmedLimit(), slots);
        // 200 s of trials above the capacity, with back-off.
        EXPECT_LT(upstream.sheds, 20);
    }
}

// Guards against a limit that grows without bound if an upstream queues requests instead of
// shedding them.
TEST(ConcurrencyLimit, StopsGrowingWhenLatencyRises)
{
    ConcurrencyLimit limit;
    SimulatedUpstream upstream(2, false);
    upstream.run(limit, 20'000);
    EXPECT_GE(limit.value(), 2U);
    EXPECT_LE(limit.value(), 3U);
    EXPECT_EQ(limit.confirmedLimit(), 2U);
}

// Guards against a limit that collapses because of sheds that are unrelated to load.
TEST(ConcurrencyLimit, ToleratesRareSheds)
{
    ConcurrencyLimit limit;
    SimulatedUpstream(2, true).run(limit, 1'000);
    ASSERT_EQ(limit.value(), 2U);
    limit.onShed(2, 20_s);
    EXPECT_EQ(limit.value(), 2U);
    {
        SCOPED_TRACE("repeated sheds lower it");
        for (int i = 0; i < 5; ++i) {
            limit.onShed(2, 20_s);
        }
        EXPECT_EQ(limit.value(), 1U);
    }
}

// Guards against a burst of timeouts that lowers the limit once per request.
TEST(ConcurrencyLimit, DecreasesOncePerTimeoutBurst)
{
    ConcurrencyLimit limit;
    SimulatedUpstream(5, true).run(limit, 20'000);
    ASSERT_EQ(limit.value(), 5U);
    for (int i = 0; i < 5; ++i) {
        limit.onTimeout(300_s);
    }
    EXPECT_EQ(limit.value(), 4U);
}

} // namespace
} // namespace damaskhall
