#include "node/framestream.h"

#include "wire/framecodec.h"
#include "wire/streamframing.h"

#include <cstdint>
#include <gtest/gtest.h>
#include <unistd.h>
#include <vector>

namespace damaskhall {
namespace {

// Guards against messages that are merged, truncated or lost when reads do not match writes.
TEST(StreamReader, SplitsStreamIntoMessages)
{
    StreamReader reader(100);
    const std::string stream = frameForStream("first") + frameForStream("") + frameForStream("x");
    std::vector<std::string> messages;
    for (const char byte : stream) {
        reader.append({&byte, 1});
        while (true) {
            const auto message = reader.next();
            ASSERT_TRUE(message.has_value());
            if (!message.assume_value()) {
                break;
            }
            messages.push_back(*message.assume_value());
        }
    }
    EXPECT_EQ(messages, (std::vector<std::string>{"first", "", "x"}));
}

// Guards against a peer that makes this process allocate unbounded memory.
TEST(StreamReader, RejectsLengthAboveLimit)
{
    StreamReader reader(4);
    reader.append(frameForStream("12345"));
    const auto message = reader.next();
    ASSERT_FALSE(message.has_value());
    EXPECT_EQ(message.assume_error().code, ErrorCode::Oversized);
}

// Guards against send() returning true although nothing can be written.
TEST(FrameStream, CarriesMessagesAndReportsClose)
{
    asio::io_context context;
    std::string atServer;
    // On an address of its own no other process has a port. Those of 127.0.0.1 are also lent to any
    // outgoing connection of the machine.
    const auto process = static_cast<std::uint32_t>(getpid()) & 0xffffU;
    const Endpoint local{0x7f000000U | process << 8 | 240U, 7300};
    auto listener = FrameListener::open(context, local, [&](FrameStream *stream) {
        FrameStream::Handlers handlers;
        handlers.received = [&atServer, stream](std::string_view message) {
            atServer = message;
            stream->send("pong");
        };
        handlers.closed = [] {};
        return handlers;
    });
    ASSERT_TRUE(listener.has_value()) << toString(listener.assume_error());

    std::string atClient;
    bool isClosed = false;
    FrameStream::Handlers handlers;
    handlers.received = [&](std::string_view message) {
        atClient = message;
        listener.assume_value().reset();
    };
    handlers.closed = [&] { isClosed = true; };
    auto client = FrameStream::connect(context, local, handlers);
    EXPECT_FALSE(client->send("too early"));
    while (!client->isConnected()) {
        context.run_one();
    }
    EXPECT_TRUE(client->send("ping"));
    while (!isClosed) {
        context.run_one();
    }
    EXPECT_EQ(atServer, "ping");
    EXPECT_EQ(atClient, "pong");
    EXPECT_FALSE(client->send("too late"));
}

} // namespace
} // namespace damaskhall
