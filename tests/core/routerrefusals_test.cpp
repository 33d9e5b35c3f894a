#include "core/router.h"

#include "support/workshop.h"
#include "wire/framecodec.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

using namespace tests;

constexpr Endpoint Caller{0x0a000001, 30'000};
constexpr UpstreamId BoardUpstream{1};
constexpr UpstreamId DeskUpstream{11};

// Each test sends bad input and then checks that it was counted under its reason, that no upstream
// got anything, and that good work is still served.
class RouterRefusals : public ::testing::Test
{
protected:
    RouterRefusals()
        : session(fakes::SessionOptions(), workshopDeclaration())
    {
        addBoardUpstreams(session, BoardUpstream.value, 1);
        session.addUpstream({DeskUpstream, serviceId("desk"), {}, 2, 20, 0});
        session.runFor(1'100_ms);
    }

    std::uint64_t countOf(RefusalReason reason) const
    {
        const auto found = session.refusals().find(reason);
        return found == session.refusals().end() ? 0 : found->second;
    }

    void expectRefused(const Frame &frame, RefusalReason reason)
    {
        session.inject(frame, Caller);
        session.runFor(50_ms);
        EXPECT_EQ(countOf(reason), 1U) << toString(reason);
        EXPECT_TRUE(session.upstream(BoardUpstream).runs().empty());
        EXPECT_EQ(session.upstream(BoardUpstream).feedCount(), 0U);
    }

    SealedToken seal(TokenKind kind, const char *service, UpstreamId upstream) const
    {
        Token token;
        token.kind = kind;
        token.service = serviceId(service);
        token.upstream = upstream;
        token.owner = InstanceId{0};
        token.ownerIncarnation = Incarnation{77};
        token.subject = 7;
        return session.sealer().seal(token);
    }

    void TearDown() override
    {
        session.startRequest(claim(1'000), "good claim");
        session.runFor(1_s);
        EXPECT_EQ(session.requests().back().phase(), RequestPhase::Answered);
    }

    fakes::Session session;
};

TEST_F(RouterRefusals, UnknownWorkspace)
{
    Reserve reserve = claim(1);
    reserve.workspace = workspaceId("strangers");
    expectRefused(reserve, RefusalReason::UnknownWorkspace);
}

TEST_F(RouterRefusals, RequestOfAFeedClass)
{
    Reserve reserve = claim(1);
    reserve.workClass = classId("board", "queue");
    expectRefused(reserve, RefusalReason::WrongKind);
}

TEST_F(RouterRefusals, DeadlineThatHasPassed)
{
    expectRefused(claim(1, 0_ms), RefusalReason::DeadlinePassed);
}

TEST_F(RouterRefusals, ForgedToken)
{
    SealedToken token = seal(TokenKind::Feed, "board", BoardUpstream);
    token.back() = static_cast<char>(token.back() ^ 1);
    expectRefused(Keepalive{token, 0}, RefusalReason::BadToken);
}

TEST_F(RouterRefusals, PermitUsedForAFeed)
{
    const SealedToken token = seal(TokenKind::Permit, "board", BoardUpstream);
    expectRefused(Keepalive{token, 0}, RefusalReason::BadToken);
}

// Guards against a packet of one service that reaches an upstream of another one.
TEST_F(RouterRefusals, TokenThatNamesAnUpstreamOfAnotherService)
{
    const SealedToken token = seal(TokenKind::Feed, "board", DeskUpstream);
    expectRefused(Keepalive{token, 0}, RefusalReason::WrongService);
    EXPECT_EQ(session.upstream(DeskUpstream).feedCount(), 0U);
}

// Guards against a "not run" about a request that a former process at this address may have sent.
TEST_F(RouterRefusals, PermitOfAFormerProcess)
{
    const SealedToken permit = seal(TokenKind::Permit, "board", {});
    expectRefused(Execute{RequestId{7}, permit, 1_s, "claim"}, RefusalReason::NoRecord);
}

// Guards against callers that speak as a balancer to reach an owner or an upstream.
TEST_F(RouterRefusals, FrameThatCallersMayNotSend)
{
    expectRefused(Relayed<Reserve>{Caller, 1, claim(1)}, RefusalReason::Malformed);
}

TEST_F(RouterRefusals, DatagramsThatCannotBeDecoded)
{
    const std::string good = encodeFrame(claim(1));
    std::string otherVersion = good;
    otherVersion[0] = static_cast<char>(otherVersion[0] + 1);
    const std::string oversized(MaxDatagramBytes + 1, 'x');
    for (const std::string &datagram : {good.substr(0, 9), otherVersion, oversized}) {
        session.router(0).handleUndecodable(decodeFrame(datagram).assume_error());
    }
    EXPECT_EQ(countOf(RefusalReason::Malformed), 1U);
    EXPECT_EQ(countOf(RefusalReason::ProtocolVersion), 1U);
    EXPECT_EQ(countOf(RefusalReason::Oversized), 1U);
}

} // namespace
} // namespace damaskhall
