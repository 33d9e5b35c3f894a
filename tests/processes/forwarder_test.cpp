#include "base/endpoint.h"
#include "io/systemaddress.h"
#include "processes/process.h"
#include "support/rawserver.h"

#include <array>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace damaskhall::processes {
namespace {

using test::RawServer;

constexpr int StartLimitMs = 5000;
constexpr int PacketLimitMs = 2000;

/// UDP socket on loopback.
class LoopbackSocket
{
public:
    explicit LoopbackSocket(Endpoint local = {0x7f000001, 0})
        : m_socket(socket(AF_INET, SOCK_DGRAM, 0))
    {
        const sockaddr_in address = toSystem(local);
        EXPECT_EQ(bind(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)), 0);
    }

    ~LoopbackSocket() { close(m_socket); }
    LoopbackSocket(const LoopbackSocket &) = delete;
    LoopbackSocket &operator=(const LoopbackSocket &) = delete;

    Endpoint local() const
    {
        sockaddr_in address{};
        socklen_t length = sizeof(address);
        getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &length);
        return fromSystem(address);
    }

    void send(const std::string &bytes, Endpoint to) const
    {
        const sockaddr_in address = toSystem(to);
        sendto(m_socket, bytes.data(), bytes.size(), 0,
               reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    }

    /// Returns the next datagram, or an empty string if none comes.
    std::string receive(int limitMs = PacketLimitMs) const
    {
        pollfd waiting{m_socket, POLLIN, 0};
        std::array<char, 2048> buffer{};
        if (poll(&waiting, 1, limitMs) <= 0) {
            return {};
        }
        const ssize_t length = recv(m_socket, buffer.data(), buffer.size(), 0);
        return {buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(length, 0))};
    }

private:
    int m_socket;
};

std::string littleEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int i = 0; i < bytes; ++i) {
        text += static_cast<char>(value >> (8 * i) & 0xff);
    }
    return text;
}

constexpr char FlagOpening = 64;
constexpr char FlagAcknowledgment = 1;

/// Returns a packet of a client at 127.0.0.1:@p port for the route 198.18.0.1:@p routePort.
std::string packet(char flags, std::uint16_t port, std::uint16_t routePort, std::uint32_t cookie)
{
    return littleEndian(0, 4) + std::string(1, flags) + std::string(1, '\0') +
           littleEndian(routePort, 2) + littleEndian(port, 2) + littleEndian(0x7f000001, 4) +
           littleEndian(0xc6120001, 4) + littleEndian(1000, 4) + littleEndian(0, 4) +
           littleEndian(0, 2) + littleEndian(cookie, 4);
}

// The real program between a client, an upstream and a store, all on loopback.
class ForwarderStory : public ::testing::Test
{
protected:
    void SetUp() override
    {
        m_storeThread = std::thread([this] { m_storeContext.run(); });
        std::filesystem::create_directories(m_folder);
        const auto free = [] { return LoopbackSocket().local(); };
        m_listen = free();
        m_status = free();
        std::ofstream settings(m_folder + "/forwarder.ini");
        settings << "[forwarder]\nname = front-1\ndata_centre = east\nregion = all\n"
                 << "listen = " << toString(m_listen) << "\nstatus_listen = " << toString(m_status)
                 << "\npeer_listen = " << toString(free())
                 << "\nseeds =\nstore = " << toString(m_store.endpoint())
                 << "\nleaving_limit = 3 s\ndeclaration_limit = 3 s\nflow_lifetime = 60 s\n"
                 << "stop_limit = 6 s\nconfirmation = 2 s\n";
        settings.close();
        start();
    }

    void TearDown() override
    {
        m_forwarder->kill();
        m_storeContext.stop();
        m_storeThread.join();
        std::filesystem::remove_all(m_folder);
    }

    void start()
    {
        m_forwarder = std::make_unique<Process>(
                "damaskhall-forwarder",
                std::vector<std::string>{"--settings", m_folder + "/forwarder.ini"},
                m_folder + "/output.log");
    }

    /// Sends an opening packet until one is forwarded; returns the forwarded datagram.
    std::string open(std::uint16_t port)
    {
        for (int waited = 0; waited < StartLimitMs; waited += 100) {
            m_client.send(packet(FlagOpening, port, 443, 0), m_listen);
            const std::string forwarded = m_upstream.receive(100);
            if (!forwarded.empty()) {
                return forwarded;
            }
        }
        return {};
    }

    std::string output() const
    {
        std::ifstream stream(m_folder + "/output.log");
        return {std::istreambuf_iterator<char>(stream), {}};
    }

    static std::uint32_t cookieOf(const std::string &forwarded)
    {
        std::uint32_t cookie = 0;
        for (int i = 3; i >= 0; --i) {
            cookie = cookie << 8 | static_cast<std::uint8_t>(forwarded.at(36 + i));
        }
        return cookie;
    }

