#include "io/httpchannel.h"

#include "support/rawserver.h"

#include <gtest/gtest.h>
#include <optional>

namespace damaskhall {
namespace {

using test::RawServer;

constexpr Milliseconds Patience = 300_ms;

class HttpChannelTest : public ::testing::Test
{
protected:
    /// Makes one request and waits for its end.
    Result<HttpChannelReply> call(HttpChannel &target, Milliseconds timeout = Patience,
                                  const HttpChannelRequest &request = {"GET", "/path?x=1", {}})
    {
        std::optional<Result<HttpChannelReply>> result;
        target.request(request, timeout,
                       [&](Result<HttpChannelReply> reply) { result = std::move(reply); });
        context.restart();
        while (!result && context.run_one_for(std::chrono::seconds(5)) > 0) {
        }
        return result ? *result
                      : Result<HttpChannelReply>(
                                Error{ErrorCode::System, Step::WatchPlatform, {}, "no end"});
    }

    std::string answer = RawServer::ok("hello");
    std::string lastHead;
    asio::io_context context{1};
    RawServer server{context, [this](const std::string &head) {
                         lastHead = head;
                         return answer;
                     }};
    HttpChannel channel{context, server.endpoint(), Step::WatchPlatform};
};

// Guards against a connection for each call.
TEST_F(HttpChannelTest, KeepsItsConnection)
{
    for (int i = 0; i < 3; ++i) {
        const auto reply = call(channel);
        ASSERT_TRUE(reply) << toString(reply.assume_error());
        EXPECT_EQ(reply.assume_value().status, 200U);
        EXPECT_EQ(reply.assume_value().body, "hello");
    }
    EXPECT_EQ(server.connections(), 1);
    EXPECT_TRUE(lastHead.starts_with("GET /path?x=1 HTTP/1.1\r\n")) << lastHead;
}

// Guards against a header that is lost because its name has other letters, or because the answer
// arrives in parts.
TEST_F(HttpChannelTest, ReturnsHeaders)
{
    answer = RawServer::ok("hello", "503 Busy", "X-First: 1\r\nstore-ERA: 12\r\nX-Empty:\r\n");
    server.sendSlowly(5, std::chrono::milliseconds(1));
    const auto reply = call(channel);
    ASSERT_TRUE(reply) << toString(reply.assume_error());
    EXPECT_EQ(reply.assume_value().header("Store-Era"), "12");
    EXPECT_EQ(reply.assume_value().header("X-Empty"), "");
    EXPECT_EQ(reply.assume_value().header("Store"), std::nullopt);
    answer = RawServer::ok("hello");
    const auto next = call(channel);
    ASSERT_TRUE(next) << toString(next.assume_error());
    EXPECT_EQ(next.assume_value().header("Store-Era"), std::nullopt) << "of the answer before";
}

// Guards against a connection that lost an answer and stays silent for good.
TEST_F(HttpChannelTest, OpensANewConnectionAfterATimeout)
{
    answer = "";
    const auto lost = call(channel);
    ASSERT_FALSE(lost);
    EXPECT_EQ(lost.assume_error().code, ErrorCode::Timeout);
    answer = RawServer::ok("back");
    const auto reply = call(channel);
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply.assume_value().body, "back");
    EXPECT_EQ(server.connections(), 2);
}

// Guards against large answers that are cut off and asked for again, without end, because many
// instances read at the same time.
TEST_F(HttpChannelTest, WaitsAsLongAsAnAnswerProceeds)
{
    answer = RawServer::ok(std::string(300, 'x'));
    server.sendSlowly(50, std::chrono::milliseconds(100));
    const auto reply = call(channel);
    ASSERT_TRUE(reply) << toString(reply.assume_error());
    EXPECT_EQ(reply.assume_value().body.size(), 300U);
    EXPECT_EQ(server.connections(), 1);
}

// Guards against half an answer that is taken for a whole one.
TEST_F(HttpChannelTest, ReportsPartialAndBrokenAnswers)
{
    answer = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf";
    EXPECT_EQ(call(channel).assume_error().code, ErrorCode::Timeout);
    answer = "close";
    EXPECT_EQ(call(channel).assume_error().code, ErrorCode::Unreachable);
    answer = "not http at all\r\n\r\n";
    EXPECT_EQ(call(channel).assume_error().code, ErrorCode::Malformed);
    answer = RawServer::ok("again");
    EXPECT_TRUE(call(channel));
}

// Guards against an instance that runs out of memory because of one answer, and against the limit
// being applied to what is not kept.
TEST_F(HttpChannelTest, BoundsWhatIsKeptOfAnAnswer)
{
    constexpr std::size_t Limit = 16 << 20;
    for (const std::size_t size : {Limit, Limit + 1}) {
        answer = RawServer::ok(std::string(size, 'x'));
        const auto whole = call(channel);
        EXPECT_EQ(static_cast<bool>(whole), size == Limit) << size;
        if (!whole) {
            EXPECT_EQ(whole.assume_error().code, ErrorCode::Oversized);
        }
        HttpChannelRequest request{"GET", "/path", {}};
        request.appendBody = [](std::string_view part, std::string &body) {
            body.append(part.substr(0, 1));
        };
        const auto part = call(channel, Patience, request);
        ASSERT_TRUE(part) << toString(part.assume_error());
        EXPECT_EQ(part.assume_value().receivedBytes, size);
        EXPECT_LT(part.assume_value().body.size(), size / 2);
    }
    answer = RawServer::ok("next");
    const auto next = call(channel);
    ASSERT_TRUE(next) << toString(next.assume_error());
    EXPECT_EQ(next.assume_value().body, "next") << "as a whole";
}

// Guards against a caller that mistakes a refusal for a lost answer.
TEST_F(HttpChannelTest, PassesOnTheStatus)
{
    answer = RawServer::ok("{}", "410 Gone");
    const auto reply = call(channel);
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply.assume_value().status, 410U);
}

// Guards against a call that never ends when nobody listens.
TEST_F(HttpChannelTest, ReportsAnUnreachableServer)
{
    asio::ip::tcp::acceptor unused(context, {asio::ip::address_v4::loopback(), 0});
    const Endpoint closed{asio::ip::address_v4::loopback().to_uint(),
                          unused.local_endpoint().port()};
    unused.close();
    HttpChannel nobody(context, closed, Step::WatchPlatform);
    EXPECT_EQ(call(nobody).assume_error().code, ErrorCode::Unreachable);
}

} // namespace
} // namespace damaskhall
