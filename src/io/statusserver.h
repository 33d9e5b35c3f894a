#pragma once

#include "base/endpoint.h"
#include "base/result.h"

#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

namespace damaskhall {

/// What the status server shows. All hooks must be set; they are called on the thread that runs
/// the io_context.
struct StatusHooks
{
    /// True if the fabric may send packets here.
    std::function<bool()> isReady;
    /// Metrics in the Prometheus text format.
    std::function<std::string()> metrics;
};

/// HTTP server for the fabric's readiness checks (GET /ready) and for metrics (GET /metrics),
/// read-only (RESTinio). Thread safety: all calls come from the thread that runs the io_context.
class StatusServer
{
public:
    /// Precondition: @p context outlives this; all hooks are set.
    StatusServer(asio::io_context &context, StatusHooks hooks);
    ~StatusServer();
    StatusServer(const StatusServer &) = delete;
    StatusServer &operator=(const StatusServer &) = delete;

    /// Opens the socket. Errors: System with Step::OpenSocket.
    Result<void> open(Endpoint listen);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace damaskhall
