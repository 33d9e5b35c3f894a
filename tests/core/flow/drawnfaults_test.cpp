#include "support/peercluster.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

using test::makeEntry;
using test::PeerCluster;
using test::WatchInterval;

constexpr int Size = 24;
constexpr int Rounds = 4;
constexpr std::uint64_t Seeds = 60;
/// Limit within which a leaving upstream gets no new flows; the confirmation interval is a third of
/// it.
constexpr Milliseconds LeavingLimit = WatchInterval * 3;

// A region of instances in which drawn faults overlap: readers and others are killed and restarted,
// cut off from their peers, refused by the store; datagrams and the store's history are lost.
class DrawnFaults
{
public:
    explicit DrawnFaults(std::uint64_t seed)
        : m_cluster(Size, seed)
        , m_random(seededRandom(seed * 7919))
    {
        m_cluster.events.runUntil(8_s);
    }

    void run()
    {
        for (int round = 0; round < Rounds; ++round) {
            m_disturbed.clear();
            m_faults.clear();
            drawFault();
            drawFault();
            runFor(drawTime(1500_ms));
            checkLeavingUpstream();
            heal();
        }
        runFor(8_s);
        for (std::uint64_t id = 100; id < m_nextId; ++id) {
            EXPECT_EQ(m_cluster.count(makeEntry(id), UpstreamHealth::Leaving), Size)
                    << "all instances agree in the end on upstream " << id;
        }
    }

private:
    void runFor(Milliseconds time) { m_cluster.events.runUntil(m_cluster.events.now() + time); }

    int drawInstance() { return static_cast<int>(randomBelow(m_random, Size)); }

    Milliseconds drawTime(Milliseconds limit)
    {
        const auto below = static_cast<std::uint64_t>(limit.value);
        return Milliseconds{static_cast<std::int64_t>(randomBelow(m_random, below))};
    }

    void kill(int index)
    {
        m_cluster.kill(index);
        m_disturbed.insert(index);
    }

    void drawFault()
    {
        const auto fault = randomBelow(m_random, 6);
        m_faults += std::to_string(fault) + " ";
        switch (fault) {
        case 0:
            for (const int reader : m_cluster.readers()) {
                kill(reader);
            }
            break;
        case 1:
            for (int i = 0; i < Size / 3; ++i) {
                kill(drawInstance());
            }
            break;
        case 2:
            for (int i = 0; i < Size / 3; ++i) {
                m_cluster.cutOff.insert(drawInstance());
            }
            break;
        case 3:
            // Includes the readers and most others.
            for (int i = 0; i < Size * 2; ++i) {
                m_cluster.refused.insert(drawInstance());
            }
            break;
        case 4:
            m_cluster.discardHistory();
            break;
        default:
            m_cluster.loss = 0.1;
        }
    }

    void heal()
    {
        m_cluster.refused.clear();
        m_cluster.cutOff.clear();
        m_cluster.loss = 0;
        for (int i = 0; i < Size; ++i) {
            if (!m_cluster.isUp(i)) {
                m_cluster.start(i);
            }
        }
    }

    // The limit holds for each instance that runs and that the store serves, whatever its peers do.
    void checkLeavingUpstream()
    {
        for (int i = 0; i < 30; ++i) {
            m_cluster.write(makeEntry(m_nextId + static_cast<std::uint64_t>(i)));
        }
        for (int i = 0; i < 30; ++i) {
            UpstreamEntry entry = makeEntry(m_nextId++);
            entry.isLeaving = true;
            m_cluster.write(entry);
        }
        const UpstreamEntry last = makeEntry(m_nextId - 1);
        runFor(LeavingLimit);
        for (int i = 0; i < Size; ++i) {
            if (m_cluster.isUp(i) && !m_disturbed.contains(i) && !m_cluster.refused.contains(i)) {
                EXPECT_TRUE(m_cluster.knows(i, last, UpstreamHealth::Leaving))
                        << "instance " << i << ", faults " << m_faults;
            }
        }
    }

    PeerCluster m_cluster;
    RandomSource m_random;
    /// Numbers of the faults drawn in this round.
    std::string m_faults;
    std::set<int> m_disturbed;
    std::uint64_t m_nextId = 100;
};

// Guards against an instance that relies on its peers for what the limits bound.
TEST(DrawnFaultsTest, LeavingUpstreamsAreKnownWithinTheLimit)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        SCOPED_TRACE(seed);
        DrawnFaults(seed).run();
    }
}

} // namespace
} // namespace damaskhall
