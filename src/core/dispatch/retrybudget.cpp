#include "core/dispatch/retrybudget.h"

#include <algorithm>

namespace damaskhall {

namespace {

constexpr double RetryShare = 0.1;
/// Allows the retries for one drained or failed upstream after an idle period, but no retry storm.
constexpr double MaxAllowance = 20;

} // namespace

void RetryBudget::onRequestTaken()
{
    m_allowance = std::min(m_allowance + RetryShare, MaxAllowance);
}

bool RetryBudget::tryAcquire()
{
    if (m_allowance < 1) {
        return false;
    }
    m_allowance -= 1;
    return true;
}

} // namespace damaskhall
