#pragma once

#include "core/flow/answerclassifier.h"
#include "core/flow/capacitystatus.h"
#include "core/flow/flowview.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace damaskhall {

/// Index of an entry of the table; stable while the upstream is in the view or holds flows.
using UpstreamStatsId = StrongId<struct UpstreamStatsTag, std::uint32_t>;

/// Statistics of one upstream, collected by one traffic thread from the packets of its clients.
struct UpstreamStats
{
    UpstreamKey key;
    ServiceId service;
    /// Flows that were opened and not closed.
    std::uint32_t openFlows = 0;
    /// Flows with a recent unanswered request.
    std::uint32_t busyFlows = 0;
    /// Flows with a recent unanswered opening packet.
    std::uint32_t openingFlows = 0;
    /// Time of the first opening packet since the last sign of life of the upstream.
    std::optional<Milliseconds> silentSince;
    Milliseconds lastOpeningAt;
    /// Further opening packets since silentSince.
    std::uint32_t unansweredOpenings = 0;
    /// Time of the last client packet that proves a response of the upstream.
    Milliseconds lastAliveAt;
    /// Start of the time for which a request has been pending without any sign of life.
    std::optional<Milliseconds> stalledSince;
    /// When the upstream was last found unreachable by failed connection attempts; reset by a sign
    /// of life.
    std::optional<Milliseconds> unreachableAt;
    /// Smoothed time from request to answer in milliseconds; zero if there is no sample yet.
    double answerTime = 0;
    Milliseconds sampledAt;
    /// Smoothed share of refusals among the answers that were told apart, at refusalSampledAt.
    double refusalShare = 0;
    Milliseconds refusalSampledAt;
};

/// Statistics of all upstreams, as seen by one traffic thread. Thread safety: none.
class UpstreamStatsTable
{
public:
    /// Adds entries for new upstreams, and removes those of upstreams that are not in the view and
    /// hold no flows.
    void handleView(const FlowView &view);

    /// Returns the entry of an upstream, adding it if needed.
    UpstreamStatsId open(const UpstreamEntry &entry);
    UpstreamStats &at(UpstreamStatsId id) { return m_stats[id.value]; }
    const UpstreamStats &at(UpstreamStatsId id) const { return m_stats[id.value]; }
    /// Returns the statistics, or null.
    const UpstreamStats *find(UpstreamKey key) const;

    /// Returns the id of an entry, or nothing.
    std::optional<UpstreamStatsId> findId(UpstreamKey key) const;

    /// Records that an opening packet was sent to the upstream.
    void recordOpening(UpstreamStatsId id, Milliseconds now);
    /// Records that a request was sent to the upstream.
    void recordRequest(UpstreamStatsId id, Milliseconds now);
    /// Records that a client's packet proved a response of the upstream.
    void recordLiveness(UpstreamStatsId id, Milliseconds now);
    /// Records the time from a request to its answer. A refusal is no sample of the answer time,
    /// and an unknown answer none of the refusal share.
    void recordAnswer(UpstreamStatsId id, AnswerKind kind, Milliseconds duration, Milliseconds now);

    /// Updates the averages over all upstreams; call at regular intervals.
    void tick();

    /// Average share of time for which an open flow occupies a slot.
    double meanBusyShare() const { return m_meanBusyShare; }
    /// Returns the mean time from request to answer over all upstreams of a service in
    /// milliseconds; zero if unknown.
    double meanAnswerTime(ServiceId service) const;

    /// Returns the refusal share of an upstream, which lapses with the age of its last sample.
    static double refusalShare(const UpstreamStats &stats, Milliseconds now);
    /// Returns the smoothed refusal share over all upstreams of a service.
    double meanRefusalShare(ServiceId service) const;
    /// Returns by how much less work an upstream should get than the others of its service: the
    /// ratio of the shares that they serve, at least 1.
    double refusalFactor(const UpstreamStats &stats, Milliseconds now) const;
    /// Returns the upstreams that refuse most, at most 16.
    std::vector<CapacityStatus::RefusingUpstream> refusingUpstreams(Milliseconds now) const;

private:
    std::vector<UpstreamStats> m_stats;
    std::vector<std::uint32_t> m_free;
    std::unordered_map<UpstreamKey, std::uint32_t> m_index;
    /// Initial value until there are samples. Idle flows must count as load, or they would
    /// accumulate at one upstream.
    double m_meanBusyShare = 0.05;
    std::unordered_map<ServiceId, double> m_meanAnswerTimes;
    std::unordered_map<ServiceId, double> m_meanRefusalShares;
};

} // namespace damaskhall
