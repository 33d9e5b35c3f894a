#include "fakes/flowfleet.h"

#include "fakes/randomforwarder.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <numeric>
#include <optional>
#include <set>
#include <utility>

namespace damaskhall::fakes {

namespace {

constexpr Milliseconds FirstCopy = 200_ms;
constexpr Milliseconds SecondCopy = 600_ms;
constexpr Milliseconds OpeningLimit = 1400_ms;
constexpr Milliseconds FirstRetransmission = 200_ms;
constexpr Milliseconds MaxRetransmission = 1600_ms;
constexpr Milliseconds ProbeTimeout = 150_ms;
constexpr Milliseconds RouterTick = 100_ms;
constexpr std::uint16_t RequestBytes = 500;
constexpr std::uint32_t AnswerBytes = 1000;
constexpr std::uint32_t RefusalBytes = 150;
constexpr Milliseconds WorkBucket = 100_ms;
/// Users of a long flow ask once a second each.
constexpr double LongRequestsPerUser = 1.0;

struct Request
{
    std::size_t load = 0;
    int dataCentre = 0;
    Milliseconds askedAt;
    int triesLeft = 0;
    bool isSettled = false;
};

enum class Answer : std::uint8_t {
    Ok,
    NotRun,
};

} // namespace

struct FlowFleet::Private
{
    struct Upstream
    {
        UpstreamRecord record;
        int dataCentre = 0;
        double factor = 1;
        Milliseconds coldUntil;
        double coldFactor = 1;
        bool isSilent = false;
        bool isRefusing = false;
        int busy = 0;
        std::deque<std::uint64_t> queue;
    };

    struct Balancer
    {
        int dataCentre = 0;
        bool isUp = true;
        std::unique_ptr<FlowRouter> router;
        /// Takes the router's place in the baseline.
        std::optional<RandomForwarder> random;
    };

    /// Client's end of a flow.
    struct ClientFlow
    {
        FlowPacket packet;
        std::size_t load = 0;
        int dataCentre = 0;
        bool isOpen = false;
        bool isOver = false;
        /// Sequence number of the request under way; zero: none.
        std::uint32_t pendingSequence = 0;
        std::shared_ptr<Request> request;
        std::optional<std::size_t> upstream;
        std::uint64_t user = 0;
    };

    explicit Private(const FlowFleetOptions &fleetOptions)
        : options(fleetOptions)
        , random(seededRandom(fleetOptions.seed))
    {
        auto table = std::make_shared<RouteTable>();
        table->revision = {1};
        table->idleTimeout = 60_s;
        for (const FlowLoad &load : options.loads) {
            table->routes[load.route] = {load.name,   {{load.service, 1}}, RouteKind::Idempotent,
                                         load.target, load.limit,          load.priority};
        }
        routes = table;
        factors.assign(static_cast<std::size_t>(options.dataCentres), 1.0);
        for (int dc = 0; dc < options.dataCentres; ++dc) {
            for (int i = 0; i < options.upstreamsPerDataCentre; ++i) {
                for (const ServiceId service : services()) {
                    addUpstream(dc, service);
                }
            }
        }
        // Each balancer starts with a view of all upstreams.
        for (int dc = 0; dc < options.dataCentres; ++dc) {
            for (int i = 0; i < options.balancersPerDataCentre; ++i) {
                balancers.push_back({dc, true, nullptr, {}});
                restart(balancers.back());
            }
        }
        startUsers();
        tick();
    }

    std::vector<ServiceId> services() const
    {
        std::vector<ServiceId> found;
        for (const FlowLoad &load : options.loads) {
            if (std::find(found.begin(), found.end(), load.service) == found.end()) {
                found.push_back(load.service);
            }
        }
        return found;
    }

