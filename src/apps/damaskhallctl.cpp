// Operators' tool: checks, applies and shows declarations and the state of balancers.

#include "apps/ctl.h"

#include <cstdlib>
#include <iostream>
#include <random>
#include <unistd.h>

using namespace damaskhall;

namespace {

/// Above the time that a balancer takes for an apply while the platform loses replies.
constexpr Milliseconds WriteTimeout = 15_s;
constexpr Milliseconds ReadTimeout = 3_s;

std::string variable(const char *name, const std::string &fallback)
{
    const char *value = std::getenv(name);
    return value && *value ? value : fallback;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        CtlEnvironment environment;
        environment.call = [](Endpoint admin, HttpMethod method, const std::string &path,
                              const std::string &body) {
            HttpClient client(admin);
            const Milliseconds timeout = method == HttpMethod::Get ? ReadTimeout : WriteTimeout;
            return client.call(Step::CallAdmin, method, path, body, timeout);
        };
        environment.random = [device = std::make_shared<std::random_device>()] {
            return std::uint64_t{(*device)()} << 32 | (*device)();
        };
        environment.author =
                variable("USER", variable("LOGNAME", "uid-" + std::to_string(getuid())));
        environment.defaultAdmin = variable("DAMASKHALL_ADMIN", "127.0.0.1:9001");
        environment.out = &std::cout;
        environment.err = &std::cerr;
        return static_cast<int>(runCtl({argv + 1, argv + argc}, environment));
    } catch (const std::exception &error) {
        std::cerr << "damaskhallctl: " << error.what() << "\n";
        return static_cast<int>(CtlExit::Usage);
    }
}
