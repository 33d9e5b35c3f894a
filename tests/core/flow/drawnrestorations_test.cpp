#include "support/peercluster.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

using test::makeEntry;
using test::PeerCluster;
using test::WatchInterval;

constexpr int Size = 24;
constexpr int Rounds = 3;
constexpr std::uint64_t Seeds = 40;
/// Limit within which a leaving upstream gets no new flows and a declaration is in force; the
/// confirmation interval is a third of it.
constexpr Milliseconds ReportLimit = WatchInterval * 3;
/// Time after the last fault from which the limit holds.
constexpr Milliseconds SettlingTime = 4_s;
/// An upstream writes its entry again within this time after a restoration.
constexpr Milliseconds HeartbeatInterval = 1200_ms;
/// The store removes an entry that has not been written for this long.
constexpr Milliseconds EntryLifetime = 3600_ms;
/// An operator writes the newest declaration again within this time after a restoration.
constexpr Milliseconds OperatorDelay = 2_s;
constexpr Milliseconds MinCopyAge = 100_ms;
constexpr Milliseconds MaxCopyAge = 15_s;

Milliseconds drawTime(const RandomSource &random, Milliseconds limit)
{
    const auto below = static_cast<std::uint64_t>(limit.value);
    return Milliseconds{static_cast<std::int64_t>(randomBelow(random, below))};
}

// What the store of a cluster holds, and copies of it. While the store is away, nothing is written.
class ModelledStore
{
public:
    using Entries = std::map<UpstreamId, UpstreamEntry>;

    explicit ModelledStore(PeerCluster &cluster)
        : m_cluster(cluster)
        , m_entries{{makeEntry(1).key.id, makeEntry(1)}}
    {
        takeCopy();
    }

    void write(const UpstreamEntry &entry)
    {
        if (!m_isAway) {
            m_entries[entry.key.id] = entry;
            m_cluster.write(entry);
        }
    }

    void remove(UpstreamKey key)
    {
        if (!m_isAway && holds(key)) {
            m_cluster.remove(m_entries.at(key.id));
            m_entries.erase(key.id);
        }
    }

    void declare(std::uint64_t version)
    {
        if (!m_isAway) {
            m_cluster.declare(version);
        }
    }

    void discardHistory()
    {
        if (!m_isAway) {
            m_cluster.discardHistory();
            m_copies.clear();
            takeCopy();
        }
    }

    void goAway() { m_isAway = true; }

    /// Returns from the newest copy that is at least @p age old, or from the oldest one.
    void restore(Milliseconds age)
    {
        const Milliseconds newest = m_cluster.events.now() - age;
        while (m_copies.size() > 1 && m_copies.back().at > newest) {
            m_copies.pop_back();
        }
        m_cluster.restore(m_copies.back().revision);
        m_entries = m_copies.back().entries;
        m_isAway = false;
    }

    bool isAway() const { return m_isAway; }
    const Entries &entries() const { return m_entries; }

    bool holds(UpstreamKey key) const
    {
        const auto found = m_entries.find(key.id);
        return found != m_entries.end() && found->second.key == key;
    }

private:
    struct Copy
    {
        Milliseconds at;
        StoreRevision revision;
        Entries entries;
    };

    void takeCopy()
    {
        if (!m_isAway) {
            m_copies.push_back({m_cluster.events.now(), m_cluster.revision(), m_entries});
        }
        m_cluster.events.schedule(m_cluster.events.now() + MinCopyAge, [this] { takeCopy(); });
    }

    PeerCluster &m_cluster;
    Entries m_entries;
    std::vector<Copy> m_copies;
    bool m_isAway = false;
};

// Upstreams that start, begin to leave, leave, crash and start again under their ids. Those that
// run write their entries again after each restoration.
class ModelledUpstreams
{
public:
    ModelledUpstreams(fakes::EventQueue &events, ModelledStore &store, RandomSource random)
        : m_events(events)
        , m_store(store)
        , m_random(std::move(random))
    {
    }

    /// Starts an upstream, under the id of an earlier one if given, and returns its id.
    UpstreamId start(std::optional<UpstreamId> earlier = std::nullopt)
    {
        const UpstreamId id = earlier.value_or(UpstreamId{m_nextId});
        m_nextId += earlier ? 0 : 1;
        const UpstreamEntry entry = makeEntry(id.value, ++m_born);
        m_running[id] = entry;
        m_store.write(entry);
        return id;
    }

    UpstreamEntry beginToLeave(UpstreamId id)
    {
        UpstreamEntry &entry = m_running.at(id);
        entry.isLeaving = true;
        m_store.write(entry);
        return entry;
    }

