#pragma once

#include "base/milliseconds.h"

namespace damaskhall {

/// Exponentially decaying average rate of events. Thread safety: none. @c now must not decrease.
class RateMeter
{
public:
    void count(Milliseconds now);
    /// Events per millisecond.
    double rate(Milliseconds now) const;

private:
    double m_sum = 0;
    Milliseconds m_updatedAt;
};

} // namespace damaskhall
