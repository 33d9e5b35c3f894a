#include "platform/storeclient.h"

#include "config/declaration.h"
#include "support/rawserver.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
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
    std::string lastBody;
    asio::io_context context{1};
    RawServer server{context, [this](const std::string &head) {
                         lastHead = head;
                         lastBody = server.body();
                         return answer;
                     }};
    StoreClient client{context, server.endpoint()};
};

// Guards against entries that are lost or misread on the way from the store.
TEST_F(StoreClientTest, ReadsPaginatedList)
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
TEST_F(StoreClientTest, ReportsFailureKind)
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

// Guards against a snapshot that its reader does not understand as its writer meant it.
TEST_F(StoreClientTest, SavesAndReadsASnapshot)
{
    auto snapshot = std::make_shared<DirectoryUpdate>();
    snapshot->to = {77};
    snapshot->declaration = {5};
    for (std::uint64_t id = 1; id <= 3000; ++id) {
        UpstreamEntry entry;
        entry.key = {UpstreamId{id}, Incarnation{1760000000000 + id}};
        snapshot->changes.push_back({{id}, entry});
    }
    StoreCall save;
    save.kind = StoreCall::Kind::SaveSnapshot;
    save.snapshot = snapshot;
    answer = RawServer::ok(R"({"revision":78})");
    EXPECT_EQ(call(save).outcome, StoreOutcome::Done);
    EXPECT_TRUE(lastHead.starts_with("POST /v1/kv-txn ")) << lastHead;
    const auto body = nlohmann::json::parse(lastBody);
    EXPECT_EQ(body["puts"][0]["key"], "damaskhall/directory");
    EXPECT_LT(lastBody.size(), 3000U * 40) << "a list has several hundred bytes an upstream";

    StoreCall read;
    read.kind = StoreCall::Kind::Snapshot;
    answer = RawServer::ok(nlohmann::json{
            {"key", "damaskhall/directory"},
            {"value", body["puts"][0]["value"]},
            {"revision", 78}}.dump());
    const StoreReply reply = call(read);
    EXPECT_TRUE(lastHead.starts_with("GET /v1/kv-key?serializable=1&key=damaskhall/directory "))
            << lastHead;
    ASSERT_TRUE(reply.snapshot) << reply.detail;
    EXPECT_EQ(reply.snapshot->to, Revision{77});
    EXPECT_EQ(reply.snapshot->changes.size(), 3000U);
}

// Guards against an instance that never starts because its snapshot is missing or broken.
TEST_F(StoreClientTest, IgnoresMissingOrCorruptSnapshot)
{
    StoreCall read;
    read.kind = StoreCall::Kind::Snapshot;
    answer = RawServer::ok("{}", "404 Not Found");
    StoreReply reply = call(read);
    EXPECT_EQ(reply.outcome, StoreOutcome::Done);
    EXPECT_FALSE(reply.snapshot);
    EXPECT_TRUE(reply.detail.empty()) << reply.detail;
    for (const char *body :
         {"[]", "{", R"({"value":7})", R"({"value":"!!"})", R"({"value":"AAAA"})"}) {
        answer = RawServer::ok(body);
        reply = call(read);
        EXPECT_EQ(reply.outcome, StoreOutcome::Done) << body;
        EXPECT_FALSE(reply.snapshot) << body;
        EXPECT_FALSE(reply.detail.empty()) << body;
    }
}

// Guards against a directory that treats the system's own key as an upstream.
TEST_F(StoreClientTest, DetectsSavedSnapshot)
{
    answer = RawServer::ok(
            R"({"events":[{"key":"damaskhall/directory","value":"AAAA","revision":9}],"as_of":9})");
    const StoreReply reply = call(watch(1));
    ASSERT_EQ(reply.changes.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<SnapshotSaved>(reply.changes[0].content));
}

} // namespace
} // namespace damaskhall::platform
