#include "admin/adminserver.h"

#include "platform/httpclient.h"

#include <chrono>
#include <future>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <optional>

namespace damaskhall {
namespace {

constexpr std::uint32_t Loopback = 0x7f000001;

/// Server on the first free port.
struct RunningServer
{
    explicit RunningServer(AdminApi &api)
    {
        for (std::uint16_t port = 28'900; port < 28'950; ++port) {
            server.emplace(api);
            if (server->start({Loopback, port})) {
                endpoint = {Loopback, port};
                return;
            }
        }
    }

    std::optional<AdminServer> server;
    Endpoint endpoint;
};

// Guards against a status that waits behind a platform that does not answer, which is when
// operators need it, and against a second server on the same port that starts in silence.
TEST(AdminServer, AnswersWhileThePlatformHangs)
{
    std::promise<void> release;
    const std::shared_future<void> released = release.get_future().share();
    DeclarationStoreHooks hooks{
            [released]() -> Result<PlatformValue> {
                released.wait();
                return Error{ErrorCode::Timeout, Step::ReadPlatform, "platform", ""};
            },
            [](const std::string &, std::uint64_t) -> Result<std::uint64_t> { return 1U; },
            [] { return 0_s; }, [](Milliseconds) {}};
    DeclarationStore store(hooks, 1024);
    AdminApi api({[] { return NodeStatus(); }, [] { return std::string("m 1\n"); },
                  [](const ChangeRequest &, const ChangeResult &) {}},
                 store);
    RunningServer running(api);
    ASSERT_FALSE(running.endpoint.isNull());
    auto stored = std::async(std::launch::async, [&running] {
        return HttpClient(running.endpoint)
                .call(Step::CallAdmin, HttpMethod::Get, "/stored", {}, 10_s);
    });
    HttpClient client(running.endpoint);
    for (const char *path : {"/status", "/declaration", "/metrics"}) {
        const auto reply = client.call(Step::CallAdmin, HttpMethod::Get, path, {}, 5_s);
        ASSERT_TRUE(reply) << path;
        EXPECT_EQ(reply.assume_value().status, 200) << path;
    }
    const auto malformed =
            client.call(Step::CallAdmin, HttpMethod::Post, "/apply?a=%zz&&=", "x", 5_s);
    ASSERT_TRUE(malformed);
    EXPECT_EQ(malformed.assume_value().status, 400);
    release.set_value();
    const auto late = stored.get();
    ASSERT_TRUE(late);
    EXPECT_EQ(late.assume_value().status, 503);

    SCOPED_TRACE("a second server on the same port");
    AdminServer second(api);
    const auto started = second.start(running.endpoint);
    ASSERT_FALSE(started);
    EXPECT_EQ(started.assume_error().step, Step::OpenSocket);
}

// Guards against a call to a dead balancer that counts as "may have been carried out".
TEST(HttpClient, TellsNotSentFromUnknown)
{
    HttpClient client({Loopback, 1});
    const auto reply = client.call(Step::CallAdmin, HttpMethod::Post, "/apply", "x", 1_s);
    ASSERT_FALSE(reply);
    EXPECT_EQ(reply.assume_error().code, ErrorCode::Unreachable);
    EXPECT_EQ(HttpClient::escape("a b&c=\n"), "a%20b%26c%3D%0A");
}

} // namespace
} // namespace damaskhall
