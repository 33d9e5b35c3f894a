#include "core/flow/upstreamledger.h"

namespace damaskhall {

namespace {

/// Weight of one sample in the smoothed answer time of an upstream: about the last four answers.
constexpr double AnswerWeight = 0.25;
/// Weight of one sample in the mean over all upstreams: about the last hundred answers.
constexpr double MeanAnswerWeight = 0.01;
/// Weight of one tick in the busy share of a flow: several seconds of ticks.
constexpr double BusyWeight = 0.02;

} // namespace

void UpstreamLedger::handleView(const FlowView &view)
{
    for (const UpstreamRecord &record : view.upstreams()) {
        open(record.entry);
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

AccountId UpstreamLedger::open(const UpstreamEntry &entry)
{
    const auto [found, isNew] = m_index.try_emplace(entry.key, 0);
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
    m_accounts[found->second].key = entry.key;
    m_accounts[found->second].service = entry.service;
    return {found->second};
}

const UpstreamAccount *UpstreamLedger::find(UpstreamKey key) const
{
    const auto found = m_index.find(key);
    return found == m_index.end() ? nullptr : &m_accounts[found->second];
}

std::optional<AccountId> UpstreamLedger::findId(UpstreamKey key) const
{
    const auto found = m_index.find(key);
    return found == m_index.end() ? std::nullopt : std::optional(AccountId{found->second});
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
    m_lastSign = now;
    account.silentSince.reset();
    account.unreachableAt.reset();
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
    double &mean = m_meanAnswerTimes[account.service];
    mean = mean == 0 ? sample : mean + MeanAnswerWeight * (sample - mean);
}

double UpstreamLedger::meanAnswerTime(ServiceId service) const
{
    const auto found = m_meanAnswerTimes.find(service);
    return found == m_meanAnswerTimes.end() ? 0 : found->second;
}

void UpstreamLedger::tick()
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
