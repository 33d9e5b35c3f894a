#include "core/flow/flowcontroller.h"
#include "core/flow/peercontroller.h"

#include "fakes/eventqueue.h"
#include "support/flowfixture.h"

#include <deque>
#include <gtest/gtest.h>

namespace damaskhall {
namespace {

using test::makeEntry;
using test::makeRoutes;

constexpr Milliseconds TickInterval = 100_ms;
constexpr Milliseconds WatchInterval = 1_s;
constexpr Milliseconds PeerDelay = 2_ms;
constexpr Milliseconds StoreDelay = 8_ms;

// Forwarders that share the reading of one store, in virtual time. The store keeps every change,
// and its revision increases continuously, as through the heartbeats of upstreams.
class PeerCluster
{
public:
    explicit PeerCluster(int size, std::uint64_t seed = 1)
        : m_random(seededRandom(seed))
    {
        m_changes.push_back({{1}, DeclaredRoutes{makeRoutes(1), {}}});
        write(makeEntry(1));
        for (int i = 0; i < size; ++i) {
            m_nodes.emplace_back();
        }
        for (int i = 0; i < size; ++i) {
            start(i);
        }
        raiseRevision();
    }

    void start(int index)
    {
        Node &node = m_nodes[static_cast<std::size_t>(index)];
        const RandomSource random = seededRandom(m_random());
        FlowControllerHooks hooks;
        hooks.random = random;
        hooks.reportUpstream = [](const UpstreamRecord &, Revision) {};
        hooks.reportDeclaration = [](const RouteTable &) {};
        hooks.reportInvalidItem = [](const std::string &, Revision) {};
        hooks.reportStore = [](bool, const std::string &) {};
        hooks.reportDirectory = [](StoreCall::Kind, std::size_t, Revision) {};
        hooks.reportSnapshot = [](StoreOutcome, const std::string &, Revision) {};
        FlowController::Times times;
        times.reader = {WatchInterval, WatchInterval};
        node.controller = std::make_unique<FlowController>(times, hooks);
        MemberUpdate self;
        self.id.value = static_cast<std::uint32_t>(index + 1);
        self.incarnation.value = static_cast<std::uint64_t>(events.now().value + 1);
        self.control = endpoint(index);
        node.peers = std::make_unique<PeerController>(
                self, DataCentreId{1}, std::vector<Endpoint>{endpoint(0), endpoint(1)},
                ControlHooks{random, [](RetryReason) {}, [](ControlEvent) {}});
        node.isUp = true;
        tick(index, ++node.start);
    }

    void kill(int index) { m_nodes[static_cast<std::size_t>(index)].isUp = false; }

    /// Writes an entry of an upstream.
    void write(const UpstreamEntry &entry) { m_changes.push_back({{++m_revision}, entry}); }

    void declare(std::uint64_t version)
    {
        m_changes.push_back({{++m_revision}, DeclaredRoutes{makeRoutes(version), {}}});
    }

    FlowController &controller(int index)
    {
        return *m_nodes[static_cast<std::size_t>(index)].controller;
    }

    bool isReader(int index) { return m_nodes[static_cast<std::size_t>(index)].peers->isReader(); }

    std::vector<int> readers()
    {
        std::vector<int> found;
        for (int i = 0; i < static_cast<int>(m_nodes.size()); ++i) {
            if (m_nodes[static_cast<std::size_t>(i)].isUp && isReader(i)) {
                found.push_back(i);
            }
        }
        return found;
    }

    /// Returns at how many instances @p entry has the given state.
    int count(const UpstreamEntry &entry, UpstreamHealth health)
    {
        int found = 0;
        for (Node &node : m_nodes) {
            if (!node.isUp) {
                continue;
            }
            for (const UpstreamRecord &record : node.controller->directory().records()) {
                found += record.entry.key == entry.key && record.health == health ? 1 : 0;
            }
        }
        return found;
    }

