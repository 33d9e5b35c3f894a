#pragma once

#include "base/milliseconds.h"
#include "core/control/controlaction.h"
#include "core/control/controlhooks.h"

#include <cstddef>
#include <cstdint>

namespace damaskhall {

/// Decides when the platform is called. At most one call of each kind is under way; failed ones
/// are repeated with jittered exponential back-off. Thread safety: none.
class PlatformSchedule
{
public:
    enum class Call : std::uint8_t {
        Declaration,
        Instances,
        Registration,
    };

    /// What the schedule depends on.
    struct Situation
    {
        /// The own instance reads for its data centre.
        bool isReader = false;
        /// Declaration and members are known, from whatever source.
        bool isBootstrapped = false;
        bool isLeaving = false;
        /// Live members of the own data centre, itself included.
        std::size_t members = 1;
        /// Entries of the last list.
        std::size_t listed = 0;
    };

    explicit PlatformSchedule(const ControlHooks &hooks);

    void tick(const Situation &situation, Milliseconds now, ControlActions &actions);
    void handleSuccess(Call call, Milliseconds now);
    void handleFailure(Call call, Milliseconds now);
    /// Version of the key that the next watch waits to pass.
    void setVersion(std::uint64_t version) { m_version = version; }
    /// Makes the next registration due at once.
    void registerSoon() { m_calls[static_cast<std::size_t>(Call::Registration)].due = 0_ms; }

private:
    struct State
    {
        bool isPending = false;
        Milliseconds due;
        std::uint32_t failures = 0;
        Milliseconds lastStart;
    };

    State &state(Call call) { return m_calls[static_cast<std::size_t>(call)]; }
    bool start(Call call, Milliseconds now);

    ControlHooks m_hooks;
    State m_calls[3];
    std::uint64_t m_version = 0;
    /// Set after a success, cleared by a failure: a platform that comes back is read first, as its
    /// version may be lower than before.
    bool m_mayWatch = false;
};

} // namespace damaskhall
