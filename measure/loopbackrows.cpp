#include "measure/loopbackrows.h"

#include "core/router.h"
#include "io/udpport.h"
#include "measure/fleet.h"
#include "measure/loopbacksocket.h"
#include "measure/report.h"
#include "measure/statistics.h"
#include "node/framestream.h"
#include "node/trafficworker.h"
#include "wire/framecodec.h"
#include "wire/tokensealer.h"

#include <asio/io_context.hpp>
#include <atomic>
#include <chrono>
#include <functional>
#include <malloc.h>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace damaskhall::measure {

namespace {

using SteadyClock = std::chrono::steady_clock;

/// Packets under way at a time; far below what the socket buffers hold, so that none is lost.
constexpr std::uint64_t PacketWindow = 256;
constexpr std::size_t FeedBodyBytes = 200;
constexpr std::uint64_t HeldFeeds = 2'000;
constexpr std::uint64_t OpenWindow = 64;
constexpr std::chrono::milliseconds KeepaliveInterval{1'000};
/// A held feed without a reply for three keepalives counts as dropped.
constexpr std::chrono::milliseconds DroppedAfter{3'000};
constexpr std::uint64_t FirstNewFlow = 1'000'000;

double secondsSince(SteadyClock::time_point start)
{
    return std::chrono::duration<double>(SteadyClock::now() - start).count();
}

/// Hooks with a real sealer; counters do nothing.
CoreHooks realHooks(const TokenSealer &sealer, std::uint64_t seed)
{
    CoreHooks hooks;
    hooks.sealToken = [&sealer](const Token &token) { return sealer.seal(token); };
    hooks.openToken = [&sealer](const SealedToken &sealed) { return sealer.open(sealed); };
    hooks.random = seededRandom(seed);
    hooks.countRefusal = [](RefusalReason, ServiceId, ClassId) {};
    hooks.countRetry = [](RetryReason, ServiceId, ClassId) {};
    hooks.countEvent = [](CoreEvent, ServiceId, ClassId) {};
    hooks.observe = [](CoreSample, ServiceId, ClassId, Milliseconds) {};
    hooks.reportLeaving = [](UpstreamId) {};
    return hooks;
}

std::shared_ptr<const RoutingView> viewOf(Endpoint balancer, Endpoint upstream)
{
    auto view = std::make_shared<RoutingView>();
    view->self = InstanceId{0};
    view->declaration = std::make_shared<const Declaration>(fleetDeclaration());
    view->members.push_back({InstanceId{0}, balancer, Incarnation{1}, MemberState::Alive});
    view->upstreams[UpstreamId{1}] = {UpstreamId{1}, upstream, serviceId(BoardService),
                                      UpstreamState::Live};
    return view;
}

Open openFeed(std::uint64_t flow)
{
    return {FlowId{flow}, serviceId(BoardService), classId(BoardService, "queue"),
            workspaceId("benches")};
}

ProbeReply replyTo(const Probe &probe)
{
    return {probe.nonce, UpstreamId{1}, serviceId(BoardService)};
}

/// One TrafficWorker on loopback with one upstream.
class WorkerUnderTest
{
public:
    WorkerUnderTest(Endpoint upstream, std::uint64_t seed)
        : m_sealer({0, {{0, TokenKey{}}}})
        , m_endpoint(freeLoopbackEndpoint())
        , m_worker({InstanceId{0}, Incarnation{1}, m_endpoint}, realHooks(m_sealer, seed), Clock())
    {
        if (!m_worker.start()) {
            throw std::runtime_error("cannot start a traffic worker on loopback");
        }
        m_worker.publish(viewOf(m_endpoint, upstream));
    }

    Endpoint endpoint() const { return m_endpoint; }
    const TokenSealer &sealer() const { return m_sealer; }

private:
    TokenSealer m_sealer;
    Endpoint m_endpoint;
    TrafficWorker m_worker;
};

/// Bare relay: passes each datagram on, with the same batching as the traffic thread.
class BareRelay
{
public:
    explicit BareRelay(Endpoint target)
    {
        auto opened = UdpPort::open(
                m_context, {0x7f000001, 0},
                [this, target](std::string_view datagram, Endpoint) {
                    m_port->queue(std::string(datagram), target);
                },
                [this] { m_port->flush(); });
        if (!opened) {
            throw std::runtime_error("cannot open the bare relay");
        }
        m_port = std::move(opened).assume_value();
        m_endpoint = m_port->local();
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~BareRelay()
    {
        m_context.stop();
        m_thread.join();
    }
    BareRelay(const BareRelay &) = delete;
    BareRelay &operator=(const BareRelay &) = delete;

    Endpoint endpoint() const { return m_endpoint; }

private:
    asio::io_context m_context{1};
    std::unique_ptr<UdpPort> m_port;
    Endpoint m_endpoint;
    std::thread m_thread;
};

/// Answers probes over TCP at an upstream's address; a balancer sends nothing before.
class ProbeResponder
{
public:
    explicit ProbeResponder(Endpoint local)
    {
        auto listener = FrameListener::open(m_context, local, [](FrameStream *stream) {
            const auto answer = [stream](std::string_view message) {
                const auto frame = decodeFrame(message);
                const auto *probe = frame ? std::get_if<Probe>(&frame.assume_value()) : nullptr;
                if (probe) {
                    stream->send(encodeFrame(replyTo(*probe)));
                }
            };
            return FrameStream::Handlers{answer, [] {}};
        });
        if (!listener) {
            throw std::runtime_error("cannot listen for probes");
        }
        m_listener = std::move(listener).assume_value();
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~ProbeResponder()
    {
        m_context.stop();
        m_thread.join();
    }
    ProbeResponder(const ProbeResponder &) = delete;
    ProbeResponder &operator=(const ProbeResponder &) = delete;

private:
    asio::io_context m_context{1};
    std::unique_ptr<FrameListener> m_listener;
    std::thread m_thread;
};

/// Counts the datagrams that arrive at a socket.
class CountingSink
{
public:
    CountingSink()
        : m_probes(m_socket.local())
        , m_thread([this] {
            while (!m_isStopping) {
                if (m_socket.receive()) {
                    ++m_received;
                }
            }
        })
    {
    }
    ~CountingSink()
    {
        m_isStopping = true;
        m_thread.join();
    }
    CountingSink(const CountingSink &) = delete;
    CountingSink &operator=(const CountingSink &) = delete;

    Endpoint endpoint() const { return m_socket.local(); }
    std::uint64_t received() const { return m_received; }

private:
    LoopbackSocket m_socket;
    ProbeResponder m_probes;
    std::atomic<bool> m_isStopping = false;
    std::atomic<std::uint64_t> m_received = 0;
    std::thread m_thread;
};

/// Sends @p datagram to @p target with a fixed window and returns the packets per second that
/// reach @p sink.
double packetsPerSecond(LoopbackSocket &source, Endpoint target, const CountingSink &sink,
                        const std::string &datagram, double seconds)
{
    constexpr double StallSeconds = 0.05;
    const std::uint64_t before = sink.received();
    const SteadyClock::time_point start = SteadyClock::now();
    SteadyClock::time_point lastSend = start;
    std::uint64_t expected = before;
    while (secondsSince(start) < seconds) {
        if (expected - std::min(expected, sink.received()) < PacketWindow) {
            source.send(datagram, target);
            ++expected;
            lastSend = SteadyClock::now();
        } else if (secondsSince(lastSend) > StallSeconds) {
            // Packets were lost; open the window again.
            expected = sink.received();
        }
    }
    return static_cast<double>(sink.received() - before) / secondsSince(start);
}

/// Upstream on loopback that answers keepalives over UDP and probes over TCP.
class KeepaliveUpstream
{
public:
    KeepaliveUpstream()
        : m_probes(m_socket.local())
        , m_thread([this] { run(); })
    {
    }
    ~KeepaliveUpstream()
    {
        m_isStopping = true;
        m_thread.join();
    }
    KeepaliveUpstream(const KeepaliveUpstream &) = delete;
    KeepaliveUpstream &operator=(const KeepaliveUpstream &) = delete;

    Endpoint endpoint() const { return m_socket.local(); }
    void setBalancer(Endpoint balancer) { m_balancer = balancer; }

private:
    void run()
    {
        while (!m_isStopping) {
            const auto datagram = m_socket.receive();
            const auto frame =
                    datagram
                            ? decodeFrame(datagram->first)
                            : Result<Frame>(Error{ErrorCode::Malformed, Step::DecodeFrame, "", ""});
            if (!frame) {
                continue;
            }
            const auto *keepalive = std::get_if<Forwarded<Keepalive>>(&frame.assume_value());
            if (keepalive) {
                const KeepaliveReply reply{keepalive->inner.token, keepalive->caller, 0};
                m_socket.send(encodeFrame(reply), m_balancer);
            }
        }
    }

    LoopbackSocket m_socket;
    ProbeResponder m_probes;
    std::atomic<Endpoint> m_balancer;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

struct HeldFeed
{
    SealedToken token;
    SteadyClock::time_point lastReply;
    SteadyClock::time_point nextKeepalive;
};

/// Opens feeds as fast as the balancer takes them, each up to its first keepalive reply, and keeps
/// HeldFeeds others alive. All from one thread, as a single caller.
class FlowOpener
{
public:
    explicit FlowOpener(Endpoint balancer)
        : m_balancer(balancer)
        , m_feeds(HeldFeeds)
    {
    }

    /// Opens the held feeds. Returns false if not all were opened within 5 s.
    bool openHeld()
    {
        constexpr double LimitSeconds = 5;
        const SteadyClock::time_point start = SteadyClock::now();
        std::uint64_t next = 0;
        while (m_heldOpen < HeldFeeds && secondsSince(start) < LimitSeconds) {
            const bool hasRoom = next < m_heldOpen + OpenWindow;
            if (hasRoom && next < HeldFeeds) {
                m_socket.send(encodeFrame(openFeed(next++)), m_balancer);
            }
            const auto datagram = hasRoom ? m_socket.poll() : m_socket.receive();
            if (datagram) {
                handle(datagram->first);
            } else if (!hasRoom) {
                next = m_heldOpen;
            }
        }
        return m_heldOpen == HeldFeeds;
    }

    void run(double seconds)
    {
        const SteadyClock::time_point start = SteadyClock::now();
        std::uint64_t started = 0;
        std::size_t turn = 0;
        SteadyClock::time_point lastProgress = start;
        std::uint64_t lastCompleted = 0;
        while (secondsSince(start) < seconds) {
            if (started < m_completed + OpenWindow) {
                m_socket.send(encodeFrame(openFeed(FirstNewFlow + started++)), m_balancer);
            }
            keepAlive(m_feeds[turn++ % HeldFeeds]);
            while (const auto datagram = m_socket.poll()) {
                handle(datagram->first);
            }
            if (m_completed != lastCompleted) {
                lastCompleted = m_completed;
                lastProgress = SteadyClock::now();
            } else if (SteadyClock::now() - lastProgress > std::chrono::milliseconds(100)) {
                started = m_completed;
            }
        }
    }

    std::uint64_t completed() const { return m_completed; }
    std::uint64_t dropped() const { return m_dropped; }

private:
    void keepAlive(HeldFeed &feed)
    {
        const SteadyClock::time_point now = SteadyClock::now();
        if (now < feed.nextKeepalive) {
            return;
        }
        feed.nextKeepalive = now + KeepaliveInterval;
        m_dropped += now - feed.lastReply > DroppedAfter ? 1 : 0;
        m_socket.send(encodeFrame(Keepalive{feed.token, 0}), m_balancer);
    }

    void handle(std::string_view datagram)
    {
        const Result<Frame> frame = decodeFrame(datagram);
        if (!frame) {
            return;
        }
        if (const auto *opened = std::get_if<OpenReply>(&frame.assume_value())) {
            handleOpened(*opened);
        } else if (const auto *alive = std::get_if<KeepaliveReply>(&frame.assume_value())) {
            const auto held = m_heldByToken.find(alive->token);
            if (held != m_heldByToken.end()) {
                m_feeds[held->second].lastReply = SteadyClock::now();
            } else {
                ++m_completed;
            }
        }
    }

    void handleOpened(const OpenReply &opened)
    {
        if (opened.subject >= FirstNewFlow) {
            m_socket.send(encodeFrame(Keepalive{opened.token, 0}), m_balancer);
            return;
        }
        HeldFeed &feed = m_feeds[opened.subject];
        if (feed.token.empty()) {
            const auto phase = KeepaliveInterval * static_cast<int>(opened.subject) / HeldFeeds;
            feed = {opened.token, SteadyClock::now(), SteadyClock::now() + phase};
            m_heldByToken[opened.token] = opened.subject;
            ++m_heldOpen;
        }
    }

    Endpoint m_balancer;
    LoopbackSocket m_socket;
    std::vector<HeldFeed> m_feeds;
    std::unordered_map<SealedToken, std::uint64_t> m_heldByToken;
    std::uint64_t m_heldOpen = 0;
    std::uint64_t m_completed = 0;
    std::uint64_t m_dropped = 0;
};

double allocatedBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/// One router whose upstream answers probes.
class RouterUnderTest
{
public:
    explicit RouterUnderTest(std::uint64_t seed)
        : m_sealer({0, {{0, TokenKey{}}}})
        , m_router(InstanceId{0}, Incarnation{1}, realHooks(m_sealer, seed))
    {
        m_router.setView(viewOf({0x7f000001, 7000}, m_upstream));
        tick();
    }

    /// Opens a feed and sends its first keepalive. Returns whether the feed was opened.
    bool open(std::uint64_t flow)
    {
        const Endpoint caller{0x0a000001 + static_cast<std::uint32_t>(flow >> 14),
                              static_cast<std::uint16_t>(10'000 + flow % 16'384)};
        Actions replies;
        m_router.handle(openFeed(flow), caller, m_now, replies);
        for (const Send &reply : replies) {
            if (const auto *opened = std::get_if<OpenReply>(&reply.frame)) {
                Actions forwarded;
                m_router.handle(Keepalive{opened->token, 0}, caller, m_now, forwarded);
                return !forwarded.empty();
            }
        }
        return false;
    }

    void tick()
    {
        m_now += 10_ms;
        Actions actions;
        m_router.tick(m_now, actions);
        for (const Send &action : actions) {
            if (const auto *probe = std::get_if<Probe>(&action.frame)) {
                Actions ignored;
                m_router.handle(replyTo(*probe), m_upstream, m_now, ignored);
            }
        }
    }

private:
    const Endpoint m_upstream{0x7f000001, 7300};
    TokenSealer m_sealer;
    Router m_router;
    Milliseconds m_now;
};

/// Opens @p flows feeds at a router, each followed by a keepalive, and returns the memory that the
/// router then holds per feed. The callers' and upstreams' ends are not counted.
double bytesPerFlow(std::uint64_t flows, std::uint64_t seed)
{
    constexpr std::uint64_t FlowsPerTick = 100;
    RouterUnderTest router(seed);
    const double before = allocatedBytes();
    for (std::uint64_t flow = 1; flow <= flows; ++flow) {
        if (!router.open(flow)) {
            throw std::runtime_error("the router refused a feed");
        }
        if (flow % FlowsPerTick == 0) {
            router.tick();
        }
    }
    const double after = allocatedBytes();
    return std::max(0.0, after - before) / static_cast<double>(flows);
}

} // namespace

std::vector<Row> measureForwarding(const MeasureOptions &options)
{
    const int pairs = options.quick ? 3 : 20;
    const double seconds = options.quick ? 0.2 : 0.5;
    CountingSink sink;
    LoopbackSocket source;
    const WorkerUnderTest worker(sink.endpoint(), options.seed);
    const BareRelay relay(sink.endpoint());
    Token token;
    token.service = serviceId(BoardService);
    token.workClass = classId(BoardService, "queue");
    token.workspace = workspaceId("benches");
    token.upstream = UpstreamId{1};
    token.subject = options.seed;
    const FeedData frame{worker.sealer().seal(token), std::string(FeedBodyBytes, 'x')};
    const std::string datagram = encapsulate(source.local(), encodeFrame(frame));
    std::vector<double> ratios;
    std::vector<double> workerRates;
    std::vector<double> relayRates;
    for (int i = 0; i < pairs; ++i) {
        relayRates.push_back(packetsPerSecond(source, relay.endpoint(), sink, datagram, seconds));
        workerRates.push_back(packetsPerSecond(source, worker.endpoint(), sink, datagram, seconds));
        ratios.push_back(workerRates.back() / relayRates.back());
    }
    const std::string inputs =
            "pairs=" + std::to_string(pairs) +
            " body_bytes=200 window=256 datagram_bytes=" + std::to_string(datagram.size());
    const auto row = [&](const std::string &name, double value, const std::string &unit) {
        return Row{name, value, unit, 0, Bound::None, inputs};
    };
    return {{"forward_ratio", median(ratios), "ratio", 0.7, Bound::AtLeast, inputs},
            row("forward_ratio.worst", *std::min_element(ratios.begin(), ratios.end()), "ratio"),
            row("forward_worker", median(workerRates), "packets/s"),
            row("forward_bare_relay", median(relayRates), "packets/s")};
}

std::vector<Row> measureNewFlows(const MeasureOptions &options)
{
    const double seconds = options.quick ? 2 : 8;
    KeepaliveUpstream upstream;
    const WorkerUnderTest worker(upstream.endpoint(), options.seed);
    upstream.setBalancer(worker.endpoint());
    FlowOpener opener(worker.endpoint());
    const std::string inputs =
            "held_feeds=2000 window=64 seconds=" + std::to_string(static_cast<int>(seconds));
    const bool isHeld = opener.openHeld();
    if (isHeld) {
        opener.run(seconds);
    }
    const double rate = static_cast<double>(opener.completed()) / seconds;
    const double dropped =
            isHeld ? static_cast<double>(opener.dropped()) : static_cast<double>(HeldFeeds);
    return {{"new_flows_per_second", rate, "flows/s", 5'000, Bound::AtLeast, inputs},
            {"new_flows_held_feeds_dropped", dropped, "feeds", 0, Bound::AtMost, inputs}};
}

std::vector<Row> measureFlowMemory(const MeasureOptions &options)
{
    const std::string inputs = "state of one router; tokens are held by callers and upstreams";
    std::vector<Row> rows;
    for (const std::uint64_t flows : {100'000U, 400'000U}) {
        rows.push_back({"bytes_per_flow." + std::to_string(flows),
                        bytesPerFlow(flows, options.seed), "B", 200, Bound::AtMost, inputs});
    }
    return rows;
}

} // namespace damaskhall::measure