    fakes::EventQueue events;
    int calls = 0;
    int datagrams = 0;
    /// Share of datagrams that are lost.
    double loss = 0;
    /// Instances whose calls the store refuses.
    std::set<int> refused;

private:
    struct Node
    {
        bool isUp = false;
        int start = 0;
        std::unique_ptr<FlowController> controller;
        std::unique_ptr<PeerController> peers;
    };

    static Endpoint endpoint(int index)
    {
        return {static_cast<std::uint32_t>(0x0a000001 + index), 8166};
    }

    void raiseRevision()
    {
        ++m_revision;
        events.schedule(events.now() + 70_ms, [this] { raiseRevision(); });
    }

    void tick(int index, int start)
    {
        Node &node = m_nodes[static_cast<std::size_t>(index)];
        if (!node.isUp || node.start != start) {
            return;
        }
        apply(node.peers->tick(events.now()), index);
        node.controller->setReader(node.peers->isReader());
        node.controller->tick(events.now());
        startDueCall(index);
        events.schedule(events.now() + TickInterval, [this, index, start] { tick(index, start); });
    }

    void startDueCall(int index)
    {
        Node &node = m_nodes[static_cast<std::size_t>(index)];
        const auto call = node.controller->nextCall(events.now());
        if (!call) {
            return;
        }
        ++calls;
        const int start = node.start;
        events.schedule(events.now() + StoreDelay, [this, index, start, call = *call] {
            Node &caller = m_nodes[static_cast<std::size_t>(index)];
            if (!caller.isUp || caller.start != start) {
                return;
            }
            caller.controller->handleReply(makeReply(index, call), events.now());
            const auto update = caller.controller->takeDirectoryUpdate(events.now());
            if (update && caller.peers->isReader()) {
                apply(caller.peers->publish(*update), index);
            }
            startDueCall(index);
        });
    }

    StoreReply makeReply(int index, const StoreCall &call) const
    {
        StoreReply reply;
        if (refused.contains(index)) {
            reply.outcome = StoreOutcome::Refused;
            return reply;
        }
        reply.outcome = StoreOutcome::Done;
        reply.asOf = {m_revision};
        for (const StoreChange &change : m_changes) {
            const bool isDeclaration = std::holds_alternative<DeclaredRoutes>(change.content);
            if (call.kind == StoreCall::Kind::Declaration ? isDeclaration
                                                          : change.revision > call.after) {
                reply.changes.push_back(change);
            }
        }
        return reply;
    }

    void apply(const PeerActions &actions, int from)
    {
        for (const SendDatagram &send : actions.datagrams) {
            deliver(send.to, [this, from, datagram = send.datagram](int to) {
                Node &node = m_nodes[static_cast<std::size_t>(to)];
                apply(node.peers->handleDatagram(datagram, endpoint(from), events.now()), to);
            });
        }
        for (const SendDirectoryUpdate &send : actions.updates) {
            deliver(send.to, [this, update = send.update](int to) {
                Node &node = m_nodes[static_cast<std::size_t>(to)];
                apply(node.peers->relayUpdate(update, events.now()), to);
                node.controller->handleDirectoryUpdate(update, events.now());
                startDueCall(to);
            });
        }
    }

    template <typename Receive>
    void deliver(Endpoint to, Receive receive)
    {
        ++datagrams;
        const int index = static_cast<int>(to.address - 0x0a000001);
        if (randomUnit(m_random) < loss) {
            return;
        }
        events.schedule(events.now() + PeerDelay, [this, index, receive] {
            if (m_nodes[static_cast<std::size_t>(index)].isUp) {
                receive(index);
            }
        });
    }

    RandomSource m_random;
    std::deque<Node> m_nodes;
    std::vector<StoreChange> m_changes;
    std::uint64_t m_revision = 1;
};

UpstreamEntry leaving(UpstreamEntry entry)
{
    entry.isLeaving = true;
    return entry;
}

// A region of forwarders, two of which read the store.
class PeerStoreReading : public ::testing::Test
{
protected:
    void SetUp() override
    {
        cluster.events.runUntil(10_s);
        ASSERT_EQ(cluster.readers().size(), 2U);
    }

