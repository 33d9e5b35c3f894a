#include "admin/adminserver.h"

#include "io/httpserver.h"

#include <future>
#include <thread>

namespace damaskhall {

namespace {

using Request = restinio::request_handle_t;

constexpr std::size_t MaxConnections = 64;
/// Above the largest value of the platform.
constexpr std::uint64_t MaxBodyBytes = std::uint64_t{2} * 1024 * 1024;
constexpr std::chrono::seconds ReadTimeout{10};
/// Above the time of an apply while the platform loses replies.
constexpr std::chrono::seconds HandleTimeout{30};

AdminRequest toAdminRequest(const Request &request)
{
    AdminRequest admin;
    const auto method = request->header().method();
    admin.method = method == restinio::http_method_get()    ? "GET"
                   : method == restinio::http_method_post() ? "POST"
                                                            : "other";
    admin.path = std::string(request->header().path());
    admin.body = request->body();
    const auto query = restinio::parse_query(request->header().query());
    for (const auto &[name, value] : query) {
        admin.query[std::string(name)] = std::string(value);
    }
    return admin;
}

void reply(const Request &request, const AdminReply &admin)
{
    const restinio::http_status_line_t line(
            restinio::http_status_code_t(static_cast<std::uint16_t>(admin.status)), "status");
    request->create_response(line)
            .append_header(restinio::http_field::content_type, admin.contentType)
            .set_body(admin.body)
            .done();
}

} // namespace

struct AdminServer::Private
{
    explicit Private(AdminApi &adminApi)
        : api(adminApi)
    {
    }

    restinio::request_handling_status_t handle(const Request &request)
    {
        try {
            const AdminRequest admin = toAdminRequest(request);
            if (AdminApi::isQuick(admin)) {
                reply(request, api.handle(admin));
            } else {
                asio::post(workContext,
                           [this, request, admin] { reply(request, api.handle(admin)); });
            }
        } catch (const std::exception &) {
            // A query that cannot be decoded.
            reply(request, {400, "application/json", R"({"error":"malformed query"})"});
        }
        return restinio::request_accepted();
    }

    std::unique_ptr<HttpServer> makeServer(Endpoint listen)
    {
        return std::make_unique<HttpServer>(
                restinio::external_io_context(context), [&](auto &settings) {
                    settings.address(asio::ip::address_v4(listen.address))
                            .port(listen.port)
                            .max_parallel_connections(MaxConnections)
                            .read_next_http_message_timelimit(ReadTimeout)
                            .handle_request_timeout(HandleTimeout)
                            .incoming_http_msg_limits(
                                    restinio::incoming_http_msg_limits_t{}.max_body_size(
                                            MaxBodyBytes))
                            .request_handler(
                                    [this](const Request &request) { return handle(request); });
                });
    }

    AdminApi &api;
    asio::io_context context{1};
    asio::io_context workContext{1};
    asio::executor_work_guard<asio::io_context::executor_type> contextGuard =
            asio::make_work_guard(context);
    asio::executor_work_guard<asio::io_context::executor_type> workGuard =
            asio::make_work_guard(workContext);
    std::unique_ptr<HttpServer> server;
    std::thread thread;
    std::thread worker;
};

AdminServer::AdminServer(AdminApi &api)
    : m_d(std::make_unique<Private>(api))
{
}

AdminServer::~AdminServer()
{
    stop();
}

Result<void> AdminServer::start(Endpoint listen)
{
    m_d->server = m_d->makeServer(listen);
    m_d->thread = std::thread([d = m_d.get()] { d->context.run(); });
    m_d->worker = std::thread([d = m_d.get()] { d->workContext.run(); });
    std::promise<std::string> opened;
    m_d->server->open_async([&opened] { opened.set_value({}); },
                            [&opened](std::exception_ptr error) {
                                try {
                                    std::rethrow_exception(std::move(error));
                                } catch (const std::exception &caught) {
                                    opened.set_value(caught.what());
                                }
                            });
    const std::string failure = opened.get_future().get();
    if (!failure.empty()) {
        stop();
        return Error{ErrorCode::System, Step::OpenSocket, toString(listen), failure};
    }
    return success();
}

void AdminServer::stop()
{
    m_d->workContext.stop();
    if (m_d->worker.joinable()) {
        m_d->worker.join();
    }
    m_d->context.stop();
    if (m_d->thread.joinable()) {
        m_d->thread.join();
    }
}

} // namespace damaskhall
