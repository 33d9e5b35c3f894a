#include "core/control/pathcontroller.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

constexpr UpstreamId Upstream{7};
constexpr ClassId Idempotent{1};
constexpr ClassId NotIdempotent{2};

UpstreamRequest request(std::uint64_t attempt, ClassId workClass)
{
    return {AttemptId{attempt}, {}, workClass, {}, 10_s, "body"};
}

class PathControllerTest : public ::testing::Test
{
protected:
    static PathHooks makeHooks(int &retransmissions)
    {
        return {[](ServiceId, ClassId workClass) { return workClass == Idempotent; },
                [&retransmissions](RetryReason reason, ServiceId, ClassId) {
                    retransmissions += reason == RetryReason::PathSilent;
                },
                seededRandom(1)};
    }

    /// Calls tick() every 10 ms for @p duration and returns all actions.
    std::vector<PathAction> runFor(Milliseconds duration)
    {
        std::vector<PathAction> actions;
        for (const Milliseconds end = now + duration; now < end;) {
            now += 10_ms;
            controller.tick(now, actions);
        }
        return actions;
    }

    static int replacements(const std::vector<PathAction> &actions)
    {
        return static_cast<int>(
                std::count_if(actions.begin(), actions.end(),
                              [](const auto &action) { return action.mustReplace; }));
    }

    Milliseconds now = 1_s;
    int retransmissions = 0;
    PathController controller{makeHooks(retransmissions)};
};

// Guards against a request that is executed twice because its path is replaced.
TEST_F(PathControllerTest, RetransmitsOnlyProbesAndIdempotentRequests)
{
    controller.recordSent(Upstream, request(1, Idempotent), now);
    controller.recordSent(Upstream, request(2, NotIdempotent), now);
    controller.recordSent(Upstream, request(3, Idempotent), now);
    controller.recordSent(Upstream, Probe{5}, now);
    controller.recordReceived(Upstream, PathChannel::Stream,
                              UpstreamReply{AttemptId{3}, ReplyStatus::Ok, 0, 1, {}});
    controller.recordSent(Upstream, Probe{6}, now);
    EXPECT_TRUE(runFor(1'490_ms).empty());
    const auto actions = runFor(10_ms);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_TRUE(actions[0].mustReplace);
    ASSERT_EQ(actions[0].frames.size(), 2U);
    EXPECT_EQ(std::get<Probe>(actions[0].frames[0].second).nonce, 6U);
    const auto &repeated = std::get<UpstreamRequest>(actions[0].frames[1].second);
    EXPECT_EQ(repeated.attempt, AttemptId{1});
    EXPECT_EQ(repeated.remaining, 8'500_ms);
    EXPECT_EQ(retransmissions, 2);
}

TEST_F(PathControllerTest, KeepsPathWhileAnyFrameArrives)
{
    controller.recordSent(Upstream, request(1, NotIdempotent), now);
    for (int i = 0; i < 5; ++i) {
        controller.recordSent(Upstream, Probe{1}, now);
        EXPECT_TRUE(runFor(1_s).empty());
        controller.recordReceived(Upstream, PathChannel::Stream, ProbeReply{});
    }
}

// Guards against a new connection every 1.5 s to each stopped upstream.
TEST_F(PathControllerTest, BacksOffPathReplacementForUnreachableUpstream)
{
    int count = 0;
    for (int second = 0; second < 60; ++second) {
        controller.recordSent(Upstream, Probe{1}, now);
        count += replacements(runFor(1_s));
    }
    EXPECT_GE(count, 4);
    EXPECT_LE(count, 9);
}

TEST_F(PathControllerTest, ChecksDatagramChannelInUse)
{
    const Forwarded<Keepalive> keepalive{};
    controller.recordSent(Upstream, keepalive, now);

    SCOPED_TRACE("an answered check ends and is repeated only after more flow frames");
    auto actions = runFor(10_ms);
    ASSERT_EQ(actions.size(), 1U);
    const auto check = std::get<Probe>(actions[0].frames.at(0).second);
    EXPECT_EQ(actions[0].frames[0].first, PathChannel::Datagram);
    const ProbeReply reply{check.nonce, Upstream, {}, false, 0, 0};
    EXPECT_TRUE(controller.recordReceived(Upstream, PathChannel::Datagram, reply));
    EXPECT_TRUE(runFor(10_s).empty());

    SCOPED_TRACE("an unanswered check replaces the path");
    controller.recordSent(Upstream, keepalive, now);
    EXPECT_EQ(replacements(runFor(1'600_ms)), 1);
}

TEST_F(PathControllerTest, DropsPathsOfUnlistedUpstreams)
{
    controller.recordSent(Upstream, Probe{1}, now);
    controller.retain([](UpstreamId) { return false; });
    EXPECT_TRUE(runFor(5_s).empty());
}

} // namespace
} // namespace damaskhall
