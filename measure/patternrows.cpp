#include "measure/patternrows.h"

#include "fakes/loadpatterns.h"
#include "measure/report.h"
#include "measure/seedrunner.h"

namespace damaskhall::measure {

namespace {

struct PatternResult
{
    double inTime = 0;
    double randomInTime = 0;
    double failed = 0;
};

PatternResult run(const fakes::LoadPattern &pattern, std::uint64_t seed)
{
    fakes::FlowFleetOptions options = fakes::workshopFleet(seed);
    const fakes::FlowOutcome placed = replay(pattern, options);
    options.isPlacedAtRandom = true;
    const fakes::FlowOutcome random = replay(pattern, options);
    return {placed.shareInTime(), random.shareInTime(), static_cast<double>(placed.failed)};
}

} // namespace

std::vector<Row> measurePatterns(const MeasureOptions &options)
{
    std::vector<Row> rows;
    for (const fakes::LoadPattern &pattern : fakes::loadPatterns()) {
        const std::function<PatternResult(std::uint64_t)> experiment = [&](std::uint64_t seed) {
            return run(pattern, seed);
        };
        const auto results = runSeeds(options, experiment);
        const std::string inputs = "balancers=6 upstreams=15 load=45% requests=" +
                                   (pattern.load.empty() ? std::string("all") : pattern.load);
        append(rows, summarise({"in_time." + pattern.name, "share", pattern.target, Bound::AtLeast},
                               column(results, &PatternResult::inTime), inputs));
        append(rows, summarise({"in_time." + pattern.name + ".random", "share"},
                               column(results, &PatternResult::randomInTime), inputs));
        append(rows, summarise({"failed." + pattern.name, "requests"},
                               column(results, &PatternResult::failed), inputs));
    }
    return rows;
}

} // namespace damaskhall::measure
