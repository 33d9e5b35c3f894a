#pragma once

#include "fakes/session.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace damaskhall::measure {

/// Requests of one class and workspace that arrive at random.
struct RequestStream
{
    std::string service;
    std::string workClass;
    std::string workspace;
    double ratePerMs = 0;
    /// Callers give up after this time.
    Milliseconds deadline;
};

/// One request that a RequestLoad started.
struct IssuedRequest
{
    const RequestClient *client = nullptr;
    std::size_t stream = 0;
    std::string body;
    Milliseconds deadline;
    /// Zero while unfinished.
    Milliseconds finishedAt;

    bool isAnswered() const { return client->phase() == RequestPhase::Answered; }
    Milliseconds latency() const { return finishedAt - client->startedAt(); }
};

/// Starts Poisson arrivals of requests in a session and keeps their outcomes. Takes the finished
/// hook of the session. Thread safety: none.
class RequestLoad
{
public:
    /// Precondition: @p session lives until its last event has run, and so does the object.
    RequestLoad(fakes::Session &session, RandomSource random);
    RequestLoad(const RequestLoad &) = delete;
    RequestLoad &operator=(const RequestLoad &) = delete;

    /// Adds a stream that sends from now until @p end. Returns its index.
    std::size_t addStream(const RequestStream &stream, Milliseconds end);

    const std::vector<IssuedRequest> &issued() const { return m_issued; }

private:
    void scheduleNext(std::size_t stream, double fromMs, Milliseconds end);
    void issue(std::size_t stream);

    fakes::Session &m_session;
    RandomSource m_random;
    std::vector<RequestStream> m_streams;
    std::vector<IssuedRequest> m_issued;
    std::unordered_map<const RequestClient *, std::size_t> m_indexByClient;
};

} // namespace damaskhall::measure
