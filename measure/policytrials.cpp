#include "measure/policytrials.h"

#include "measure/report.h"
#include "measure/seedrunner.h"
#include "measure/statistics.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <utility>

namespace damaskhall::measure {

namespace {

/// Network delay of one hop in milliseconds.
constexpr double HopMs = 1;

/// Model of upstreams and senders in virtual time. A policy decides where each job runs.
class Trial
{
public:
    Trial(const std::vector<Arrival> &arrivals, double warmUpMs, double durationMs)
        : m_arrivals(arrivals)
        , m_warmUpMs(warmUpMs)
        , m_durationMs(durationMs)
    {
        for (const double mean : meanServiceTimes()) {
            m_upstreams.push_back({mean, 0, 0, 0, {}});
        }
    }
    virtual ~Trial() = default;
    Trial(const Trial &) = delete;
    Trial &operator=(const Trial &) = delete;

    TrialResult run()
    {
        scheduleArrival(0);
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        std::vector<double> shares;
        for (const Upstream &upstream : m_upstreams) {
            shares.push_back(upstream.measuredBusyMs /
                             (SlotsPerUpstream * (m_durationMs - m_warmUpMs)));
        }
        return {imbalance(shares), percentile(m_latencies, 0.99)};
    }

protected:
    virtual void arrive(std::size_t job) = 0;
    /// The upstream has finished @p job and has a free slot.
    virtual void finished(std::size_t job, std::size_t upstream) = 0;

    void after(double delayMs, std::function<void()> action)
    {
        m_events.push({m_now + delayMs, m_sequence++, std::move(action)});
    }

    bool isFree(std::size_t upstream) const
    {
        return m_upstreams[upstream].running < SlotsPerUpstream;
    }

    /// Starts a job. Precondition: isFree(upstream).
    void start(std::size_t job, std::size_t upstream)
    {
        Upstream &target = m_upstreams[upstream];
        const double duration = m_arrivals[job].work * target.meanMs;
        ++target.running;
        target.busyMs += duration;
        const double from = std::max(m_now, m_warmUpMs);
        const double to = std::min(m_now + duration, m_durationMs);
        target.measuredBusyMs += std::max(0.0, to - from);
        after(duration, [this, job, upstream] {
            --m_upstreams[upstream].running;
            finished(job, upstream);
        });
    }

    /// Starts a job, or queues it at the upstream if all slots are in use.
    void startOrQueue(std::size_t job, std::size_t upstream)
    {
        if (isFree(upstream)) {
            start(job, upstream);
        } else {
            m_upstreams[upstream].queue.push_back(job);
        }
    }

    void startNextQueued(std::size_t upstream)
    {
        std::deque<std::size_t> &queue = m_upstreams[upstream].queue;
        if (!queue.empty()) {
            const std::size_t job = queue.front();
            queue.pop_front();
            start(job, upstream);
        }
    }

    void answer(std::size_t job)
    {
        if (m_arrivals[job].atMs >= m_warmUpMs) {
            m_latencies.push_back(m_now - m_arrivals[job].atMs);
        }
    }

    std::size_t upstreamCount() const { return m_upstreams.size(); }
    std::uint32_t running(std::size_t upstream) const { return m_upstreams[upstream].running; }
    double busyMs(std::size_t upstream) const { return m_upstreams[upstream].busyMs; }
    double meanMs(std::size_t upstream) const { return m_upstreams[upstream].meanMs; }
    std::uint32_t sender(std::size_t job) const { return m_arrivals[job].sender; }
    double now() const { return m_now; }

private:
    struct Upstream
    {
        double meanMs = 0;
        std::uint32_t running = 0;
        /// Work started so far; after the warm-up only.
        double busyMs = 0;
        double measuredBusyMs = 0;
        std::deque<std::size_t> queue;
    };

    struct Event
    {
        double at = 0;
        std::uint64_t sequence = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::pair(at, sequence) > std::pair(other.at, other.sequence);
        }
    };

    void scheduleArrival(std::size_t job)
    {
        if (job == m_arrivals.size()) {
            return;
        }
        after(m_arrivals[job].atMs - m_now, [this, job] {
            scheduleArrival(job + 1);
            arrive(job);
        });
    }

