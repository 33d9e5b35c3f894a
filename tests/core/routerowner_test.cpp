#include "core/router.h"

#include "support/workshop.h"
#include "wire/tokensealer.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

using namespace tests;

constexpr InstanceId Self{1};
constexpr InstanceId Owner{2};
constexpr Endpoint Caller{0x0a000001, 20'000};
constexpr Endpoint OwnerEndpoint{0x7f000002, 7000};

// A router that gets an Execute for a permit of another balancer.
class RouterOwner : public ::testing::Test
{
protected:
    RouterOwner()
        : sealer({0, {{0, TokenKey{}}}})
        , router(Self, Incarnation{1}, hooks())
    {
    }

    CoreHooks hooks()
    {
        CoreHooks result;
        result.sealToken = [this](const Token &token) { return sealer.seal(token); };
        result.openToken = [this](const SealedToken &sealed) { return sealer.open(sealed); };
        result.random = seededRandom(1);
        result.countRefusal = [this](RefusalReason reason, ServiceId, ClassId) {
            unreachable += reason == RefusalReason::OwnerUnreachable ? 1 : 0;
        };
        result.countRetry = [](RetryReason, ServiceId, ClassId) {};
        result.countEvent = [](CoreEvent, ServiceId, ClassId) {};
        result.observe = [](CoreSample, ServiceId, ClassId, Milliseconds) {};
        result.reportLeaving = [](UpstreamId) {};
        return result;
    }

    void setView(const std::vector<MemberView> &members)
    {
        auto view = std::make_shared<RoutingView>();
        view->self = Self;
        view->declaration = std::make_shared<const Declaration>(workshopDeclaration());
        view->members = members;
        router.setView(view);
    }

    Actions execute(Incarnation ownerIncarnation)
    {
        Token token;
        token.kind = TokenKind::Permit;
        token.service = serviceId("board");
        token.workClass = classId("board", "claim");
        token.owner = Owner;
        token.ownerIncarnation = ownerIncarnation;
        token.subject = 7;
        Actions actions;
        router.handle(Execute{RequestId{7}, sealer.seal(token), 1_s, "claim"}, Caller, 1_s,
                      actions);
        return actions;
    }

    TokenSealer sealer;
    int unreachable = 0;
    Router router;
};

// Guards against a request that ends as unknown at a balancer that has not heard of a new owner
// yet, although the owner would run it.
TEST_F(RouterOwner, SaysNothingAboutAnOwnerThatItDoesNotKnow)
{
    setView({{Self, {0x7f000001, 7000}, Incarnation{1}, MemberState::Alive}});
    EXPECT_TRUE(execute(Incarnation{5}).empty());
    EXPECT_EQ(unreachable, 1);
}

// Guards against the same at a balancer that still calls a restarted owner dead.
TEST_F(RouterOwner, RelaysToAnOwnerThatWasRestartedSinceItDied)
{
    setView({{Owner, OwnerEndpoint, Incarnation{4}, MemberState::Dead}});
    const Actions actions = execute(Incarnation{5});
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].to, OwnerEndpoint);
    EXPECT_TRUE(std::holds_alternative<Relayed<Execute>>(actions[0].frame));
}

// Guards against a caller that waits until its deadline for an owner that is known to be dead.
TEST_F(RouterOwner, AnswersUnknownForADeadOwner)
{
    setView({{Owner, OwnerEndpoint, Incarnation{5}, MemberState::Dead}});
    const Actions actions = execute(Incarnation{5});
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].to, Caller);
    EXPECT_EQ(std::get<Answer>(actions[0].frame).outcome, Outcome::Unknown);
}

} // namespace
} // namespace damaskhall
