#include "measure/loadrows.h"

#include "measure/fleet.h"
#include "measure/policytrials.h"
#include "measure/report.h"
#include "measure/seedrunner.h"
#include "measure/statistics.h"

#include <map>

namespace damaskhall::measure {

namespace {

/// Long enough that no claim of a stable system is refused for its deadline.
constexpr Milliseconds ClaimDeadline = 20_s;

struct LoadResult
{
    double imbalance = 0;
    double p99Ratio = 0;
    double unanswered = 0;
    double triesPerClaim = 0;
};

std::vector<double> difference(std::vector<double> later, const std::vector<double> &earlier)
{
    for (std::size_t i = 0; i < later.size(); ++i) {
        later[i] -= earlier[i];
    }
    return later;
}

LoadResult runLoad(std::uint64_t seed, double load, Milliseconds warmUp, Milliseconds duration)
{
    const std::vector<Arrival> arrivals =
            poissonArrivals(seededRandom(seed), load, static_cast<double>(duration.value));
    fakes::SessionOptions options;
    options.seed = seed;
    options.balancers = FleetBalancers;
    fakes::Session session(options, fleetDeclaration());
    BoardOptions board;
    board.workOf = [&](const std::string &body) { return arrivals[std::stoul(body)].work; };
    addBoard(session, board);

    // A claim without an answer counts with its whole deadline.
    std::vector<double> latencies;
    std::size_t unanswered = 0;
    session.setFinishedHook([&](const RequestClient &client) {
        if (client.startedAt() >= warmUp) {
            const bool isAnswered = client.phase() == RequestPhase::Answered;
            const Milliseconds latency = session.events().now() - client.startedAt();
            unanswered += isAnswered ? 0 : 1;
            latencies.push_back(
                    static_cast<double>(isAnswered ? latency.value : ClaimDeadline.value));
        }
    });
    std::function<void(std::size_t)> scheduleArrival = [&](std::size_t index) {
        if (index == arrivals.size()) {
            return;
        }
        const Milliseconds at{static_cast<std::int64_t>(arrivals[index].atMs)};
        session.events().schedule(at, [&, index] {
            session.startRequest(reservation(index + 1, BoardService, "claim", ClaimDeadline),
                                 std::to_string(index));
            scheduleArrival(index + 1);
        });
    };
    scheduleArrival(0);
    session.runFor(warmUp);
    const std::vector<double> before = boardBusyMs(session);
    session.runFor(duration - warmUp);
    const std::vector<double> busy = difference(boardBusyMs(session), before);
    session.runFor(ClaimDeadline);

    std::uint64_t tries = 0;
    for (const auto &[id, upstream] : session.upstreams()) {
        for (const auto &[body, count] : upstream->tries()) {
            tries += static_cast<std::uint64_t>(count);
        }
    }
    const TrialResult ideal = runIdealQueue(arrivals, static_cast<double>(warmUp.value),
                                            static_cast<double>(duration.value));
    const auto count = static_cast<double>(latencies.size());
    return {imbalance(busy), percentile(latencies, 0.99) / ideal.p99Ms,
            static_cast<double>(unanswered) / count,
            static_cast<double>(tries) / static_cast<double>(arrivals.size())};
}

} // namespace

std::vector<Row> measureLoad(const MeasureOptions &options)
{
    const Milliseconds duration = options.quick ? 15_s : 70_s;
    const Milliseconds warmUp = options.quick ? 5_s : 10_s;
    std::vector<Row> rows;
    for (const int percent : {70, 90}) {
        const std::function<LoadResult(std::uint64_t)> experiment = [&](std::uint64_t seed) {
            return runLoad(seed, percent / 100.0, warmUp, duration);
        };
        const auto results = runSeeds(options, experiment);
        const std::string load = std::to_string(percent);
        const std::string inputs = "load=" + load +
                                   "% balancers=9 upstreams=14 slots=2 mean_ms=25..100 hop_ms=1 " +
                                   "measured_s=" + std::to_string((duration - warmUp).value / 1000);
        if (percent == 70) {
            append(rows, summarise({"imbalance", "ratio", 1.10, Bound::AtMost},
                                   column(results, &LoadResult::imbalance), inputs));
        }
        append(rows, summarise({"claim_p99_ratio." + load, "ratio", 1.25, Bound::AtMost},
                               column(results, &LoadResult::p99Ratio), inputs));
        append(rows, summarise({"claims_unanswered." + load, "share"},
                               column(results, &LoadResult::unanswered), inputs));
        append(rows, summarise({"tries_per_claim." + load, "ratio"},
                               column(results, &LoadResult::triesPerClaim), inputs));
    }
    return rows;
}

} // namespace damaskhall::measure
