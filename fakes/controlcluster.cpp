#include "fakes/controlcluster.h"

#include "wire/controlcodec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace damaskhall::fakes {

namespace {

constexpr Milliseconds TickInterval = 50_ms;
constexpr Milliseconds WatchTime = 1_s;
constexpr Milliseconds PlatformTimeout = 1_s;
constexpr Milliseconds RequestTimeout = 3_s;
constexpr std::uint64_t UdpHeaderBytes = 28;
constexpr std::uint64_t TcpHeaderBytes = 40;
/// Bytes of a connection beside its messages: its start and end, a Hello in each direction and
/// heartbeats in each direction until it is idle for 5 s: 6 bare segments, 2 Hellos of 52 B and
/// 10 heartbeats of 46 B.
constexpr std::uint64_t ConnectionBytes = 6 * TcpHeaderBytes + 564;
/// Bytes of one entry of the platform's list as JSON.
constexpr std::uint64_t ListedBytes = 150;
constexpr std::uint32_t BaseAddress = 0x0a010000;
constexpr std::uint16_t TrafficPort = 7000;
constexpr std::uint16_t ControlPort = 8000;

} // namespace

ControlCluster::ControlCluster(const ControlClusterOptions &options)
    : m_options(options)
    , m_random(seededRandom(options.seed))
{
    for (std::uint32_t i = 0; i < options.balancers; ++i) {
        Node &node = m_nodes.emplace_back();
        const std::uint32_t address = BaseAddress + i;
        node.self = {idOf(i),
                     Incarnation{1},
                     0,
                     MemberState::Alive,
                     {address, TrafficPort},
                     {address, ControlPort}};
    }
    publishList();
}

ControlHooks ControlCluster::makeHooks()
{
    ControlHooks hooks;
    hooks.random = seededRandom(m_random());
    hooks.countRetry = [this](RetryReason reason) {
        ++m_retryCounts.at(static_cast<std::size_t>(reason));
    };
    hooks.countEvent = [this](ControlEvent event) {
        ++m_eventCounts.at(static_cast<std::size_t>(event));
    };
    return hooks;
}

void ControlCluster::start(std::uint32_t index)
{
    Node &node = m_nodes.at(index);
    ControlPlaneOptions options;
    options.self = node.self;
    options.dataCentre = DataCentreId{1};
    if (m_options.hasSeeds) {
        options.seeds.push_back(m_nodes.front().self.control);
    }
    node.plane = std::make_unique<ControlPlane>(options, makeHooks());
    node.isRunning = true;
    node.revision = 0;
    node.frozenUntil = 0_ms;
    ++node.generation;
    m_byControl[node.self.control] = index;
    const Milliseconds phase{
            static_cast<std::int64_t>(randomBelow(m_random, std::uint64_t{TickInterval.value}))};
    m_events.schedule(m_events.now() + phase, [this, index, generation = node.generation] {
        scheduleTick(index, generation);
    });
}

void ControlCluster::startAll()
{
    for (std::uint32_t i = 0; i < size(); ++i) {
        start(i);
    }
}

void ControlCluster::kill(std::uint32_t index)
{
    m_nodes.at(index).isRunning = false;
    ++m_nodes.at(index).generation;
}

void ControlCluster::restart(std::uint32_t index)
{
    kill(index);
    m_nodes.at(index).self.incarnation =
            Incarnation{static_cast<std::uint64_t>(m_events.now().value) + 2};
    start(index);
}

std::uint32_t ControlCluster::replace(std::uint32_t index)
{
    kill(index);
    const std::uint32_t next = size();
    Node &node = m_nodes.emplace_back();
    node.self = m_nodes.at(index).self;
    node.self.id = idOf(next);
    node.self.incarnation = Incarnation{static_cast<std::uint64_t>(m_events.now().value) + 2};
    start(next);
    return next;
}

void ControlCluster::freeze(std::uint32_t index, Milliseconds until)
{
    m_nodes.at(index).frozenUntil = until;
}