    std::size_t addUpstream(int dataCentre, ServiceId service)
    {
        Upstream upstream;
        upstream.dataCentre = dataCentre;
        UpstreamEntry &entry = upstream.record.entry;
        entry.key = {UpstreamId{upstreams.size() + 1}, Incarnation{1}};
        entry.service = service;
        entry.endpoint = {static_cast<std::uint32_t>(upstreams.size() + 1), 8000};
        entry.dataCentre.value = static_cast<std::uint32_t>(dataCentre + 1);
        entry.slots = static_cast<std::uint32_t>(options.slots);
        upstreams.push_back(upstream);
        return upstreams.size() - 1;
    }

    void restart(Balancer &balancer)
    {
        FlowRouterHooks hooks;
        hooks.random = seededRandom(random());
        hooks.report = [](const FlowPacket &, const FlowDecision &, Milliseconds) {};
        hooks.reportAnswer = [](const FlowPacket &, UpstreamKey, Milliseconds, Milliseconds) {};
        hooks.reportOpening = [](const FlowPacket &, Milliseconds) {};
        hooks.probe = [this, &balancer](UpstreamKey key, Endpoint endpoint) {
            const Milliseconds limit =
                    upstreams[endpoint.address - 1].isSilent ? ProbeTimeout : 2_ms;
            events.schedule(events.now() + limit, [this, &balancer, key, endpoint] {
                finishProbe(balancer, key, !upstreams[endpoint.address - 1].isSilent);
            });
        };
        hooks.reportWithheld = [](UpstreamKey, WithheldReason) {};
        hooks.confirmDeclaration = [] {};
        FlowRouterOptions router;
        router.dataCentre.value = static_cast<std::uint32_t>(balancer.dataCentre + 1);
        router.isAdmissionControlled = options.isAdmissionControlled;
        router.isSpilloverEnabled = options.isSpilloverEnabled;
        balancer.router = std::make_unique<FlowRouter>(router, std::move(hooks));
        if (options.isPlacedAtRandom) {
            balancer.random.emplace(seededRandom(random()));
        }
        handleView(balancer, view());
        balancer.isUp = true;
    }

    static void handleView(Balancer &balancer, const std::shared_ptr<const FlowView> &view)
    {
        balancer.router->handleView(view);
        if (balancer.random) {
            balancer.random->handleView(view);
        }
    }

    FlowDecision decide(Balancer &balancer, const FlowPacket &packet) const
    {
        return balancer.random ? balancer.random->handlePacket(packet)
                               : balancer.router->handlePacket(packet, events.now());
    }

    void finishProbe(Balancer &balancer, UpstreamKey key, bool isReachable)
    {
        if (!balancer.isUp) {
            return;
        }
        for (const FlowPacket &packet :
             balancer.router->handleProbe(key, isReachable, events.now())) {
            reset(packet);
        }
    }

    std::shared_ptr<const FlowView> view() const
    {
        std::vector<UpstreamRecord> records;
        for (const Upstream &upstream : upstreams) {
            records.push_back(upstream.record);
        }
        return std::make_shared<const FlowView>(routes, std::move(records), true);
    }

    void publish()
    {
        for (Balancer &balancer : balancers) {
            if (balancer.isUp) {
                handleView(balancer, view());
            }
        }
    }

    void tick()
    {
        for (Balancer &balancer : balancers) {
            if (balancer.isUp) {
                balancer.router->tick(events.now());
            }
        }
        events.schedule(events.now() + RouterTick, [this] { tick(); });
    }

    // Users.

    void startUsers()
    {
        for (int dc = 0; dc < options.dataCentres; ++dc) {
            for (std::size_t load = 0; load < options.loads.size(); ++load) {
                const FlowLoad &kind = options.loads[load];
                if (kind.isLong) {
                    const int users = std::max(
                            1, static_cast<int>(std::lround(kind.perSecond / LongRequestsPerUser)));
                    for (int user = 0; user < users; ++user) {
                        thinkLong(dc, load, nextUser++);
                    }
                } else {
                    scheduleArrival(dc, load);
                }
            }
        }
    }

    Milliseconds exponential(double mean) const
    {
        const double value = -mean * std::log(1.0 - randomUnit(random));
        return {std::llround(std::min(value, mean * 8))};
    }

