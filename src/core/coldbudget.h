#pragma once

#include "base/milliseconds.h"
#include "core/routingview.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace damaskhall {

/// Properties of this instance and of the bound that it helps to keep. Thread safety: a plain
/// value.
struct ColdBudgetOptions
{
    InstanceId self;
    /// True if other instances are configured to exist.
    bool hasSeeds = false;
    /// A cold upstream receives at most its declared rate times overshoot plus slack new flows in
    /// any second, from all instances together.
    double overshoot = 1.0;
    double slack = 0;
};

/// Decides whether this instance may send a new flow or request to a cold upstream now.
///
/// There is no central counter. The members that rank first for an upstream by rendezvous hashing
/// each have a fixed share of its declared rate; the other members send nothing there. Members that
/// were lost without announcement stay in the ranking for a while, so that neither a crash nor a
/// partition hands their shares to others that cannot know whether they still use them.
/// Addresses the load pattern "a replaced or restored upstream receives its usual load at once".
/// Deterministic. Thread safety: none.
class ColdBudget
{
public:
    explicit ColdBudget(const ColdBudgetOptions &options);

    /// Replaces the members. The local instance may be among @p members; members that are missing
    /// were lost, unless they were leaving in the call before.
    void setMembers(const std::vector<MemberView> &members, Milliseconds now);
    /// Returns how many new flows this instance may send to @p upstream in any second.
    /// @p perSecond: declared rate of one cold upstream.
    std::uint32_t share(std::uint64_t upstream, double perSecond, Milliseconds now);
    /// Returns true if a new flow to @p upstream stays within the share.
    bool hasRoom(std::uint64_t upstream, double perSecond, Milliseconds now);
    /// Records that a new flow was sent to @p upstream.
    void recordUse(std::uint64_t upstream, Milliseconds now);
    /// Removes expired records; call about every 100 ms. The first call of any method starts the
    /// time in which the instance has no share.
    void tick(Milliseconds now);

private:
    struct Upstream
    {
        /// Times of the new flows within the window.
        std::deque<Milliseconds> uses;
        /// Position of this instance in the ranking of version rankVersion.
        std::size_t rank = 0;
        std::uint64_t rankVersion = 0;
        Milliseconds lastAskedAt;
    };

    bool mayUseShares(Milliseconds now);
    Upstream &find(std::uint64_t upstream, Milliseconds now);
    std::size_t rank(Upstream &state, std::uint64_t upstream) const;
    void rebuildRanking();

    ColdBudgetOptions m_options;
    std::optional<Milliseconds> m_startedAt;
    bool m_isLeaving = false;
    /// Other members that are alive or suspected, sorted.
    std::vector<InstanceId> m_live;
    std::map<InstanceId, Milliseconds> m_lostAt;
    /// The local instance, live members and lost ones.
    std::vector<InstanceId> m_ranked;
    std::uint64_t m_rankVersion = 1;
    std::unordered_map<std::uint64_t, Upstream> m_upstreams;
};

} // namespace damaskhall