    const std::vector<Arrival> &m_arrivals;
    double m_warmUpMs;
    double m_durationMs;
    double m_now = 0;
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event> m_events;
    std::vector<Upstream> m_upstreams;
    std::vector<double> m_latencies;
};

/// One queue that sees all slots at once, without network delays.
class SingleQueue : public Trial
{
public:
    SingleQueue(const std::vector<Arrival> &arrivals, double warmUpMs, double durationMs,
                bool prefersFastest)
        : Trial(arrivals, warmUpMs, durationMs)
        , m_prefersFastest(prefersFastest)
    {
    }

protected:
    void arrive(std::size_t job) override
    {
        m_waiting.push_back(job);
        startWaiting();
    }

    void finished(std::size_t job, std::size_t) override
    {
        answer(job);
        startWaiting();
    }

private:
    void startWaiting()
    {
        while (!m_waiting.empty()) {
            std::size_t best = upstreamCount();
            for (std::size_t i = 0; i < upstreamCount(); ++i) {
                if (isFree(i) && (best == upstreamCount() || cost(i) < cost(best))) {
                    best = i;
                }
            }
            if (best == upstreamCount()) {
                return;
            }
            start(m_waiting.front(), best);
            m_waiting.pop_front();
        }
    }

    double cost(std::size_t upstream) const
    {
        return m_prefersFastest ? meanMs(upstream) : busyMs(upstream);
    }

    bool m_prefersFastest;
    std::deque<std::size_t> m_waiting;
};

/// Senders choose on their own; upstreams queue what does not fit.
class IndependentSenders : public Trial
{
public:
    enum class Choice {
        RoundRobin,
        /// Of two random upstreams, the one with fewer requests in flight from this sender.
        TwoRandom,
    };

    IndependentSenders(const std::vector<Arrival> &arrivals, double warmUpMs, double durationMs,
                       Choice choice, RandomSource random)
        : Trial(arrivals, warmUpMs, durationMs)
        , m_choice(choice)
        , m_random(std::move(random))
        , m_inFlight(FleetBalancers, std::vector<int>(WorkshopUpstreams))
        , m_next(FleetBalancers)
    {
    }

protected:
    void arrive(std::size_t job) override
    {
        const std::size_t upstream = choose(sender(job));
        ++m_inFlight[sender(job)][upstream];
        after(HopMs, [this, job, upstream] { startOrQueue(job, upstream); });
    }

    void finished(std::size_t job, std::size_t upstream) override
    {
        startNextQueued(upstream);
        after(HopMs, [this, job, upstream] {
            --m_inFlight[sender(job)][upstream];
            answer(job);
        });
    }

private:
    std::size_t choose(std::uint32_t from)
    {
        if (m_choice == Choice::RoundRobin) {
            return m_next[from]++ % upstreamCount();
        }
        const std::size_t a = randomBelow(m_random, upstreamCount());
        const std::size_t b = randomBelow(m_random, upstreamCount());
        return m_inFlight[from][b] < m_inFlight[from][a] ? b : a;
    }

    Choice m_choice;
    RandomSource m_random;
    std::vector<std::vector<int>> m_inFlight;
    std::vector<std::size_t> m_next;
};

/// Each sender learns a concurrency limit per upstream from latency and queues the rest.
class LimitsPerSender : public Trial
{
public:
    LimitsPerSender(const std::vector<Arrival> &arrivals, double warmUpMs, double durationMs)
        : Trial(arrivals, warmUpMs, durationMs)
        , m_paths(FleetBalancers, std::vector<Path>(WorkshopUpstreams))
        , m_waiting(FleetBalancers)
    {
    }

protected:
    void arrive(std::size_t job) override
    {
        m_waiting[sender(job)].push_back(job);
        sendWaiting(sender(job));
    }

    void finished(std::size_t job, std::size_t upstream) override
    {
        startNextQueued(upstream);
        after(HopMs, [this, job, upstream] {
            learn(m_paths[sender(job)][upstream], now() - m_sentAt[job]);
            m_sentAt.erase(job);
            answer(job);
            sendWaiting(sender(job));
        });
    }

private:
    struct Path
    {
        int inFlight = 0;
        double limit = 1;
        /// Mean latency, and the lowest that this mean has been.
        double meanMs = 0;
        double lowestMs = 0;
    };

