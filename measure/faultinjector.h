#pragma once

#include "fakes/session.h"

#include <cstdint>
#include <set>
#include <string>
#include <utility>

namespace damaskhall::measure {

/// Injects random faults into a session: kills, restarts, freezes and planned stops of balancers;
/// drains and kills of upstreams, whose addresses are reused by the other service.
/// Thread safety: none.
class FaultInjector
{
public:
    /// Precondition: @p session lives until its last event has run, and so does the object.
    FaultInjector(fakes::Session &session, RandomSource random);
    FaultInjector(const FaultInjector &) = delete;
    FaultInjector &operator=(const FaultInjector &) = delete;

    /// Injects faults at random times, @p meanGap apart on average, until @p end.
    void start(Milliseconds meanGap, Milliseconds end);

    /// True if this process was killed, frozen or stopped: requests that it owned may be unknown.
    bool wasDisturbed(InstanceId balancer, Incarnation incarnation) const
    {
        return m_disturbed.count({balancer, incarnation}) != 0;
    }

private:
    void scheduleNext(Milliseconds meanGap, Milliseconds end);
    void injectOne();
    void disturbBalancer();
    void disturbUpstream();
    void stopGracefully(std::uint32_t index);
    void restartLater(std::uint32_t index);
    void replaceUpstream(UpstreamId id);

    fakes::Session &m_session;
    RandomSource m_random;
    std::uint64_t m_nextUpstream = 1'000;
    std::set<std::uint32_t> m_busyBalancers;
    std::set<std::pair<InstanceId, Incarnation>> m_disturbed;
};

} // namespace damaskhall::measure
