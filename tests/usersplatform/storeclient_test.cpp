#include "platform/storeclient.h"

#include "config/declaration.h"
#include "platform/storedocuments.h"
#include "support/rawserver.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <sodium.h>

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

    std::string response;
    std::string lastRequestHead;
    std::string lastRequestBody;
    asio::io_context context{1};
    RawServer server{context, [this](const std::string &head) {
                         lastRequestHead = head;
                         lastRequestBody = server.body();
                         return response;
                     }};
    StoreClient client{context, server.endpoint()};
};

/// Returns the JSON text of an item whose value has @p digits Base64 digits.
std::string foreignItem(int number, std::size_t digits)
{
    return R"({"key":"servers/i-5b00)" + std::to_string(10 + number) + R"(","value":")" +
           std::string(digits, 'A') + R"(","revision":20,"created":20,"lease":0})";
}

// Guards against an instance that learns nothing from the store any more, because another program
// has written large values among the entries of the upstreams.
TEST_F(StoreClientTest, ReadsTheOthersBesideAnyNumberOfLargeValues)
{
    constexpr std::size_t LargestValueDigits = 1'398'104;
    const std::string removal = R"({"key":"servers/i-a1","revision":21,"removed":true})";
    for (const StoreCall::Kind kind : {StoreCall::Kind::Watch, StoreCall::Kind::List}) {
        const std::string name = kind == StoreCall::Kind::List ? "items" : "events";
        std::string body = R"({")" + name + R"(":[)";
        for (int i = 0; i < 32; ++i) {
            body += foreignItem(i, LargestValueDigits) + ",";
        }
        body += removal + R"(],"truncated":false,"as_of":21})";
        response = RawServer::ok(body);
        StoreCall request = watch(19);
        request.kind = kind;
        const StoreReply reply = call(request);
        ASSERT_EQ(reply.outcome, StoreOutcome::Done) << reply.detail;
        EXPECT_EQ(reply.bodyBytes, body.size());
        ASSERT_EQ(reply.changes.size(), 33U);
        EXPECT_NE(std::get<UpstreamRemoval>(reply.changes[0].content).mistake.find("longer than"),
                  std::string::npos);
        const auto &last = std::get<UpstreamRemoval>(reply.changes.back().content);
        EXPECT_EQ(last.id, parseUpstreamId("servers/i-a1"));
        EXPECT_TRUE(last.mistake.empty());
    }
}

// Guards against a value of the largest permitted size that is treated in another way than the
// smaller ones, or one byte above it.
TEST_F(StoreClientTest, LeavesOutValuesAboveTheLimitOnly)
{
    const std::size_t limit = (MaxUpstreamBytes + 2) / 3 * 4;
    for (const std::size_t digits : {limit - 4, limit, limit + 4}) {
        response = RawServer::ok(R"({"events":[)" + foreignItem(1, digits) + R"(],"as_of":20})");
        const StoreReply reply = call(watch(19));
        ASSERT_EQ(reply.changes.size(), 1U);
        const std::string mistake = std::get<UpstreamRemoval>(reply.changes[0].content).mistake;
        EXPECT_EQ(mistake.find("longer than") != std::string::npos, digits >= limit) << mistake;
    }
}