    void sendWaiting(std::uint32_t from)
    {
        std::deque<std::size_t> &waiting = m_waiting[from];
        while (!waiting.empty()) {
            std::size_t best = upstreamCount();
            for (std::size_t i = 0; i < upstreamCount(); ++i) {
                const Path &path = m_paths[from][i];
                const bool hasRoom = path.inFlight + 1 <= path.limit;
                if (hasRoom && (best == upstreamCount() ||
                                path.inFlight / path.limit <
                                        m_paths[from][best].inFlight / m_paths[from][best].limit)) {
                    best = i;
                }
            }
            if (best == upstreamCount()) {
                return;
            }
            const std::size_t job = waiting.front();
            waiting.pop_front();
            ++m_paths[from][best].inFlight;
            m_sentAt[job] = now();
            after(HopMs, [this, job, best] { startOrQueue(job, best); });
        }
    }

    static void learn(Path &path, double latencyMs)
    {
        constexpr double Weight = 0.1;
        path.meanMs =
                path.meanMs <= 0 ? latencyMs : path.meanMs + Weight * (latencyMs - path.meanMs);
        path.lowestMs = path.lowestMs <= 0 ? path.meanMs : std::min(path.lowestMs, path.meanMs);
        if (path.meanMs > 2 * path.lowestMs) {
            path.limit = std::max(1.0, path.limit * 0.9);
        } else if (path.inFlight + 1 > path.limit) {
            path.limit += 1 / path.limit;
        }
        --path.inFlight;
    }

    std::vector<std::vector<Path>> m_paths;
    std::vector<std::deque<std::size_t>> m_waiting;
    std::map<std::size_t, double> m_sentAt;
};

/// Each slot is a credit that one sender holds. A sender without a free credit asks all others;
/// whoever has a free one that it does not need hands it over.
class LentCredits : public Trial
{
public:
    LentCredits(const std::vector<Arrival> &arrivals, double warmUpMs, double durationMs)
        : Trial(arrivals, warmUpMs, durationMs)
        , m_senders(FleetBalancers)
    {
        for (std::size_t i = 0; i < WorkshopUpstreams * SlotsPerUpstream; ++i) {
            m_senders[i % FleetBalancers].credits.push_back(i % WorkshopUpstreams);
        }
    }

protected:
    void arrive(std::size_t job) override
    {
        const std::uint32_t self = sender(job);
        m_senders[self].waiting.push_back(job);
        startWaiting(self);
        if (!m_senders[self].waiting.empty()) {
            ask(self);
        }
    }

    void finished(std::size_t job, std::size_t upstream) override
    {
        after(HopMs, [this, job, upstream] {
            answer(job);
            receiveCredit(sender(job), upstream);
        });
    }

private:
    struct Sender
    {
        std::vector<std::size_t> credits;
        std::deque<std::size_t> waiting;
        /// Senders that asked and have not been served from here.
        std::deque<std::uint32_t> askers;
    };

    void startWaiting(std::uint32_t self)
    {
        Sender &state = m_senders[self];
        while (!state.waiting.empty() && !state.credits.empty()) {
            const auto best = std::min_element(
                    state.credits.begin(), state.credits.end(),
                    [this](std::size_t a, std::size_t b) { return busyMs(a) < busyMs(b); });
            const std::size_t upstream = *best;
            const std::size_t job = state.waiting.front();
            state.credits.erase(best);
            state.waiting.pop_front();
            after(HopMs, [this, job, upstream] { start(job, upstream); });
        }
    }

    void ask(std::uint32_t self)
    {
        for (std::uint32_t other = 0; other < m_senders.size(); ++other) {
            if (other == self) {
                continue;
            }
            after(HopMs, [this, self, other] {
                m_senders[other].askers.push_back(self);
                lend(other);
            });
        }
    }

    void lend(std::uint32_t self)
    {
        Sender &state = m_senders[self];
        while (!state.askers.empty() && state.waiting.empty() && !state.credits.empty()) {
            const std::uint32_t asker = state.askers.front();
            state.askers.pop_front();
            // The asker says in the same message exchange whether it still waits.
            if (m_senders[asker].waiting.empty()) {
                continue;
            }
            const std::size_t upstream = state.credits.back();
            state.credits.pop_back();
            after(HopMs, [this, asker, upstream] { receiveCredit(asker, upstream); });
        }
    }

