#pragma once

#include "base/endpoint.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace damaskhall::test {

/// HTTP server on loopback whose answers a test writes byte by byte, so that it can also send
/// wrong, partial or no answers. Runs on the test's io_context.
class RawServer
{
public:
    /// Gets the head of a request and returns the bytes to answer; empty: stays silent.
    using Answer = std::function<std::string(const std::string &head)>;

    RawServer(asio::io_context &context, Answer answer)
        : m_acceptor(context, {asio::ip::address_v4::loopback(), 0})
        , m_answer(std::move(answer))
    {
        accept();
    }

    Endpoint endpoint() const
    {
        return {asio::ip::address_v4::loopback().to_uint(), m_acceptor.local_endpoint().port()};
    }

    int connections() const { return m_connections; }

    /// Body of the request that is answered.
    const std::string &body() const { return m_body; }

    /// Sends answers in parts of @p bytes with a pause before each part.
    void sendSlowly(std::size_t bytes, std::chrono::milliseconds pause)
    {
        m_partBytes = bytes;
        m_pause = pause;
    }

    /// Returns an answer with @p body. @p headers: further header lines, each with its line end.
    static std::string ok(const std::string &body, const std::string &status = "200 OK",
                          const std::string &headers = "")
    {
        return "HTTP/1.1 " + status + "\r\n" + headers +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

private:
    struct Connection
    {
        explicit Connection(asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
            , timer(socket.get_executor())
        {
        }

        asio::ip::tcp::socket socket;
        asio::steady_timer timer;
        asio::streambuf input;
        std::string output;
        std::size_t sent = 0;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const std::error_code &error, asio::ip::tcp::socket socket) {
            if (!error) {
                ++m_connections;
                read(std::make_shared<Connection>(std::move(socket)));
                accept();
            }
        });
    }

    void read(const std::shared_ptr<Connection> &connection)
    {
        asio::async_read_until(
                connection->socket, connection->input, "\r\n\r\n",
                [this, connection](const std::error_code &error, std::size_t length) {
                    if (error) {
                        return;
                    }
                    const std::string head(asio::buffers_begin(connection->input.data()),
                                           asio::buffers_begin(connection->input.data()) +
                                                   static_cast<std::ptrdiff_t>(length));
                    connection->input.consume(length);
                    readBody(connection, head);
                });
    }

    void readBody(const std::shared_ptr<Connection> &connection, const std::string &head)
    {
        static constexpr std::string_view Field = "Content-Length: ";
        const std::size_t at = head.find(Field);
        const std::size_t size =
                at == std::string::npos ? 0 : std::stoul(head.substr(at + Field.size()));
        const std::size_t missing = size - std::min(size, connection->input.size());
        asio::async_read(connection->socket, connection->input, asio::transfer_exactly(missing),
                         [this, connection, head, size](const std::error_code &error, std::size_t) {
                             if (error) {
                                 return;
                             }
                             const auto begin = asio::buffers_begin(connection->input.data());
                             m_body.assign(begin, begin + static_cast<std::ptrdiff_t>(size));
                             connection->input.consume(size);
                             answer(connection, head);
                         });
    }

    void answer(const std::shared_ptr<Connection> &connection, const std::string &head)
    {
        connection->output = m_answer(head);
        if (connection->output == "close") {
            connection->socket.close();
            return;
        }
        connection->sent = 0;
        write(connection);
    }

    void write(const std::shared_ptr<Connection> &connection)
    {
        connection->timer.expires_after(m_pause);
        connection->timer.async_wait([this, connection](const std::error_code &) {
            const auto part =
                    asio::buffer(asio::buffer(connection->output) + connection->sent, m_partBytes);
            asio::async_write(
                    connection->socket, part,
                    [this, connection](const std::error_code &failed, std::size_t length) {
                        connection->sent += length;
                        if (failed) {
                            return;
                        }
                        if (connection->sent < connection->output.size()) {
                            write(connection);
                        } else {
                            read(connection);
                        }
                    });
        });
    }

    asio::ip::tcp::acceptor m_acceptor;
    Answer m_answer;
    std::string m_body;
    int m_connections = 0;
    std::size_t m_partBytes = std::numeric_limits<std::size_t>::max();
    std::chrono::milliseconds m_pause{0};
};

} // namespace damaskhall::test
