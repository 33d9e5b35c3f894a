#include "measure/faultinjector.h"

#include "measure/fleet.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace damaskhall::measure {

namespace {

/// Balancers that are disturbed at the same time, at most.
constexpr std::size_t MaxBusyBalancers = 3;
constexpr Milliseconds StopPoll = 100_ms;

} // namespace

FaultInjector::FaultInjector(fakes::Session &session, RandomSource random)
    : m_session(session)
    , m_random(std::move(random))
{
}

void FaultInjector::start(Milliseconds meanGap, Milliseconds end)
{
    scheduleNext(meanGap, end);
}

void FaultInjector::scheduleNext(Milliseconds meanGap, Milliseconds end)
{
    const double gapMs = exponential(m_random, static_cast<double>(meanGap.value));
    const Milliseconds at =
            m_session.events().now() + Milliseconds{static_cast<std::int64_t>(gapMs)};
    if (at >= end) {
        return;
    }
    m_session.events().schedule(at, [this, meanGap, end] {
        injectOne();
        scheduleNext(meanGap, end);
    });
}

void FaultInjector::injectOne()
{
    if (randomBelow(m_random, 2) == 0) {
        disturbBalancer();
    } else {
        disturbUpstream();
    }
}

void FaultInjector::disturbBalancer()
{
    const auto index = static_cast<std::uint32_t>(randomBelow(m_random, m_session.balancerCount()));
    if (m_busyBalancers.size() >= MaxBusyBalancers || m_busyBalancers.count(index) != 0) {
        return;
    }
    m_busyBalancers.insert(index);
    m_disturbed.insert({InstanceId{index}, m_session.incarnation(index)});
    switch (randomBelow(m_random, 3)) {
    case 0:
        m_session.killBalancer(index);
        restartLater(index);
        break;
    case 1: {
        const Milliseconds length{100 + static_cast<std::int64_t>(randomBelow(m_random, 3'000))};
        const Milliseconds until = m_session.events().now() + length;
        m_session.freezeBalancer(index, until);
        m_session.events().schedule(until, [this, index] { m_busyBalancers.erase(index); });
        break;
    }
    default:
        m_session.beginLeaving(index);
        stopGracefully(index);
        break;
    }
}

void FaultInjector::stopGracefully(std::uint32_t index)
{
    m_session.events().schedule(m_session.events().now() + StopPoll, [this, index] {
        if (m_session.router(index).load().isEmpty()) {
            m_session.killBalancer(index);
            restartLater(index);
        } else {
            stopGracefully(index);
        }
    });
}

void FaultInjector::restartLater(std::uint32_t index)
{
    const Milliseconds delay{static_cast<std::int64_t>(randomBelow(m_random, 2'000))};
    m_session.events().schedule(m_session.events().now() + delay, [this, index] {
        m_session.restartBalancer(index);
        m_busyBalancers.erase(index);
    });
}

void FaultInjector::disturbUpstream()
{
    std::vector<UpstreamId> candidates;
    for (const auto &[id, upstream] : m_session.upstreams()) {
        if (upstream->isAlive() && !upstream->isDraining()) {
            candidates.push_back(id);
        }
    }
    const UpstreamId id = candidates[randomBelow(m_random, candidates.size())];
    switch (randomBelow(m_random, 3)) {
    case 0:
        m_session.drainUpstream(id);
        break;
    case 1:
        m_session.drainUpstreamUnlisted(id);
        break;
    default:
        m_session.killUpstream(id);
        break;
    }
    replaceUpstream(id);
}

void FaultInjector::replaceUpstream(UpstreamId id)
{
    const fakes::FakeUpstream &old = m_session.upstream(id);
    fakes::FakeUpstreamOptions replacement = old.options();
    replacement.id = UpstreamId{m_nextUpstream++};
    replacement.endpoint = {};
    m_session.addUpstream(replacement);
    if (old.isAlive()) {
        return;
    }
    // The platform gives the address of a dead upstream to another service.
    fakes::FakeUpstreamOptions reuser = old.options();
    reuser.id = UpstreamId{m_nextUpstream++};
    reuser.service =
            serviceId(reuser.service == serviceId(BoardService) ? DeskService : BoardService);
    const Milliseconds gap{static_cast<std::int64_t>(randomBelow(m_random, 3'000))};
    m_session.events().schedule(m_session.events().now() + gap,
                                [this, reuser] { m_session.addUpstream(reuser); });
}

} // namespace damaskhall::measure
