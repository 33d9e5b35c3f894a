#pragma once

#include "base/endpoint.h"
#include "base/milliseconds.h"
#include "base/result.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <asio/io_context.hpp>

namespace damaskhall {

/// Request of an HttpChannel.
struct HttpChannelRequest
{
    /// "GET", "POST" or "DELETE".
    std::string method = "GET";
    /// Path and query, sent as they are.
    std::string target;
    /// Sent as JSON unless empty.
    std::string body;
    /// Appends what is needed of a part of the response's body to what was received before it. If
    /// empty, all of it is kept.
    std::function<void(std::string_view part, std::string &body)> appendBody = {};
};

struct HttpChannelReply
{
    struct Header
    {
        std::string name;
        std::string value;
    };

    /// Returns the value of the first header with this name, in any case, or nothing.
    std::optional<std::string_view> header(std::string_view name) const;

    unsigned status = 0;
    /// In the order in which they were received.
    std::vector<Header> headers;
    std::string body;
    /// Size of the body as it was received.
    std::size_t receivedBytes = 0;
};

/// Asynchronous HTTP/1.1 client of one server on one kept connection, one request at a time. A
/// request that fails or takes too long closes the connection, because a connection that lost an
/// answer may stay silent for good; the next request opens a new one.
/// Thread safety: all calls come from the thread that runs the io_context.
class HttpChannel
{
public:
    using Handler = std::function<void(Result<HttpChannelReply>)>;

    /// Precondition: @p context outlives this.
    HttpChannel(asio::io_context &context, Endpoint server, Step step);
    ~HttpChannel();
    HttpChannel(const HttpChannel &) = delete;
    HttpChannel &operator=(const HttpChannel &) = delete;

    /// Sends a request and calls @p handler once, later, with the reply or the error: Unreachable,
    /// Timeout, Oversized (more than 16 MiB of the body are kept) or Malformed. @p timeout: longest
    /// time without any part of the answer; the whole may take ten times as long. Precondition: no
    /// request is under way.
    void request(const HttpChannelRequest &request, Milliseconds timeout, Handler handler);

private:
    struct Private;
    std::shared_ptr<Private> m_d;
};

} // namespace damaskhall
