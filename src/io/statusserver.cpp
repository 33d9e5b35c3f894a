#include "io/statusserver.h"

#include "io/httpserver.h"

namespace damaskhall {

namespace {

using Request = restinio::request_handle_t;

/// Checks of a fabric and some readers of metrics.
constexpr std::size_t MaxConnections = 32;
/// A check comes every half second; a connection without one for this long is closed.
constexpr std::chrono::seconds ReadTimeout{10};

void reply(const Request &request, restinio::http_status_line_t status, const std::string &body)
{
    request->create_response(std::move(status))
            .append_header(restinio::http_field::content_type, "text/plain; version=0.0.4")
            .set_body(body)
            .done();
}

} // namespace

struct StatusServer::Private
{
    Private(asio::io_context &ioContext, StatusHooks statusHooks)
        : context(ioContext)
        , hooks(std::move(statusHooks))
    {
    }

    restinio::request_handling_status_t handle(const Request &request) const
    {
        const auto path = request->header().path();
        if (request->header().method() != restinio::http_method_get()) {
            reply(request, restinio::status_method_not_allowed(), "only GET is served\n");
        } else if (path == "/ready") {
            const bool isReady = hooks.isReady();
            reply(request, isReady ? restinio::status_ok() : restinio::status_service_unavailable(),
                  isReady ? "ready\n" : "not ready\n");
        } else if (path == "/metrics") {
            reply(request, restinio::status_ok(), hooks.metrics());
        } else {
            reply(request, restinio::status_not_found(), "no such page\n");
        }
        return restinio::request_accepted();
    }

    asio::io_context &context;
    StatusHooks hooks;
    std::unique_ptr<HttpServer> server;
};

StatusServer::StatusServer(asio::io_context &context, StatusHooks hooks)
    : m_d(std::make_unique<Private>(context, std::move(hooks)))
{
}

StatusServer::~StatusServer()
{
    if (m_d->server) {
        m_d->server->close_sync();
    }
}

Result<void> StatusServer::open(Endpoint listen)
{
    m_d->server = std::make_unique<HttpServer>(
            restinio::external_io_context(m_d->context), [&](auto &settings) {
                settings.address(asio::ip::address_v4(listen.address))
                        .port(listen.port)
                        .max_parallel_connections(MaxConnections)
                        .read_next_http_message_timelimit(ReadTimeout)
                        .request_handler([d = m_d.get()](const Request &request) {
                            return d->handle(request);
                        });
            });
    try {
        m_d->server->open_sync();
    } catch (const std::exception &error) {
        m_d->server.reset();
        return Error{ErrorCode::System, Step::OpenSocket, toString(listen), error.what()};
    }
    return success();
}

} // namespace damaskhall
