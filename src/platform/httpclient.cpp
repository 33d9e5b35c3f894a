#include "platform/httpclient.h"

#include <charconv>
#include <curl/curl.h>
#include <string_view>

namespace damaskhall {

namespace {

/// A platform that sends without end must not fill the memory. The list of instances is about 2 MB
/// at the target size.
constexpr std::size_t MaxReplyBytes = std::size_t{16} * 1024 * 1024;

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    auto *body = static_cast<std::string *>(target);
    if (body->size() + size * count > MaxReplyBytes) {
        return 0;
    }
    body->append(data, size * count);
    return size * count;
}

std::optional<std::uint32_t> readEra(CURL *handle)
{
    curl_header *header = nullptr;
    if (curl_easy_header(handle, "Store-Era", 0, CURLH_HEADER, -1, &header) != CURLHE_OK) {
        return std::nullopt;
    }
    const std::string_view text(header->value);
    std::uint32_t era = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), era);
    const bool isNumber = code == std::errc() && end == text.data() + text.size();
    return isNumber ? std::optional(era) : std::nullopt;
}

Error callError(CURLcode code, Step step, const std::string &peer, bool isWrite)
{
    const std::string detail = curl_easy_strerror(code);
    if (code == CURLE_COULDNT_CONNECT) {
        return {ErrorCode::Unreachable, step, peer, detail};
    }
    if (isWrite) {
        return {ErrorCode::OutcomeUnknown, step, peer, detail};
    }
    if (code == CURLE_WRITE_ERROR) {
        return {ErrorCode::Oversized, step, peer, "reply above 16 MiB"};
    }
    return {ErrorCode::Timeout, step, peer, detail};
}

} // namespace

struct HttpClient::Private
{
    std::string peer;
    std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> curl{curl_easy_init(), &curl_easy_cleanup};
};

HttpClient::HttpClient(Endpoint server)
    : m_d(std::make_unique<Private>())
{
    m_d->peer = toString(server);
}

HttpClient::~HttpClient() = default;

Result<HttpReply> HttpClient::call(Step step, HttpMethod method, const std::string &path,
                                   const std::string &body, Milliseconds timeout)
{
    HttpReply reply;
    CURL *handle = m_d->curl.get();
    const std::string url = "http://" + m_d->peer + path;
    curl_easy_reset(handle);
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.value));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &reply.body);
    if (method != HttpMethod::Get) {
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, method == HttpMethod::Put ? "PUT" : "POST");
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.c_str());
    }
    const CURLcode code = curl_easy_perform(handle);
    if (code != CURLE_OK) {
        return callError(code, step, m_d->peer, method != HttpMethod::Get);
    }
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &reply.status);
    reply.era = readEra(handle);
    return reply;
}

std::string HttpClient::escape(const std::string &text)
{
    std::unique_ptr<char, decltype(&curl_free)> escaped(
            curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())), &curl_free);
    return escaped ? std::string(escaped.get()) : std::string();
}

const std::string &HttpClient::peer() const
{
    return m_d->peer;
}

} // namespace damaskhall
