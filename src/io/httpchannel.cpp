#include "io/httpchannel.h"

#include <algorithm>
#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <cctype>
#include <chrono>
#include <http_parser.h>
#include <utility>

namespace damaskhall {

namespace {

/// Bounds the memory of an answer on small instances. Pages of a list are bounded at about 1 MB
/// before encoding; an answer with all changes has no bound.
constexpr std::size_t MaxReplyBytes = std::size_t{16} * 1024 * 1024;
constexpr std::size_t ReadBufferBytes = 16'384;
/// Time limits within which a whole answer arrives, if each of its parts arrives within one: 1 MB
/// at a twentieth of a link of 10 Mbit/s takes 16 s.
constexpr int MaxAnswerTimeouts = 10;

} // namespace

struct HttpChannel::Private : std::enable_shared_from_this<HttpChannel::Private>
{
    Private(asio::io_context &ioContext, Endpoint endpoint, Step failedStep)
        : context(ioContext)
        , server(endpoint)
        , step(failedStep)
        , socket(ioContext)
        , timer(ioContext)
    {
        http_parser_settings_init(&settings);
        // The parser passes names and values in parts.
        settings.on_header_field = [](http_parser *raw, const char *at, std::size_t length) {
            auto *self = static_cast<Private *>(raw->data);
            if (!self->isInHeaderName) {
                self->reply.headers.emplace_back();
                self->isInHeaderName = true;
            }
            self->reply.headers.back().name.append(at, length);
            return 0;
        };
        settings.on_header_value = [](http_parser *raw, const char *at, std::size_t length) {
            auto *self = static_cast<Private *>(raw->data);
            self->isInHeaderName = false;
            self->reply.headers.back().value.append(at, length);
            return 0;
        };
        settings.on_body = [](http_parser *raw, const char *at, std::size_t length) {
            auto *self = static_cast<Private *>(raw->data);
            self->reply.receivedBytes += length;
            if (self->appendBody) {
                self->appendBody({at, length}, self->reply.body);
            } else {
                self->reply.body.append(at, length);
            }
            return self->reply.body.size() > MaxReplyBytes ? 1 : 0;
        };
        settings.on_message_complete = [](http_parser *raw) {
            static_cast<Private *>(raw->data)->isComplete = true;
            http_parser_pause(raw, 1);
            return 0;
        };
    }

    void start(const HttpChannelRequest &request, Milliseconds timeout, Handler done)
    {
        handler = std::move(done);
        appendBody = request.appendBody;
        reply = {};
        isInHeaderName = false;
        isComplete = false;
        http_parser_init(&parser, HTTP_RESPONSE);
        parser.data = this;
        output = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + toString(server) +
                 "\r\n";
        if (!request.body.empty()) {
            output += "Content-Type: application/json\r\nContent-Length: " +
                      std::to_string(request.body.size()) + "\r\n";
        }
        output += "\r\n" + request.body;
        const std::uint64_t current = ++attempt;
        patience = std::chrono::milliseconds(timeout.value);
        limit = std::chrono::steady_clock::now() + patience * MaxAnswerTimeouts;
        awaitProgress(current);
        if (socket.is_open()) {
            write(current);
        } else {
            connect(current);
        }
    }

    // A large answer over a busy link takes longer than a small one, and asking again would only
    // add to the load; an answer that proceeds is waited for.
    void awaitProgress(std::uint64_t current)
    {
        timer.expires_at(std::min(std::chrono::steady_clock::now() + patience, limit));
        timer.async_wait([self = shared_from_this(), current](const std::error_code &error) {
            if (!error && self->attempt == current && self->handler) {
                self->fail(ErrorCode::Timeout, "no answer in time");
            }
        });
    }

