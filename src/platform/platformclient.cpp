#include "platform/platformclient.h"

#include "platform/httpclient.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace damaskhall {

namespace {

using Json = nlohmann::json;

constexpr long HttpOk = 200;
constexpr long HttpNotFound = 404;
constexpr long HttpConflict = 409;
constexpr long HttpServerError = 500;

/// Highest id of a balancer. Those of upstreams have 64 bits.
constexpr std::uint64_t MaxBalancerId = std::numeric_limits<std::uint32_t>::max();

// The JSON library would convert negative and fractional numbers without an error.
std::optional<std::uint64_t> readUnsigned(const Json &json)
{
    return json.is_number_unsigned() ? std::optional(json.get<std::uint64_t>()) : std::nullopt;
}

// Returns nothing for an entry that names no instance.
std::optional<PlatformInstance> readInstance(const Json &json)
{
    try {
        PlatformInstance instance;
        instance.role = json.at("role").get<std::string>();
        instance.dataCentre = json.at("data_centre").get<std::string>();
        instance.service = json.value("service", "");
        instance.isLeaving = json.value("state", "live") == "leaving";
        const auto id = readUnsigned(json.at("id"));
        const auto incarnation = json.contains("incarnation") ? readUnsigned(json.at("incarnation"))
                                                              : std::optional(std::uint64_t{0});
        const auto endpoint = parseEndpoint(json.at("endpoint").get<std::string>());
        if (!id || (instance.role == "balancer" && *id > MaxBalancerId) || !incarnation ||
            !endpoint) {
            return std::nullopt;
        }
        instance.id = *id;
        instance.incarnation = *incarnation;
        instance.endpoint = endpoint.assume_value();
        return instance;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

Error unexpectedStatus(Step step, const std::string &peer, const HttpReply &reply)
{
    // A server error does not say whether a write took effect.
    const bool isUnknown = step == Step::WritePlatform && reply.status >= HttpServerError;
    return {isUnknown ? ErrorCode::OutcomeUnknown : ErrorCode::Unreachable, step, peer,
            "HTTP status " + std::to_string(reply.status)};
}

} // namespace

struct PlatformClient::Private
{
    Private(Endpoint endpoint, Milliseconds callTimeout)
        : timeout(callTimeout)
        , http(endpoint)
    {
    }

    Result<PlatformValue> readValue(Step step, const std::string &path, Milliseconds limit)
    {
        BOOST_OUTCOME_TRY(reply, http.call(step, HttpMethod::Get, path, {}, limit));
        if (reply.status == HttpNotFound) {
            return PlatformValue{{}, 0, reply.era.value_or(0)};
        }
        if (reply.status != HttpOk) {
            return unexpectedStatus(step, http.peer(), reply);
        }
        try {
            const Json json = Json::parse(reply.body);
            return PlatformValue{json.at("value").get<std::string>(),
                                 json.at("version").get<std::uint64_t>(), reply.era.value_or(0)};
        } catch (const Json::exception &error) {
            return Error{ErrorCode::Malformed, step, http.peer(), error.what()};
        }
    }

    Milliseconds timeout;
    HttpClient http;
};

PlatformClient::PlatformClient(Endpoint platform, Milliseconds timeout)
    : m_d(std::make_unique<Private>(platform, timeout))
{
}

PlatformClient::~PlatformClient() = default;

Result<PlatformValue> PlatformClient::read(const std::string &key)
{
    return m_d->readValue(Step::ReadPlatform, "/kv/" + key, m_d->timeout);
}

Result<PlatformValue> PlatformClient::watch(const std::string &key, std::uint64_t version,
                                            Milliseconds wait)
{
    const std::string path = "/kv/" + key + "?after=" + std::to_string(version) +
                             "&wait_ms=" + std::to_string(wait.value);
    return m_d->readValue(Step::WatchPlatform, path, wait + m_d->timeout);
}

Result<std::uint64_t> PlatformClient::compareAndSwap(const std::string &key,
                                                     const std::string &value,
                                                     std::uint64_t expected)
{
    constexpr Step Write = Step::WritePlatform;
    const std::string path = "/kv/" + key + "?expected=" + std::to_string(expected);
    BOOST_OUTCOME_TRY(reply, m_d->http.call(Write, HttpMethod::Put, path, value, m_d->timeout));
    if (reply.status == HttpConflict) {
        return Error{ErrorCode::Conflict, Write, m_d->http.peer(), reply.body};
    }
    if (reply.status != HttpOk) {
        return unexpectedStatus(Write, m_d->http.peer(), reply);
    }
    try {
        return Json::parse(reply.body).at("version").get<std::uint64_t>();
    } catch (const Json::exception &error) {
        return Error{ErrorCode::OutcomeUnknown, Write, m_d->http.peer(), error.what()};
    }
}

Result<PlatformInstanceList> PlatformClient::instances()
{
    constexpr Step Read = Step::ReadPlatform;
    BOOST_OUTCOME_TRY(reply, m_d->http.call(Read, HttpMethod::Get, "/instances", {}, m_d->timeout));
    if (reply.status != HttpOk) {
        return unexpectedStatus(Read, m_d->http.peer(), reply);
    }
    const Json list = Json::parse(reply.body, nullptr, false);
    if (!list.is_array()) {
        return Error{ErrorCode::Malformed, Read, m_d->http.peer(), "expected a JSON array"};
    }
    PlatformInstanceList read;
    read.instances.reserve(list.size());
    for (const Json &entry : list) {
        if (auto instance = readInstance(entry)) {
            read.instances.push_back(std::move(*instance));
        } else {
            ++read.refused;
        }
    }
    return read;
}

Result<void> PlatformClient::registerInstance(const PlatformInstance &instance)
{
    const Json json = {{"id", instance.id},
                       {"role", instance.role},
                       {"endpoint", toString(instance.endpoint)},
                       {"data_centre", instance.dataCentre},
                       {"service", instance.service},
                       {"incarnation", instance.incarnation},
                       {"state", instance.isLeaving ? "leaving" : "live"}};
    BOOST_OUTCOME_TRY(reply, m_d->http.call(Step::WritePlatform, HttpMethod::Put, "/instances",
                                            json.dump(), m_d->timeout));
    if (reply.status != HttpOk) {
        return unexpectedStatus(Step::WritePlatform, m_d->http.peer(), reply);
    }
    return success();
}

} // namespace damaskhall