    void scheduleArrival(int dc, std::size_t load)
    {
        const double rate = options.loads[load].perSecond * factors[static_cast<std::size_t>(dc)];
        events.schedule(events.now() + exponential(1000.0 / rate), [this, dc, load] {
            ask(dc, load, nextUser++);
            scheduleArrival(dc, load);
        });
    }

    void thinkLong(int dc, std::size_t load, std::uint64_t user)
    {
        const double mean = 1000.0 / (LongRequestsPerUser * factors[static_cast<std::size_t>(dc)]);
        events.schedule(events.now() + exponential(mean), [this, dc, load, user] {
            ask(dc, load, user);
            thinkLong(dc, load, user);
        });
    }

    void ask(int dc, std::size_t load, std::uint64_t user)
    {
        auto request = std::make_shared<Request>();
        request->load = load;
        request->dataCentre = dc;
        request->askedAt = events.now();
        request->triesLeft = options.loads[load].retries;
        requests.push_back(request);
        events.schedule(events.now() + options.loads[load].limit,
                        [this, request, user] { giveUp(request, user); });
        tryRequest(request, user);
    }

    // A user that gives up leaves its flow: the answer may still come on it.
    void giveUp(const std::shared_ptr<Request> &request, std::uint64_t user)
    {
        if (request->isSettled) {
            return;
        }
        request->isSettled = true;
        const auto held = longFlows.find(user);
        if (held != longFlows.end() && held->second->request == request) {
            held->second->isOver = true;
            longFlows.erase(held);
        }
    }

    void tryRequest(const std::shared_ptr<Request> &request, std::uint64_t user)
    {
        const bool isLong = options.loads[request->load].isLong;
        if (const auto held = longFlows.find(user); isLong && held != longFlows.end()) {
            if (held->second->request && !held->second->request->isSettled) {
                // The user's earlier request is still under way: a second flow.
                openFlow(request, user);
                return;
            }
            held->second->request = request;
            sendRequest(held->second);
            return;
        }
        openFlow(request, user);
    }

