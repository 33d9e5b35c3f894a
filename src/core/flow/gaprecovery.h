#pragma once

#include "core/flow/changesrequest.h"

#include "base/milliseconds.h"

#include <cstdint>

namespace damaskhall {

/// Decides whom to ask for changes that are missing between the known revision and an update: first
/// the peer that sent the update, then other members, and the store if none of them answers.
///
/// Addresses the load when many upstreams change within one watch interval, or when updates are
/// lost: reads of the store by all followers would each return the heartbeats of all upstreams.
/// Deterministic. Thread safety: none.
class GapRecovery
{
public:
    /// Result of next().
    enum class Step : std::uint8_t {
        /// Nothing is due.
        Wait,
        AskSender,
        AskAnyMember,
        /// No peer has answered. The gap is closed; the caller reads the store.
        ReadStore,
    };

    /// Notes that changes up to @p missing are not known; @p sender sent the update that showed it.
    /// @p readDelay: additional wait before the store is read. It should be random, so that the
    /// first instance that reads can inform the others.
    void open(StoreRevision missing, Endpoint sender, Milliseconds readDelay, Milliseconds now);
    /// Notes that all changes up to @p known are known.
    void handleKnown(StoreRevision known);
    /// Returns the step that is due. Each step is returned once.
    Step next(Milliseconds now);

    bool isOpen() const { return m_isOpen; }
    /// Precondition: isOpen(), or next() has returned AskSender.
    Endpoint sender() const { return m_sender; }

private:
    bool m_isOpen = false;
    StoreRevision m_missing;
    Endpoint m_sender;
    Milliseconds m_readDelay;
    std::uint32_t m_requests = 0;
    Milliseconds m_due;
};

} // namespace damaskhall
