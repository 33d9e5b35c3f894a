#pragma once

#include "base/milliseconds.h"

namespace damaskhall {

/// Rate of events over a decaying window. Thread safety: none. @c now must not decrease.
class RateMeter
{
public:
    void count(Milliseconds now);
    /// Events per millisecond.
    double rate(Milliseconds now) const;

private:
    double m_sum = 0;
    Milliseconds m_at;
};

} // namespace damaskhall
