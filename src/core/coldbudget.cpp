#include "core/coldbudget.h"

#include "core/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace damaskhall {

namespace {

/// The bound applies to any sliding second at the upstream. The rest covers the difference between
/// the transit times of two packets.
constexpr Milliseconds Window = 1050_ms;
/// Time after its start in which an instance has no share: it has forgotten what it sent before,
/// and members must learn of each other first. A full list of members may be repeated only after
/// three seconds.
constexpr Milliseconds StartupTime = 5_s;
/// Time for which a lost member stays in the ranking. A longer partition cannot be told from a
/// smaller fleet. Until then, a cold upstream receives the shares of the remaining members only.
constexpr Milliseconds LostRetention = 600_s;
/// Smallest useful share, in new flows a second. Smaller ones would spread the same rate over more
/// instances, each of which rarely has a flow at the moment at which its share is free.
constexpr std::uint32_t MinShare = 2;
/// Bounds the memory of a window; a cold upstream bears far less.
constexpr double MaxRate = 10'000;
/// Time after the last question about an upstream until its record is removed.
constexpr Milliseconds UpstreamRetention = 10_s;

std::uint32_t targetRate(double perSecond, const ColdBudgetOptions &options)
{
    if (!(perSecond > 0)) {
        return 0;
    }
    const double bound = std::min(perSecond * options.overshoot + options.slack, MaxRate);
    // A rate below one flow a second would otherwise never let a flow pass.
    const double target = std::max(std::min(perSecond, MaxRate), 1.0);
    return static_cast<std::uint32_t>(std::floor(std::min(target, bound)));
}

} // namespace

ColdBudget::ColdBudget(const ColdBudgetOptions &options)
    : m_options(options)
{
    rebuildRanking();
}

void ColdBudget::setMembers(const std::vector<MemberView> &members, Milliseconds now)
{
    tick(now);
    std::vector<InstanceId> live;
    std::vector<InstanceId> leaving;
    m_isLeaving = false;
    for (const MemberView &member : members) {
        const bool isLive =
                member.state == MemberState::Alive || member.state == MemberState::Suspect;
        if (member.id == m_options.self) {
            m_isLeaving = !isLive;
        } else if (isLive) {
            live.push_back(member.id);
        } else if (member.state == MemberState::Leaving) {
            leaving.push_back(member.id);
        }
    }
    std::sort(live.begin(), live.end());
    std::sort(leaving.begin(), leaving.end());
    for (const InstanceId id : m_live) {
        if (!std::binary_search(live.begin(), live.end(), id)) {
            m_lostAt.try_emplace(id, now);
        }
    }
    // A leaving member has given up its shares before it announced that it leaves.
    std::erase_if(m_lostAt, [&](const auto &lost) {
        return std::binary_search(live.begin(), live.end(), lost.first) ||
               std::binary_search(leaving.begin(), leaving.end(), lost.first);
    });
    m_live = std::move(live);
    rebuildRanking();
}

void ColdBudget::rebuildRanking()
{
    std::vector<InstanceId> ranked = m_live;
    ranked.push_back(m_options.self);
    for (const auto &[id, since] : m_lostAt) {
        ranked.push_back(id);
    }
    std::sort(ranked.begin(), ranked.end());
    if (ranked != m_ranked) {
        m_ranked = std::move(ranked);
        ++m_rankVersion;
    }
}

bool ColdBudget::mayUseShares(Milliseconds now)
{
    if (!m_startedAt) {
        m_startedAt = now;
    }
    const bool isAlone = m_live.empty() && m_options.hasSeeds;
    const bool hasLostMost = m_live.size() + 1 < m_lostAt.size();
    return now - *m_startedAt >= StartupTime && !m_isLeaving && !isAlone && !hasLostMost;
}

std::uint32_t ColdBudget::share(std::uint64_t upstream, double perSecond, Milliseconds now)
{
    if (!mayUseShares(now)) {
        return 0;
    }
    const std::uint32_t target = targetRate(perSecond, m_options);
    const auto members = static_cast<std::uint32_t>(m_ranked.size());
    const std::uint32_t holders = std::clamp<std::uint32_t>(target / MinShare, 1, members);
    const std::size_t ownRank = rank(find(upstream, now), upstream);
    if (ownRank >= holders) {
        return 0;
    }
    return target / holders + (ownRank < target % holders ? 1 : 0);
}

bool ColdBudget::hasRoom(std::uint64_t upstream, double perSecond, Milliseconds now)
{
    const std::uint32_t limit = share(upstream, perSecond, now);
    if (limit == 0) {
        return false;
    }
    std::deque<Milliseconds> &uses = find(upstream, now).uses;
    while (!uses.empty() && now - uses.front() >= Window) {
        uses.pop_front();
    }
    return uses.size() < limit;
}

void ColdBudget::recordUse(std::uint64_t upstream, Milliseconds now)
{
    find(upstream, now).uses.push_back(now);
}

ColdBudget::Upstream &ColdBudget::find(std::uint64_t upstream, Milliseconds now)
{
    Upstream &state = m_upstreams[upstream];
    state.lastAskedAt = now;
    return state;
}

std::size_t ColdBudget::rank(Upstream &state, std::uint64_t upstream) const
{
    if (state.rankVersion != m_rankVersion) {
        state.rankVersion = m_rankVersion;
        state.rank = rendezvousRank(upstream, m_options.self, m_ranked);
    }
    return state.rank;
}

void ColdBudget::tick(Milliseconds now)
{
    if (!m_startedAt) {
        m_startedAt = now;
    }
    const std::size_t expired = std::erase_if(
            m_lostAt, [&](const auto &lost) { return now - lost.second >= LostRetention; });
    if (expired > 0) {
        rebuildRanking();
    }
    std::erase_if(m_upstreams, [&](const auto &upstream) {
        return now - upstream.second.lastAskedAt >= UpstreamRetention;
    });
}

} // namespace damaskhall
