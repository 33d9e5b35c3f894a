#pragma once

#include <restinio/all.hpp>

namespace damaskhall {

/// Traits of all HTTP servers of the project (RESTinio). Included only by .cpp files, as RESTinio
/// is slow to compile.
struct HttpServerTraits
    : restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t>
{
    // RESTinio looks for this name.
    // NOLINTNEXTLINE(readability-identifier-naming)
    static constexpr bool use_connection_count_limiter = true;
};

using HttpServer = restinio::http_server_t<HttpServerTraits>;

} // namespace damaskhall
