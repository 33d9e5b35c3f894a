#pragma once

#include "base/random.h"
#include "core/control/controlplane.h"
#include "fakes/eventqueue.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace damaskhall::fakes {

struct ControlClusterOptions
{
    std::uint64_t seed = 1;
    std::uint32_t balancers = 2;
    Milliseconds latency = 1_ms;
    Milliseconds platformLatency = 3_ms;
    /// Share of datagrams that are lost, 0 to 1.
    double loss = 0;
    /// Age of the list of instances when it is read.
    Milliseconds listLag = 500_ms;
    /// Balancer 0 is a seed of all others.
    bool hasSeeds = false;
};

/// Control planes of one data centre in virtual time, with the real codec, a modelled network and a
/// modelled platform. Balancers are numbered from 0; their instance id is the number plus one.
/// Thread safety: none.
class ControlCluster
{
public:
    explicit ControlCluster(const ControlClusterOptions &options);
    ControlCluster(const ControlCluster &) = delete;
    ControlCluster &operator=(const ControlCluster &) = delete;

    // Balancers.
    void start(std::uint32_t index);
    void startAll();
    void kill(std::uint32_t index);
    /// Starts a new process with a higher incarnation at the same address.
    void restart(std::uint32_t index);
    /// Starts a process with a new id at the address of a dead balancer; returns its number.
    std::uint32_t replace(std::uint32_t index);
    /// Holds all events of a balancer back until @p until, as a stopped process would.
    void freeze(std::uint32_t index, Milliseconds until);
    /// Balancers of different groups do not reach each other. All start in group 0.
    void setGroup(std::uint32_t index, int group);
    void beginLeaving(std::uint32_t index);
    void reportLeaving(std::uint32_t index, UpstreamId upstream);

    // Platform.
    void setPlatformDown(bool isDown) { m_isPlatformDown = isDown; }
    /// The next @p count writes take effect, but their replies are lost.
    void loseReplies(int count) { m_repliesToLose = count; }
    /// Stores a declaration under a higher version.
    void accept(std::uint64_t revision, const std::string &declaration);
    /// Makes the platform hold an earlier state.
    void restorePlatform(std::uint64_t revision, const std::string &declaration,
                         std::uint64_t version);
    void listUpstream(const UpstreamUpdate &upstream);
    void unlistUpstream(UpstreamId upstream);
    /// Keeps the list as it is now, however old it gets.
    void holdList(bool isHeld) { m_isListHeld = isHeld; }

    void runFor(Milliseconds duration) { m_events.runUntil(m_events.now() + duration); }
    /// Runs until @p condition holds, at most @p limit. Returns the time passed, or a negative
    /// time.
    Milliseconds runUntil(const std::function<bool()> &condition, Milliseconds limit,
                          Milliseconds step = 10_ms);

    ControlPlane &plane(std::uint32_t index) { return *m_nodes.at(index).plane; }
    std::shared_ptr<const RoutingView> view(std::uint32_t index) { return plane(index).view(); }
    bool isRunning(std::uint32_t index) const { return m_nodes.at(index).isRunning; }
    std::uint32_t size() const { return static_cast<std::uint32_t>(m_nodes.size()); }
    static InstanceId idOf(std::uint32_t index) { return InstanceId{index + 1}; }
    Milliseconds now() const { return m_events.now(); }
    EventQueue &events() { return m_events; }
    /// True if all running balancers see exactly the running ones, alive.
    bool agrees();
    bool allHaveRevision(std::uint64_t revision);
    bool allSeeLeaving(UpstreamId upstream);

    std::uint64_t count(ControlEvent event) const;
    std::uint64_t count(RetryReason reason) const;
    /// Bytes sent and received between balancers since the start, headers included, per balancer.
    std::uint64_t peerBytes(std::uint32_t index) const { return m_nodes.at(index).peerBytes; }
    std::uint64_t platformBytes() const { return m_platformBytes; }
    std::uint64_t platformReads() const { return m_reads; }
    std::uint64_t platformWrites() const { return m_writes; }
    /// Times at which a revision in force fell at any balancer, except by a new process.
    std::uint64_t reverts() const { return m_reverts; }

private:
    struct Node
    {
        MemberUpdate self;
        std::unique_ptr<ControlPlane> plane;
        bool isRunning = false;
        Milliseconds frozenUntil;
        int group = 0;
        /// Raised at each start, so that events of a dead process are dropped.
        std::uint32_t generation = 0;
        std::uint64_t peerBytes = 0;
        std::uint64_t revision = 0;
    };

    struct Watch
    {
        std::uint32_t index = 0;
        std::uint64_t after = 0;
        bool isOpen = true;
    };

    using Event = std::function<void(Node &, ControlActions &)>;

    /// Runs @p event at a balancer after @p delay, later if it is frozen, not at all if its process
    /// has ended.
    void deliver(std::uint32_t index, Milliseconds delay, Event event);
    void scheduleTick(std::uint32_t index, std::uint32_t generation);
    void perform(std::uint32_t index, const ControlActions &actions);
    void perform(std::uint32_t index, const SendDatagram &send);
    void perform(std::uint32_t index, const SendRequest &send);
    void perform(std::uint32_t index, const ReadDeclaration &read);
    void perform(std::uint32_t index, const ReadInstances &read);
    void perform(std::uint32_t index, const RegisterSelf &registration);
    void perform(std::uint32_t, const PublishView &) {}
    void failCall(std::uint32_t index, PlatformSchedule::Call call, Milliseconds delay);
    void answerDeclaration(std::uint32_t index);
    void publishList();
    ControlHooks makeHooks();

    ControlClusterOptions m_options;
    EventQueue m_events;
    RandomSource m_random;
    std::deque<Node> m_nodes;
    std::map<Endpoint, std::uint32_t> m_byControl;
    std::array<std::uint64_t, ControlEventCount> m_eventCounts{};
    std::array<std::uint64_t, RetryReasonCount> m_retryCounts{};
    std::uint64_t m_reverts = 0;

    bool m_isPlatformDown = false;
    bool m_isListHeld = false;
    int m_repliesToLose = 0;
    std::string m_envelope;
    std::uint64_t m_version = 0;
    std::deque<std::shared_ptr<Watch>> m_watches;
    std::map<InstanceId, ListedBalancer> m_registered;
    std::map<InstanceId, Milliseconds> m_registeredAt;
    std::map<UpstreamId, UpstreamUpdate> m_upstreams;
    std::shared_ptr<const std::pair<std::vector<ListedBalancer>, std::vector<UpstreamUpdate>>>
            m_list;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_platformBytes = 0;
};

/// Returns a declaration with @p services services of two classes each; @p edition changes the
/// target of one class of one service.
std::string controlDeclaration(std::uint32_t services, std::uint32_t edition);

} // namespace damaskhall::fakes
