#include "core/flow/gaprecovery.h"

#include <algorithm>

namespace damaskhall {

namespace {

constexpr std::uint32_t MaxRequests = 2;
/// Many round trips between data centres, and the time in which the sender fills the same gap.
constexpr Milliseconds RequestTimeout = 200_ms;

} // namespace

void GapRecovery::open(StoreRevision missing, Endpoint sender, Milliseconds readDelay,
                       Milliseconds now)
{
    if (m_isOpen) {
        m_missing = std::max(m_missing, missing);
        return;
    }
    m_isOpen = true;
    m_missing = missing;
    m_sender = sender;
    m_readDelay = readDelay;
    m_requests = 0;
    m_due = now;
}

void GapRecovery::handleKnown(StoreRevision known)
{
    if (known >= m_missing) {
        m_isOpen = false;
    }
}

GapRecovery::Step GapRecovery::next(Milliseconds now)
{
    if (!m_isOpen || now < m_due) {
        return Step::Wait;
    }
    if (m_requests >= MaxRequests) {
        m_isOpen = false;
        return Step::ReadStore;
    }
    ++m_requests;
    m_due = now + RequestTimeout + (m_requests == MaxRequests ? m_readDelay : 0_ms);
    return m_requests == 1 ? Step::AskSender : Step::AskAnyMember;
}

} // namespace damaskhall