    void leave(UpstreamId id)
    {
        m_store.remove(m_running.at(id).key);
        stop(id);
    }

    void crash(UpstreamId id)
    {
        const UpstreamKey key = m_running.at(id).key;
        stop(id);
        expire(key);
    }

    /// Each step starts, changes or ends one of the upstreams.
    void liveUntil(Milliseconds end)
    {
        if (m_events.now() >= end) {
            return;
        }
        step();
        m_events.schedule(m_events.now() + 20_ms + drawTime(m_random, 500_ms),
                          [this, end] { liveUntil(end); });
    }

    /// Processes that the store has returned from a copy.
    void handleRestoration()
    {
        for (const auto &[id, entry] : m_running) {
            m_events.schedule(m_events.now() + drawTime(m_random, HeartbeatInterval),
                              [this, key = entry.key] { writeAgain(key); });
        }
        for (const auto &[id, entry] : m_store.entries()) {
            expire(entry.key);
        }
    }

private:
    bool isRunning(UpstreamKey key) const
    {
        const auto found = m_running.find(key.id);
        return found != m_running.end() && found->second.key == key;
    }

    void stop(UpstreamId id)
    {
        m_running.erase(id);
        m_stopped.push_back(id);
    }

    void writeAgain(UpstreamKey key)
    {
        if (isRunning(key)) {
            m_store.write(m_running.at(key.id));
        }
    }

    void expire(UpstreamKey key)
    {
        m_events.schedule(m_events.now() + EntryLifetime, [this, key] {
            if (!isRunning(key)) {
                m_store.remove(key);
            }
        });
    }

    UpstreamId drawRunning()
    {
        const auto drawn = static_cast<std::ptrdiff_t>(randomBelow(m_random, m_running.size()));
        return std::next(m_running.begin(), drawn)->first;
    }

    void step()
    {
        if (m_running.size() < 12) {
            start();
            return;
        }
        const UpstreamId id = drawRunning();
        switch (randomBelow(m_random, 6)) {
        case 0:
            start();
            break;
        case 1:
            leave(id);
            break;
        case 2:
            crash(id);
            break;
        case 3:
            crash(id);
            start(id);
            break;
        case 4:
            startStopped();
            break;
        default:
            beginToLeave(id);
        }
    }

    void startStopped()
    {
        if (m_stopped.empty()) {
            return;
        }
        const std::size_t drawn = randomBelow(m_random, m_stopped.size());
        const UpstreamId id = m_stopped[drawn];
        if (!m_running.contains(id)) {
            start(id);
        }
    }

    fakes::EventQueue &m_events;
    ModelledStore &m_store;
    RandomSource m_random;
    std::map<UpstreamId, UpstreamEntry> m_running;
    std::vector<UpstreamId> m_stopped;
    std::uint64_t m_nextId = 100;
    std::uint64_t m_born = 1000;
};

// Raises the version of the declaration, and declares the newest one again after each restoration.
class ModelledOperator
{
public:
    ModelledOperator(fakes::EventQueue &events, ModelledStore &store, RandomSource random)
        : m_events(events)
        , m_store(store)
        , m_random(std::move(random))
    {
    }

    Revision declareNext()
    {
        m_store.declare(++m_version);
        return newest();
    }

    void workUntil(Milliseconds end)
    {
        if (m_events.now() >= end) {
            return;
        }
        declareNext();
        m_events.schedule(m_events.now() + 100_ms + drawTime(m_random, 3_s),
                          [this, end] { workUntil(end); });
    }

    /// Processes that the store has returned from a copy.
    void handleRestoration()
    {
        m_events.schedule(m_events.now() + drawTime(m_random, OperatorDelay),
                          [this] { m_store.declare(m_version); });
    }

    Revision newest() const { return {m_version}; }

private:
    fakes::EventQueue &m_events;
    ModelledStore &m_store;
    RandomSource m_random;
    std::uint64_t m_version = 1;
};

// What one life of an instance has known.
class InstanceObserver
{
public:
    void handleStart() { *this = {}; }

    /// Checks that nothing known returns to an older state.
    void check(const FlowController &controller)
    {
        EXPECT_GE(controller.revision(), m_declaration) << "returned to a lower declaration";
        m_declaration = controller.revision();
        if (m_version == controller.directory().version()) {
            return;
        }
        m_version = controller.directory().version();
        for (const UpstreamRecord &record : controller.directory().records()) {
            checkUpstream(record);
        }
    }

private:
    void checkUpstream(const UpstreamRecord &record)
    {
        const UpstreamKey key = record.entry.key;
        if (record.health == UpstreamHealth::Leaving) {
            m_leaving.insert(key);
        }
        EXPECT_FALSE(record.health == UpstreamHealth::Ready && m_leaving.contains(key))
                << "upstream " << key.id.value << " is ready after it was leaving";
    }

