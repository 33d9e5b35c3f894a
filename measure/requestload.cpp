#include "measure/requestload.h"

#include "measure/fleet.h"

#include <utility>

namespace damaskhall::measure {

RequestLoad::RequestLoad(fakes::Session &session, RandomSource random)
    : m_session(session)
    , m_random(std::move(random))
{
    m_session.setFinishedHook([this](const RequestClient &client) {
        const auto found = m_indexByClient.find(&client);
        if (found != m_indexByClient.end()) {
            m_issued[found->second].finishedAt = m_session.events().now();
        }
    });
}

std::size_t RequestLoad::addStream(const RequestStream &stream, Milliseconds end)
{
    m_streams.push_back(stream);
    scheduleNext(m_streams.size() - 1, static_cast<double>(m_session.events().now().value), end);
    return m_streams.size() - 1;
}

void RequestLoad::scheduleNext(std::size_t stream, double fromMs, Milliseconds end)
{
    const double atMs = fromMs + exponential(m_random, 1 / m_streams[stream].ratePerMs);
    if (atMs >= static_cast<double>(end.value)) {
        return;
    }
    m_session.events().schedule(Milliseconds{static_cast<std::int64_t>(atMs)},
                                [this, stream, atMs, end] {
                                    issue(stream);
                                    scheduleNext(stream, atMs, end);
                                });
}

void RequestLoad::issue(std::size_t stream)
{
    const RequestStream &source = m_streams[stream];
    const std::uint64_t id = m_issued.size() + 1;
    const std::string body = source.workClass + " " + std::to_string(id);
    RequestClient &client = m_session.startRequest(
            reservation(id, source.service, source.workClass, source.deadline, source.workspace),
            body);
    m_indexByClient[&client] = m_issued.size();
    m_issued.push_back({&client, stream, body, client.startedAt() + source.deadline, {}});
}

} // namespace damaskhall::measure
