// Stand-in for the platform: key-value service with compare-and-swap and watches, list of
// instances, and injected faults. Keeps everything in memory.

#include "base/clock.h"
#include "base/endpoint.h"
#include "keystore.h"
#include "platformfaults.h"

#include <boost/program_options.hpp>
#include <iostream>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <restinio/all.hpp>

using namespace damaskhall;

namespace {

namespace po = boost::program_options;
using Json = nlohmann::json;
using Traits = restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t>;
using Request = restinio::request_handle_t;

/// An instance that does not refresh its entry for this long is dropped from the list.
constexpr Milliseconds InstanceTtl = 3_s;
constexpr std::chrono::milliseconds TickInterval{20};
/// Response header with the era of the keys, a number that rises when they are restored.
constexpr const char *EraHeader = "Store-Era";

struct Watch
{
    Request request;
    std::string key;
    std::uint64_t after = 0;
    Milliseconds until;
};

struct Delayed
{
    Request request;
    Milliseconds until;
};

class Platform
{
public:
    explicit Platform(Milliseconds lag)
        : m_lag(lag)
    {
    }

    restinio::request_handling_status_t handle(const Request &request)
    {
        const auto query = restinio::parse_query(request->header().query());
        const std::string path(request->header().path());
        ++(request->header().method() == restinio::http_method_put() ? m_writes : m_reads);
        if (path == "/fault") {
            return setFaults(request, query);
        }
        if (path == "/stats") {
            return reply(request, restinio::status_ok(),
                         Json{{"reads", m_reads}, {"writes", m_writes}}.dump());
        }
        if (m_clock.now() < m_faults.downUntil) {
            return reply(request, restinio::status_service_unavailable(), "down");
        }
        if (m_clock.now() < m_faults.slowUntil) {
            m_delayed.push_back({request, m_clock.now() + m_faults.slowBy});
            return restinio::request_accepted();
        }
        return serve(request);
    }

    void tick()
    {
        const Milliseconds now = m_clock.now();
        while (!m_delayed.empty() && m_delayed.front().until <= now) {
            serve(m_delayed.front().request);
            m_delayed.pop_front();
        }
        for (auto it = m_watches.begin(); it != m_watches.end();) {
            const KeyStore::Value &value = m_keys.value(it->key);
            if (value.version > it->after || now >= it->until) {
                replyValue(it->request, value);
                it = m_watches.erase(it);
            } else {
                ++it;
            }
        }
        if (now - m_listedAt >= m_lag) {
            publishList(now);
        }
    }

private:
    using Query = restinio::query_string_params_t;

    struct Registered
    {
        Json entry;
        Milliseconds seen;
    };

    restinio::request_handling_status_t serve(const Request &request)
    {
        const auto query = restinio::parse_query(request->header().query());
        const std::string path(request->header().path());
        const bool isWrite = request->header().method() == restinio::http_method_put();
        if (path == "/instances") {
            return isWrite ? registerInstance(request) : listInstances(request);
        }
        if (path.rfind("/kv/", 0) != 0) {
            return reply(request, restinio::status_not_found(), "unknown path");
        }
        const std::string key = path.substr(4);
        return isWrite ? write(request, key, query) : read(request, key, query);
    }

    restinio::request_handling_status_t
    reply(const Request &request, restinio::http_status_line_t status, std::string body) const
    {
        return request->create_response(std::move(status))
                .append_header(EraHeader, std::to_string(m_keys.era()))
                .set_body(std::move(body))
                .done();
    }

    restinio::request_handling_status_t replyValue(const Request &request,
                                                   const KeyStore::Value &value) const
    {
        if (value.version == 0) {
            return reply(request, restinio::status_not_found(), "no such key");
        }
        const bool isOlder = m_clock.now() < m_faults.olderUntil && value.version > 1;
        const Json json = {{"value", isOlder ? value.older : value.value},
                           {"version", isOlder ? value.version - 1 : value.version}};
        return reply(request, restinio::status_ok(), json.dump());
    }

    static std::int64_t number(const Query &query, const char *name)
    {
        return query.has(name) ? std::stoll(std::string(query[name])) : 0;
    }

    restinio::request_handling_status_t setFaults(const Request &request, const Query &query)
    {
        const Milliseconds now = m_clock.now();
        m_faults.slowBy = Milliseconds{number(query, "slow_by_ms")};
        m_faults.downUntil = now + Milliseconds{number(query, "down_ms")};
        m_faults.slowUntil = now + Milliseconds{number(query, "slow_ms")};
        m_faults.olderUntil = now + Milliseconds{number(query, "older_ms")};
        m_faults.lostReplies = static_cast<int>(number(query, "lose_replies"));
        if (query.has("restore")) {
            // The keys return to their state of this many milliseconds ago.
            m_keys.restore(now - Milliseconds{number(query, "restore")});
        }
        return reply(request, restinio::status_ok(), "{}");
    }