// Guards against a large declaration that is left out, and against one that is lost because its
// value goes before its key.
TEST_F(StoreClientTest, KeepsALargeDeclaration)
{
    std::string routes =
            R"({"version":3,"services":[],"limits":{"idle_timeout_ms":15000},"routes":[)";
    for (int port = 1; port <= 1500; ++port) {
        routes += std::string(port > 1 ? "," : "") +
                  R"({"name":"r","host":"198.18.0.1","prefix":"/)" + std::to_string(port) +
                  R"(/","kind":"safe","timeout_ms":1500,"target_latency_ms":150,"service":"a"})";
    }
    routes += "]}";
    std::string digits(sodium_base64_encoded_len(routes.size(), sodium_base64_VARIANT_ORIGINAL),
                       '\0');
    sodium_bin2base64(digits.data(), digits.size(),
                      reinterpret_cast<const unsigned char *>(routes.data()), routes.size(),
                      sodium_base64_VARIANT_ORIGINAL);
    // The encoded length includes a terminating zero.
    digits.pop_back();
    for (const char *key : {"op/config", "op\\/config"}) {
        response = RawServer::ok(R"({"events":[{"key":")" + std::string(key) + R"(","value":")" +
                                 digits + R"(","revision":20}],"as_of":20})");
        const StoreReply reply = call(watch(19));
        EXPECT_FALSE(reply.isDeclarationLeftOut);
        ASSERT_EQ(reply.changes.size(), 1U) << reply.detail;
        const auto &declared = std::get<DeclaredRoutes>(reply.changes[0].content);
        ASSERT_NE(declared.table, nullptr) << declared.mistake;
        EXPECT_EQ(declared.table->routes.size(), 1500U);
    }
    response = RawServer::ok(R"({"events":[{"value":")" + digits +
                             R"(","key":"op/config","revision":20}],"as_of":20})");
    const StoreReply reply = call(watch(19));
    EXPECT_TRUE(reply.isDeclarationLeftOut);
    EXPECT_TRUE(reply.changes.empty());
}