void ControlCluster::setGroup(std::uint32_t index, int group)
{
    m_nodes.at(index).group = group;
}

void ControlCluster::beginLeaving(std::uint32_t index)
{
    deliver(index, 0_ms, [this](Node &node, ControlActions &actions) {
        node.plane->beginLeaving(m_events.now(), actions);
    });
}

void ControlCluster::reportLeaving(std::uint32_t index, UpstreamId upstream)
{
    deliver(index, 0_ms, [this, upstream](Node &node, ControlActions &actions) {
        node.plane->reportLeaving(upstream, m_events.now(), actions);
    });
}

void ControlCluster::deliver(std::uint32_t index, Milliseconds delay, Event event)
{
    const std::uint32_t generation = m_nodes.at(index).generation;
    m_events.schedule(m_events.now() + delay, [this, index, generation, event = std::move(event)] {
        Node &node = m_nodes.at(index);
        if (!node.isRunning || node.generation != generation) {
            return;
        }
        if (m_events.now() < node.frozenUntil) {
            deliver(index, node.frozenUntil - m_events.now(), event);
            return;
        }
        ControlActions actions;
        event(node, actions);
        const std::uint64_t revision = node.plane->config().revision().value;
        m_reverts += revision < node.revision ? 1 : 0;
        node.revision = revision;
        perform(index, actions);
    });
}

void ControlCluster::scheduleTick(std::uint32_t index, std::uint32_t generation)
{
    if (m_nodes.at(index).generation != generation) {
        return;
    }
    deliver(index, 0_ms, [this](Node &node, ControlActions &actions) {
        node.plane->tick(m_events.now(), actions);
    });
    m_events.schedule(m_events.now() + TickInterval,
                      [this, index, generation] { scheduleTick(index, generation); });
}

void ControlCluster::perform(std::uint32_t index, const ControlActions &actions)
{
    for (const ControlAction &action : actions) {
        std::visit([this, index](const auto &step) { perform(index, step); }, action);
    }
}

void ControlCluster::perform(std::uint32_t index, const SendDatagram &send)
{
    const std::string bytes = encodeControlDatagram(send.datagram);
    Node &sender = m_nodes.at(index);
    sender.peerBytes += bytes.size() + UdpHeaderBytes;
    const auto receiver = m_byControl.find(send.to);
    const bool isLost = randomUnit(m_random) < m_options.loss;
    if (isLost || receiver == m_byControl.end() ||
        m_nodes.at(receiver->second).group != sender.group) {
        return;
    }
    const Endpoint from = sender.self.control;
    deliver(receiver->second, m_options.latency,
            [this, bytes, from](Node &node, ControlActions &actions) {
                node.peerBytes += bytes.size() + UdpHeaderBytes;
                const auto datagram = decodeControlDatagram(bytes);
                if (datagram) {
                    node.plane->handleDatagram(datagram.assume_value(), from, m_events.now(),
                                               actions);
                }
            });
}

void ControlCluster::perform(std::uint32_t index, const SendRequest &send)
{
    const auto isDone = std::make_shared<bool>(false);
    const Endpoint to = send.to;
    const auto fail = [this, to, isDone](Node &node, ControlActions &actions) {
        if (!std::exchange(*isDone, true)) {
            node.plane->handleRequestFailure(to, m_events.now(), actions);
        }
    };
    const auto found = m_byControl.find(to);
    if (found == m_byControl.end() || !m_nodes.at(found->second).isRunning) {
        deliver(index, m_options.latency * 2, fail);
        return;
    }
    deliver(index, RequestTimeout, fail);
    const std::uint32_t peer = found->second;
    const std::string request = encodeStreamMessage(send.request);
    const std::uint64_t requestBytes = request.size() + TcpHeaderBytes + ConnectionBytes;
    m_nodes.at(index).peerBytes += requestBytes;
    if (m_nodes.at(peer).group != m_nodes.at(index).group) {
        return;
    }
    // The request follows the two packets that open the connection.
    deliver(peer, m_options.latency * 3, [=, this](Node &node, ControlActions &) {
        const auto decoded = decodeStreamMessage(request);
        const auto reply = node.plane->answerRequest(decoded.assume_value());
        const std::string bytes = encodeStreamMessage(*reply);
        node.peerBytes += requestBytes + bytes.size() + TcpHeaderBytes;
        deliver(index, m_options.latency, [=, this](Node &asker, ControlActions &actions) {
            asker.peerBytes += bytes.size() + TcpHeaderBytes;
            const auto message = decodeStreamMessage(bytes);
            if (!std::exchange(*isDone, true)) {
                asker.plane->handleReply(to, message.assume_value(), m_events.now(), actions);
            }
        });
    });
}

