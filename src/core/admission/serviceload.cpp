#include "core/admission/serviceload.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace damaskhall {

namespace {

/// Time over which the share of refusals is taken: long enough for a few dozen answers on an
/// instance of a large fleet, short enough to follow a burst.
constexpr Milliseconds Window = 500_ms;
/// Time without refusals after which more is admitted.
constexpr Milliseconds RecentWindow = 300_ms;
/// Time over which upstreams are compared: an instance meets each of them only every few seconds.
constexpr Milliseconds HistoryTime = 3_s;
/// Bounds the memory of one service to about 100 KB.
constexpr std::size_t MaxHistory = 2048;
constexpr std::uint32_t MinAnswers = 20;
/// Standard deviations between the share of a sample and the certain share.
constexpr double Confidence = 2.5;
/// Mean number of answers of an upstream from which the upstreams can be compared.
constexpr std::size_t MinAnswersPerUpstream = 4;
/// An upstream refuses far more than the others if its share is this multiple of the share of all,
/// at least a quarter, and not from a single refusal.
constexpr double FaultyRatio = 2.0;
constexpr double MinFaultyShare = 0.25;
constexpr std::uint32_t MinFaultyRefusals = 2;
/// One in so many upstreams may be set aside; if more refuse, it is overload.
constexpr std::size_t MaxFaultyDivisor = 5;

} // namespace

double RefusalEstimate::refusedShare() const
{
    return answers == 0 ? 0 : static_cast<double>(refused) / answers;
}

double RefusalEstimate::certainShare() const
{
    if (answers == 0) {
        return 0;
    }
    const double share = refusedShare();
    return share - Confidence * std::sqrt(share * (1 - share) / answers);
}

void ServiceLoad::recordAnswer(UpstreamKey upstream, bool isRefused, Milliseconds now)
{
    if (m_history.size() >= MaxHistory) {
        removeOldest();
    }
    m_history.push_back({upstream, isRefused, now});
    Counts &counts = m_upstreams[upstream];
    ++counts.answers;
    counts.refused += isRefused ? 1 : 0;
    m_refused += isRefused ? 1 : 0;
}

void ServiceLoad::removeOldest()
{
    const Answer &oldest = m_history.front();
    const auto found = m_upstreams.find(oldest.upstream);
    found->second.refused -= oldest.isRefused ? 1 : 0;
    m_refused -= oldest.isRefused ? 1 : 0;
    if (--found->second.answers == 0) {
        m_upstreams.erase(found);
    }
    m_history.pop_front();
}

RefusalEstimate ServiceLoad::estimate(Milliseconds now)
{
    while (!m_history.empty() && now - m_history.front().at > HistoryTime) {
        removeOldest();
    }
    RefusalEstimate estimate;
    estimate.isPerUpstream = m_history.size() >= MinAnswersPerUpstream * m_upstreams.size();
    const auto faulty = m_refused == 0 ? std::unordered_map<UpstreamKey, Counts>{} : findFaulty();
    for (auto it = m_history.rbegin(); it != m_history.rend() && now - it->at <= Window; ++it) {
        if (faulty.contains(it->upstream)) {
            continue;
        }
        const std::uint32_t refused = it->isRefused ? 1 : 0;
        ++estimate.answers;
        estimate.refused += refused;
        if (now - it->at <= RecentWindow) {
            ++estimate.recentAnswers;
            estimate.recentRefused += refused;
        }
    }
    estimate.isKnown = estimate.answers >= MinAnswers;
    return estimate;
}

std::unordered_map<UpstreamKey, ServiceLoad::Counts> ServiceLoad::findFaulty() const
{
    const double mean = static_cast<double>(m_refused) / static_cast<double>(m_history.size());
    const double limit = std::max(mean * FaultyRatio, MinFaultyShare);
    std::vector<std::pair<UpstreamKey, Counts>> suspects;
    for (const auto &[upstream, counts] : m_upstreams) {
        if (counts.refused >= MinFaultyRefusals && counts.share() >= limit) {
            suspects.emplace_back(upstream, counts);
        }
    }
    // The key decides between equal shares: the order of the hash table must not.
    std::sort(suspects.begin(), suspects.end(), [](const auto &a, const auto &b) {
        return a.second.share() != b.second.share() ? a.second.share() > b.second.share()
                                                    : a.first < b.first;
    });
    suspects.resize(std::min(suspects.size(), m_upstreams.size() / MaxFaultyDivisor));
    return {suspects.begin(), suspects.end()};
}

} // namespace damaskhall