    void receiveCredit(std::uint32_t self, std::size_t upstream)
    {
        m_senders[self].credits.push_back(upstream);
        startWaiting(self);
        lend(self);
    }

    std::vector<Sender> m_senders;
};

/// Senders try random upstreams; one without a free slot sheds, and the sender tries again.
class ShedAndRetry : public Trial
{
public:
    ShedAndRetry(const std::vector<Arrival> &arrivals, double warmUpMs, double durationMs,
                 RandomSource random)
        : Trial(arrivals, warmUpMs, durationMs)
        , m_random(std::move(random))
    {
    }

protected:
    void arrive(std::size_t job) override { tryAt(job, 0); }

    void finished(std::size_t job, std::size_t) override
    {
        after(HopMs, [this, job] { answer(job); });
    }

private:
    void tryAt(std::size_t job, int tries)
    {
        const std::size_t upstream = randomBelow(m_random, upstreamCount());
        after(HopMs, [this, job, tries, upstream] {
            if (isFree(upstream)) {
                start(job, upstream);
                return;
            }
            constexpr int MaxDoublings = 5;
            const double backOffMs = randomUnit(m_random) * (1 << std::min(tries, MaxDoublings));
            after(HopMs + backOffMs, [this, job, tries] { tryAt(job, tries + 1); });
        });
    }

    RandomSource m_random;
};

/// One process queues all work of the service. It permits a request shortly before a slot is
/// expected to be free, so that the permit's round trip does not leave the slot idle.
class OneDispatcher : public Trial
{
public:
    using Trial::Trial;

protected:
    void arrive(std::size_t job) override
    {
        after(HopMs, [this, job] {
            m_waiting.push_back(job);
            step();
        });
    }

    void finished(std::size_t job, std::size_t upstream) override
    {
        // The dispatcher sees the free slot and passes on the answer after one hop.
        after(HopMs, [this, job, upstream] {
            --m_inUse[upstream];
            after(2 * HopMs, [this, job] { answer(job); });
            step();
        });
    }

private:
    /// Dispatcher to caller, caller to a balancer, balancer to dispatcher.
    static constexpr double PermitRoundTripMs = 3 * HopMs;

    void step()
    {
        startExecutable();
        while (!m_waiting.empty() && m_permitted + m_executable.size() < permitLimit()) {
            const std::size_t job = m_waiting.front();
            m_waiting.pop_front();
            ++m_permitted;
            after(PermitRoundTripMs, [this, job] {
                --m_permitted;
                m_executable.push_back(job);
                step();
            });
        }
    }

    void startExecutable()
    {
        while (!m_executable.empty()) {
            std::size_t best = upstreamCount();
            for (std::size_t i = 0; i < upstreamCount(); ++i) {
                const bool hasRoom = m_inUse[i] < SlotsPerUpstream;
                if (hasRoom && (best == upstreamCount() || busyMs(i) < busyMs(best))) {
                    best = i;
                }
            }
            if (best == upstreamCount()) {
                return;
            }
            ++m_inUse[best];
            const std::size_t job = m_executable.front();
            m_executable.pop_front();
            after(HopMs, [this, job, best] { start(job, best); });
        }
    }

    /// Free slots and the completions expected during one permit round trip.
    std::size_t permitLimit() const
    {
        double expected = 0;
        for (std::size_t i = 0; i < upstreamCount(); ++i) {
            expected += SlotsPerUpstream - m_inUse[i];
            expected += m_inUse[i] * PermitRoundTripMs / meanMs(i);
        }
        return static_cast<std::size_t>(std::ceil(expected));
    }

