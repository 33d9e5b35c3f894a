#include "client/feedclient.h"

#include "client/retrypolicy.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

class FeedClientTest : public ::testing::Test
{
protected:
    FeedClientTest()
    {
        tick();
        receive(OpenReply{9, "token"});
        receive(KeepaliveReply{"token", {}, 0});
    }

    std::vector<Frame> tick()
    {
        std::vector<Frame> out;
        client.tick(now, out);
        return out;
    }

    std::vector<Frame> receive(const Frame &frame)
    {
        std::vector<Frame> out;
        client.handle(frame, now, out);
        return out;
    }

    void refuse(RefusalReason reason) { receive(Refusal{9, reason, 100_ms, {}}); }

    Milliseconds now = 1_s;
    FeedClient client{{FlowId{9}, {1}, {2}, {3}}, now};
};

TEST_F(FeedClientTest, ChangesPortAndKeepsTokenWhenKeepaliveIsUnanswered)
{
    for (int i = 0; i < 40; ++i) {
        now += 100_ms;
        for (const Frame &frame : tick()) {
            EXPECT_EQ(std::get<Keepalive>(frame).token, "token");
        }
    }
    EXPECT_EQ(client.portChanges(), 1U);
    EXPECT_EQ(client.upstreamLossCount(), 0U);
    receive(KeepaliveReply{"token", {}, 0});
    now += 2_s;
    tick();
    EXPECT_EQ(client.portChanges(), 1U) << "an answered feed stays on its port";
}

// Guards against an upstream loss that is counted although the upstream is not gone: because the
// upstream directory of one balancer is out of date, or because the refusal of a retransmitted Open
// arrives after the feed is open.
TEST_F(FeedClientTest, IgnoresRefusalsThatDoNotProveUpstreamLoss)
{
    refuse(RefusalReason::QueueFull);
    refuse(RefusalReason::QueueFull);
    refuse(RefusalReason::QueueFull);
    refuse(RefusalReason::NoUpstream);
    refuse(RefusalReason::NoUpstream);
    receive(Push{"token", {}, 1, "update"});
    refuse(RefusalReason::NoUpstream);
    EXPECT_TRUE(client.isOpen());
    EXPECT_EQ(client.upstreamLossCount(), 0U);
}

TEST_F(FeedClientTest, ReopensAndCountsALossWhenUpstreamIsGone)
{
    for (unsigned i = 0; i < ConsecutiveRefusalLimit; ++i) {
        refuse(RefusalReason::NoUpstream);
        now += 100_ms;
    }
    EXPECT_EQ(client.upstreamLossCount(), 1U);
    EXPECT_TRUE(std::holds_alternative<Open>(tick().at(0)));
    receive(OpenReply{9, "next"});
    EXPECT_EQ(client.openCount(), 2U);
}

TEST_F(FeedClientTest, ReopensAfterUpstreamTimeout)
{
    for (int i = 0; i < 101; ++i) {
        now += 100_ms;
        tick();
    }
    EXPECT_EQ(client.upstreamLossCount(), 1U);
    EXPECT_FALSE(client.isOpen());
}

} // namespace
} // namespace damaskhall
