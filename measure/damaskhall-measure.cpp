#include "measure/controlfleet.h"
#include "measure/faultrows.h"
#include "measure/flowrows.h"
#include "measure/loadrows.h"
#include "measure/loopbackrows.h"
#include "measure/measurement.h"
#include "measure/overloadrows.h"
#include "measure/patternrows.h"
#include "measure/policytrials.h"
#include "measure/report.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <exception>
#include <fstream>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

namespace damaskhall::measure {
namespace {

constexpr std::uint32_t QuickSeeds = 3;
const char *const ResultsFile = "measure/results.csv";

struct Experiment
{
    std::string name;
    std::function<std::vector<Row>(const MeasureOptions &)> run;
};

std::vector<Experiment> experiments()
{
    return {
            {"policies", measurePolicies},
            {"load", measureLoad},
            {"faults", measureRandomFaults},
            {"onekill", measureOneKill},
            {"flows", measureFlows},
            {"leaving", measureLeaving},
            {"overload", measureOverload},
            {"fairness", measureFairness},
            {"patterns", measurePatterns},
            {"forwarding", measureForwarding},
            {"newflows", measureNewFlows},
            {"flowmemory", measureFlowMemory},
            {"controlmemory", measureControlMemory},
            {"controlspread", measureControlSpread},
            {"controlquiet", measureControlQuiet},
            {"controlday", measureControlDay},
            {"platformcalls", measurePlatformCalls},
    };
}

/// Runs the experiments and prints each row as it is known. Returns the exit status, which does not
/// depend on targets.
int runExperiments(const MeasureOptions &options, const std::vector<std::string> &only)
{
    std::vector<Row> rows;
    for (const Experiment &experiment : experiments()) {
        const bool isWanted =
                only.empty() || std::find(only.begin(), only.end(), experiment.name) != only.end();
        if (!isWanted) {
            continue;
        }
        for (const Row &row : experiment.run(options)) {
            printRow(std::cout, row);
            rows.push_back(row);
        }
    }
    if (rows.empty()) {
        std::cerr << "measure: no such experiment; see --list\n";
        return 1;
    }
    std::ofstream file(ResultsFile);
    if (!file) {
        std::cerr << "measure: cannot write " << ResultsFile << "; run from the project folder\n";
        return 1;
    }
    writeCsv(file, rows, options);
    return 0;
}

int runMain(int argc, char **argv)
{
    namespace po = boost::program_options;
    MeasureOptions options;
    std::vector<std::string> only;
    po::options_description description("Prints NAME VALUE UNIT TARGET ok|short per figure");
    description.add_options()("help", "show this help")("list", "list the experiments")(
            "seed", po::value(&options.seed), "first seed")("seeds", po::value(&options.seeds),
                                                            "seeds per figure")(
            "quick", po::bool_switch(&options.quick), "shorter runs and fewer seeds")(
            "only", po::value(&only), "run only this experiment; may be repeated");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    if (values.count("list") != 0) {
        for (const Experiment &experiment : experiments()) {
            std::cout << experiment.name << '\n';
        }
        return 0;
    }
    if (options.quick && values.count("seeds") == 0) {
        options.seeds = QuickSeeds;
    }
    if (options.seeds == 0) {
        std::cerr << "measure: --seeds must be at least 1\n";
        return 1;
    }
    return runExperiments(options, only);
}

} // namespace
} // namespace damaskhall::measure

int main(int argc, char **argv)
{
    try {
        return damaskhall::measure::runMain(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "measure: " << error.what() << '\n';
        return 1;
    }
}
