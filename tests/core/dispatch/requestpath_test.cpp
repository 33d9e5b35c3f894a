#include "fakes/session.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace damaskhall {
namespace {

const ServiceId Board = serviceId("workshop-board");
const ClassId Claim = classId("workshop-board", "claim");
const ClassId Lookup = classId("workshop-board", "lookup");

Declaration boardDeclaration()
{
    Declaration declaration;
    ServiceDeclaration board{Board, "workshop-board", {}};
    board.classes.push_back({Claim, "claim", WorkKind::Request, false, 2_s});
    board.classes.push_back({Lookup, "lookup", WorkKind::Request, true, 2_s});
    declaration.services.push_back(board);
    declaration.workspaces.push_back({workspaceId("benches"), "benches"});
    return declaration;
}

/// Three balancers, one service and their callers in virtual time, with the invariants that must
/// hold in every run.
class RequestPath : public ::testing::Test
{
protected:
    void open(fakes::SessionOptions options, int upstreams = 4)
    {
        m_session = std::make_unique<fakes::Session>(options, boardDeclaration());
        for (int id = 1; id <= upstreams; ++id) {
            m_session->addUpstream({UpstreamId{static_cast<std::uint64_t>(id)}, Board, {}, 2, 20});
        }
        m_session->runFor(100_ms);
    }

    void claim(int count, Milliseconds gap = 5_ms, ClassId workClass = Claim)
    {
        for (int i = 0; i < count; ++i) {
            ++m_requestCount;
            const Reserve reserve{RequestId{m_requestCount}, Board, workClass,
                                  workspaceId("benches"),    4_s,   0_ms};
            m_session->startRequest(reserve, std::to_string(m_requestCount));
            m_session->runFor(gap);
        }
    }

    int countOf(RequestPhase phase) const
    {
        int count = 0;
        for (const RequestClient &request : m_session->requests()) {
            count += request.phase() == phase ? 1 : 0;
        }
        return count;
    }

    std::map<std::string, int> runsPerRequest() const
    {
        std::map<std::string, int> total;
        for (const auto &[id, upstream] : m_session->upstreams()) {
            for (const auto &[body, count] : upstream->runs()) {
                total[body] += count;
            }
        }
        return total;
    }

    /// Checks that no claim runs twice, no refused request ran, and each answer belongs to its
    /// request. Claims come first; requests beyond @p claims are lookups, which may run again.
    void expectInvariantsHold(std::uint64_t claims = UINT64_MAX) const
    {
        const auto ran = runsPerRequest();
        for (const auto &[body, count] : ran) {
            if (std::stoull(body) > claims) {
                continue;
            }
            EXPECT_EQ(count, 1) << "claim " << body;
        }
        std::uint64_t number = 0;
        for (const RequestClient &request : m_session->requests()) {
            const std::string body = std::to_string(++number);
            EXPECT_TRUE(request.isFinished()) << "claim " << body;
            if (request.phase() == RequestPhase::Refused) {
                EXPECT_EQ(ran.count(body), 0U) << "refused claim ran: " << body;
            } else if (request.phase() == RequestPhase::Answered) {
                EXPECT_EQ(request.answer(), "done " + body);
            }
        }
    }

    /// Index of the balancer that dispatches the service.
    std::uint32_t dispatcher()
    {
        for (std::uint32_t i = 0; i < 3; ++i) {
            if (!m_session->router(i).status().upstreams.empty()) {
                return i;
            }
        }
        return 0;
    }