// Guards against a watch whose answer is too large in many small parts: the caller has to know that
// the same call would fail again.
TEST_F(StoreClientTest, ReportsAnAnswerThatIsTooLarge)
{
    std::string body = R"({"events":[)";
    for (int i = 0; i < 200; ++i) {
        body += foreignItem(i, 87'380) + ",";
    }
    response = RawServer::ok(body + R"({"key":"x","revision":1,"removed":true}],"as_of":20})");
    const StoreReply reply = call(watch(19));
    EXPECT_EQ(reply.outcome, StoreOutcome::Oversized) << reply.detail;
    EXPECT_NE(reply.detail.find("16777216"), std::string::npos) << reply.detail;
}

// Guards against list entries that are lost between pages or decoded wrongly.
TEST_F(StoreClientTest, ReadsPaginatedList)
{
    // The value decodes to {"version":1}, which lacks the routes.
    response = RawServer::ok(
            R"({"items":[{"key":"op/config","value":"eyJ2ZXJzaW9uIjoxfQ==","revision":5,"created":5,)"
            R"("lease":0},{"key":"other/key","value":"AA==","revision":6,"created":6,"lease":0},)"
            R"({"key":"servers/i-0a","value":"!!","revision":7,"created":7,"lease":0}],)"
            R"("truncated":true,"as_of":530})");
    const StoreReply reply = call({});
    EXPECT_TRUE(lastRequestHead.starts_with("GET /v1/kv-range?prefix= HTTP/1.1"))
            << lastRequestHead;
    EXPECT_EQ(reply.outcome, StoreOutcome::Done) << reply.detail;
    EXPECT_EQ(reply.asOf, StoreRevision{530});
    EXPECT_EQ(reply.nextPage, "servers/i-0a");
    ASSERT_EQ(reply.changes.size(), 2U) << "keys of other writers are ignored";
    EXPECT_EQ(std::get<DeclaredRoutes>(reply.changes[0].content).table, nullptr);
    const auto &invalidEntry = std::get<UpstreamRemoval>(reply.changes[1].content);
    EXPECT_EQ(invalidEntry.id, parseUpstreamId("servers/i-0a"));
    EXPECT_FALSE(invalidEntry.mistake.empty());
    StoreCall next;
    next.pageAfter = "servers/i-0a";
    call(next);
    EXPECT_TRUE(lastRequestHead.starts_with("GET /v1/kv-range?prefix=&after=servers/i-0a "))
            << lastRequestHead;
}

// Guards against starts that fail for good because a page of the list ends with a key that another
// program wrote and that does not fit into a request line.
TEST_F(StoreClientTest, EscapesTheKeyAfterWhichAPageBegins)
{
    response = RawServer::ok(R"({"items":[],"truncated":false,"as_of":530})");
    StoreCall next;
    next.pageAfter = "servers/a b&c#%\r\n\xc3\xa9-0a";
    EXPECT_EQ(call(next).outcome, StoreOutcome::Done);
    EXPECT_TRUE(lastRequestHead.starts_with(
            "GET /v1/kv-range?prefix=&after=servers/a%20b%26c%23%25%0D%0A%C3%A9-0a HTTP/1.1"))
            << lastRequestHead;
}

// Guards against a removal event that is decoded as an entry.
TEST_F(StoreClientTest, ReadsChanges)
{
    response = RawServer::ok(
            R"({"events":[{"key":"servers/i-0b","revision":413,"removed":true}],"as_of":413})");
    const StoreReply reply = call(watch(411));
    EXPECT_TRUE(lastRequestHead.starts_with("GET /v1/kv-watch?prefix=&after=411&wait_ms=700 "))
            << lastRequestHead;
    ASSERT_EQ(reply.changes.size(), 1U);
    EXPECT_EQ(reply.changes[0].revision, StoreRevision{413});
    EXPECT_EQ(std::get<UpstreamRemoval>(reply.changes[0].content).id,
              parseUpstreamId("servers/i-0b"));
}

// Guards against evacuations that are taken for keys of other programs.
TEST_F(StoreClientTest, ReadsEvacuations)
{
    // The values decode to {} and to [].
    response =
            RawServer::ok(R"({"events":[{"key":"op/evacuate/a","value":"e30=","revision":412},)"
                          R"({"key":"op/evacuate/b","value":"W10=","revision":413},)"
                          R"({"key":"op/evacuate/c","value":"!!","revision":414},)"
                          R"({"key":"op/evacuate/a","revision":415,"removed":true}],"as_of":415})");
    const StoreReply reply = call(watch(411));
    ASSERT_EQ(reply.changes.size(), 4U);
    using Kind = EvacuationChange::Kind;
    const std::vector<Kind> expected = {Kind::Evacuated, Kind::Invalid, Kind::Invalid,
                                        Kind::Removed};
    for (std::size_t i = 0; i < expected.size(); ++i) {
        EXPECT_EQ(std::get<EvacuationChange>(reply.changes[i].content).kind, expected[i]) << i;
        EXPECT_EQ(reply.changes[i].revision, StoreRevision{412 + i});
    }
}

// Guards against treating a failed call as an empty reply.
TEST_F(StoreClientTest, ReportsFailureKind)
{
    response = RawServer::ok("{}", "410 Gone");
    EXPECT_EQ(call(watch(1)).outcome, StoreOutcome::HistoryLost);
    for (const char *status :
         {"429 Too Many Requests", "503 Service Unavailable", "404 Not Found"}) {
        response = RawServer::ok("{}", status);
        const StoreReply reply = call(watch(1));
        EXPECT_EQ(reply.outcome, StoreOutcome::Refused) << status;
        EXPECT_FALSE(reply.detail.empty());
    }
    for (const char *body : {"", "{", "[]", R"({"as_of":"5","events":[]})", R"({"as_of":5})",
                             R"({"as_of":5,"events":[{"key":7}]})"}) {
        response = RawServer::ok(body);
        const StoreReply reply = call(watch(1));
        EXPECT_EQ(reply.outcome, StoreOutcome::Unanswered) << body;
        EXPECT_TRUE(reply.changes.empty());
        EXPECT_FALSE(reply.detail.empty());
    }
}

// Guards against snapshots that are decoded differently from how they were encoded.
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
    response = RawServer::ok(R"({"revision":78})");
    EXPECT_EQ(call(save).outcome, StoreOutcome::Done);
    EXPECT_TRUE(lastRequestHead.starts_with("POST /v1/kv-txn ")) << lastRequestHead;
    const auto body = nlohmann::json::parse(lastRequestBody);
    EXPECT_EQ(body["puts"][0]["key"], "damaskhall/directory");
    EXPECT_LT(lastRequestBody.size(), 3000U * 40)
            << "a list takes several hundred bytes per upstream";

    StoreCall read;
    read.kind = StoreCall::Kind::Snapshot;
    response = RawServer::ok(nlohmann::json{
            {"key", "damaskhall/directory"},
            {"value", body["puts"][0]["value"]},
            {"revision", 78}}.dump());
    const StoreReply reply = call(read);
    EXPECT_TRUE(
            lastRequestHead.starts_with("GET /v1/kv-key?serializable=1&key=damaskhall/directory "))
            << lastRequestHead;
    ASSERT_TRUE(reply.snapshot) << reply.detail;
    EXPECT_EQ(reply.snapshot->to, StoreRevision{77});
    EXPECT_EQ(reply.snapshot->changes.size(), 3000U);
}

