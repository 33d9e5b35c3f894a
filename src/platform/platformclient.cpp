#include "platform/platformclient.h"

#include <curl/curl.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace damaskhall {

namespace {

using Json = nlohmann::json;

constexpr long HttpOk = 200;
constexpr long HttpNotFound = 404;
constexpr long HttpConflict = 409;

struct HttpReply
{
    long status = 0;
    std::string body;
};

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

Result<PlatformInstance> readInstance(const Json &json, const std::string &peer)
{
    try {
        PlatformInstance instance;
        instance.id = json.at("id").get<std::uint64_t>();
        instance.role = json.at("role").get<std::string>();
        instance.dataCentre = json.at("data_centre").get<std::string>();
        instance.service = json.value("service", "");
        instance.incarnation = json.value("incarnation", std::uint64_t{0});
        instance.isLeaving = json.value("state", "live") == "leaving";
        BOOST_OUTCOME_TRY(endpoint, parseEndpoint(json.at("endpoint").get<std::string>()));
        instance.endpoint = endpoint;
        return instance;
    } catch (const Json::exception &error) {
        return Error{ErrorCode::Malformed, Step::ReadPlatform, peer, error.what()};
    }
}

} // namespace

struct PlatformClient::Private
{
    Private(Endpoint endpoint, Milliseconds callTimeout)
        : peer(toString(endpoint))
        , timeout(callTimeout)
        , curl(curl_easy_init(), &curl_easy_cleanup)
    {
    }

    std::string url(const std::string &path) const { return "http://" + peer + path; }

    // Sends one request. A non-null @p body makes it a PUT.
    Result<HttpReply> call(Step step, const std::string &path, const std::string *body,
                           Milliseconds limit)
    {
        HttpReply reply;
        CURL *handle = curl.get();
        curl_easy_reset(handle);
        curl_easy_setopt(handle, CURLOPT_URL, url(path).c_str());
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(limit.value));
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &appendBody);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &reply.body);
        if (body) {
            curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, "PUT");
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(body->size()));
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body->c_str());
        }
        const CURLcode code = curl_easy_perform(handle);
        if (code == CURLE_OK) {
            curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &reply.status);
            return reply;
        }
        const std::string detail = curl_easy_strerror(code);
        if (code == CURLE_COULDNT_CONNECT) {
            return Error{ErrorCode::Unreachable, step, peer, detail};
        }
        // The request may have been carried out although no reply arrived.
        const bool isWrite = body != nullptr;
        return Error{isWrite ? ErrorCode::OutcomeUnknown : ErrorCode::Timeout, step, peer, detail};
    }

    Result<PlatformValue> readValue(Step step, const std::string &path, Milliseconds limit)
    {
        BOOST_OUTCOME_TRY(reply, call(step, path, nullptr, limit));
        if (reply.status == HttpNotFound) {
            return PlatformValue{};
        }
        if (reply.status != HttpOk) {
            return unexpectedStatus(step, reply);
        }
        try {
            const Json json = Json::parse(reply.body);
            return PlatformValue{json.at("value").get<std::string>(),
                                 json.at("version").get<std::uint64_t>()};
        } catch (const Json::exception &error) {
            return Error{ErrorCode::Malformed, step, peer, error.what()};
        }
    }

    Error unexpectedStatus(Step step, const HttpReply &reply) const
    {
        return {ErrorCode::Unreachable, step, peer, "HTTP status " + std::to_string(reply.status)};
    }

    std::string peer;
    Milliseconds timeout;
    std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> curl;
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
    const std::string path = "/kv/" + key + "?expected=" + std::to_string(expected);
    BOOST_OUTCOME_TRY(reply, m_d->call(Step::WritePlatform, path, &value, m_d->timeout));
    if (reply.status == HttpConflict) {
        return Error{ErrorCode::Conflict, Step::WritePlatform, m_d->peer, reply.body};
    }
    if (reply.status != HttpOk) {
        return m_d->unexpectedStatus(Step::WritePlatform, reply);
    }
    try {
        return Json::parse(reply.body).at("version").get<std::uint64_t>();
    } catch (const Json::exception &error) {
        return Error{ErrorCode::OutcomeUnknown, Step::WritePlatform, m_d->peer, error.what()};
    }
}

Result<std::vector<PlatformInstance>> PlatformClient::instances()
{
    BOOST_OUTCOME_TRY(reply, m_d->call(Step::ReadPlatform, "/instances", nullptr, m_d->timeout));
    if (reply.status != HttpOk) {
        return m_d->unexpectedStatus(Step::ReadPlatform, reply);
    }
    const Json list = Json::parse(reply.body, nullptr, false);
    if (!list.is_array()) {
        return Error{ErrorCode::Malformed, Step::ReadPlatform, m_d->peer, "expected a JSON array"};
    }
    std::vector<PlatformInstance> instances;
    for (const Json &entry : list) {
        BOOST_OUTCOME_TRY(instance, readInstance(entry, m_d->peer));
        instances.push_back(std::move(instance));
    }
    return instances;
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
    const std::string body = json.dump();
    BOOST_OUTCOME_TRY(reply, m_d->call(Step::WritePlatform, "/instances", &body, m_d->timeout));
    if (reply.status != HttpOk) {
        return m_d->unexpectedStatus(Step::WritePlatform, reply);
    }
    return success();
}

} // namespace damaskhall
