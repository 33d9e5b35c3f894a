#include "fakes/randomforwarder.h"

#include <utility>

namespace damaskhall::fakes {

RandomForwarder::RandomForwarder(RandomSource random)
    : m_random(std::move(random))
{
}

FlowDecision RandomForwarder::handlePacket(const FlowPacket &packet) const
{
    FlowDecision decision;
    const Route *route = m_view->routes().find(packet.key.route);
    const UpstreamRecord *record = nullptr;
    if (route && packet.isOpening) {
        const auto &candidates = m_view->candidates(chooseService(*route, m_random()));
        if (!candidates.empty()) {
            record = &m_view->upstreams()[candidates[randomBelow(m_random, candidates.size())]];
        }
    } else {
        record = m_view->findByCookie(packet.cookie, packet.key.route);
    }
    if (!record) {
        return decision;
    }
    decision.action = FlowAction::Forward;
    decision.upstream = record->entry.key;
    decision.endpoint = record->entry.endpoint;
    decision.cookie = flowCookie(record->entry.key.id, packet.key.route);
    return decision;
}

} // namespace damaskhall::fakes
