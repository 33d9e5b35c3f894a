#include "fakes/fakeupstream.h"

#include <gtest/gtest.h>
#include <vector>

namespace damaskhall::fakes {
namespace {

class FakeUpstreamTest : public testing::Test
{
protected:
    FakeUpstream makeUpstream(const FakeUpstreamOptions &options)
    {
        return FakeUpstream(
                options, m_events, seededRandom(1),
                [this](const Frame &frame, Endpoint) { m_replies.push_back(frame); },
                [this](const Frame &frame) { m_pushed.push_back(frame); });
    }

    static UpstreamRequest request(std::uint64_t attempt, const std::string &body)
    {
        return {AttemptId{attempt}, ServiceId{1}, ClassId{1}, WorkspaceId{1}, 1_s, body};
    }

    static FakeUpstreamOptions oneSlot()
    {
        FakeUpstreamOptions options;
        options.id = UpstreamId{1};
        options.service = ServiceId{1};
        options.slots = 1;
        options.workOf = [](const std::string &) { return 1.0; };
        return options;
    }

    const Endpoint m_owner{1, 1};
    EventQueue m_events;
    std::vector<Frame> m_replies;
    std::vector<Frame> m_pushed;
};

// Guards against an experiment in which slots run more than they have, or sheds count as runs.
TEST_F(FakeUpstreamTest, ShedsBeyondItsSlotsAndCountsEveryTry)
{
    FakeUpstream upstream = makeUpstream(oneSlot());
    upstream.handle(request(1, "first"), m_owner);
    upstream.handle(request(2, "second"), m_owner);
    EXPECT_EQ(std::get<UpstreamReply>(m_replies.back()).status, ReplyStatus::Shed);
    EXPECT_EQ(upstream.runs().count("second"), 0U);
    EXPECT_EQ(upstream.tries().at("second"), 1);

    SCOPED_TRACE("the first run ends after the work that the hook gives");
    m_events.runUntil(40_ms);
    EXPECT_EQ(upstream.completions().at("first"), 40_ms);
    EXPECT_EQ(upstream.busyTime(), 40_ms);
    upstream.handle(request(3, "third"), m_owner);
    EXPECT_EQ(upstream.runs().at("third"), 1);
}

// Guards against a row for leaving upstreams that overlooks refused requests.
TEST_F(FakeUpstreamTest, RefusedRequestsCountAsNewWork)
{
    FakeUpstream upstream = makeUpstream(oneSlot());
    upstream.startDraining();
    m_events.runUntil(70_ms);
    upstream.handle(request(1, "late"), m_owner);
    EXPECT_EQ(std::get<UpstreamReply>(m_replies.back()).status, ReplyStatus::Draining);
    EXPECT_EQ(upstream.lastNewWork(), 70_ms);
}

// Guards against a misleading upstream that still tells the truth about draining.
TEST_F(FakeUpstreamTest, MisleadingProbesHideDraining)
{
    FakeUpstreamOptions options = oneSlot();
    options.hasMisleadingProbes = true;
    FakeUpstream upstream = makeUpstream(options);
    upstream.startDraining();
    upstream.handle(Probe{5}, m_owner);
    EXPECT_FALSE(std::get<ProbeReply>(m_replies.back()).draining);
}

// Guards against an upload that counts as stored although a chunk is missing.
TEST_F(FakeUpstreamTest, UploadIsStoredOnlyWithoutGaps)
{
    FakeUpstream upstream = makeUpstream(oneSlot());
    const auto chunk = [&](std::uint64_t offset, const std::string &body) {
        upstream.handle(Forwarded<UploadChunk>{m_owner, ServiceId{1}, {"token", offset, 6, body}},
                        m_owner);
        return std::get<UploadAck>(m_pushed.back());
    };
    EXPECT_EQ(chunk(3, "def").acknowledged, 0U);
    EXPECT_EQ(chunk(0, "abc").acknowledged, 3U);
    EXPECT_TRUE(upstream.storedBodies().empty());
    EXPECT_TRUE(chunk(3, "def").stored);
    EXPECT_EQ(upstream.storedBodies().count("abcdef"), 1U);
}

} // namespace
} // namespace damaskhall::fakes
