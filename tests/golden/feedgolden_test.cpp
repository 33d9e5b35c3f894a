#include "support/goldenfile.h"
#include "support/workshop.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

using namespace tests;

// Guards against a feed that breaks when every balancer is replaced, one after the other.
TEST(FeedGolden, FeedThroughTheReplacementOfAllNineBalancers)
{
    fakes::SessionOptions options;
    options.balancers = 9;
    options.keepTrace = true;
    fakes::Session session(options, workshopDeclaration());
    addBoardUpstreams(session, 1, 2);
    session.runFor(100_ms);
    const FeedClient &feed = session.startFeed(queueFeed(5));
    session.runFor(500_ms);
    ASSERT_TRUE(feed.isOpen());
    for (std::uint32_t i = 0; i < options.balancers; ++i) {
        session.beginLeaving(i);
        session.runFor(700_ms);
        session.killBalancer(i);
        session.restartBalancer(i);
        session.runFor(300_ms);
        EXPECT_LE(feed.timeSinceUpstreamFrame(session.events().now()), 3_s);
    }
    for (const auto &[id, upstream] : session.upstreams()) {
        upstream->pushAll();
    }
    session.runFor(500_ms);
    EXPECT_EQ(feed.lastReceivedSequence(), 1U);
    expectGolden("feed_replacement", linesWithout(session.trace(), {"Probe"}));
}

// Guards against a feed that is cut, or a new one that is opened, on an upstream that leaves.
TEST(FeedGolden, FeedThroughTheDrainOfItsUpstream)
{
    fakes::SessionOptions options;
    options.balancers = 2;
    options.keepTrace = true;
    fakes::Session session(options, workshopDeclaration());
    addBoardUpstreams(session, 1, 2);
    session.runFor(100_ms);
    const FeedClient &first = session.startFeed(queueFeed(5));
    session.runFor(500_ms);
    const UpstreamId holder{session.upstream(UpstreamId{1}).feedCount() == 1 ? 1U : 2U};
    session.drainUpstream(holder);
    session.runFor(3_s);
    session.startFeed(queueFeed(6));
    session.runFor(500_ms);
    EXPECT_EQ(session.upstream(holder).feedCount(), 1U);
    EXPECT_LE(first.timeSinceUpstreamFrame(session.events().now()), 1100_ms);
    expectGolden("feed_drain", linesWithout(session.trace(), {"Probe"}));
}

} // namespace
} // namespace damaskhall