void ControlCluster::failCall(std::uint32_t index, PlatformSchedule::Call call, Milliseconds delay)
{
    deliver(index, delay, [this, call](Node &node, ControlActions &) {
        node.plane->handlePlatformFailure(call, m_events.now());
    });
}

void ControlCluster::perform(std::uint32_t index, const ReadDeclaration &read)
{
    ++m_reads;
    if (m_isPlatformDown) {
        failCall(index, PlatformSchedule::Call::Declaration, m_options.platformLatency);
        return;
    }
    if (!read.wait || m_version > read.after) {
        answerDeclaration(index);
        return;
    }
    const auto watch = std::make_shared<Watch>(Watch{index, read.after, true});
    m_watches.push_back(watch);
    m_events.schedule(m_events.now() + WatchTime, [this, watch] {
        if (std::exchange(watch->isOpen, false)) {
            std::erase(m_watches, watch);
            answerDeclaration(watch->index);
        }
    });
}

void ControlCluster::answerDeclaration(std::uint32_t index)
{
    if (m_isPlatformDown) {
        failCall(index, PlatformSchedule::Call::Declaration, PlatformTimeout);
        return;
    }
    m_platformBytes += m_envelope.size();
    deliver(index, m_options.platformLatency,
            [this, envelope = m_envelope, version = m_version](Node &node,
                                                               ControlActions &actions) {
                node.plane->handleDeclaration(envelope, version, m_events.now(), actions);
            });
}

void ControlCluster::perform(std::uint32_t index, const ReadInstances &)
{
    ++m_reads;
    if (m_isPlatformDown) {
        failCall(index, PlatformSchedule::Call::Instances, m_options.platformLatency);
        return;
    }
    const auto list = m_list;
    const std::size_t size = list->first.size() + list->second.size();
    m_platformBytes += size * ListedBytes;
    deliver(index, m_options.platformLatency,
            [this, list, size](Node &node, ControlActions &actions) {
                node.plane->handleInstances(list->first, list->second, size, m_events.now(),
                                            actions);
            });
}

void ControlCluster::perform(std::uint32_t index, const RegisterSelf &registration)
{
    ++m_writes;
    const MemberUpdate &self = m_nodes.at(index).self;
    if (m_isPlatformDown) {
        failCall(index, PlatformSchedule::Call::Registration, m_options.platformLatency);
        return;
    }
    m_registered[self.id] = {self.id, self.incarnation, self.endpoint, self.control,
                             registration.isLeaving};
    m_registeredAt[self.id] = m_events.now();
    if (m_repliesToLose > 0) {
        --m_repliesToLose;
        failCall(index, PlatformSchedule::Call::Registration, PlatformTimeout);
        return;
    }
    deliver(index, m_options.platformLatency,
            [this](Node &node, ControlActions &) { node.plane->handleRegistered(m_events.now()); });
}

void ControlCluster::publishList()
{
    if (!m_isListHeld) {
        // Registrations are refreshed less often in a larger data centre.
        const Milliseconds ttl = 3_s + 150_ms * static_cast<std::int64_t>(size());
        std::erase_if(m_registered, [&](const auto &entry) {
            return m_events.now() - m_registeredAt[entry.first] > ttl;
        });
        std::pair<std::vector<ListedBalancer>, std::vector<UpstreamUpdate>> list;
        for (const auto &[id, balancer] : m_registered) {
            list.first.push_back(balancer);
        }
        for (const auto &[id, upstream] : m_upstreams) {
            list.second.push_back(upstream);
        }
        m_list = std::make_shared<const decltype(list)>(std::move(list));
    }
    m_events.schedule(m_events.now() + m_options.listLag, [this] { publishList(); });
}