// Guards against an instance that never starts because the snapshot is missing or corrupt.
TEST_F(StoreClientTest, IgnoresMissingOrCorruptSnapshot)
{
    StoreCall read;
    read.kind = StoreCall::Kind::Snapshot;
    response = RawServer::ok("{}", "404 Not Found");
    StoreReply reply = call(read);
    EXPECT_EQ(reply.outcome, StoreOutcome::Done);
    EXPECT_FALSE(reply.snapshot);
    EXPECT_TRUE(reply.detail.empty()) << reply.detail;
    for (const char *body :
         {"[]", "{", R"({"value":7})", R"({"value":"!!"})", R"({"value":"AAAA"})"}) {
        response = RawServer::ok(body);
        reply = call(read);
        EXPECT_EQ(reply.outcome, StoreOutcome::Done) << body;
        EXPECT_FALSE(reply.snapshot) << body;
        EXPECT_FALSE(reply.detail.empty()) << body;
    }
}

// Guards against a restored store that is not noticed, also while it refuses calls.
TEST_F(StoreClientTest, ReadsTheEraOfEachResponse)
{
    response = RawServer::ok(
            R"({"events":[{"key":"servers/i-1","revision":9,"removed":true}],"as_of":9})", "200 OK",
            "Store-Era: 3\r\n");
    const StoreReply reply = call(watch(1));
    EXPECT_EQ(reply.asOf, (StoreRevision{9, {3}}));
    ASSERT_EQ(reply.changes.size(), 1U);
    EXPECT_EQ(reply.changes[0].revision, (StoreRevision{9, {3}}));
    response = RawServer::ok(R"({"events":[],"as_of":9})", "200 OK", "Store-Era: 5 \t\r\n");
    EXPECT_EQ(call(watch(1)).asOf.era, StoreEra{5}) << "white space around the number";
    for (const char *status : {"410 Gone", "503 Busy", "429 Many", "404 Not Found"}) {
        response = RawServer::ok("{}", status, "Store-Era: 4\r\n");
        EXPECT_EQ(call(watch(1)).asOf.era, StoreEra{4}) << status;
    }
}

// Guards against an era that is made up from a header of another form: the response is taken for
// one of the era that the caller knows.
TEST_F(StoreClientTest, IgnoresAnEraThatIsNoNumber)
{
    StoreCall request = watch(1);
    request.after.era = {5};
    for (const char *value : {"", "x", "3x", "-1", "99999999999999999999"}) {
        response = RawServer::ok(R"({"events":[],"as_of":9})", "200 OK",
                                 std::string("Store-Era: ") + value + "\r\n");
        const StoreReply reply = call(request);
        EXPECT_EQ(reply.outcome, StoreOutcome::Done) << value;
        EXPECT_EQ(reply.asOf, (StoreRevision{9, {5}})) << value;
    }
    response = RawServer::ok(R"({"events":[],"as_of":9})");
    EXPECT_EQ(call(request).asOf, (StoreRevision{9, {5}}));
}

// Guards against decoding the instances' own snapshot key as an upstream entry.
TEST_F(StoreClientTest, DetectsSavedSnapshot)
{
    response = RawServer::ok(
            R"({"events":[{"key":"damaskhall/directory","value":"AAAA","revision":9}],"as_of":9})");
    const StoreReply reply = call(watch(1));
    ASSERT_EQ(reply.changes.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<SnapshotSaved>(reply.changes[0].content));
}

} // namespace
} // namespace damaskhall::platform