    void openFlow(const std::shared_ptr<Request> &request, std::uint64_t user)
    {
        auto flow = std::make_shared<ClientFlow>();
        flow->load = request->load;
        flow->dataCentre = request->dataCentre;
        flow->request = request;
        flow->user = user;
        flow->packet.key = {{static_cast<std::uint32_t>(0x64400000 + flows.size() / 60'000),
                             static_cast<std::uint16_t>(1024 + flows.size() % 60'000)},
                            options.loads[request->load].route};
        flows.push_back(flow);
        flowsByKey[flow->packet.key] = flow;
        if (options.loads[request->load].isLong) {
            longFlows[user] = flow;
        }
        for (std::uint32_t copy = 0; copy < 3; ++copy) {
            const Milliseconds after = copy == 0 ? 0_ms : copy == 1 ? FirstCopy : SecondCopy;
            events.schedule(events.now() + after, [this, flow, copy] {
                if (!flow->isOpen && !flow->isOver) {
                    FlowPacket packet = flow->packet;
                    packet.isOpening = true;
                    packet.sequence = 1000;
                    packet.copy = copy;
                    sendPacket(*flow, packet);
                }
            });
        }
        events.schedule(events.now() + OpeningLimit, [this, flow] {
            if (!flow->isOpen && !flow->isOver) {
                fail(flow, true);
            }
        });
    }

    // Ends the try; the request is tried again if it may be.
    void fail(const std::shared_ptr<ClientFlow> &flow, bool isNotRun)
    {
        flow->isOver = true;
        if (const auto held = longFlows.find(flow->user);
            held != longFlows.end() && held->second == flow) {
            longFlows.erase(held);
        }
        const auto request = flow->request;
        const bool mayRepeat = isNotRun || options.loads[flow->load].isIdempotent;
        if (request && !request->isSettled && mayRepeat && request->triesLeft > 0) {
            --request->triesLeft;
            openFlow(request, flow->user);
        }
    }

    void sendRequest(const std::shared_ptr<ClientFlow> &flow)
    {
        flow->pendingSequence = flow->packet.sequence;
        transmit(flow, flow->pendingSequence, FirstRetransmission);
    }

    void transmit(const std::shared_ptr<ClientFlow> &flow, std::uint32_t sequence,
                  Milliseconds interval)
    {
        if (flow->isOver || flow->pendingSequence != sequence || flow->request->isSettled) {
            return;
        }
        FlowPacket packet = flow->packet;
        packet.sequence = sequence;
        packet.length = RequestBytes;
        sendPacket(*flow, packet);
        // The upstream's end acknowledges data at once, so only lost packets are repeated.
        events.schedule(events.now() + interval, [this, flow, sequence, interval] {
            if (flow->pendingSequence == sequence && !accepted.contains({flow.get(), sequence})) {
                transmit(flow, sequence, std::min(interval * 2, MaxRetransmission));
            }
        });
    }

    // Network.

    void sendPacket(const ClientFlow &flow, const FlowPacket &packet)
    {
        std::vector<Balancer *> rotation;
        for (Balancer &balancer : balancers) {
            if (balancer.dataCentre == flow.dataCentre) {
                rotation.push_back(&balancer);
            }
        }
        Balancer *chosen = rotation[std::hash<FlowKey>()(packet.key) % rotation.size()];
        events.schedule(events.now() + options.delay, [this, chosen, packet] {
            if (chosen->isUp) {
                carryOut(*chosen, packet, decide(*chosen, packet));
            }
        });
    }

    void reset(const FlowPacket &packet)
    {
        events.schedule(events.now() + options.delay, [this, packet] {
            const auto flow = flowsByKey.find(packet.key);
            if (flow != flowsByKey.end() && !flow->second->isOver) {
                fail(flow->second, !flow->second->isOpen);
            }
        });
    }

    void carryOut(Balancer &balancer, const FlowPacket &packet, const FlowDecision &decision)
    {
        if (decision.action == FlowAction::Reset) {
            reset(packet);
            if (decision.reason == FlowReason::Overload) {
                refusedAt.push_back(events.now());
            }
        }
        if (decision.action != FlowAction::Forward) {
            return;
        }
        const std::size_t index = decision.endpoint.address - 1;
        const bool isCross = upstreams[index].dataCentre != balancer.dataCentre;
        upstreamWork.openings += packet.isOpening ? 1 : 0;
        upstreamWork.crossings += packet.isOpening && isCross ? 1 : 0;
        FlowPacket forwarded = packet;
        forwarded.cookie = decision.cookie;
        const Milliseconds delay = options.delay + (isCross ? options.crossDelay : 0_ms);
        events.schedule(events.now() + delay,
                        [this, index, forwarded] { receive(index, forwarded); });
    }

    // Upstreams.

    void receive(std::size_t index, const FlowPacket &packet)
    {
        Upstream &upstream = upstreams[index];
        const auto found = flowsByKey.find(packet.key);
        if (upstream.isSilent || found == flowsByKey.end() || found->second->isOver) {
            return;
        }
        const auto flow = found->second;
        if (packet.isOpening) {
            events.schedule(events.now() + options.delay, [this, flow, index, packet] {
                acceptOpening(flow, index, packet.cookie);
            });
            return;
        }
        if (flow->upstream != index || packet.length == 0 ||
            !accepted.insert({flow.get(), packet.sequence}).second) {
            return;
        }
        arrivedAt.push_back(events.now());
        const std::uint64_t job = jobs.size();
        jobs.push_back({flow, packet.sequence});
        ++upstreamWork.arrivals;
        if (!upstream.isRefusing && upstream.busy < options.slots) {
            run(index, job);
        } else if (!upstream.isRefusing &&
                   static_cast<int>(upstream.queue.size()) < options.queue) {
            upstream.queue.push_back(job);
        } else {
            shedAt.push_back(events.now());
            ++upstreamWork.refusals;
            answer(job, Answer::NotRun);
        }
    }

    void acceptOpening(const std::shared_ptr<ClientFlow> &flow, std::size_t index,
                       FlowCookie cookie)
    {
        if (flow->isOpen || flow->isOver) {
            return;
        }
        flow->isOpen = true;
        flow->upstream = index;
        flow->packet.cookie = cookie;
        flow->packet.sequence = 1001;
        flow->packet.acknowledgment = 5000;
        FlowPacket acknowledged = flow->packet;
        sendPacket(*flow, acknowledged);
        if (!flow->request->isSettled) {
            sendRequest(flow);
        }
    }

    void run(std::size_t index, std::uint64_t job)
    {
        Upstream &upstream = upstreams[index];
        ++upstream.busy;
        const double work = static_cast<double>(options.loads[jobs[job].first->load].work.value);
        // Log-normal, as service times are.
        const double spread = 0.5;
        const double normal = std::sqrt(-2 * std::log(1.0 - randomUnit(random))) *
                              std::cos(6.283185307 * randomUnit(random));
        double time = work * std::exp(spread * normal - spread * spread / 2) * upstream.factor;
        if (events.now() < upstream.coldUntil) {
            time *= upstream.coldFactor;
        }
        const auto duration = Milliseconds{std::llround(time)};
        worked[events.now().value / WorkBucket.value] += duration.value;
        upstreamWork.work.resize(upstreams.size());
        upstreamWork.work[index] += time;
        events.schedule(events.now() + duration, [this, index, job] {
            Upstream &done = upstreams[index];
            --done.busy;
            if (!done.isSilent) {
                answer(job, Answer::Ok);
            }
            if (!done.queue.empty()) {
                const std::uint64_t next = done.queue.front();
                done.queue.pop_front();
                run(index, next);
            }
        });
    }

    void answer(std::uint64_t job, Answer kind)
    {
        const auto flow = jobs[job].first;
        const std::uint32_t sequence = jobs[job].second;
        events.schedule(events.now() + options.delay, [this, flow, sequence, kind] {
            if (flow->isOver || flow->pendingSequence != sequence) {
                return;
            }
            flow->pendingSequence = 0;
            flow->packet.sequence = sequence + RequestBytes;
            flow->packet.acknowledgment += kind == Answer::Ok ? AnswerBytes : RefusalBytes;
            FlowPacket acknowledged = flow->packet;
            const bool isLong = options.loads[flow->load].isLong;
            acknowledged.isClosing = !isLong;
            sendPacket(*flow, acknowledged);
            if (kind == Answer::Ok) {
                settle(*flow->request);
                flow->isOver = !isLong;
            } else {
                fail(flow, true);
            }
        });
    }

    void settle(Request &request)
    {
        if (!request.isSettled) {
            request.isSettled = true;
            answeredAt[&request] = events.now();
        }
    }

    FlowFleetOptions options;
    RandomSource random;
    EventQueue events;
    std::shared_ptr<const RouteTable> routes;
    std::vector<double> factors;
    std::deque<Upstream> upstreams;
    std::deque<Balancer> balancers;
    std::vector<std::shared_ptr<ClientFlow>> flows;
    std::map<FlowKey, std::shared_ptr<ClientFlow>> flowsByKey;
    std::map<std::uint64_t, std::shared_ptr<ClientFlow>> longFlows;
    std::vector<std::shared_ptr<Request>> requests;
    std::map<const Request *, Milliseconds> answeredAt;
    std::set<std::pair<const ClientFlow *, std::uint32_t>> accepted;
    std::vector<std::pair<std::shared_ptr<ClientFlow>, std::uint32_t>> jobs;
    std::uint64_t nextUser = 1;
    std::vector<Milliseconds> arrivedAt;
    std::vector<Milliseconds> shedAt;
    std::vector<Milliseconds> refusedAt;
    /// Milliseconds of work begun in each bucket of time.
    std::map<std::int64_t, std::int64_t> worked;
    UpstreamWork upstreamWork;
};

UpstreamWork UpstreamWork::since(const UpstreamWork &earlier) const
{
    UpstreamWork difference{openings - earlier.openings, crossings - earlier.crossings,
                            arrivals - earlier.arrivals, refusals - earlier.refusals, work};
    for (std::size_t i = 0; i < earlier.work.size(); ++i) {
        difference.work[i] -= earlier.work[i];
    }
    return difference;
}

double UpstreamWork::imbalance() const
{
    const double sum = std::accumulate(work.begin(), work.end(), 0.0);
    return sum > 0 ? *std::max_element(work.begin(), work.end()) * work.size() / sum : 1.0;
}

FlowFleet::FlowFleet(const FlowFleetOptions &options)
    : m_d(std::make_unique<Private>(options))
{
}

FlowFleet::~FlowFleet() = default;

void FlowFleet::runUntil(Milliseconds end)
{
    m_d->events.runUntil(end);
}

Milliseconds FlowFleet::now() const
{
    return m_d->events.now();
}

void FlowFleet::loseAllBalancers(Milliseconds downTime, Milliseconds spread)
{
    loseBalancers(m_d->options.balancersPerDataCentre, downTime, spread);
}

void FlowFleet::loseBalancers(int perDataCentre, Milliseconds downTime, Milliseconds spread)
{
    std::map<int, int> chosen;
    for (auto &balancer : m_d->balancers) {
        if (chosen[balancer.dataCentre]++ >= perDataCentre) {
            continue;
        }
        balancer.isUp = false;
        const auto extra = randomBelow(m_d->random, static_cast<std::uint64_t>(spread.value) + 1);
        m_d->events.schedule(now() + downTime + Milliseconds{static_cast<std::int64_t>(extra)},
                             [this, &balancer] { m_d->restart(balancer); });
    }
}

void FlowFleet::slowUpstreams(int perDataCentre, double factor)
{
    std::map<std::pair<int, ServiceId>, int> chosen;
    for (auto &upstream : m_d->upstreams) {
        if (chosen[{upstream.dataCentre, upstream.record.entry.service}]++ < perDataCentre) {
            upstream.factor = factor;
        }
    }
}

void FlowFleet::refuseUpstreams(int perDataCentre)
{
    std::map<std::pair<int, ServiceId>, int> chosen;
    for (auto &upstream : m_d->upstreams) {
        if (chosen[{upstream.dataCentre, upstream.record.entry.service}]++ < perDataCentre) {
            upstream.isRefusing = true;
        }
    }
}

void FlowFleet::setSpeeds(const std::vector<double> &speeds)
{
    std::map<std::pair<int, ServiceId>, std::size_t> next;
    for (auto &upstream : m_d->upstreams) {
        const std::size_t index = next[{upstream.dataCentre, upstream.record.entry.service}]++;
        upstream.factor = 1.0 / speeds[index % speeds.size()];
    }
}

void FlowFleet::silenceUpstreams(int perDataCentre, Milliseconds noticed)
{
    std::map<std::pair<int, ServiceId>, int> chosen;
    for (auto &upstream : m_d->upstreams) {
        if (chosen[{upstream.dataCentre, upstream.record.entry.service}]++ < perDataCentre) {
            upstream.isSilent = true;
            m_d->events.schedule(now() + noticed, [this, &upstream] {
                upstream.record.health = UpstreamHealth::Gone;
                m_d->publish();
            });
        }
    }
}

void FlowFleet::flapUpstreams(int perDataCentre, Milliseconds period, Milliseconds duration)
{
    std::map<std::pair<int, ServiceId>, int> chosen;
    for (auto &upstream : m_d->upstreams) {
        if (chosen[{upstream.dataCentre, upstream.record.entry.service}]++ >= perDataCentre) {
            continue;
        }
        for (Milliseconds after; after < duration; after += period) {
            const bool isSilent = after.value / period.value % 2 == 0;
            m_d->events.schedule(now() + after,
                                 [&upstream, isSilent] { upstream.isSilent = isSilent; });
        }
        m_d->events.schedule(now() + duration, [&upstream] { upstream.isSilent = false; });
    }
}

void FlowFleet::restartBalancers(int perDataCentre)
{
    std::map<int, int> chosen;
    for (auto &balancer : m_d->balancers) {
        if (chosen[balancer.dataCentre]++ < perDataCentre) {
            m_d->restart(balancer);
        }
    }
}

void FlowFleet::scaleLoad(int dataCentre, double factor)
{
    m_d->factors[static_cast<std::size_t>(dataCentre)] = factor;
}

void FlowFleet::alternateLoad(double first, double second, Milliseconds period,
                              Milliseconds duration)
{
    const auto scaleAll = [this](double factor) {
        std::fill(m_d->factors.begin(), m_d->factors.end(), factor);
    };
    for (Milliseconds after; after < duration; after += period) {
        const double factor = after.value / period.value % 2 == 0 ? first : second;
        m_d->events.schedule(now() + after, [scaleAll, factor] { scaleAll(factor); });
    }
    m_d->events.schedule(now() + duration, [scaleAll] { scaleAll(1); });
}

void FlowFleet::replaceUpstreams(int perDataCentre, Milliseconds gap, Milliseconds warmup,
                                 double coldFactor)
{
    std::map<std::pair<int, ServiceId>, int> chosen;
    const std::size_t count = m_d->upstreams.size();
    for (std::size_t i = 0; i < count; ++i) {
        auto &old = m_d->upstreams[i];
        int &step = chosen[{old.dataCentre, old.record.entry.service}];
        if (step++ >= perDataCentre) {
            continue;
        }
        m_d->events.schedule(now() + gap * step, [this, &old, warmup, coldFactor] {
            const std::size_t added = m_d->addUpstream(old.dataCentre, old.record.entry.service);
            auto &fresh = m_d->upstreams[added];
            fresh.coldUntil = now() + warmup;
            fresh.coldFactor = coldFactor;
            fresh.record.warmupEnd = now() + warmup;
            old.record.health = UpstreamHealth::Leaving;
            old.record.entry.isLeaving = true;
            m_d->publish();
        });
    }
}

UpstreamWork FlowFleet::upstreamWork() const
{
    return m_d->upstreamWork;
}

FlowOutcome FlowFleet::outcome(const std::string &load, Milliseconds from, Milliseconds until) const
{
    FlowOutcome outcome;
    for (const auto &request : m_d->requests) {
        const FlowLoad &kind = m_d->options.loads[request->load];
        if (request->askedAt < from || request->askedAt >= until ||
            (!load.empty() && kind.name != load)) {
            continue;
        }
        ++outcome.asked;
        const auto answered = m_d->answeredAt.find(request.get());
        if (answered == m_d->answeredAt.end()) {
            ++outcome.failed;
        } else if (answered->second - request->askedAt <= kind.target) {
            ++outcome.inTime;
        } else {
            ++outcome.late;
        }
    }
    return outcome;
}

FlowTraffic FlowFleet::traffic(Milliseconds from, Milliseconds until) const
{
    const auto count = [&](const std::vector<Milliseconds> &times) {
        return static_cast<int>(std::count_if(times.begin(), times.end(), [&](Milliseconds at) {
            return at >= from && at < until;
        }));
    };
    return {count(m_d->arrivedAt), count(m_d->shedAt), count(m_d->refusedAt)};
}

double FlowFleet::usedCapacity(Milliseconds from, Milliseconds until) const
{
    std::int64_t work = 0;
    for (const auto &[bucket, milliseconds] : m_d->worked) {
        const Milliseconds at = WorkBucket * bucket;
        work += at >= from && at < until ? milliseconds : 0;
    }
    const auto working = std::count_if(m_d->upstreams.begin(), m_d->upstreams.end(),
                                       [](const auto &upstream) { return !upstream.isSilent; });
    const auto capacity = working * m_d->options.slots * (until - from).value;
    return static_cast<double>(work) / static_cast<double>(capacity);
}

} // namespace damaskhall::fakes
