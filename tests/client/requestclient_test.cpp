#include "client/requestclient.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

class RequestClientTest : public ::testing::Test
{
protected:
    RequestClientTest() { tick(); }

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

    Milliseconds now = 1_s;
    RequestClient client{{RequestId{5}, {1}, {2}, {3}, 5_s, 0_ms}, "body", now};
};

// Guards against a request that runs at two owners because its client used two permits.
TEST_F(RequestClientTest, UsesOnePermitUnlessItsOwnerRefusedTheExecute)
{
    const auto first = receive(Permit{RequestId{5}, "first"});
    EXPECT_EQ(std::get<Execute>(first.at(0)).permit, "first");

    SCOPED_TRACE("a second permit is cancelled");
    const auto second = receive(Permit{RequestId{5}, "second"});
    EXPECT_EQ(std::get<Cancel>(second.at(0)).permit, "second");

    SCOPED_TRACE("refusals that do not name the permit in use are ignored");
    receive(Refusal{5, RefusalReason::QueueFull, 0_ms, {}});
    receive(Refusal{5, RefusalReason::Leaving, 0_ms, "second"});
    now += 200_ms;
    EXPECT_EQ(std::get<Execute>(tick().at(0)).permit, "first");

    SCOPED_TRACE("after the owner's refusal, another permit may be used");
    receive(Refusal{5, RefusalReason::UpstreamShed, 100_ms, "first"});
    now += 100_ms;
    EXPECT_TRUE(std::holds_alternative<Reserve>(tick().at(0)));
    const auto third = receive(Permit{RequestId{5}, "third"});
    EXPECT_EQ(std::get<Execute>(third.at(0)).permit, "third");
}

TEST_F(RequestClientTest, ChangesPortAndKeepsPermitWhenUnanswered)
{
    receive(Permit{RequestId{5}, "permit"});
    for (int i = 0; i < 11; ++i) {
        now += 100_ms;
        for (const Frame &frame : tick()) {
            EXPECT_EQ(std::get<Execute>(frame).permit, "permit");
        }
    }
    EXPECT_EQ(client.portChanges(), 1U);
    EXPECT_EQ(client.phase(), RequestPhase::Executing);
}

TEST_F(RequestClientTest, DistinguishesNotRunFromUnknownAtItsDeadline)
{
    RequestClient reserving({RequestId{6}, {1}, {2}, {3}, 5_s, 0_ms}, "body", now);
    receive(Permit{RequestId{5}, "permit"});
    now += 5_s;
    std::vector<Frame> out;
    reserving.tick(now, out);
    tick();
    EXPECT_EQ(reserving.phase(), RequestPhase::Refused);
    EXPECT_EQ(client.phase(), RequestPhase::Unknown);
}

} // namespace
} // namespace damaskhall
