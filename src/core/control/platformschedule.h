#pragma once

#include "base/milliseconds.h"
#include "core/control/controlaction.h"
#include "core/control/controlhooks.h"

#include <cstddef>
#include <cstdint>

namespace damaskhall {

/// Schedules the platform calls. At most one call of each kind is in progress; failed calls are
/// retried with jittered exponential back-off. Thread safety: none.
class PlatformSchedule
{
public:
    enum class Call : std::uint8_t {
        Declaration,
        Instances,
        Registration,
    };

    /// State on which the schedule depends.
    struct Inputs
    {
        /// The local instance is a platform reader of its data centre.
        bool isReader = false;
        /// Declaration and members are known, whatever their source.
        bool isBootstrapped = false;
        bool isLeaving = false;
        /// Live members of the data centre, including the local instance.
        std::size_t memberCount = 1;
        /// Number of entries of the last instance list.
        std::size_t listedInstanceCount = 0;
    };

    explicit PlatformSchedule(const ControlHooks &hooks);

    void tick(const Inputs &inputs, Milliseconds now, ControlActions &actions);
    void handleSuccess(Call call, Milliseconds now);
    void handleFailure(Call call, Milliseconds now);
    /// Sets the version of the declaration key after which the next watch returns.
    void setDeclarationVersion(std::uint64_t version) { m_declarationVersion = version; }
    /// Makes the next registration due immediately.
    void requestRegistration() { m_calls[static_cast<std::size_t>(Call::Registration)].due = 0_ms; }

private:
    struct CallState
    {
        bool isPending = false;
        Milliseconds due;
        std::uint32_t failures = 0;
        Milliseconds lastStart;
    };

    CallState &state(Call call) { return m_calls[static_cast<std::size_t>(call)]; }
    bool startIfDue(Call call, Milliseconds now);

    ControlHooks m_hooks;
    CallState m_calls[3];
    std::uint64_t m_declarationVersion = 0;
    /// Set after a success, cleared by a failure. After an outage the key is read before it is
    /// watched, as its version may be lower than before.
    bool m_mayWatch = false;
};

} // namespace damaskhall
