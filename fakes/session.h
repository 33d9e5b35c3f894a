#pragma once

#include "base/random.h"
#include "client/feedclient.h"
#include "client/requestclient.h"
#include "client/uploadclient.h"
#include "core/router.h"
#include "fakes/eventqueue.h"
#include "fakes/fakeupstream.h"
#include "wire/tokensealer.h"

#include <array>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace damaskhall::fakes {

struct SessionOptions
{
    std::uint64_t seed = 1;
    std::uint32_t balancers = 2;
    Milliseconds callerLatency = 1_ms;
    Milliseconds innerLatency = 1_ms;
    /// Shares of datagrams that are lost or delivered twice, 0 to 1. On a connection a loss delays
    /// the frame.
    double loss = 0;
    double duplication = 0;
    /// Extra delay of up to this many milliseconds per packet; reorders packets.
    Milliseconds jitter;
    /// Time until the fabric stops sending to a dead or leaving balancer.
    Milliseconds fabricLag = 500_ms;
    /// Time until balancers see a change of the member or upstream lists; balancer i sees it
    /// after viewLag * (i + 1) / balancers, so that views differ in between.
    Milliseconds viewLag = 500_ms;
    /// Keeps a line per packet for golden files.
    bool keepTrace = false;
};

/// One data centre in virtual time: real Router objects, modelled upstreams, real client state
/// machines and a lossy fabric. Thread safety: none.
class Session
{
public:
    Session(const SessionOptions &options, const Declaration &declaration);
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    // Set-up and faults. Balancers are numbered from 0, upstreams by their id.
    /// Adds an upstream; at the address of a dead one if @p options names it. Balancers see it at
    /// once if the session has not started, else after the view lag.
    FakeUpstream &addUpstream(FakeUpstreamOptions options);
    void killBalancer(std::uint32_t index);
    /// Starts a new process with a higher incarnation at the same address.
    void restartBalancer(std::uint32_t index);
    /// Holds all input of a balancer back until @p until, as a stopped process would.
    void freezeBalancer(std::uint32_t index, Milliseconds until);
    void beginLeaving(std::uint32_t index);
    /// Marks an upstream as leaving in the lists and at the upstream itself.
    void drainUpstream(UpstreamId id);
    /// Drains an upstream of which the lists know nothing until a balancer reports a sign.
    void drainUpstreamUnlisted(UpstreamId id);
    void killUpstream(UpstreamId id);
    void setDeclaration(const Declaration &declaration);

    // Callers. Returned references stay valid.
    RequestClient &startRequest(const Reserve &reservation, const std::string &body);
    FeedClient &startFeed(const Open &open);
    UploadClient &startUpload(const Reserve &reservation, const std::string &body);
    /// Sets a hook that is called once for each request that is finished, at that time.
    void setFinishedHook(std::function<void(const RequestClient &)> hook)
    {
        m_finishedHook = std::move(hook);
    }
    /// Sends a frame from a caller's endpoint to the balancer @p index, or to a random one if it
    /// is negative.
    void inject(const Frame &frame, Endpoint caller, int index = -1);

    void runFor(Milliseconds duration);

    EventQueue &events() { return m_events; }
    RandomSource &random() { return m_random; }
    Router &router(std::uint32_t index) { return *m_balancers.at(index).router; }
    std::uint32_t balancerCount() const { return static_cast<std::uint32_t>(m_balancers.size()); }
    bool isRunning(std::uint32_t index) const { return m_balancers.at(index).isRunning; }
    MemberState balancerState(std::uint32_t index) const { return m_balancers.at(index).state; }
    Incarnation incarnation(std::uint32_t index) const { return m_balancers.at(index).incarnation; }
    const TokenSealer &sealer() const { return m_sealer; }
    FakeUpstream &upstream(UpstreamId id) { return *m_upstreams.at(id); }
    const std::map<UpstreamId, std::unique_ptr<FakeUpstream>> &upstreams() const
    {
        return m_upstreams;
    }
    const std::list<RequestClient> &requests() const { return m_requests; }
    const std::list<FeedClient> &feeds() const { return m_feeds; }
    const std::list<UploadClient> &uploads() const { return m_uploads; }
    const std::map<RefusalReason, std::uint64_t> &refusals() const { return m_refusals; }
    const std::map<RetryReason, std::uint64_t> &retries() const { return m_retries; }
    const std::map<CoreEvent, std::uint64_t> &coreEvents() const { return m_coreEvents; }
    /// Lines "time sender -> receiver: frame", if kept.
    const std::vector<std::string> &trace() const { return m_trace; }
    void note(const std::string &line);

private:
    struct Balancer
    {
        Endpoint endpoint;
        Incarnation incarnation;
        std::unique_ptr<Router> router;
        MemberState state = MemberState::Alive;
        bool isRunning = true;
        bool inFabric = true;
        Milliseconds frozenUntil;
        /// Raised at each start, so that events of a dead process are dropped.
        std::uint32_t generation = 0;
    };

    CoreHooks makeHooks();
    void startRouter(std::uint32_t index);
    void scheduleTick(std::uint32_t index, std::uint32_t generation);
    void tickClients();
    void publishViews();
    void publishView(std::uint32_t index);
    std::shared_ptr<const RoutingView> buildView(std::uint32_t index) const;
    void leaveFabricLater(std::uint32_t index);
    void reportIfFinished(const RequestClient &client, bool wasFinished) const;

    void transmit(const std::string &sender, const std::string &receiver, Milliseconds latency,
                  const Frame &frame, const std::function<void(const Frame &)> &deliver);
    void sendToBalancer(const std::string &sender, std::uint32_t index, const Frame &frame,
                        Endpoint from, Milliseconds latency);
    void deliverToBalancer(std::uint32_t index, std::uint32_t generation, const Frame &frame,
                           Endpoint from);
    void sendFromBalancer(std::uint32_t index, const Actions &actions);
    void spray(const std::string &sender, const Frame &frame, Endpoint from, Milliseconds latency);
    void deliverToCaller(Endpoint caller, const Frame &frame);
    void sendFromCaller(Endpoint caller, std::vector<Frame> &frames);
    std::string tokenText(const SealedToken &token) const;

    SessionOptions m_options;
    Declaration m_declaration;
    EventQueue m_events;
    RandomSource m_random;
    TokenSealer m_sealer;
    std::vector<Balancer> m_balancers;
    std::map<UpstreamId, std::unique_ptr<FakeUpstream>> m_upstreams;
    std::map<Endpoint, UpstreamId> m_upstreamByEndpoint;
    std::list<RequestClient> m_requests;
    std::list<FeedClient> m_feeds;
    std::map<Endpoint, RequestClient *> m_requestByCaller;
    std::map<Endpoint, FeedClient *> m_feedByCaller;
    std::list<UploadClient> m_uploads;
    std::map<Endpoint, UploadClient *> m_uploadByCaller;
    std::uint16_t m_nextCallerPort = 20'000;
    std::uint32_t m_nextCallerAddress = 0x0a000001;
    std::map<RefusalReason, std::uint64_t> m_refusals;
    std::map<RetryReason, std::uint64_t> m_retries;
    std::map<CoreEvent, std::uint64_t> m_coreEvents;
    std::set<UpstreamId> m_knownLeaving;
    /// Time of the last delivery by sender and receiver of a connection.
    std::map<std::pair<std::string, std::string>, Milliseconds> m_connections;
    std::function<void(const RequestClient &)> m_finishedHook;
    std::vector<std::string> m_trace;
};

} // namespace damaskhall::fakes
