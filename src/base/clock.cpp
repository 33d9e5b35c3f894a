#include "base/clock.h"

#include <cassert>
#include <chrono>
#include <utility>

namespace damaskhall {

namespace {

template <typename ChronoClock>
Milliseconds readChrono()
{
    const auto elapsed = ChronoClock::now().time_since_epoch();
    return {std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count()};
}

} // namespace

Clock::Clock()
    : m_source(&readChrono<std::chrono::steady_clock>)
{
}

Clock::Clock(Source source)
    : m_source(std::move(source))
{
    assert(m_source);
}

Milliseconds Clock::now() const
{
    return m_source();
}

Milliseconds Clock::wallTime()
{
    return readChrono<std::chrono::system_clock>();
}

} // namespace damaskhall
