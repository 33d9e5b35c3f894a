#include "core/flow/upstreamledger.h"

#include <algorithm>

namespace damaskhall {

namespace {

/// Weight of one sample in the smoothed answer time of an upstream: about the last four answers.
constexpr double AnswerWeight = 0.25;
/// Weight of one sample in the mean over all upstreams: about the last hundred answers.
constexpr double MeanAnswerWeight = 0.01;
/// Weight of one tick in the busy share of a flow: several seconds of ticks.
constexpr double BusyWeight = 0.02;
/// Weights of a sample below and above the quick answer time: it settles where few samples are
/// below, at upstreams without a queue.
constexpr double QuickWeightBelow = 0.1;
constexpr double QuickWeightAbove = 0.01;
/// Requests beyond the slots that a thread sends before it knows how an upstream copes: one waits
/// at the upstream, so that no slot idles for a round trip.
constexpr double StartReserve = 1;
/// An answer this many times slower than a quick one has waited in a queue; service times of one
/// kind of work rarely spread that far.
constexpr double QueuedRatio = 3;
constexpr double LimitDecrease = 0.7;
constexpr double MinLimit = 1;
/// Bound of a limit that nothing ever lowers.
constexpr double MaxLimit = 256;

} // namespace

void UpstreamLedger::handleView(const FlowView &view)
{
    for (const UpstreamRecord &record : view.upstreams()) {
        open(record.entry.key, record.entry.slots);
    }
    for (auto it = m_index.begin(); it != m_index.end();) {
        const UpstreamAccount &account = m_accounts[it->second];
        const bool isUnused = account.openFlows + account.openingFlows + account.busyFlows == 0;
        if (isUnused && !view.find(it->first)) {
            m_free.push_back(it->second);
            it = m_index.erase(it);
        } else {
            ++it;
        }
    }
}

AccountId UpstreamLedger::open(UpstreamKey key, std::uint32_t slots)
{
    const auto [found, isNew] = m_index.try_emplace(key, 0);
    if (!isNew) {
        return {found->second};
    }
    if (m_free.empty()) {
        found->second = static_cast<std::uint32_t>(m_accounts.size());
        m_accounts.emplace_back();
    } else {
        found->second = m_free.back();
        m_free.pop_back();
    }
    m_accounts[found->second] = UpstreamAccount{};
    m_accounts[found->second].key = key;
    m_accounts[found->second].limit = slots + StartReserve;
    return {found->second};
}

const UpstreamAccount *UpstreamLedger::find(UpstreamKey key) const
{
    const auto found = m_index.find(key);
    return found == m_index.end() ? nullptr : &m_accounts[found->second];
}

void UpstreamLedger::noteOpening(AccountId id, Milliseconds now)
{
    UpstreamAccount &account = at(id);
    if (!account.silentSince) {
        account.silentSince = now;
    } else {
        ++account.failedTries;
    }
    account.lastOpeningAt = now;
}

void UpstreamLedger::noteRequest(AccountId id, Milliseconds now)
{
    UpstreamAccount &account = at(id);
    if (!account.stalledSince) {
        account.stalledSince = now;
    }
}

void UpstreamLedger::noteSign(AccountId id, Milliseconds now)
{
    UpstreamAccount &account = at(id);
    account.lastSign = now;
    account.silentSince.reset();
    account.failedTries = 0;
    if (account.busyFlows > 0) {
        account.stalledSince = now;
    } else {
        account.stalledSince.reset();
    }
}

void UpstreamLedger::noteAnswer(AccountId id, Milliseconds duration, Milliseconds now)
{
    UpstreamAccount &account = at(id);
    const auto sample = static_cast<double>(duration.value);
    account.answerTime =
            account.answerTime == 0
                    ? sample
                    : account.answerTime + AnswerWeight * (sample - account.answerTime);
    account.sampledAt = now;
    m_meanAnswerTime = m_meanAnswerTime == 0
                               ? sample
                               : m_meanAnswerTime + MeanAnswerWeight * (sample - m_meanAnswerTime);
    const double weight = sample < m_quickAnswerTime ? QuickWeightBelow : QuickWeightAbove;
    m_quickAnswerTime = m_quickAnswerTime == 0
                                ? sample
                                : m_quickAnswerTime + weight * (sample - m_quickAnswerTime);
    learnLimit(account, sample, now);
}

// Additive increase while the limit is used, multiplicative decrease when answers have waited.
void UpstreamLedger::learnLimit(UpstreamAccount &account, double sample, Milliseconds now) const
{
    if (sample > QueuedRatio * m_quickAnswerTime) {
        // Answers under way reflect the limit before; one decrease for them is enough.
        const auto spacing = static_cast<std::int64_t>(sample);
        if (now - account.loweredAt >= Milliseconds{spacing}) {
            account.limit = std::max(MinLimit, account.limit * LimitDecrease);
            account.loweredAt = now;
        }
    } else if (account.inFlight() + 1 >= account.limit) {
        account.limit = std::min(MaxLimit, account.limit + 1 / account.limit);
    }
}

void UpstreamLedger::tick(Milliseconds)
{
    std::uint32_t open = 0;
    std::uint32_t busy = 0;
    for (const auto &[key, index] : m_index) {
        open += m_accounts[index].openFlows;
        busy += m_accounts[index].busyFlows;
    }
    if (open > 0) {
        const double share = static_cast<double>(busy) / open;
        m_busyPerFlow += BusyWeight * (share - m_busyPerFlow);
    }
}

} // namespace damaskhall