    void connect(std::uint64_t current)
    {
        const asio::ip::tcp::endpoint target(asio::ip::address_v4(server.address), server.port);
        socket.async_connect(target,
                             [self = shared_from_this(), current](const std::error_code &error) {
                                 if (self->attempt != current) {
                                     return;
                                 }
                                 if (error) {
                                     self->fail(ErrorCode::Unreachable, error.message());
                                     return;
                                 }
                                 std::error_code ignored;
                                 self->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
                                 self->write(current);
                             });
    }

    void write(std::uint64_t current)
    {
        asio::async_write(
                socket, asio::buffer(output),
                [self = shared_from_this(), current](const std::error_code &error, std::size_t) {
                    if (self->attempt != current) {
                        return;
                    }
                    if (error) {
                        self->fail(ErrorCode::Unreachable, error.message());
                        return;
                    }
                    self->read(current);
                });
    }

    void read(std::uint64_t current)
    {
        socket.async_read_some(asio::buffer(buffer),
                               [self = shared_from_this(), current](const std::error_code &error,
                                                                    std::size_t length) {
                                   if (self->attempt != current) {
                                       return;
                                   }
                                   self->parse(error, length, current);
                               });
    }

    void parse(const std::error_code &error, std::size_t length, std::uint64_t current)
    {
        // A length of zero tells the parser that the connection ended.
        http_parser_execute(&parser, &settings, buffer.data(), error ? 0 : length);
        if (isComplete) {
            finish();
            return;
        }
        if (error) {
            fail(ErrorCode::Unreachable, error.message());
            return;
        }
        const auto code = static_cast<http_errno>(parser.http_errno);
        if (code != HPE_OK) {
            if (reply.body.size() > MaxReplyBytes) {
                fail(ErrorCode::Oversized,
                     "the body has more than " + std::to_string(MaxReplyBytes) + " bytes");
            } else {
                fail(ErrorCode::Malformed, http_errno_description(code));
            }
            return;
        }
        awaitProgress(current);
        read(current);
    }

    void finish()
    {
        reply.status = parser.status_code;
        http_parser_pause(&parser, 0);
        if (http_should_keep_alive(&parser) == 0) {
            close();
        }
        ++attempt;
        timer.cancel();
        std::exchange(handler, nullptr)(std::move(reply));
    }

    void fail(ErrorCode code, const std::string &detail)
    {
        ++attempt;
        timer.cancel();
        close();
        std::exchange(handler, nullptr)(Error{code, step, toString(server), detail});
    }

    void close()
    {
        std::error_code ignored;
        socket.close(ignored);
    }

    asio::io_context &context;
    Endpoint server;
    Step step;
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::chrono::steady_clock::duration patience{};
    /// End of the request, however slowly its answer arrives.
    std::chrono::steady_clock::time_point limit;
    http_parser_settings settings{};
    http_parser parser{};
    Handler handler;
    std::function<void(std::string_view, std::string &)> appendBody;
    HttpChannelReply reply;
    /// The last part of a header that was received belongs to its name.
    bool isInHeaderName = false;
    bool isComplete = false;
    std::string output;
    std::array<char, ReadBufferBytes> buffer{};
    /// Callbacks of earlier requests carry a lower number and are ignored.
    std::uint64_t attempt = 0;
};

std::optional<std::string_view> HttpChannelReply::header(std::string_view name) const
{
    const auto isSameLetter = [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) ==
               std::tolower(static_cast<unsigned char>(b));
    };
    for (const Header &header : headers) {
        if (std::equal(header.name.begin(), header.name.end(), name.begin(), name.end(),
                       isSameLetter)) {
            return header.value;
        }
    }
    return std::nullopt;
}

HttpChannel::HttpChannel(asio::io_context &context, Endpoint server, Step step)
    : m_d(std::make_shared<Private>(context, server, step))
{
}

HttpChannel::~HttpChannel()
{
    ++m_d->attempt;
    m_d->handler = nullptr;
    m_d->timer.cancel();
    m_d->close();
}

void HttpChannel::request(const HttpChannelRequest &request, Milliseconds timeout, Handler handler)
{
    m_d->start(request, timeout, std::move(handler));
}

} // namespace damaskhall
