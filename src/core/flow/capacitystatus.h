#pragma once

#include "core/flow/upstreamentry.h"

#include <cstdint>
#include <string>
#include <vector>

namespace damaskhall {

/// What one traffic thread has learned about the capacity of upstreams, for metrics. Thread safety:
/// a plain value.
struct CapacityStatus
{
    /// An upstream that refuses requests.
    struct RefusingUpstream
    {
        UpstreamKey key;
        double refusalShare = 0;
        /// Time since its last answer.
        Milliseconds age;
    };

    /// Those that refuse most, in descending order of their share.
    std::vector<RefusingUpstream> refusing;

    /// Share of the new flows of a service that leaves the own data centre.
    struct Spill
    {
        std::string service;
        double share = 0;
    };

    /// Load of a service in a data centre.
    struct Load
    {
        std::string service;
        DataCentreId dataCentre;
        bool isOwn = false;
        double refusalShare = 0;
        double slowdown = 1;
        Milliseconds age;
    };

    std::vector<Spill> spills;
    std::vector<Load> loads;
    /// New flows to other data centres: chosen because the own one is overloaded, and because its
    /// upstreams had more open work or none could take the flow.
    std::uint64_t spilledFlows = 0;
    std::uint64_t otherRemoteFlows = 0;
};

} // namespace damaskhall
