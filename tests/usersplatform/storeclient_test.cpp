#include "platform/storeclient.h"

#include "config/declaration.h"
#include "support/rawserver.h"

#include <gtest/gtest.h>
#include <optional>

namespace damaskhall::platform {
namespace {

using test::RawServer;

class StoreClientTest : public ::testing::Test
{
protected:
    StoreReply call(const StoreCall &request)
    {
        std::optional<StoreReply> result;
        client.call(request, [&](const StoreReply &reply) { result = reply; });
        context.restart();
        while (!result && context.run_one_for(std::chrono::seconds(5)) > 0) {
        }
        return result.value_or(StoreReply{});
    }

    static StoreCall watch(std::uint64_t after)
    {
        StoreCall request;
        request.kind = StoreCall::Kind::Watch;
        request.after = {after};
        request.wait = 700_ms;
        return request;
    }

    std::string answer;
    std::string lastHead;
    asio::io_context context{1};
    RawServer server{context, [this](const std::string &head) {
                         lastHead = head;
                         return answer;
                     }};
    StoreClient client{context, server.endpoint()};
};

// Guards against entries that are lost or misread on the way from the store.
TEST_F(StoreClientTest, ReadsAListByPages)
{
    // The value is {"version":1} and names no routes.
    answer = RawServer::ok(
            R"({"items":[{"key":"op/config","value":"eyJ2ZXJzaW9uIjoxfQ==","revision":5,"created":5,)"
            R"("lease":0},{"key":"other/key","value":"AA==","revision":6,"created":6,"lease":0},)"
            R"({"key":"servers/i-0a","value":"!!","revision":7,"created":7,"lease":0}],)"
            R"("truncated":true,"as_of":530})");
    const StoreReply reply = call({});
    EXPECT_TRUE(lastHead.starts_with("GET /v1/kv-range?prefix= HTTP/1.1")) << lastHead;
    EXPECT_EQ(reply.outcome, StoreOutcome::Done) << reply.detail;
    EXPECT_EQ(reply.asOf, Revision{530});
    EXPECT_EQ(reply.nextPage, "servers/i-0a");
    ASSERT_EQ(reply.changes.size(), 2U) << "keys of others are not ours";
    EXPECT_EQ(std::get<DeclaredRoutes>(reply.changes[0].content).table, nullptr);
    const auto &unreadable = std::get<UpstreamRemoval>(reply.changes[1].content);
    EXPECT_EQ(unreadable.id, UpstreamId{10});
    EXPECT_FALSE(unreadable.mistake.empty());
    StoreCall next;
    next.pageAfter = "servers/i-0a";
    call(next);
    EXPECT_TRUE(lastHead.starts_with("GET /v1/kv-range?prefix=&after=servers/i-0a ")) << lastHead;
}

// Guards against a removal that is taken for an entry.
TEST_F(StoreClientTest, ReadsChanges)
{
    answer = RawServer::ok(
            R"({"events":[{"key":"servers/i-0b","revision":413,"removed":true}],"as_of":413})");
    const StoreReply reply = call(watch(411));
    EXPECT_TRUE(lastHead.starts_with("GET /v1/kv-watch?prefix=&after=411&wait_ms=700 "))
            << lastHead;
    ASSERT_EQ(reply.changes.size(), 1U);
    EXPECT_EQ(reply.changes[0].revision, Revision{413});
    EXPECT_EQ(std::get<UpstreamRemoval>(reply.changes[0].content).id, UpstreamId{11});
}

// Guards against a failure that is taken for an empty answer.
TEST_F(StoreClientTest, TellsHowACallFailed)
{
    answer = RawServer::ok("{}", "410 Gone");
    EXPECT_EQ(call(watch(1)).outcome, StoreOutcome::HistoryLost);
    for (const char *status :
         {"429 Too Many Requests", "503 Service Unavailable", "404 Not Found"}) {
        answer = RawServer::ok("{}", status);
        const StoreReply reply = call(watch(1));
        EXPECT_EQ(reply.outcome, StoreOutcome::Refused) << status;
        EXPECT_FALSE(reply.detail.empty());
    }
    for (const char *body : {"", "{", "[]", R"({"as_of":"5","events":[]})", R"({"as_of":5})",
                             R"({"as_of":5,"events":[{"key":7}]})"}) {
        answer = RawServer::ok(body);
        const StoreReply reply = call(watch(1));
        EXPECT_EQ(reply.outcome, StoreOutcome::Unanswered) << body;
        EXPECT_TRUE(reply.changes.empty());
        EXPECT_FALSE(reply.detail.empty());
    }
}

} // namespace
} // namespace damaskhall::platform