    Revision m_declaration;
    std::uint64_t m_version = 0;
    std::set<UpstreamKey> m_leaving;
};

// A region of instances whose store returns from copies of itself while other faults overlap:
// readers and others are killed and restarted, cut off from their peers, refused by the store;
// datagrams and the store's history are lost.
class DrawnRestorations
{
public:
    explicit DrawnRestorations(std::uint64_t seed)
        : m_cluster(Size, seed)
        , m_random(seededRandom(seed * 7919))
        , m_store(m_cluster)
        , m_upstreams(m_cluster.events, m_store, seededRandom(seed * 104729))
        , m_operator(m_cluster.events, m_store, seededRandom(seed * 1299709))
        , m_observers(Size)
    {
        m_store.remove(makeEntry(1).key);
        observe();
    }

    void run()
    {
        const Milliseconds end = m_cluster.events.now() + 60_s;
        m_upstreams.liveUntil(end);
        m_operator.workUntil(end);
        runFor(8_s);
        for (int round = 0; round < Rounds; ++round) {
            drawFaults();
            runFor(FaultsTime);
            settle();
            checkReportLimit();
            heal();
        }
        m_cluster.events.runUntil(std::max(end, m_cluster.events.now()));
        runFor(EntryLifetime + SettlingTime);
        checkAgreement();
    }

private:
    static constexpr Milliseconds FaultsTime = 4_s;
    static constexpr Milliseconds MaxOutage = 3_s;
    static constexpr Milliseconds ObservationInterval = 20_ms;

    void runFor(Milliseconds time) { m_cluster.events.runUntil(m_cluster.events.now() + time); }

    template <typename Event>
    void after(Milliseconds delay, Event event)
    {
        m_cluster.events.schedule(m_cluster.events.now() + delay, event);
    }

    void observe()
    {
        for (int i = 0; i < Size; ++i) {
            if (m_cluster.isUp(i)) {
                SCOPED_TRACE("instance " + std::to_string(i));
                m_observers[static_cast<std::size_t>(i)].check(m_cluster.controller(i));
            }
        }
        after(ObservationInterval, [this] { observe(); });
    }

    int drawInstance() { return static_cast<int>(randomBelow(m_random, Size)); }

    std::set<int> drawInstances(int count)
    {
        std::set<int> drawn;
        for (int i = 0; i < count; ++i) {
            drawn.insert(drawInstance());
        }
        return drawn;
    }

    bool drawChance() { return randomBelow(m_random, 2) == 0; }

    void noteFault(Milliseconds duration = 0_ms)
    {
        m_lastFault = std::max(m_lastFault, m_cluster.events.now() + duration);
    }

    void drawFaults()
    {
        const std::uint64_t others = randomBelow(m_random, 4);
        for (std::uint64_t i = 0; i < others; ++i) {
            after(drawTime(m_random, FaultsTime), [this] { drawFault(); });
        }
        after(drawTime(m_random, FaultsTime), [this] { beginOutage(drawChance()); });
    }

    void beginOutage(bool isRepeated)
    {
        noteFault();
        m_store.goAway();
        m_cluster.areErasInRefusals = false;
        updateRefused();
        const Milliseconds outage = drawChance() ? drawTime(m_random, MaxOutage) : 0_ms;
        after(outage, [this, isRepeated] {
            restore();
            if (isRepeated) {
                after(drawTime(m_random, 1500_ms), [this] { beginOutage(false); });
            }
        });
    }

    void restore()
    {
        m_store.restore(MinCopyAge + drawTime(m_random, MaxCopyAge - MinCopyAge));
        m_upstreams.handleRestoration();
        m_operator.handleRestoration();
        noteFault(std::max(HeartbeatInterval, OperatorDelay));
        if (drawChance()) {
            refuse(drawInstances(Size / 2));
        }
        m_cluster.areErasInRefusals = drawChance();
        updateRefused();
    }

    // The store goes on to refuse the calls of some, including the readers with a good chance.
    void refuse(const std::set<int> &instances)
    {
        m_refused = instances;
        if (drawChance()) {
            after(drawTime(m_random, 4_s), [this] {
                noteFault();
                m_refused.clear();
                updateRefused();
            });
        }
    }

