#include "core/control/platformschedule.h"

#include <algorithm>

namespace damaskhall {

namespace {

constexpr Milliseconds MinListInterval = 500_ms;
/// Bounds the share of time that a reader spends on reading lists, whatever their length.
constexpr std::int64_t ListEntriesPerMillisecond = 4;
constexpr Milliseconds MinRegistrationInterval = 1_s;
/// Limits the registrations of one data centre to 20 a second, whatever its size.
constexpr Milliseconds RegistrationIntervalPerMember = 50_ms;
constexpr Milliseconds MinBackOff = 200_ms;
constexpr std::uint32_t MaxBackOffDoublings = 4;

} // namespace

PlatformSchedule::PlatformSchedule(const ControlHooks &hooks)
    : m_hooks(hooks)
{
}

bool PlatformSchedule::startIfDue(Call call, Milliseconds now)
{
    CallState &pending = state(call);
    if (pending.isPending || now < pending.due) {
        return false;
    }
    pending.isPending = true;
    pending.lastStart = now;
    if (pending.failures > 0) {
        m_hooks.countRetry(RetryReason::PlatformRetry);
    }
    return true;
}

void PlatformSchedule::tick(const Inputs &inputs, Milliseconds now, ControlActions &actions)
{
    const bool mustRead = inputs.isReader || !inputs.isBootstrapped;
    if (mustRead && startIfDue(Call::Declaration, now)) {
        actions.emplace_back(ReadDeclaration{m_declarationVersion, m_mayWatch});
    }
    if (mustRead && startIfDue(Call::Instances, now)) {
        actions.emplace_back(ReadInstances{});
        const auto listed = static_cast<std::int64_t>(inputs.listedInstanceCount);
        state(Call::Instances).due =
                now + std::max(MinListInterval, Milliseconds{listed / ListEntriesPerMillisecond});
    }
    if (startIfDue(Call::Registration, now)) {
        actions.emplace_back(RegisterSelf{inputs.isLeaving});
        const auto members = static_cast<std::int64_t>(inputs.memberCount);
        state(Call::Registration).due =
                now + std::max(MinRegistrationInterval, RegistrationIntervalPerMember * members);
    }
}

void PlatformSchedule::handleSuccess(Call call, Milliseconds now)
{
    CallState &done = state(call);
    done.isPending = false;
    done.failures = 0;
    if (call == Call::Declaration) {
        m_mayWatch = true;
        done.due = now;
    }
}

void PlatformSchedule::handleFailure(Call call, Milliseconds now)
{
    CallState &failed = state(call);
    failed.isPending = false;
    const std::uint32_t doublings = std::min(failed.failures, MaxBackOffDoublings);
    ++failed.failures;
    const Milliseconds limit = MinBackOff * (std::int64_t{1} << doublings);
    const auto jitter = randomBelow(m_hooks.random, static_cast<std::uint64_t>(limit.value) + 1);
    failed.due = now + limit + Milliseconds{static_cast<std::int64_t>(jitter)};
    if (call == Call::Declaration) {
        m_mayWatch = false;
    }
}

} // namespace damaskhall