    std::string m_folder = testing::TempDir() + "forwarder-" + std::to_string(getpid());
    LoopbackSocket m_client;
    LoopbackSocket m_upstream;
    Endpoint m_listen;
    Endpoint m_status;
    std::unique_ptr<Process> m_forwarder;

private:
    std::string answer(const std::string &head) const
    {
        // {"version":3,"routes":[...one route at 198.18.0.1:443 to service "a"...],...}
        constexpr const char *Declaration =
                "eyJ2ZXJzaW9uIjozLCJyb3V0ZXMiOlt7Im5hbWUiOiJyIiwiaG9zdCI6IjE5OC4xOC4wLjEiLCJwcmVmaX"
                "gi"
                "OiIvNDQzLyIsImtpbmQiOiJzYWZlIiwidGltZW91dF9tcyI6MTUwMCwidGFyZ2V0X2xhdGVuY3lfbXMiOj"
                "E1"
                "MCwicHJpb3JpdHkiOjIsInNlcnZpY2UiOiJhIiwibWF4X2F0dGVtcHRzIjoyfV0sInNlcnZpY2VzIjpbey"
                "Ju"
                "YW1lIjoiYSJ9XSwibGltaXRzIjp7ImlkbGVfdGltZW91dF9tcyI6MTUwMDB9fQ==";
        if (head.find("kv-watch") != std::string::npos) {
            std::this_thread::sleep_for(std::chrono::milliseconds(300));
            return RawServer::ok(R"({"events":[],"as_of":10})");
        }
        const std::string entry =
                R"({"service":"a","addr":")" + toString(m_upstream.local()) +
                R"(","zone":"east","version":"1","concurrency":2,"state":"ready",)"
                R"("warmup_left_ms":0,"seq":1,"born":1700000000000})";
        return RawServer::ok(std::string(R"({"items":[{"key":"op/config","value":")") +
                             Declaration + R"(","revision":4},{"key":"servers/i-0a0b","value":")" +
                             base64(entry) + R"(","revision":5}],"truncated":false,"as_of":10})");
    }

    static std::string base64(const std::string &bytes)
    {
        constexpr const char *Digits =
                "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t j = 0; j < 3; ++j) {
                const bool isGiven = i + j < bytes.size();
                group = group << 8 | (isGiven ? static_cast<std::uint8_t>(bytes[i + j]) : 0U);
            }
            for (std::size_t j = 0; j < 4; ++j) {
                const bool isGiven = i + j <= bytes.size();
                text += isGiven ? Digits[group >> (18 - 6 * j) & 63] : '=';
            }
        }
        return text;
    }

    asio::io_context m_storeContext{1};
    RawServer m_store{m_storeContext, [this](const std::string &head) { return answer(head); }};
    std::thread m_storeThread;
};

// Guards against a program that decides well and sends badly.
TEST_F(ForwarderStory, ForwardsToTheUpstreamThatTheStoreNames)
{
    const std::string forwarded = open(4001);
    ASSERT_EQ(forwarded.size(), 40U) << output();
    EXPECT_EQ(forwarded.substr(0, 8), std::string("\0\0\0\0\0\0\x0a\x0b", 8));
    EXPECT_EQ(forwarded.substr(8, 28), packet(FlagOpening, 4001, 443, 0).substr(0, 28));
    EXPECT_NE(cookieOf(forwarded), 0U);
}

// Guards against a client that waits for a route that does not exist.
TEST_F(ForwarderStory, ResetsAnUnknownRoute)
{
    ASSERT_FALSE(open(4001).empty()) << output();
    // Resets go to the client's address at the forwarder's own port, which is taken on loopback
    // by the forwarder itself; the log shows the decision.
    m_client.send(packet(FlagOpening, 4002, 99, 0), m_listen);
    for (int i = 0; i < 50 && output().find("reason=no_route ") == std::string::npos; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    EXPECT_NE(output().find("flow: reset reason=no_route"), std::string::npos) << output();
}

// Guards against flows that break when a forwarder is killed.
TEST_F(ForwarderStory, FindsAFlowAgainAfterAKill)
{
    const std::string forwarded = open(4001);
    ASSERT_FALSE(forwarded.empty()) << output();
    m_forwarder->kill();
    start();
    std::string again;
    for (int waited = 0; waited < StartLimitMs && again.empty(); waited += 100) {
        m_client.send(packet(FlagAcknowledgment, 4001, 443, cookieOf(forwarded)), m_listen);
        again = m_upstream.receive(100);
    }
    ASSERT_EQ(again.size(), 40U) << output();
    EXPECT_EQ(again.substr(0, 8), forwarded.substr(0, 8));
}

// Guards against packets that are lost in a planned stop, and a stop that never ends.
TEST_F(ForwarderStory, ForwardsWhileItStops)
{
    const std::string forwarded = open(4001);
    ASSERT_FALSE(forwarded.empty()) << output();
    m_forwarder->signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    m_client.send(packet(FlagAcknowledgment, 4001, 443, cookieOf(forwarded)), m_listen);
    EXPECT_FALSE(m_upstream.receive().empty()) << output();
    EXPECT_EQ(m_forwarder->wait(6), 0) << output();
    EXPECT_NE(output().find("process: Stopped."), std::string::npos);
}

// Guards against a reload that ends the process or takes wrong settings.
TEST_F(ForwarderStory, KeepsItsSettingsIfTheChangedOnesAreWrong)
{
    ASSERT_FALSE(open(4001).empty()) << output();
    std::ofstream(m_folder + "/forwarder.ini") << "[forwarder]\nname =\n";
    m_forwarder->signal(SIGHUP);
    for (int i = 0; i < 50 && output().find("the old ones stay") == std::string::npos; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    EXPECT_NE(output().find("forwarder.ini:2"), std::string::npos) << output();
    EXPECT_FALSE(open(4003).empty()) << output();
}

} // namespace
} // namespace damaskhall::processes