    std::unique_ptr<fakes::Session> m_session;
    std::uint64_t m_requestCount = 0;
};

fakes::SessionOptions threeBalancers(std::uint64_t seed = 1)
{
    fakes::SessionOptions options;
    options.seed = seed;
    options.balancers = 3;
    return options;
}

// Guards against claims that are lost while limits are learned: each upstream starts with one slot.
TEST_F(RequestPath, AnswersEveryRequestWithoutFaults)
{
    open(threeBalancers());
    claim(200);
    m_session->runFor(5_s);
    EXPECT_EQ(countOf(RequestPhase::Answered), 200);
    expectInvariantsHold();
}

// Guards against reservations that are lost when their dispatcher fails.
TEST_F(RequestPath, DispatcherFailsWithQueuedReservations)
{
    open(threeBalancers());
    claim(60, 1_ms);
    const std::uint32_t dead = dispatcher();
    const std::size_t sent =
            m_session->router(dead).load().sent + m_session->router(dead).load().permitted;
    ASSERT_GT(m_session->router(dead).load().waiting, 0U);
    m_session->killBalancer(dead);
    m_session->runFor(6_s);
    EXPECT_LE(countOf(RequestPhase::Unknown), static_cast<int>(sent));
    EXPECT_EQ(countOf(RequestPhase::Refused), 0);
    expectInvariantsHold();
}

// Guards against a planned stop that loses or refuses a claim or leaves its outcome unknown.
TEST_F(RequestPath, DispatcherLeavesWithQueuedReservations)
{
    open(threeBalancers());
    claim(60, 1_ms);
    const std::uint32_t leaving = dispatcher();
    m_session->beginLeaving(leaving);
    EXPECT_EQ(m_session->router(leaving).load().waiting, 0U);
    m_session->runFor(6_s);
    EXPECT_EQ(countOf(RequestPhase::Answered), 60);
    EXPECT_TRUE(m_session->router(leaving).load().isEmpty());
    expectInvariantsHold();
}

// Guards against an owner that, after it resumes, sends requests that its callers have given up or
// executed elsewhere.
TEST_F(RequestPath, FrozenOwnerResumes)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        SCOPED_TRACE(seed);
        m_requestCount = 0;
        open(threeBalancers(seed));
        claim(40, 2_ms);
        m_session->freezeBalancer(dispatcher(), m_session->events().now() + 1500_ms);
        claim(40, 2_ms);
        m_session->runFor(8_s);
        expectInvariantsHold();
    }
}

// Guards against a restarted owner that accepts the permits of its previous incarnation.
TEST_F(RequestPath, RestartedOwnerAnswersUnknown)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        SCOPED_TRACE(seed);
        m_requestCount = 0;
        open(threeBalancers(seed));
        claim(40, 2_ms);
        m_session->restartBalancer(dispatcher());
        claim(40, 2_ms);
        m_session->runFor(8_s);
        expectInvariantsHold();
        EXPECT_GE(countOf(RequestPhase::Answered), 40);
    }
}

// Guards against duplicate runs and false "not run" results when packets are lost, duplicated and
// reordered.
TEST_F(RequestPath, InvariantsHoldOnLossyNetwork)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE(seed);
        m_requestCount = 0;
        auto options = threeBalancers(seed);
        options.loss = 0.1;
        options.duplication = 0.1;
        options.jitter = 20_ms;
        open(options);
        claim(100, 5_ms);
        claim(100, 5_ms, Lookup);
        m_session->runFor(8_s);
        // Idempotent lookups may run again after a lost packet; claims may not.
        expectInvariantsHold(100);
        EXPECT_GT(countOf(RequestPhase::Answered), 100);
    }
}

// Guards against work that is lost or runs twice when balancers restart, freeze and leave, an
// upstream drains and packets are lost in the same run.
TEST_F(RequestPath, InvariantsHoldUnderCombinedFaults)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE(seed);
        m_requestCount = 0;
        auto options = threeBalancers(seed);
        options.loss = 0.05;
        options.duplication = 0.05;
        options.jitter = 5_ms;
        open(options);
        claim(50, 3_ms);
        m_session->beginLeaving(dispatcher());
        claim(50, 3_ms);
        m_session->freezeBalancer(1, m_session->events().now() + 700_ms);
        m_session->drainUpstream(UpstreamId{1 + seed % 4});
        claim(50, 3_ms);
        m_session->restartBalancer(2);
        claim(50, 3_ms);
        m_session->runFor(8_s);
        expectInvariantsHold();
    }
}

} // namespace
} // namespace damaskhall
