// Stand-in for the fabric: sprays every packet from callers and upstreams over the balancers of one
// data centre, keeping the sender's endpoint by encapsulation.

#include "base/clock.h"
#include "base/random.h"
#include "io/udpport.h"
#include "platform/platformclient.h"
#include "wire/framecodec.h"

#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <boost/program_options.hpp>
#include <iostream>
#include <thread>

using namespace damaskhall;

namespace {

namespace po = boost::program_options;

constexpr std::chrono::milliseconds ListInterval{200};
constexpr Milliseconds PlatformTimeout = 1_s;

/// Shares of packets, 0 to 1, and the largest extra delay of a packet, which reorders packets.
struct Faults
{
    double loss = 0;
    double duplication = 0;
    Milliseconds jitter;
};

class Fabric
{
public:
    Fabric(asio::io_context &context, const Faults &faults)
        : m_context(context)
        , m_faults(faults)
        , m_random(seededRandom(std::random_device{}()))
    {
    }

    Result<void> open(asio::io_context &context, Endpoint outer, Endpoint inner)
    {
        const auto spray = [this](std::string_view datagram, Endpoint from) {
            forward(datagram, from);
        };
        BOOST_OUTCOME_TRY(outerPort, UdpPort::open(context, outer, spray));
        BOOST_OUTCOME_TRY(innerPort, UdpPort::open(context, inner, spray));
        m_outer = std::move(outerPort);
        m_inner = std::move(innerPort);
        return success();
    }

    void setBalancers(std::vector<Endpoint> balancers) { m_balancers = std::move(balancers); }

private:
    void forward(std::string_view datagram, Endpoint from)
    {
        const int copies = randomUnit(m_random) < m_faults.duplication ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (m_balancers.empty() || randomUnit(m_random) < m_faults.loss) {
                continue;
            }
            const Endpoint target = m_balancers[randomBelow(m_random, m_balancers.size())];
            sendLater(encapsulate(from, datagram), target);
        }
    }

    void sendLater(const std::string &packet, Endpoint target)
    {
        if (m_faults.jitter <= 0_ms) {
            m_outer->send(packet, target);
            return;
        }
        const auto bound = static_cast<std::uint64_t>(m_faults.jitter.value) + 1;
        const auto delay = static_cast<std::int64_t>(randomBelow(m_random, bound));
        const auto timer = std::make_shared<asio::steady_timer>(m_context);
        timer->expires_after(std::chrono::milliseconds(delay));
        timer->async_wait([this, timer, packet, target](const std::error_code &error) {
            if (!error) {
                m_outer->send(packet, target);
            }
        });
    }

    asio::io_context &m_context;
    Faults m_faults;
    RandomSource m_random;
    std::vector<Endpoint> m_balancers;
    std::unique_ptr<UdpPort> m_outer;
    std::unique_ptr<UdpPort> m_inner;
};

std::vector<Endpoint> balancersOf(const std::vector<PlatformInstance> &instances,
                                  const std::string &dataCentre)
{
    std::vector<Endpoint> balancers;
    for (const PlatformInstance &instance : instances) {
        if (instance.role == "balancer" && instance.dataCentre == dataCentre &&
            !instance.isLeaving) {
            balancers.push_back(instance.endpoint);
        }
    }
    return balancers;
}

Result<int> run(const po::variables_map &values)
{
    BOOST_OUTCOME_TRY(outer, parseEndpoint(values["listen"].as<std::string>()));
    BOOST_OUTCOME_TRY(inner, parseEndpoint(values["inner"].as<std::string>()));
    BOOST_OUTCOME_TRY(platform, parseEndpoint(values["platform"].as<std::string>()));
    const std::string dataCentre = values["data-centre"].as<std::string>();
    asio::io_context context{1};
    Faults faults;
    faults.loss = values["loss"].as<double>();
    faults.duplication = values["duplication"].as<double>();
    faults.jitter = Milliseconds{values["jitter-ms"].as<std::int64_t>()};
    Fabric fabric(context, faults);
    BOOST_OUTCOME_TRYV(fabric.open(context, outer, inner));

    std::atomic<bool> isStopping = false;
    std::thread poller([&] {
        PlatformClient client(platform, PlatformTimeout);
        while (!isStopping) {
            const auto instances = client.instances();
            if (instances) {
                asio::post(context, [&fabric, list = balancersOf(instances.assume_value().instances,
                                                                 dataCentre)]() mutable {
                    fabric.setBalancers(std::move(list));
                });
            }
            std::this_thread::sleep_for(ListInterval);
        }
    });
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const std::error_code &, int) { context.stop(); });
    context.run();
    isStopping = true;
    poller.join();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        po::options_description options("standin-fabric");
        // clang-format off
        options.add_options()
            ("listen", po::value<std::string>()->required(), "address and port for callers")
            ("inner", po::value<std::string>()->required(), "address and port for upstreams")
            ("platform", po::value<std::string>()->required(), "address and port of the platform")
            ("data-centre", po::value<std::string>()->required(), "data centre to serve")
            ("duplication", po::value<double>()->default_value(0), "share of packets to send twice")
            ("jitter-ms", po::value<std::int64_t>()->default_value(0), "largest extra delay")
            ("loss", po::value<double>()->default_value(0), "share of packets to drop, 0 to 1");
        // clang-format on
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
        const Result<int> result = run(values);
        if (!result) {
            std::cerr << "standin-fabric: " << toString(result.assume_error()) << "\n";
            return 1;
        }
        return result.assume_value();
    } catch (const std::exception &error) {
        std::cerr << "standin-fabric: " << error.what() << "\n";
        return 2;
    }
}