    static constexpr int Size = 40;
    PeerCluster cluster{Size};
};

// Guards against store calls that grow with the fleet.
TEST_F(PeerStoreReading, OnlyTheReadersCallTheStore)
{
    cluster.calls = 0;
    cluster.events.runUntil(30_s);
    // Two readers at one call a second; a call of another instance is an exception.
    EXPECT_LE(cluster.calls, 2 * 20 + 4);
}

// Guards against an instance that sends new flows to a leaving upstream.
TEST_F(PeerStoreReading, ChangesReachAllMembersWithinTheWatchInterval)
{
    cluster.write(leaving(makeEntry(1)));
    cluster.events.runUntil(10_s + WatchInterval + 200_ms);
    EXPECT_EQ(cluster.count(makeEntry(1), UpstreamHealth::Leaving), Size);
}

// Guards against a fleet that receives no changes any more when its readers fail.
TEST_F(PeerStoreReading, OtherMembersReadWhenTheReadersFail)
{
    for (const int reader : cluster.readers()) {
        cluster.kill(reader);
    }
    cluster.write(leaving(makeEntry(1)));
    cluster.events.runUntil(10_s + 2_s);
    EXPECT_EQ(cluster.count(makeEntry(1), UpstreamHealth::Leaving), Size - 2);
    cluster.events.runUntil(20_s);
    EXPECT_EQ(cluster.readers().size(), 2U) << "two others took over";
}

// Guards against a change that is lost with a datagram.
TEST_F(PeerStoreReading, RecoversFromLostUpdates)
{
    cluster.loss = 0.2;
    for (std::uint64_t id = 2; id < 40; ++id) {
        cluster.write(makeEntry(id));
        cluster.events.runUntil(cluster.events.now() + 200_ms);
    }
    cluster.events.runUntil(cluster.events.now() + 3_s);
    for (std::uint64_t id = 2; id < 40; ++id) {
        EXPECT_EQ(cluster.count(makeEntry(id), UpstreamHealth::Ready), Size) << id;
    }
}

// Guards against an instance whose directory stays outdated because the store refuses its calls.
TEST_F(PeerStoreReading, UpdatesReachInstancesThatTheStoreRefuses)
{
    const std::vector<int> readers = cluster.readers();
    for (int i = 0; i < Size / 2; ++i) {
        if (std::find(readers.begin(), readers.end(), i) == readers.end()) {
            cluster.refused.insert(i);
        }
    }
    cluster.write(leaving(makeEntry(1)));
    cluster.events.runUntil(10_s + WatchInterval + 200_ms);
    EXPECT_EQ(cluster.count(makeEntry(1), UpstreamHealth::Leaving), Size);
}

// Guards against a declaration that is in force at the readers only.
TEST_F(PeerStoreReading, AllFetchANewDeclaration)
{
    cluster.declare(7);
    cluster.events.runUntil(10_s + WatchInterval + 300_ms);
    for (int i = 0; i < Size; ++i) {
        EXPECT_EQ(cluster.controller(i).revision(), Revision{7}) << i;
    }
}

// Guards against control traffic that grows with the fleet at each member.
TEST(PeerTraffic, StaysBoundedPerMember)
{
    std::vector<double> perMember;
    for (const int size : {20, 80}) {
        PeerCluster cluster(size);
        cluster.events.runUntil(20_s);
        cluster.datagrams = 0;
        cluster.events.runUntil(40_s);
        perMember.push_back(cluster.datagrams / 20.0 / size);
    }
    // A probe and its reply, and the updates of two readers a second.
    EXPECT_LE(perMember[1], 6);
    EXPECT_LE(perMember[1], perMember[0] * 1.5);
}

// Guards against a joining instance that considers itself a reader.
TEST(PeerJoining, LearnsAllMembersAtOnce)
{
    PeerCluster cluster(30);
    cluster.kill(20);
    cluster.events.runUntil(15_s);
    cluster.start(20);
    cluster.events.runUntil(17_s);
    EXPECT_EQ(cluster.readers().size(), 2U);
}

} // namespace
} // namespace damaskhall
