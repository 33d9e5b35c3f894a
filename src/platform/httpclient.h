#pragma once

#include "base/endpoint.h"
#include "base/milliseconds.h"
#include "base/result.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace damaskhall {

enum class HttpMethod : std::uint8_t {
    Get,
    Put,
    Post,
};

struct HttpReply
{
    long status = 0;
    std::string body;
    /// Number in the header "Store-Era", if there is one.
    std::optional<std::uint32_t> era = std::nullopt;
};

/// HTTP client of one server (libcurl), without proxies. Calls block up to their timeout.
/// Thread safety: one thread at a time.
class HttpClient
{
public:
    explicit HttpClient(Endpoint server);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends one request and returns the reply, whatever its status. @p path starts with '/' and is
    /// sent as it is. Errors: Unreachable (not sent), Oversized (reply above 16 MiB), Timeout; for
    /// Put and Post OutcomeUnknown in place of the last two, because the request may have been
    /// carried out.
    Result<HttpReply> call(Step step, HttpMethod method, const std::string &path,
                           const std::string &body, Milliseconds timeout);

    /// Returns @p text with every character escaped that a query may not hold.
    static std::string escape(const std::string &text);

    const std::string &peer() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace damaskhall
