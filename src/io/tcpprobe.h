#pragma once

#include "base/endpoint.h"
#include "base/milliseconds.h"

#include <functional>

#include <asio/io_context.hpp>

namespace damaskhall {

/// Tries to open a TCP connection to @p target and closes it again. Calls @p handler once, later,
/// with whether the target accepted the connection within @p timeout.
/// Precondition: @p context outlives the attempt. Thread safety: the thread that runs the
/// io_context.
void probeTcp(asio::io_context &context, Endpoint target, Milliseconds timeout,
              std::function<void(bool isReachable)> handler);

} // namespace damaskhall
