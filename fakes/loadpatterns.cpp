#include "fakes/loadpatterns.h"

namespace damaskhall::fakes {

namespace {

constexpr ServiceId BoardService{10};

void scaleAll(FlowFleet &fleet, double factor)
{
    for (int dataCentre = 0; dataCentre < 3; ++dataCentre) {
        fleet.scaleLoad(dataCentre, factor);
    }
}

/// Time after the last request that counts, within which it is answered or given up.
constexpr Milliseconds AnswerTime = 2_s;

} // namespace

FlowFleetOptions workshopFleet(std::uint64_t seed)
{
    FlowFleetOptions options;
    options.seed = seed;
    options.loads = {
            {"feed", {1, 443}, BoardService, 97, true, 30_ms, 150_ms, 1500_ms, 2, true},
            {"claim", {2, 443}, BoardService, 28, false, 39_ms, 200_ms, 2_s, 2, false},
    };
    return options;
}

FlowFleetOptions prioritisedFleet(std::uint64_t seed)
{
    FlowFleetOptions options;
    options.seed = seed;
    options.upstreamsPerDataCentre = 6;
    options.isAdmissionControlled = true;
    options.loads = {
            {"transaction", {1, 443}, BoardService, 40, false, 40_ms, 250_ms, 2_s, 2, false, 1},
            {"lookup", {2, 443}, BoardService, 80, false, 30_ms, 250_ms, 1500_ms, 2, true, 2},
            {"feed", {3, 443}, BoardService, 40, true, 30_ms, 250_ms, 1500_ms, 2, true, 2},
    };
    return options;
}

FlowFleetOptions districtFleet(std::uint64_t seed, int instances)
{
    FlowFleetOptions options;
    options.isSpilloverEnabled = true;
    options.seed = seed;
    options.balancersPerDataCentre = instances;
    options.upstreamsPerDataCentre = 20;
    options.loads = {
            {"feed", {1, 443}, BoardService, 100, true, 30_ms, 150_ms, 1500_ms, 2, true},
            {"claim", {2, 443}, BoardService, 500, false, 30_ms, 200_ms, 2_s, 2, true},
    };
    return options;
}

std::vector<LoadPattern> overloadPatterns()
{
    const Milliseconds from = TroubleAt + 1_s;
    return {
            {"overload", [](FlowFleet &fleet) { scaleAll(fleet, 4.6); }, "transaction", from, 17_s,
             0.97, 0.95},
            {"upstreams_lost",
             [](FlowFleet &fleet) {
                 scaleAll(fleet, 3.0);
                 fleet.silenceUpstreams(2, 1_s);
             },
             "transaction", from, 17_s, 0.97, 0.95},
            {"load_at_the_threshold",
             [](FlowFleet &fleet) { fleet.alternateLoad(3.2, 1.8, 700_ms, 7_s); }, "transaction",
             from, 17_s, 0.97, 0.85},
            {"balancers_restarted",
             [](FlowFleet &fleet) {
                 scaleAll(fleet, 4.6);
                 fleet.runUntil(TroubleAt + 3_s);
                 fleet.restartBalancers(1);
             },
             "transaction", from, 17_s, 0.97, 0.95},
            // Half of the balancers is down for a second, in which the routers still send to them.
            {"balancers_killed",
             [](FlowFleet &fleet) {
                 scaleAll(fleet, 4.6);
                 fleet.runUntil(TroubleAt + 3_s);
                 fleet.loseBalancers(1, 1_s, 200_ms);
             },
             "transaction", TroubleAt + 5_s, 17_s, 0.97, 0.9},
    };
}

void startBurst(FlowFleet &fleet)
{
    fleet.scaleLoad(0, 3.3);
}

void startUnevenWaves(FlowFleet &fleet)
{
    fleet.setSpeeds({0.6, 1.0, 1.6});
    fleet.scaleLoad(0, 1.55);
    fleet.scaleLoad(1, 0.45);
}

std::vector<LoadPattern> loadPatterns()
{
    return {
            {"quiet_day", [](FlowFleet &) {}, "", 2_s, 16_s, 0.99},
            // The last balancer is back after 1.8 s; upstream queues drain within a second.
            {"return_after_outage",
             [](FlowFleet &fleet) { fleet.loseAllBalancers(1400_ms, 400_ms); }, "",
             TroubleAt + 2800_ms, 16_s, 0.98},
            {"slow_upstreams", [](FlowFleet &fleet) { fleet.slowUpstreams(1, 6); }, "claim",
             TroubleAt + 1_s, 17_s, 0.95},
            {"silent_upstreams", [](FlowFleet &fleet) { fleet.silenceUpstreams(1, 4_s); }, "claim",
             TroubleAt + 1_s, 17_s, 0.95},
            {"flapping_upstreams", [](FlowFleet &fleet) { fleet.flapUpstreams(1, 1500_ms, 6_s); },
             "claim", TroubleAt + 1_s, 17_s, 0.95},
            {"load_shifts",
             [](FlowFleet &fleet) {
                 fleet.scaleLoad(0, 2.0);
                 fleet.scaleLoad(1, 0.5);
                 fleet.scaleLoad(2, 0.5);
             },
             "", TroubleAt + 1_s, 17_s, 0.95},
            {"upstreams_replaced",
             [](FlowFleet &fleet) { fleet.replaceUpstreams(3, 1_s, 2_s, 1.6); }, "", TroubleAt,
             17_s, 0.97},
            {"burst",
             [](FlowFleet &fleet) {
                 for (int dataCentre = 0; dataCentre < 3; ++dataCentre) {
                     fleet.scaleLoad(dataCentre, 2.0);
                 }
             },
             "", TroubleAt, 17_s, 0.9},
    };
}

FlowOutcome replay(const LoadPattern &pattern, const FlowFleetOptions &options)
{
    FlowFleet fleet(options);
    fleet.runUntil(TroubleAt);
    pattern.start(fleet);
    fleet.runUntil(pattern.until + AnswerTime);
    return fleet.outcome(pattern.load, pattern.from, pattern.until);
}

} // namespace damaskhall::fakes
