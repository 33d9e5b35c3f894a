#include "core/admission/refusedclients.h"

#include <utility>

namespace damaskhall {

namespace {

/// A refusal is remembered for one to two of these times. Clients retry at once.
constexpr Milliseconds GenerationTime = 500_ms;
/// Bounds the memory to about 1 MB; retries of the clients beyond are taken for first attempts.
constexpr std::size_t MaxClients = 4096;

FlowKey withoutPort(FlowKey key)
{
    key.client.port = 0;
    return key;
}

} // namespace

void RefusedClients::add(const FlowKey &key, Milliseconds now)
{
    rotate(now);
    if (m_current.size() < MaxClients) {
        ++m_current[withoutPort(key)];
    }
}

bool RefusedClients::takeRetry(const FlowKey &key, Milliseconds now)
{
    rotate(now);
    for (Generation *generation : {&m_previous, &m_current}) {
        const auto found = generation->find(withoutPort(key));
        if (found == generation->end()) {
            continue;
        }
        if (--found->second == 0) {
            generation->erase(found);
        }
        return true;
    }
    return false;
}

void RefusedClients::rotate(Milliseconds now)
{
    if (now - m_rotatedAt < GenerationTime) {
        return;
    }
    const bool isPreviousRecent = now - m_rotatedAt < GenerationTime * 2;
    m_previous = isPreviousRecent ? std::exchange(m_current, {}) : Generation{};
    m_current.clear();
    m_rotatedAt = now;
}

} // namespace damaskhall