    restinio::request_handling_status_t read(const Request &request, const std::string &key,
                                             const Query &query)
    {
        const auto after = static_cast<std::uint64_t>(number(query, "after"));
        const Milliseconds wait{number(query, "wait_ms")};
        if (wait > 0_ms && m_keys.value(key).version <= after) {
            m_watches.push_back({request, key, after, m_clock.now() + wait});
            return restinio::request_accepted();
        }
        return replyValue(request, m_keys.value(key));
    }

    restinio::request_handling_status_t write(const Request &request, const std::string &key,
                                              const Query &query)
    {
        const auto expected = static_cast<std::uint64_t>(number(query, "expected"));
        const bool isWritten = m_keys.write(key, expected, request->body(), m_clock.now());
        const std::uint64_t version = m_keys.value(key).version;
        if (!isWritten) {
            return reply(request, restinio::status_conflict(),
                         "version is " + std::to_string(version));
        }
        if (m_faults.lostReplies > 0) {
            --m_faults.lostReplies;
            // The request is kept unanswered, so that the client times out.
            m_unanswered.push_back(request);
            return restinio::request_accepted();
        }
        return reply(request, restinio::status_ok(), Json{{"version", version}}.dump());
    }

    restinio::request_handling_status_t registerInstance(const Request &request)
    {
        const Json entry = Json::parse(request->body(), nullptr, false);
        if (!entry.is_object() || !entry.contains("role") || !entry.contains("id")) {
            return reply(request, restinio::status_bad_request(), "bad entry");
        }
        const std::string name = entry["role"].dump() + entry["id"].dump();
        m_instances[name] = {entry, m_clock.now()};
        return reply(request, restinio::status_ok(), "{}");
    }

    restinio::request_handling_status_t listInstances(const Request &request)
    {
        return reply(request, restinio::status_ok(), m_list.dump());
    }

    void publishList(Milliseconds now)
    {
        m_listedAt = now;
        m_list = Json::array();
        for (auto it = m_instances.begin(); it != m_instances.end();) {
            if (now - it->second.seen > InstanceTtl) {
                it = m_instances.erase(it);
            } else {
                m_list.push_back(it->second.entry);
                ++it;
            }
        }
    }

    Clock m_clock;
    Milliseconds m_lag;
    Milliseconds m_listedAt;
    KeyStore m_keys;
    std::map<std::string, Registered> m_instances;
    Json m_list = Json::array();
    std::list<Watch> m_watches;
    std::list<Request> m_unanswered;
    std::list<Delayed> m_delayed;
    PlatformFaults m_faults;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
};

void scheduleTick(asio::steady_timer &timer, Platform &platform)
{
    timer.expires_after(TickInterval);
    timer.async_wait([&](const std::error_code &error) {
        if (!error) {
            platform.tick();
            scheduleTick(timer, platform);
        }
    });
}

void serve(Endpoint listen, Milliseconds lag)
{
    asio::io_context context;
    Platform platform(lag);
    restinio::http_server_t<Traits> server(
            restinio::external_io_context(context), [&](auto &settings) {
                settings.address(asio::ip::address_v4(listen.address))
                        .port(listen.port)
                        .handle_request_timeout(std::chrono::seconds(120))
                        .request_handler(
                                [&](const Request &request) { return platform.handle(request); });
            });
    server.open_async([] {},
                      [](std::exception_ptr error) { std::rethrow_exception(std::move(error)); });
    asio::steady_timer timer(context);
    scheduleTick(timer, platform);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const std::error_code &, int) { context.stop(); });
    context.run();
}

} // namespace

int main(int argc, char **argv)
{
    try {
        po::options_description options("standin-platform");
        // clang-format off
        options.add_options()
            ("listen", po::value<std::string>()->required(), "address and port")
            ("lag-ms", po::value<std::int64_t>()->default_value(500), "lag of the instance list");
        // clang-format on
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
        const auto listen = parseEndpoint(values["listen"].as<std::string>());
        if (!listen) {
            std::cerr << toString(listen.assume_error()) << "\n";
            return 2;
        }
        serve(listen.assume_value(), Milliseconds{values["lag-ms"].as<std::int64_t>()});
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "standin-platform: " << error.what() << "\n";
        return 2;
    }
}
