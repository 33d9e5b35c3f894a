#pragma once

#include "core/flow/flowrouter.h"
#include "fakes/eventqueue.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace damaskhall::fakes {

/// Work of one kind that users ask for.
struct FlowLoad
{
    std::string name;
    Endpoint route;
    ServiceId service;
    /// Requests per second in each data centre.
    double perSecond = 0;
    /// True: users keep a flow for many requests. False: a flow for each request.
    bool isLong = false;
    Milliseconds work;
    /// An answer within this time is good.
    Milliseconds target;
    /// The user gives up after this time.
    Milliseconds limit;
    /// Further tries of a request that did not run.
    int retries = 2;
    /// Idempotent work is tried again after any failure.
    bool isIdempotent = true;
    /// Zero is the most urgent.
    std::uint32_t priority = 0;
};

struct FlowFleetOptions
{
    std::uint64_t seed = 1;
    int dataCentres = 3;
    int balancersPerDataCentre = 2;
    int upstreamsPerDataCentre = 5;
    int slots = 2;
    /// Requests that an upstream queues before it sheds.
    int queue = 8;
    std::vector<FlowLoad> loads;
    /// Baseline: the balancers place new flows at random.
    bool isPlacedAtRandom = false;
    /// The balancers may send flows out of an overloaded data centre.
    bool isSpilloverEnabled = false;
    /// One way, between parts of one data centre, and more to another one.
    Milliseconds delay = 1_ms;
    Milliseconds crossDelay = 1_ms;
    /// The balancers may refuse new flows while upstreams refuse.
    bool isAdmissionControlled = false;
};

/// What became of the requests that were asked in one window of time.
struct FlowOutcome
{
    int asked = 0;
    int inTime = 0;
    int late = 0;
    int failed = 0;

    double shareInTime() const { return asked == 0 ? 1.0 : static_cast<double>(inTime) / asked; }
};

/// Arrivals of requests at upstreams and refusals, in one window of time.
struct FlowTraffic
{
    /// Requests that reached an upstream, with further tries.
    int arrivals = 0;
    int shed = 0;
    /// Opening packets that balancers refused because of overload.
    int refused = 0;
};

/// Work of the upstreams since the start of a fleet.
struct UpstreamWork
{
    /// Opening packets that were forwarded, and those that went to another data centre.
    int openings = 0;
    int crossings = 0;
    /// Requests that arrived at upstreams, and those that were shed.
    int arrivals = 0;
    int refusals = 0;
    /// Milliseconds of work by upstream.
    std::vector<double> work;

    /// Returns what was added after @p earlier.
    UpstreamWork since(const UpstreamWork &earlier) const;
    /// Work of the busiest upstream relative to the mean; the time of a slow one counts in full.
    double imbalance() const;
};

/// Clients, routers, balancers and upstreams of several data centres in virtual time. Packets,
/// copies, retransmissions, slots, queues and shedding follow the platform's documents; answers
/// bypass the balancers. Deterministic for a seed. Thread safety: none.
class FlowFleet
{
public:
    explicit FlowFleet(const FlowFleetOptions &options);
    ~FlowFleet();
    FlowFleet(const FlowFleet &) = delete;
    FlowFleet &operator=(const FlowFleet &) = delete;

    /// Lets time pass.
    void runUntil(Milliseconds end);
    Milliseconds now() const;

    /// Takes all balancers down and brings each back after @p downTime and a random time up to
    /// @p spread, with nothing but a fresh view.
    void loseAllBalancers(Milliseconds downTime, Milliseconds spread);
    /// Makes a share of the upstreams, the first ones of each data centre, slower.
    void slowUpstreams(int perDataCentre, double factor);
    /// The first upstreams of each data centre fall silent for good; the directory learns it after
    /// @p noticed.
    void silenceUpstreams(int perDataCentre, Milliseconds noticed);
    /// The first upstreams of each data centre are silent and work again by turns, each for
    /// @p period, until @p duration is over; the directory does not learn of it.
    void flapUpstreams(int perDataCentre, Milliseconds period, Milliseconds duration);
    /// As above, for the first balancers of each data centre. The routers go on sending to them.
    void loseBalancers(int perDataCentre, Milliseconds downTime, Milliseconds spread);
    /// Restarts the first balancers of each data centre at once, with nothing but a fresh view.
    void restartBalancers(int perDataCentre);
    /// Multiplies the load of a data centre.
    void scaleLoad(int dataCentre, double factor);
    /// Multiplies the load of all data centres by two factors by turns, each for @p period, until
    /// @p duration is over; then by one.
    void alternateLoad(double first, double second, Milliseconds period, Milliseconds duration);
    /// The first upstreams of each data centre refuse all requests at once.
    void refuseUpstreams(int perDataCentre);
    /// Gives the upstreams of each data centre and service these speeds by turns.
    void setSpeeds(const std::vector<double> &speeds);
    /// Replaces one upstream after the other in each data centre, with cold ones.
    void replaceUpstreams(int perDataCentre, Milliseconds gap, Milliseconds warmup,
                          double coldFactor);

    /// Returns the requests asked in [from, until), by the name of their load; "" adds all.
    FlowOutcome outcome(const std::string &load, Milliseconds from, Milliseconds until) const;
    /// Returns the traffic of all loads in [from, until).
    FlowTraffic traffic(Milliseconds from, Milliseconds until) const;
    /// Returns the work that was done for answers in [from, until), as a share of the capacity of
    /// the upstreams that are not silent. Late answers count.
    double usedCapacity(Milliseconds from, Milliseconds until) const;
    /// Returns the work of the upstreams until now.
    UpstreamWork upstreamWork() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace damaskhall::fakes