    void updateRefused()
    {
        m_cluster.refused = m_refused;
        for (int i = 0; m_store.isAway() && i < Size; ++i) {
            m_cluster.refused.insert(i);
        }
    }

    void drawFault()
    {
        noteFault();
        switch (randomBelow(m_random, 6)) {
        case 0:
            for (const int reader : m_cluster.readers()) {
                kill(reader);
            }
            break;
        case 1:
            for (const int index : drawInstances(Size / 3)) {
                kill(index);
            }
            break;
        case 2:
            m_cluster.cutOff = drawInstances(Size / 3);
            break;
        case 3:
            refuse(drawInstances(Size * 2));
            updateRefused();
            break;
        case 4:
            m_store.discardHistory();
            break;
        default:
            m_cluster.loss = 0.1;
        }
    }

    // Restarts the instance soon, or leaves it to heal().
    void kill(int index)
    {
        m_cluster.kill(index);
        if (drawChance()) {
            after(drawTime(m_random, 3_s), [this, index] { startAgain(index); });
        }
    }

    void startAgain(int index)
    {
        if (!m_cluster.isUp(index)) {
            noteFault();
            m_observers[static_cast<std::size_t>(index)].handleStart();
            m_cluster.start(index);
        }
    }

    void heal()
    {
        m_refused.clear();
        updateRefused();
        m_cluster.cutOff.clear();
        m_cluster.loss = 0;
        for (int i = 0; i < Size; ++i) {
            startAgain(i);
        }
    }

    void settle()
    {
        while (m_store.isAway() || m_cluster.events.now() < m_lastFault + SettlingTime) {
            runFor(100_ms);
        }
    }

    // The limit holds for each instance that runs and that the store serves, whatever its peers do.
    void checkReportLimit()
    {
        std::vector<UpstreamEntry> leaving;
        const std::uint64_t count = 1 + randomBelow(m_random, 30);
        for (std::uint64_t i = 0; i < count; ++i) {
            leaving.push_back(m_upstreams.beginToLeave(m_upstreams.start()));
        }
        const Revision declared = m_operator.declareNext();
        runFor(ReportLimit);
        for (int i = 0; i < Size; ++i) {
            if (m_cluster.isUp(i) && !m_refused.contains(i)) {
                EXPECT_GE(m_cluster.controller(i).revision(), declared) << "instance " << i;
                EXPECT_TRUE(knowsAll(i, leaving)) << "instance " << i;
            }
        }
    }

    // Some of them may have left or ended since.
    bool knowsAll(int index, const std::vector<UpstreamEntry> &leaving)
    {
        return std::all_of(leaving.begin(), leaving.end(), [&](const UpstreamEntry &entry) {
            return m_cluster.knows(index, entry, UpstreamHealth::Leaving) ||
                   (!m_store.holds(entry.key) &&
                    !m_cluster.knows(index, entry, UpstreamHealth::Ready));
        });
    }

    void checkAgreement()
    {
        for (int i = 0; i < Size; ++i) {
            SCOPED_TRACE("instance " + std::to_string(i));
            const FlowController &controller = m_cluster.controller(i);
            EXPECT_EQ(controller.revision(), m_operator.newest());
            for (const auto &[id, entry] : m_store.entries()) {
                const UpstreamHealth expected =
                        entry.isLeaving ? UpstreamHealth::Leaving : UpstreamHealth::Ready;
                EXPECT_TRUE(m_cluster.knows(i, entry, expected)) << "upstream " << id.value;
            }
            for (const UpstreamRecord &record : controller.directory().records()) {
                const bool isUsed = record.health == UpstreamHealth::Ready ||
                                    record.health == UpstreamHealth::Unconfirmed;
                EXPECT_TRUE(!isUsed || m_store.holds(record.entry.key))
                        << "upstream " << record.entry.key.id.value << " has no entry";
            }
        }
    }

    PeerCluster m_cluster;
    RandomSource m_random;
    ModelledStore m_store;
    ModelledUpstreams m_upstreams;
    ModelledOperator m_operator;
    std::vector<InstanceObserver> m_observers;
    /// Instances that the store refuses although it is there.
    std::set<int> m_refused;
    /// Last fault, end of a fault or writing after a restoration.
    Milliseconds m_lastFault;
};

// Guards against an instance that takes up an older state again, or misses a later one, because the
// store has lost its last changes.
TEST(DrawnRestorationsTest, WhatIsKnownStaysKnownAndWhatIsNewArrivesWithinTheLimit)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        SCOPED_TRACE(seed);
        DrawnRestorations(seed).run();
    }
}

} // namespace
} // namespace damaskhall
