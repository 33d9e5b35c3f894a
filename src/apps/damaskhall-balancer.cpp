// One balancer process.

#include "apps/balancerprocess.h"
#include "config/configfile.h"
#include "node/logging.h"

#include <boost/program_options.hpp>
#include <iostream>

using namespace damaskhall;

namespace {

namespace po = boost::program_options;

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;
constexpr int ExitInterrupted = 3;

constexpr const char *Usage = R"(Usage: damaskhall-balancer [--settings FILE] [OPTION]...

Runs one balancer. Each setting is read from the section [balancer] of FILE; an option takes
precedence over the file. SIGTERM stops gracefully; a second one stops at once.

Exit status: 0 stopped with no work interrupted, 1 could not start, 2 mistakes in settings,
3 stopped with work interrupted (printed).

Example:
  damaskhall-balancer --settings examples/balancer.ini --id 2 --listen 127.0.0.1:7002 \
      --control-listen 127.0.0.1:8002 --admin-listen 127.0.0.1:9002
)";

po::options_description makeOptions()
{
    po::options_description options("Options");
    options.add_options()("help", "print this help")("version", "print the version")(
            "settings", po::value<std::string>(), "file with the section [balancer]");
    for (const SettingsKey &key : settingsKeys()) {
        options.add_options()(key.option.c_str(),
                              po::value<std::vector<std::string>>()->composing(), key.help.c_str());
    }
    return options;
}

Result<Settings> readSettings(const po::variables_map &values)
{
    std::string text;
    std::string file = "command line";
    if (values.count("settings") > 0) {
        file = values["settings"].as<std::string>();
        BOOST_OUTCOME_TRY(content, readFile(file));
        text = std::move(content);
    }
    std::vector<SettingsOverride> overrides;
    for (const SettingsKey &key : settingsKeys()) {
        if (values.count(key.option) == 0) {
            continue;
        }
        for (const auto &value : values[key.option].as<std::vector<std::string>>()) {
            overrides.push_back({key.key, value});
        }
    }
    Diagnostics diagnostics(file);
    const IniDocument document = IniDocument::scan(text, diagnostics);
    Settings settings = checkSettings(document, overrides, diagnostics);
    if (!diagnostics.isEmpty()) {
        return diagnostics.toError(Step::CheckSettings);
    }
    return settings;
}

int run(const po::variables_map &values)
{
    const Result<Settings> settings = readSettings(values);
    if (!settings) {
        std::cerr << settings.assume_error().detail << "\n";
        return ExitUsage;
    }
    startLogging(settings.assume_value().logLevel);
    BalancerProcess process(settings.assume_value());
    const Result<void> started = process.start();
    if (!started) {
        std::cerr << "damaskhall-balancer: " << toString(started.assume_error()) << "\n";
        return ExitFailure;
    }
    return process.serve() ? 0 : ExitInterrupted;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const po::options_description options = makeOptions();
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, options), values);
        if (values.count("help") > 0) {
            std::cout << Usage << "\n" << options;
            return 0;
        }
        if (values.count("version") > 0) {
            std::cout << "damaskhall-balancer " << DAMASKHALL_VERSION << "\n";
            return 0;
        }
        return run(values);
    } catch (const std::exception &error) {
        std::cerr << "damaskhall-balancer: " << error.what() << "\n";
        return ExitUsage;
    }
}
