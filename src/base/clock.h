#pragma once

#include "base/milliseconds.h"

#include <functional>

namespace damaskhall {

/// Source of the current time in milliseconds. Tests and experiments pass a hook that returns
/// virtual time.
class Clock
{
public:
    using Source = std::function<Milliseconds()>;

    /// Reads the monotonic clock of the system.
    /// Thread safety: now() may be called from any thread.
    Clock();

    /// Reads @p source. Precondition: @p source is not empty.
    /// Thread safety: that of @p source.
    explicit Clock(Source source);

    /// Returns the time since an unspecified but fixed epoch; it never decreases.
    Milliseconds now() const;

    /// Returns the wall-clock time since 1970-01-01 UTC. Used only to build incarnations.
    /// Thread safety: any thread.
    static Milliseconds wallTime();

private:
    Source m_source;
};

} // namespace damaskhall
