#pragma once

#include "core/flow/flowview.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace damaskhall {

/// Index of a ledger account; stable while the upstream is in the view or holds flows.
using AccountId = StrongId<struct AccountTag, std::uint32_t>;

/// What one traffic thread has seen of one upstream, from the clients' half of its flows.
struct UpstreamAccount
{
    UpstreamKey key;
    ServiceId service;
    /// Flows that were opened and not closed.
    std::uint32_t openFlows = 0;
    /// Flows with a recent request that has no answer yet.
    std::uint32_t busyFlows = 0;
    /// Flows with a recent opening packet that has no answer yet.
    std::uint32_t openingFlows = 0;
    /// Time of the first opening packet since which the upstream gave no sign of life.
    std::optional<Milliseconds> silentSince;
    Milliseconds lastOpeningAt;
    /// Opening packets since the upstream fell silent.
    std::uint32_t failedTries = 0;
    /// Last packet of a client that proves an answer.
    Milliseconds lastSign;
    /// Since when a request waits without any sign of life.
    std::optional<Milliseconds> stalledSince;
    /// Last verdict of failed connection attempts since which the upstream gave no sign of life.
    std::optional<Milliseconds> unreachableAt;
    /// Last time that a connection attempt was asked for.
    std::optional<Milliseconds> probedAt;
    /// Failed attempts in a row, and when the first of them was asked for.
    std::uint32_t failedProbes = 0;
    Milliseconds probedSince;
    /// Smoothed time from request to answer in milliseconds; zero: no sample yet.
    double answerTime = 0;
    Milliseconds sampledAt;
};

/// Accounts of all upstreams as one traffic thread sees them. Thread safety: none.
class UpstreamLedger
{
public:
    /// Opens accounts for new upstreams and closes those of upstreams that left the view and hold
    /// no flow.
    void handleView(const FlowView &view);

    /// Returns the account of an upstream, opening it if needed.
    AccountId open(const UpstreamEntry &entry);
    UpstreamAccount &at(AccountId id) { return m_accounts[id.value]; }
    const UpstreamAccount &at(AccountId id) const { return m_accounts[id.value]; }
    /// Returns the account, or null.
    const UpstreamAccount *find(UpstreamKey key) const;

    /// Returns the id of an account, or nothing.
    std::optional<AccountId> findId(UpstreamKey key) const;

    /// Notes that an opening packet went to the upstream.
    void noteOpening(AccountId id, Milliseconds now);
    /// Notes that a request went to the upstream.
    void noteRequest(AccountId id, Milliseconds now);
    /// Notes that a client's packet proved an answer of the upstream.
    void noteSign(AccountId id, Milliseconds now);
    /// Time of the last sign of any upstream.
    Milliseconds lastSign() const { return m_lastSign; }
    /// Notes the time from a request to its answer.
    void noteAnswer(AccountId id, Milliseconds duration, Milliseconds now);

    /// Smooths the fleet's averages; call at regular times.
    void tick();

    /// Mean part of a slot that an open flow keeps busy.
    double busyPerFlow() const { return m_busyPerFlow; }
    /// Returns the mean time from request to answer over all upstreams of a service in
    /// milliseconds; zero: unknown.
    double meanAnswerTime(ServiceId service) const;

private:
    std::vector<UpstreamAccount> m_accounts;
    std::vector<std::uint32_t> m_free;
    std::unordered_map<UpstreamKey, std::uint32_t> m_index;
    /// Until it is measured: idle flows must count, or they gather at one upstream.
    Milliseconds m_lastSign;
    double m_busyPerFlow = 0.05;
    std::unordered_map<ServiceId, double> m_meanAnswerTimes;
};

} // namespace damaskhall
