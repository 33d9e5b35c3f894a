#include "node/controlworker.h"
#include "node/trafficworker.h"
#include "wire/tokensealer.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <random>

using namespace damaskhall;

namespace {

namespace po = boost::program_options;

constexpr Milliseconds DefaultStopLimit = 30_s;

std::optional<po::variables_map> parseArguments(int argc, char **argv)
{
    po::options_description options("damaskhall-balancer");
    // clang-format off
    options.add_options()
        ("help", "print this help")
        ("version", "print the version")
        ("id", po::value<std::uint32_t>()->required(), "id of this instance")
        ("listen", po::value<std::string>()->required(), "address and port of the traffic socket")
        ("data-centre", po::value<std::string>()->required(), "data centre of this instance")
        ("platform", po::value<std::string>()->required(), "address and port of the platform")
        ("control-listen", po::value<std::string>(),
         "address and port of the control socket (default: port of --listen + 1000)")
        ("seed", po::value<std::vector<std::string>>()->composing(),
         "control address and port of a balancer to ask first; may be repeated")
        ("remote-peer", po::value<std::vector<std::string>>()->composing(),
         "control address and port of a balancer in another data centre; may be repeated")
        ("token-key", po::value<std::string>()->required(), "token key, 32 hexadecimal digits");
    // clang-format on
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.count("help") > 0) {
        std::cout << options;
        return std::nullopt;
    }
    if (values.count("version") > 0) {
        std::cout << "damaskhall-balancer " << DAMASKHALL_VERSION << "\n";
        return std::nullopt;
    }
    po::notify(values);
    return values;
}

RandomSource systemRandom()
{
    std::random_device device;
    const std::uint64_t seed = std::uint64_t{device()} << 32 | device();
    return seededRandom(seed);
}

CoreHooks makeHooks(const TokenSealer &sealer)
{
    CoreHooks hooks;
    hooks.sealToken = [&sealer](const Token &token) { return sealer.seal(token); };
    hooks.openToken = [&sealer](const SealedToken &sealed) { return sealer.open(sealed); };
    hooks.random = systemRandom();
    hooks.countRefusal = [](RefusalReason, ServiceId, ClassId) {};
    hooks.countRetry = [](RetryReason, ServiceId, ClassId) {};
    hooks.countEvent = [](CoreEvent, ServiceId, ClassId) {};
    hooks.observe = [](CoreSample, ServiceId, ClassId, Milliseconds) {};
    hooks.reportLeaving = [](UpstreamId) {};
    return hooks;
}

Result<std::vector<Endpoint>> endpoints(const po::variables_map &values, const char *option)
{
    std::vector<Endpoint> parsed;
    if (values.count(option) == 0) {
        return parsed;
    }
    for (const std::string &text : values[option].as<std::vector<std::string>>()) {
        BOOST_OUTCOME_TRY(endpoint, parseEndpoint(text));
        parsed.push_back(endpoint);
    }
    return parsed;
}

Result<ControlOptions> controlOptions(const po::variables_map &values, ControlOptions options)
{
    BOOST_OUTCOME_TRY(seeds, endpoints(values, "seed"));
    BOOST_OUTCOME_TRY(remotePeers, endpoints(values, "remote-peer"));
    options.seeds = std::move(seeds);
    options.remotePeers = std::move(remotePeers);
    if (values.count("control-listen") > 0) {
        BOOST_OUTCOME_TRY(listen, parseEndpoint(values["control-listen"].as<std::string>()));
        options.controlListen = listen;
    }
    return options;
}

Result<int> run(const po::variables_map &values)
{
    BOOST_OUTCOME_TRY(listen, parseEndpoint(values["listen"].as<std::string>()));
    BOOST_OUTCOME_TRY(platform, parseEndpoint(values["platform"].as<std::string>()));
    BOOST_OUTCOME_TRY(key, parseTokenKey(values["token-key"].as<std::string>()));
    const InstanceId self{values["id"].as<std::uint32_t>()};
    const Incarnation incarnation{static_cast<std::uint64_t>(Clock::wallTime().value)};
    const TokenSealer sealer(TokenKeyRing{0, {{0, key}}});

    // Blocked before any thread starts, so that only sigwait() receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    TrafficWorker traffic({self, incarnation, listen}, makeHooks(sealer), Clock());
    BOOST_OUTCOME_TRYV(traffic.start());
    BOOST_OUTCOME_TRY(controlSettings,
                      controlOptions(values, {self, incarnation, listen,
                                              values["data-centre"].as<std::string>(), platform}));
    ControlWorker control(controlSettings,
                          [&traffic](auto view) { traffic.publish(std::move(view)); });
    BOOST_OUTCOME_TRYV(control.start());

    int received = 0;
    sigwait(&signals, &received);
    control.beginLeaving();
    traffic.beginLeaving();
    const Clock clock;
    const Milliseconds limit = clock.now() + DefaultStopLimit;
    timespec pause{0, 50'000'000};
    while (!traffic.load().isEmpty() && clock.now() < limit) {
        if (sigtimedwait(&signals, nullptr, &pause) > 0) {
            break;
        }
    }
    control.stop();
    traffic.stop();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const auto values = parseArguments(argc, argv);
        if (!values) {
            return 0;
        }
        const Result<int> result = run(*values);
        if (!result) {
            std::cerr << "damaskhall-balancer: " << toString(result.assume_error()) << "\n";
            return 1;
        }
        return result.assume_value();
    } catch (const std::exception &error) {
        std::cerr << "damaskhall-balancer: " << error.what() << "\n";
        return 2;
    }
}
