// Tells what happened to the flows of one client, from the logs of the forwarders.

#include "apps/explain.h"

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <iterator>

using namespace damaskhall;

namespace {

namespace po = boost::program_options;

constexpr int ExitNothing = 1;
constexpr int ExitUsage = 2;

constexpr const char *Usage = R"(Usage: damaskhall-explain --client ADDRESS:PORT FILE...

Prints the lines of all FILEs (logs of forwarders) about the flows of one client in the order of
time, with what each instance believed about their upstreams, the store and the declaration.

Exit status: 0 found, 1 no line names the client, 2 wrong usage.
)";

} // namespace

int main(int argc, char **argv)
{
    try {
        po::options_description options("Options");
        options.add_options()("help", "print this help")("client", po::value<std::string>(),
                                                         "address and port of the client")(
                "file", po::value<std::vector<std::string>>(), "log of an instance");
        po::positional_options_description files;
        files.add("file", -1);
        po::variables_map values;
        po::store(po::command_line_parser(argc, argv).options(options).positional(files).run(),
                  values);
        if (values.count("help") > 0) {
            std::cout << Usage << "\n" << options;
            return 0;
        }
        if (values.count("client") == 0 || values.count("file") == 0) {
            std::cerr << Usage;
            return ExitUsage;
        }
        const auto client = parseEndpoint(values["client"].as<std::string>());
        if (!client) {
            std::cerr << "damaskhall-explain: " << toString(client.assume_error()) << "\n";
            return ExitUsage;
        }
        std::vector<InstanceLog> logs;
        for (const std::string &name : values["file"].as<std::vector<std::string>>()) {
            std::ifstream stream(name);
            if (!stream) {
                std::cerr << "damaskhall-explain: cannot read " << name << "\n";
                return ExitUsage;
            }
            logs.push_back({name, {std::istreambuf_iterator<char>(stream), {}}});
        }
        const auto rows = explainClient(logs, client.assume_value());
        for (const std::string &row : rows) {
            std::cout << row << "\n";
        }
        return rows.empty() ? ExitNothing : 0;
    } catch (const std::exception &error) {
        std::cerr << "damaskhall-explain: " << error.what() << "\n";
        return ExitUsage;
    }
}
