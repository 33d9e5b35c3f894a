#include "core/dispatch/ratemeter.h"

#include <cmath>

namespace damaskhall {

namespace {

constexpr double WindowMs = 1'000;

double decay(Milliseconds elapsed)
{
    return std::exp(-static_cast<double>(elapsed.value) / WindowMs);
}

} // namespace

void RateMeter::count(Milliseconds now)
{
    m_sum = m_sum * decay(now - m_updatedAt) + 1;
    m_updatedAt = now;
}

double RateMeter::rate(Milliseconds now) const
{
    return m_sum * decay(now - m_updatedAt) / WindowMs;
}

} // namespace damaskhall
