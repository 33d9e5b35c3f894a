#pragma once

#include "base/random.h"
#include "core/messages.h"
#include "fakes/eventqueue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace damaskhall::fakes {

struct FakeUpstreamOptions
{
    UpstreamId id;
    ServiceId service;
    Endpoint endpoint;
    std::uint32_t slots = 2;
    /// Mean of the exponential service time in milliseconds.
    double meanServiceMs = 40;
    /// Requests that wait for a slot before further ones are shed.
    std::uint32_t queueLimit = 0;
    /// Returns the work of a request in units of meanServiceMs; drawn at random if empty. Lets an
    /// experiment give the same work to another system.
    std::function<double(const std::string &body)> workOf = {};
    /// Share of requests that are shed although a slot is free, 0 to 1.
    double randomSheds = 0;
    /// Probe replies say nothing about draining and report no load.
    bool hasMisleadingProbes = false;
};

/// Upstream model: runs every request packet while a slot is free, sheds the rest, repeats replies
/// until acknowledged, serves feeds and uploads. Thread safety: none.
class FakeUpstream
{
public:
    using Sender = std::function<void(const Frame &, Endpoint to)>;

    /// @p reply sends to a balancer; @p toFabric sends to any balancer. Preconditions: both are
    /// set; @p events outlives the object.
    FakeUpstream(const FakeUpstreamOptions &options, EventQueue &events, RandomSource random,
                 Sender reply, std::function<void(const Frame &)> toFabric);

    void handle(const Frame &frame, Endpoint from);
    void startDraining() { m_isDraining = true; }
    /// Stops answering and forgets all work.
    void kill();
    /// Sends the next push on every feed.
    void pushAll();

    const FakeUpstreamOptions &options() const { return m_options; }
    bool isAlive() const { return m_isAlive; }
    bool isDraining() const { return m_isDraining; }
    /// Sum over slots of the time spent running requests.
    Milliseconds busyTime() const { return m_busyTime; }
    /// Runs by request body.
    const std::map<std::string, int> &runs() const { return m_runs; }
    /// Time of the last completed run by request body.
    const std::map<std::string, Milliseconds> &completions() const { return m_completions; }
    /// Request packets received by request body, including those that were refused.
    const std::map<std::string, int> &tries() const { return m_tries; }
    std::size_t feedCount() const { return m_feeds.size(); }
    /// Time at which the last new request, feed or upload arrived, even if it was refused.
    Milliseconds lastNewWork() const { return m_lastNewWork; }
    /// Uploads that are stored, by token.
    const std::map<SealedToken, bool> &uploads() const { return m_stored; }
    /// Bodies of all stored uploads.
    const std::set<std::string> &storedBodies() const { return m_storedBodies; }
    std::uint64_t wrongServicePackets() const { return m_wrongService; }

private:
    struct Reply
    {
        Endpoint owner;
        std::string body;
    };

    struct Feed
    {
        Endpoint caller;
        std::uint64_t sequence = 0;
        std::uint64_t acknowledged = 0;
    };

    struct Queued
    {
        UpstreamRequest request;
        Endpoint owner;
    };

    void handleRequest(const UpstreamRequest &request, Endpoint from);
    void handleChunk(const UploadChunk &chunk, Endpoint caller);
    void run(const UpstreamRequest &request, Endpoint owner);
    double workOf(const std::string &body);
    void finish(AttemptId attempt, const std::string &body, Endpoint owner);
    void sendReply(AttemptId attempt, int sendsLeft);
    void checkService(ServiceId service);

    FakeUpstreamOptions m_options;
    EventQueue &m_events;
    RandomSource m_random;
    Sender m_reply;
    std::function<void(const Frame &)> m_toFabric;
    bool m_isAlive = true;
    bool m_isDraining = false;
    std::uint32_t m_busy = 0;
    Milliseconds m_busyTime;
    Milliseconds m_lastNewWork;
    std::uint64_t m_wrongService = 0;
    std::map<std::string, int> m_tries;
    std::map<std::string, int> m_runs;
    std::map<std::string, Milliseconds> m_completions;
    std::map<AttemptId, Reply> m_replies;
    std::map<SealedToken, Feed> m_feeds;
    std::map<SealedToken, std::string> m_received;
    std::map<SealedToken, bool> m_stored;
    std::set<std::string> m_storedBodies;
    std::vector<Queued> m_queue;
};

} // namespace damaskhall::fakes
