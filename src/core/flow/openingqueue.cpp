#include "core/flow/openingqueue.h"

#include <algorithm>
#include <utility>

namespace damaskhall {

namespace {

/// Returns true if @p a goes before @p b.
bool goesBefore(const WaitingOpening &a, const WaitingOpening &b, Milliseconds answerTime,
                Milliseconds now)
{
    const bool canA = now + answerTime <= a.dueAt;
    const bool canB = now + answerTime <= b.dueAt;
    if (canA != canB) {
        return canA;
    }
    return canA ? a.dueAt < b.dueAt : a.askedAt > b.askedAt;
}

} // namespace

void OpeningQueue::push(const WaitingOpening &opening)
{
    const auto [found, isNew] = m_waiting.try_emplace(opening.packet.key, opening);
    if (!isNew) {
        found->second.packet = opening.packet;
    }
}

std::optional<WaitingOpening> OpeningQueue::pop(ServiceId service, Milliseconds answerTime,
                                                Milliseconds now)
{
    auto best = m_waiting.end();
    for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it) {
        if (it->second.service == service &&
            (best == m_waiting.end() || goesBefore(it->second, best->second, answerTime, now))) {
            best = it;
        }
    }
    if (best == m_waiting.end()) {
        return std::nullopt;
    }
    const WaitingOpening opening = best->second;
    m_waiting.erase(best);
    return opening;
}

std::vector<WaitingOpening> OpeningQueue::takeExpired(Milliseconds limit, Milliseconds now)
{
    std::vector<WaitingOpening> expired;
    for (const auto &[key, opening] : m_waiting) {
        if (now - opening.since >= limit) {
            expired.push_back(opening);
        }
    }
    std::sort(expired.begin(), expired.end(), [](const auto &a, const auto &b) {
        return std::pair(b.askedAt, b.packet.key) < std::pair(a.askedAt, a.packet.key);
    });
    for (const WaitingOpening &opening : expired) {
        m_waiting.erase(opening.packet.key);
    }
    return expired;
}

std::vector<ServiceId> OpeningQueue::services() const
{
    std::vector<ServiceId> found;
    for (const auto &[key, opening] : m_waiting) {
        if (std::find(found.begin(), found.end(), opening.service) == found.end()) {
            found.push_back(opening.service);
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

void OpeningQueue::remove(const FlowKey &key)
{
    m_waiting.erase(key);
}

} // namespace damaskhall