    std::deque<std::size_t> m_waiting;
    std::deque<std::size_t> m_executable;
    std::size_t m_permitted = 0;
    std::vector<std::uint32_t> m_inUse = std::vector<std::uint32_t>(WorkshopUpstreams);
};

struct Policy
{
    std::string name;
    std::function<std::unique_ptr<Trial>(const std::vector<Arrival> &, double warmUpMs,
                                         double durationMs, std::uint64_t seed)>
            make;
};

std::vector<Policy> policies()
{
    using Arrivals = const std::vector<Arrival> &;
    return {
            {"fastest_free_queue",
             [](Arrivals arrivals, double warmUp, double duration, std::uint64_t) {
                 return std::make_unique<SingleQueue>(arrivals, warmUp, duration, true);
             }},
            {"round_robin",
             [](Arrivals arrivals, double warmUp, double duration, std::uint64_t seed) {
                 return std::make_unique<IndependentSenders>(arrivals, warmUp, duration,
                                                             IndependentSenders::Choice::RoundRobin,
                                                             seededRandom(seed));
             }},
            {"random_of_two",
             [](Arrivals arrivals, double warmUp, double duration, std::uint64_t seed) {
                 return std::make_unique<IndependentSenders>(arrivals, warmUp, duration,
                                                             IndependentSenders::Choice::TwoRandom,
                                                             seededRandom(seed));
             }},
            {"limits_per_sender",
             [](Arrivals arrivals, double warmUp, double duration, std::uint64_t) {
                 return std::make_unique<LimitsPerSender>(arrivals, warmUp, duration);
             }},
            {"lent_credits",
             [](Arrivals arrivals, double warmUp, double duration, std::uint64_t) {
                 return std::make_unique<LentCredits>(arrivals, warmUp, duration);
             }},
            {"shed_and_retry",
             [](Arrivals arrivals, double warmUp, double duration, std::uint64_t seed) {
                 return std::make_unique<ShedAndRetry>(arrivals, warmUp, duration,
                                                       seededRandom(seed));
             }},
            {"one_dispatcher",
             [](Arrivals arrivals, double warmUp, double duration, std::uint64_t) {
                 return std::make_unique<OneDispatcher>(arrivals, warmUp, duration);
             }},
    };
}

/// Results of all policies in one run; the ideal queue comes first.
std::vector<TrialResult> runPolicies(std::uint64_t seed, double load, double warmUpMs,
                                     double durationMs)
{
    const std::vector<Arrival> arrivals = poissonArrivals(seededRandom(seed), load, durationMs);
    std::vector<TrialResult> results = {runIdealQueue(arrivals, warmUpMs, durationMs)};
    for (const Policy &policy : policies()) {
        results.push_back(policy.make(arrivals, warmUpMs, durationMs, seed + 1)->run());
    }
    return results;
}

std::vector<Row> summarisePolicy(const std::string &name, std::size_t index,
                                 const std::vector<std::vector<TrialResult>> &runs,
                                 const std::string &inputs)
{
    std::vector<double> imbalances;
    std::vector<double> ratios;
    for (const std::vector<TrialResult> &run : runs) {
        imbalances.push_back(run[index].imbalance);
        ratios.push_back(run[index].p99Ms / run.front().p99Ms);
    }
    std::vector<Row> rows = summarise({name + ".imbalance", "ratio"}, imbalances, inputs);
    append(rows, summarise({name + ".p99_ratio", "ratio"}, ratios, inputs));
    return rows;
}

} // namespace

TrialResult runIdealQueue(const std::vector<Arrival> &arrivals, double warmUpMs, double durationMs)
{
    return SingleQueue(arrivals, warmUpMs, durationMs, false).run();
}

std::vector<Row> measurePolicies(const MeasureOptions &options)
{
    const double durationMs = options.quick ? 20'000 : 70'000;
    const double warmUpMs = options.quick ? 5'000 : 10'000;
    std::vector<Row> rows;
    for (const int percent : {70, 90}) {
        const std::function<std::vector<TrialResult>(std::uint64_t)> experiment =
                [&](std::uint64_t seed) {
                    return runPolicies(seed, percent / 100.0, warmUpMs, durationMs);
                };
        const auto runs = runSeeds(options, experiment);
        const std::string load = std::to_string(percent);
        const std::string inputs =
                "load=" + load + "% upstreams=14 slots=2 senders=9 hop_ms=1 mean_ms=25..100";
        const std::string prefix = "policy." + load + ".";
        append(rows, summarisePolicy(prefix + "ideal_queue", 0, runs, inputs));
        std::size_t index = 1;
        for (const Policy &policy : policies()) {
            append(rows, summarisePolicy(prefix + policy.name, index++, runs, inputs));
        }
    }
    return rows;
}

} // namespace damaskhall::measure
