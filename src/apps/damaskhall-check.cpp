// Checks settings and declarations without any network, for example in a version-control hook.

#include "config/configfile.h"

#include <boost/program_options.hpp>
#include <iostream>

using namespace damaskhall;

namespace {

namespace po = boost::program_options;

constexpr int ExitRefused = 1;
constexpr int ExitUsage = 2;

constexpr const char *Usage = R"(Usage: damaskhall-check FILE...

Checks files of settings ([balancer]) and declarations ([service NAME], [class SERVICE/NAME],
[house NAME]) without any network. Prints every mistake with file and line; prints nothing if there
is none.

Exit status: 0 all files are right, 1 mistakes were printed, 2 wrong usage or unreadable file.

Examples:
  damaskhall-check examples/kandy.ini
  damaskhall-check settings/*.ini declaration.ini
)";

int checkFiles(const std::vector<std::string> &files)
{
    int status = 0;
    for (const std::string &file : files) {
        const Result<std::string> text = readFile(file);
        if (!text) {
            std::cerr << "damaskhall-check: " << toString(text.assume_error()) << "\n";
            status = ExitUsage;
            continue;
        }
        const Diagnostics diagnostics = checkConfigFile(text.assume_value(), file);
        if (!diagnostics.isEmpty()) {
            std::cerr << diagnostics.text() << "\n";
            status = std::max(status, ExitRefused);
        }
    }
    return status;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        po::options_description options("Options");
        options.add_options()("help", "print this help")("version", "print the version")(
                "file", po::value<std::vector<std::string>>(), "file to check");
        po::positional_options_description positional;
        positional.add("file", -1);
        po::variables_map values;
        po::store(po::command_line_parser(argc, argv).options(options).positional(positional).run(),
                  values);
        if (values.count("help") > 0) {
            std::cout << Usage;
            return 0;
        }
        if (values.count("version") > 0) {
            std::cout << "damaskhall-check " << DAMASKHALL_VERSION << "\n";
            return 0;
        }
        if (values.count("file") == 0) {
            std::cerr << Usage;
            return ExitUsage;
        }
        return checkFiles(values["file"].as<std::vector<std::string>>());
    } catch (const std::exception &error) {
        std::cerr << "damaskhall-check: " << error.what() << "\n";
        return ExitUsage;
    }
}
