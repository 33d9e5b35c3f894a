#pragma once

#include "base/clock.h"
#include "io/udpport.h"
#include "wire/framecodec.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

/// One client state machine with its own local port; opens another port when the client asks.
/// Not movable, as the port's receiver refers to it. Thread safety: none.
template <typename Client>
class CallerLine
{
public:
    /// @p name identifies the work in the run log.
    CallerLine(asio::io_context &context, damaskhall::Endpoint fabric, std::string name,
               Client client)
        : m_context(context)
        , m_fabric(fabric)
        , m_name(std::move(name))
        , m_client(std::move(client))
    {
        openPort();
    }
    CallerLine(const CallerLine &) = delete;
    CallerLine &operator=(const CallerLine &) = delete;

    void tick(damaskhall::Milliseconds now)
    {
        m_client.tick(now, m_out);
        if (m_client.portChanges() != m_portChanges) {
            m_portChanges = m_client.portChanges();
            // The old port stays open for replies that are on their way.
            m_oldPort = std::move(m_port);
            openPort();
        }
        flush();
    }

    const Client &client() const { return m_client; }
    const std::string &name() const { return m_name; }

private:
    void openPort()
    {
        auto receiver = [this](std::string_view datagram, damaskhall::Endpoint) {
            const auto frame = damaskhall::decodeFrame(datagram);
            if (frame) {
                m_client.handle(frame.assume_value(), m_clock.now(), m_out);
                flush();
            }
        };
        // Without a port nothing is sent; the client asks for another one.
        auto port = damaskhall::UdpPort::open(m_context, {INADDR_LOOPBACK, 0}, receiver);
        if (port) {
            m_port = std::move(port.assume_value());
        }
    }

    void flush()
    {
        for (const damaskhall::Frame &frame : m_out) {
            if (m_port) {
                m_port->send(damaskhall::encodeFrame(frame), m_fabric);
            }
        }
        m_out.clear();
    }

    asio::io_context &m_context;
    damaskhall::Endpoint m_fabric;
    std::string m_name;
    damaskhall::Clock m_clock;
    Client m_client;
    unsigned m_portChanges = 0;
    std::unique_ptr<damaskhall::UdpPort> m_port;
    std::unique_ptr<damaskhall::UdpPort> m_oldPort;
    std::vector<damaskhall::Frame> m_out;
};
