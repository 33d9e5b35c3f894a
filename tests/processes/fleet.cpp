#include "processes/fleet.h"

#include "config/declaration.h"
#include "platform/httpclient.h"
#include "platform/platformclient.h"
#include "wire/framecodec.h"

#include <arpa/inet.h>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace damaskhall::processes {

namespace {

constexpr const char *DataCentre = "katugastota";
constexpr const char *TokenKey = "000102030405060708090a0b0c0d0e0f";
constexpr std::uint32_t Loopback = 0x7f000001;
// Port offsets within the fleet's block.
constexpr int PlatformOffset = 0;
constexpr int OuterOffset = 1;
constexpr int InnerOffset = 2;
constexpr int BalancerOffset = 10;
constexpr int AdminOffset = 30;
constexpr int UpstreamOffset = 50;
constexpr int BlockSize = 100;
constexpr int FirstBlock = 12'000;
/// Largest distance from a balancer's traffic port to its other ports.
constexpr int MaxPortDistance = 2'000;
/// First port of the range from which the system takes ephemeral ports by default.
constexpr int FirstEphemeralPort = 32'768;
constexpr int Blocks = (FirstEphemeralPort - MaxPortDistance - FirstBlock) / BlockSize - 1;
/// Programs built with ThreadSanitizer take several seconds to start on a busy machine.
constexpr int StartLimitSeconds = 30;
constexpr int CallerDrainSeconds = 30;
constexpr int CtlSeconds = 20;

bool isFree(int type, std::uint16_t port)
{
    const int socket = ::socket(AF_INET, type, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(Loopback);
    address.sin_port = htons(port);
    const bool isBound =
            bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    close(socket);
    return isBound;
}

// All ports that follow from the block are below the ephemeral ones, which outgoing connections of
// other tests occupy.
std::uint16_t findPortBlock()
{
    std::random_device random;
    while (true) {
        const auto base = static_cast<std::uint16_t>(FirstBlock + random() % Blocks * BlockSize);
        bool areFree = true;
        for (std::uint16_t i = 0; i < BlockSize && areFree; ++i) {
            areFree = isFree(SOCK_DGRAM, base + i) && isFree(SOCK_STREAM, base + i);
        }
        if (areFree) {
            return base;
        }
    }
}

bool waitFor(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(StartLimitSeconds);
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return false;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

Fleet::Fleet()
    : m_basePort(findPortBlock())
{
    m_folder = std::filesystem::temp_directory_path() /
               ("damaskhall-" + std::to_string(getpid()) + "-" + std::to_string(m_basePort));
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
}

std::string Fleet::address(int offset) const
{
    return "127.0.0.1:" + std::to_string(m_basePort + offset);
}

bool Fleet::start(int balancers, const std::vector<std::string> &upstreamFaults)
{
    m_upstreamFaults = upstreamFaults;
    m_platform = std::make_unique<Process>(
            "standin-platform", std::vector<std::string>{"--listen", address(PlatformOffset)},
            file("processes.log"));
    if (!waitFor([this] { return writeDeclaration(); })) {
        return false;
    }
    const std::vector<std::string> fabric{
            "--listen",   address(OuterOffset),    "--inner",       address(InnerOffset),
            "--platform", address(PlatformOffset), "--data-centre", DataCentre};
    m_fabric = std::make_unique<Process>("standin-fabric", fabric, file("processes.log"));
    for (int id = 1; id <= 4; ++id) {
        startUpstream(id, "workshop-board", 10 * id);
    }
    startUpstream(5, "pattern-desk", 20);
    startUpstream(6, "pattern-desk", 20);
    PlatformClient client({Loopback, m_basePort}, 1_s);
    const bool areListed = waitFor([&] {
        const auto list = client.instances();
        return list && list.assume_value().instances.size() == m_upstreams.size();
    });
    for (int i = 0; i < balancers; ++i) {
        startBalancer(static_cast<int>(m_balancers.size()) + 1);
    }
    bool areServing = areListed;
    for (const auto &[id, process] : m_balancers) {
        areServing = areServing && waitFor([this, id = id] { return servesThrough(id); });
    }
    return areServing && waitFor([&] {
               const auto list = client.instances();
               return list && list.assume_value().instances.size() ==
                                      m_upstreams.size() + m_balancers.size();
           });
}

bool Fleet::writeDeclaration()
{
    const std::string text = readFile(std::string(DAMASKHALL_SOURCE_DIR) + "/examples/kandy.ini");
    const nlohmann::json json = {{"revision", 1}, {"declaration", text}};
    PlatformClient client({Loopback, m_basePort}, 1_s);
    return client.compareAndSwap("declaration", json.dump(), 0).has_value();
}

int Fleet::addBalancer()
{
    const int id = m_balancers.rbegin()->first + 1;
    startBalancer(id);
    return waitFor([this, id] { return servesThrough(id); }) ? id : 0;
}

void Fleet::startBalancer(int id)
{
    const std::vector<std::string> arguments{
            "--id",          std::to_string(id), "--listen",       address(BalancerOffset + id),
            "--data-centre", DataCentre,         "--platform",     address(PlatformOffset),
            "--token-key",   TokenKey,           "--admin-listen", address(AdminOffset + id)};
    m_balancers.emplace(id, Process("damaskhall-balancer", arguments, file("processes.log")));
}

void Fleet::startUpstream(int id, const std::string &service, int serviceMs)
{
    std::vector<std::string> arguments{
            "--id",         std::to_string(id),           "--service",     service,
            "--listen",     address(UpstreamOffset + id), "--inner",       address(InnerOffset),
            "--platform",   address(PlatformOffset),      "--data-centre", DataCentre,
            "--service-ms", std::to_string(serviceMs),    "--run-log",     file("runs.txt")};
    arguments.insert(arguments.end(), m_upstreamFaults.begin(), m_upstreamFaults.end());
    m_upstreams.emplace(id, Process("standin-upstream", arguments, file("processes.log")));
}

// A balancer serves once an Open that it receives is answered, by itself or by a dispatcher.
bool Fleet::servesThrough(int balancer) const
{
    const Open open{FlowId{std::random_device{}()}, serviceId("workshop-board"),
                    classId("workshop-board", "queue"), workspaceId("benches")};
    const std::string datagram = encodeFrame(open);
    const int socket = ::socket(AF_INET, SOCK_DGRAM, 0);
    const timeval limit{0, 200'000};
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(Loopback);
    to.sin_port = htons(static_cast<std::uint16_t>(m_basePort + BalancerOffset + balancer));
    sendto(socket, datagram.data(), datagram.size(), 0, reinterpret_cast<const sockaddr *>(&to),
           sizeof(to));
    std::string buffer(2'000, '\0');
    const ssize_t size = recv(socket, buffer.data(), buffer.size(), 0);
    close(socket);
    const auto frame = decodeFrame({buffer.data(), static_cast<std::size_t>(std::max(size, 0L))});
    return frame && std::holds_alternative<OpenReply>(frame.assume_value());
}

void Fleet::startCallers(int seconds)
{
    m_callSeconds = seconds;
    const std::vector<std::string> arguments{
            "--fabric",  address(OuterOffset),           "--house",   "benches",
            "--feed",    "workshop-board/queue:20",      "--request", "workshop-board/claim:40",
            "--upload",  "pattern-desk/artwork:2:30000", "--run-log", file("runs.txt"),
            "--seconds", std::to_string(seconds)};
    m_callers = std::make_unique<Process>("standin-caller", arguments, file("callers.log"));
}

std::map<std::string, TableRow> Fleet::finishCallers()
{
    std::map<std::string, TableRow> table;
    if (m_callers->wait(m_callSeconds + CallerDrainSeconds) != 0) {
        return table;
    }
    std::ifstream file(this->file("callers.log"));
    std::string line;
    while (std::getline(file, line)) {
        std::istringstream words(line);
        std::string name;
        TableRow row;
        words >> name >> row.asked >> row.answered >> row.refused >> row.unknown >> row.doubled >>
                row.lost >> row.falselyRefused >> row.opened >> row.broken >> row.alive;
        if (words) {
            table[name] = row;
        }
    }
    return table;
}

int Fleet::runCtl(int balancer, const std::vector<std::string> &arguments)
{
    std::vector<std::string> all{arguments};
    all.insert(all.end(), {"--admin", address(AdminOffset + balancer)});
    return Process("damaskhallctl", all, file("processes.log")).wait(CtlSeconds);
}

std::string Fleet::writeFile(const std::string &name, const std::string &text) const
{
    std::ofstream(file(name)) << text;
    return file(name);
}

DeclarationInForce Fleet::declarationOf(int balancer) const
{
    HttpClient client({Loopback, static_cast<std::uint16_t>(m_basePort + AdminOffset + balancer)});
    const auto reply = client.call(Step::CallAdmin, HttpMethod::Get, "/declaration", {}, 1_s);
    const auto json = reply ? nlohmann::json::parse(reply.assume_value().body, nullptr, false)
                            : nlohmann::json();
    return json.is_object() ? DeclarationInForce{json.value("revision", std::uint64_t{0}),
                                                 json.value("declaration", "")}
                            : DeclarationInForce{};
}

bool Fleet::restorePlatform(Milliseconds age)
{
    HttpClient client({Loopback, m_basePort});
    const std::string path = "/fault?restore=" + std::to_string(age.value);
    return client.call(Step::WritePlatform, HttpMethod::Put, path, {}, 1_s).has_value();
}

std::string Fleet::output() const
{
    return readFile(file("processes.log")) + readFile(file("callers.log"));
}

} // namespace damaskhall::processes
