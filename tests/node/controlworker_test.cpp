#include "node/controlworker.h"

#include "core/control/controlmessages.h"
#include "wire/controlcodec.h"
#include "wire/streamframing.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <chrono>
#include <gtest/gtest.h>
#include <thread>
#include <unistd.h>

namespace damaskhall {
namespace {

/// Loopback address derived from the process id, so that concurrent test runs do not interfere.
std::uint32_t loopback(std::uint32_t host)
{
    return 0x7f000000U | (static_cast<std::uint32_t>(getpid()) & 0xffffU) << 8 | host;
}

/// No platform listens here.
const Endpoint NoPlatform{loopback(250), 9};

struct Instance
{
    Instance(std::uint32_t id, std::vector<Endpoint> seeds)
        : traffic{loopback(id), 7000}
        , worker(
                  options(id, std::move(seeds)), [](const auto &) {}, hooks())
    {
    }

    ControlOptions options(std::uint32_t id, std::vector<Endpoint> seeds) const
    {
        ControlOptions chosen;
        chosen.self = InstanceId{id};
        chosen.incarnation = Incarnation{1000 + id};
        chosen.listen = traffic;
        chosen.dataCentre = "katugastota";
        chosen.platform = NoPlatform;
        chosen.seeds = std::move(seeds);
        return chosen;
    }

    ControlHooks hooks()
    {
        ControlHooks chosen;
        chosen.countEvent = [this](ControlEvent event) {
            rejectedMessages += event == ControlEvent::MessageRefused ? 1 : 0;
            versionMismatches += event == ControlEvent::VersionRefused ? 1 : 0;
        };
        chosen.countRetry = [this](RetryReason) { ++retries; };
        return chosen;
    }

    std::atomic<int> rejectedMessages = 0;
    std::atomic<int> versionMismatches = 0;
    std::atomic<int> retries = 0;
    Endpoint traffic;
    ControlWorker worker;
};

template <typename Condition>
bool waitUntil(std::chrono::seconds limit, Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

std::size_t memberCount(const Instance &instance)
{
    return instance.worker.view()->members.size();
}

// Sends @p bytes to the control port over TCP and returns the data received until the connection
// closes.
std::string exchangeBytes(Endpoint peer, const std::string &bytes)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::address_v4(peer.address), peer.port});
    asio::write(socket, asio::buffer(bytes));
    std::string reply(4096, '\0');
    std::error_code error;
    reply.resize(asio::read(socket, asio::buffer(reply), error));
    return reply;
}

// Guards against balancers that do not find each other without the platform, and against a leaving
// member that the others do not notice.
TEST(ControlWorker, FindsPeersThroughSeedDuringPlatformOutage)
{
    Instance first(1, {});
    const Endpoint seed = defaultControlEndpoint(first.traffic);
    Instance second(2, {seed});
    Instance third(3, {seed});
    ASSERT_TRUE(first.worker.start().has_value());
    ASSERT_TRUE(second.worker.start().has_value());
    ASSERT_TRUE(third.worker.start().has_value());
    EXPECT_TRUE(waitUntil(std::chrono::seconds(10), [&] {
        return memberCount(first) == 3 && memberCount(second) == 3 && memberCount(third) == 3;
    }));
    EXPECT_TRUE(waitUntil(std::chrono::seconds(5), [&] { return second.retries > 0; }));

    third.worker.beginLeaving();
    EXPECT_TRUE(waitUntil(std::chrono::seconds(5), [&] {
        const auto view = first.worker.view();
        const MemberView *member = view->findMember(InstanceId{3});
        return member && member->state == MemberState::Leaving;
    }));
    third.worker.stop();
    EXPECT_TRUE(waitUntil(std::chrono::seconds(10), [&] { return memberCount(first) == 2; }));
}

// Guards against messages of another protocol or version, or oversized ones, that crash the process
// or affect other connections.
TEST(ControlWorker, RejectsAndCountsInvalidMessages)
{
    Instance instance(4, {});
    ASSERT_TRUE(instance.worker.start().has_value());
    const Endpoint control = defaultControlEndpoint(instance.traffic);
    {
        SCOPED_TRACE("datagram of another protocol");
        asio::io_context context;
        asio::ip::udp::socket socket(context, asio::ip::udp::v4());
        socket.send_to(asio::buffer("hello", 5),
                       {asio::ip::address_v4(control.address), control.port});
        EXPECT_TRUE(
                waitUntil(std::chrono::seconds(5), [&] { return instance.rejectedMessages == 1; }));
    }
    {
        SCOPED_TRACE("HTTP on the control port");
        exchangeBytes(control, "GET / HTTP/1.1\r\n\r\n");
        EXPECT_EQ(instance.rejectedMessages, 2);
    }
    {
        SCOPED_TRACE("no Hello first");
        exchangeBytes(control, frameForStream(encodeStreamMessage(StatePull{})));
        EXPECT_EQ(instance.rejectedMessages, 3);
    }
    {
        SCOPED_TRACE("Hello of another version");
        exchangeBytes(control, frameForStream(encodeStreamMessage(
                                       Hello{ControlProtocolVersion + 1, InstanceId{9}})));
        EXPECT_EQ(instance.versionMismatches, 1);
    }
    {
        SCOPED_TRACE("a silent connection is closed after three heartbeats");
        const std::string reply = exchangeBytes(
                control,
                frameForStream(encodeStreamMessage(Hello{ControlProtocolVersion, InstanceId{9}})));
        const std::string heartbeat = frameForStream(encodeStreamMessage(Heartbeat{}));
        EXPECT_NE(reply.find(heartbeat + heartbeat), std::string::npos);
    }
    EXPECT_EQ(memberCount(instance), 1U);
}

} // namespace
} // namespace damaskhall
