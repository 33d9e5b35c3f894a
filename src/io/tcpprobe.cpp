#include "io/tcpprobe.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace damaskhall {

namespace {

struct Attempt
{
    explicit Attempt(asio::io_context &context)
        : socket(context)
        , timer(context)
    {
    }

    void finish(bool isReachable)
    {
        if (const auto done = std::exchange(handler, nullptr)) {
            timer.cancel();
            std::error_code ignored;
            socket.close(ignored);
            done(isReachable);
        }
    }

    // A process that was paused finds the timer and the connection ready at the same time.
    bool isConnected() const
    {
        std::error_code error;
        (void)socket.remote_endpoint(error);
        return !error;
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::function<void(bool)> handler;
};

} // namespace

void probeTcp(asio::io_context &context, Endpoint target, Milliseconds timeout,
              std::function<void(bool isReachable)> handler)
{
    const auto attempt = std::make_shared<Attempt>(context);
    attempt->handler = std::move(handler);
    attempt->socket.async_connect(
            {asio::ip::address_v4(target.address), target.port},
            [attempt](const std::error_code &error) { attempt->finish(!error); });
    attempt->timer.expires_after(std::chrono::milliseconds(timeout.value));
    attempt->timer.async_wait([attempt](const std::error_code &error) {
        if (!error) {
            attempt->finish(attempt->isConnected());
        }
    });
}

} // namespace damaskhall