void ControlCluster::accept(std::uint64_t revision, const std::string &declaration)
{
    restorePlatform(revision, declaration, m_version + 1);
}

void ControlCluster::restorePlatform(std::uint64_t revision, const std::string &declaration,
                                     std::uint64_t version)
{
    m_version = version;
    m_envelope = nlohmann::json{{"revision", revision},
                                {"change", "change-" + std::to_string(revision)},
                                {"declaration", declaration},
                                {"history", nlohmann::json::array()}}
                         .dump();
    std::erase_if(m_watches, [this](const std::shared_ptr<Watch> &watch) {
        const bool isDue = m_version > watch->after;
        if (isDue && std::exchange(watch->isOpen, false)) {
            answerDeclaration(watch->index);
        }
        return isDue;
    });
}

void ControlCluster::listUpstream(const UpstreamUpdate &upstream)
{
    m_upstreams[upstream.id] = upstream;
}

void ControlCluster::unlistUpstream(UpstreamId upstream)
{
    m_upstreams.erase(upstream);
}

Milliseconds ControlCluster::runUntil(const std::function<bool()> &condition, Milliseconds limit,
                                      Milliseconds step)
{
    const Milliseconds begin = m_events.now();
    while (!condition()) {
        if (m_events.now() - begin >= limit) {
            return Milliseconds{-1};
        }
        runFor(step);
    }
    return m_events.now() - begin;
}

bool ControlCluster::agrees()
{
    const auto running = std::count_if(m_nodes.begin(), m_nodes.end(),
                                       [](const Node &node) { return node.isRunning; });
    return std::all_of(m_nodes.begin(), m_nodes.end(), [&](Node &node) {
        if (!node.isRunning) {
            return true;
        }
        const auto view = node.plane->view();
        return static_cast<std::ptrdiff_t>(view->members.size()) == running &&
               std::all_of(view->members.begin(), view->members.end(), [&](const auto &member) {
                   const Node &other = m_nodes.at(member.id.value - 1);
                   return other.isRunning && member.state == MemberState::Alive &&
                          member.incarnation == other.self.incarnation;
               });
    });
}

bool ControlCluster::allHaveRevision(std::uint64_t revision)
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const Node &node) {
        return !node.isRunning || node.plane->config().revision().value >= revision;
    });
}

bool ControlCluster::allSeeLeaving(UpstreamId upstream)
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [&](Node &node) {
        if (!node.isRunning) {
            return true;
        }
        const auto view = node.plane->view();
        const UpstreamView *found = view->findUpstream(upstream);
        return found && found->state == UpstreamState::Leaving;
    });
}

std::uint64_t ControlCluster::count(ControlEvent event) const
{
    return m_eventCounts.at(static_cast<std::size_t>(event));
}

std::uint64_t ControlCluster::count(RetryReason reason) const
{
    return m_retryCounts.at(static_cast<std::size_t>(reason));
}

std::string controlDeclaration(std::uint32_t services, std::uint32_t edition)
{
    std::string text;
    for (std::uint32_t i = 0; i < services; ++i) {
        const std::string name = "service-" + std::to_string(i);
        const std::uint32_t seconds = i == edition % services ? 2 + edition : 2;
        text.append("[service ").append(name).append("]\n\n[class ").append(name);
        text.append("/claim]\nkind = request\nidempotent = no\nanswer_within = ");
        text.append(std::to_string(seconds)).append(" s\n\n[class ").append(name);
        text.append("/queue]\nkind = feed\npush_within = 500 ms\n\n");
    }
    return text;
}

} // namespace damaskhall::fakes
