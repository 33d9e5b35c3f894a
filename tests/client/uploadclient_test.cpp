#include "client/uploadclient.h"

#include "client/retrypolicy.h"
#include "wire/framecodec.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

constexpr std::size_t MaxChunkDatagramBytes = 1'200;

class UploadClientTest : public ::testing::Test
{
protected:
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

    std::vector<Frame> open()
    {
        const auto sent = tick();
        const auto *reserve = std::get_if<Reserve>(&sent.at(0));
        return receive(OpenReply{reserve->request.value, token});
    }

    void refuseChunks(unsigned times)
    {
        for (unsigned i = 0; i < times; ++i) {
            for (const Frame &frame : receive(Refusal{7, RefusalReason::NoUpstream, 0_ms, {}})) {
                framesAfterRefusals.push_back(frame);
            }
        }
    }

    const SealedToken token = SealedToken(75, 't');
    const Reserve reservation{RequestId{7}, {1}, {2}, {3}, 30_s, 0_ms};
    const std::string body = std::string(20'000, 'b');
    Milliseconds now = 1_s;
    UploadClient client{reservation, body, now};
    std::vector<Frame> framesAfterRefusals;
};

TEST_F(UploadClientTest, StoresTheWholeBodyOverALossyPath)
{
    std::string received;
    std::vector<Frame> inFlight = open();
    for (int step = 0; step < 1'000 && !client.isFinished(); ++step) {
        std::vector<Frame> next;
        for (std::size_t i = 0; i < inFlight.size(); ++i) {
            const auto &chunk = std::get<UploadChunk>(inFlight[i]);
            EXPECT_LE(encodeFrame(chunk).size(), MaxChunkDatagramBytes);
            // Every third datagram is lost.
            if ((step + i) % 3 == 0) {
                continue;
            }
            if (chunk.offset == received.size()) {
                received += chunk.body;
            }
            const bool stored = received.size() == chunk.total;
            for (const Frame &frame : receive(UploadAck{token, {}, received.size(), stored})) {
                next.push_back(frame);
            }
        }
        now += 20_ms;
        for (const Frame &frame : tick()) {
            next.push_back(frame);
        }
        inFlight = next;
    }
    EXPECT_EQ(client.phase(), UploadPhase::Stored);
    EXPECT_EQ(received, body);
    EXPECT_EQ(client.restarts(), 0U);
}

// Guards against a restart caused by a single balancer that does not know the upstream yet.
TEST_F(UploadClientTest, IgnoresRefusalsBelowTheConsecutiveLimit)
{
    open();
    refuseChunks(ConsecutiveRefusalLimit - 1);
    receive(UploadAck{token, {}, 0, false});
    refuseChunks(ConsecutiveRefusalLimit - 1);
    EXPECT_EQ(client.phase(), UploadPhase::Uploading);
    EXPECT_TRUE(framesAfterRefusals.empty());
}

// Guards against an upload that keeps waiting for an upstream that is gone, and against a new
// Reserve that is answered with the token of the old upstream.
TEST_F(UploadClientTest, ReservesAgainUnderANewIdWhenItsUpstreamIsGone)
{
    open();
    receive(UploadAck{token, {}, 2 * MaxUploadChunkBytes, false});
    refuseChunks(ConsecutiveRefusalLimit);
    EXPECT_EQ(client.restarts(), 1U);
    ASSERT_EQ(framesAfterRefusals.size(), 2U);
    EXPECT_EQ(std::get<Close>(framesAfterRefusals[0]).token, token);
    EXPECT_EQ(std::get<Cancel>(framesAfterRefusals[1]).request, reservation.request);
    const auto sent = tick();
    const auto reserve = std::get<Reserve>(sent.at(0));
    EXPECT_NE(reserve.request, reservation.request);
    const auto chunks = receive(OpenReply{reserve.request.value, "other"});
    EXPECT_EQ(std::get<UploadChunk>(chunks.at(0)).offset, 0U);
}

TEST_F(UploadClientTest, ChangesPortAndKeepsTokenWhenUnanswered)
{
    open();
    for (int i = 0; i < 11; ++i) {
        now += 100_ms;
        for (const Frame &frame : tick()) {
            EXPECT_EQ(std::get<UploadChunk>(frame).token, token);
        }
    }
    EXPECT_EQ(client.portChanges(), 1U);
    EXPECT_EQ(client.restarts(), 0U);
    now += 4_s;
    tick();
    EXPECT_EQ(client.restarts(), 1U) << "an unresponsive upstream is replaced";
}

TEST_F(UploadClientTest, RetriesRetryableRefusalsAndFailsOnOthers)
{
    tick();
    receive(Refusal{7, RefusalReason::QueueFull, 300_ms, {}});
    now += 200_ms;
    EXPECT_TRUE(tick().empty());
    now += 100_ms;
    EXPECT_EQ(std::get<Reserve>(tick().at(0)).waited, 300_ms);
    receive(Refusal{7, RefusalReason::UnknownClass, 0_ms, {}});
    EXPECT_EQ(client.phase(), UploadPhase::Failed);
    EXPECT_EQ(client.refusal(), RefusalReason::UnknownClass);
}

TEST_F(UploadClientTest, FailsAndCancelsAtItsDeadline)
{
    open();
    now += 30_s;
    EXPECT_TRUE(std::holds_alternative<Cancel>(tick().at(0)));
    EXPECT_EQ(client.phase(), UploadPhase::Failed);
}

} // namespace
} // namespace damaskhall
