#pragma once

#include "core/flow/flowcontroller.h"
#include "core/flow/peercontroller.h"
#include "fakes/eventqueue.h"
#include "support/flowfixture.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace damaskhall::test {

/// Interval at which a balancer calls its controllers.
inline constexpr Milliseconds TickInterval = 100_ms;
inline constexpr Milliseconds WatchInterval = 1_s;
inline constexpr Milliseconds PeerDelay = 2_ms;
inline constexpr Milliseconds StoreDelay = 8_ms;

/// Forwarders that share the reading of one store, in virtual time. The store keeps every change
/// until discardHistory() or restore(), and its revision increases continuously, as through the
/// heartbeats of upstreams. Deterministic for a seed. Thread safety: none.
class PeerCluster
{
public:
    explicit PeerCluster(int size, std::uint64_t seed = 1)
        : m_random(seededRandom(seed))
    {
        m_changes.push_back({{1}, DeclaredRoutes{makeRoutes(1), {}}});
        write(makeEntry(1));
        for (int i = 0; i < size; ++i) {
            m_nodes.emplace_back();
        }
        for (int i = 0; i < size; ++i) {
            start(i);
        }
        raiseRevision();
    }

    void start(int index)
    {
        Node &node = m_nodes[static_cast<std::size_t>(index)];
        const RandomSource random = seededRandom(m_random());
        FlowControllerHooks hooks;
        hooks.random = random;
        hooks.reportUpstream = [](const UpstreamRecord &, StoreRevision) {};
        hooks.reportDeclaration = [](const RouteTable &) {};
        hooks.reportInvalidItem = [](const std::string &, StoreRevision) {};
        hooks.reportStore = [](bool, const std::string &) {};
        hooks.reportStoreEra = [](StoreRevision, StoreRevision) {};
        hooks.reportDirectory = [](StoreCall::Kind, std::size_t, StoreRevision) {};
        hooks.reportSnapshot = [](StoreOutcome, const std::string &, StoreRevision) {};
        hooks.reportEvacuation = [](DataCentreId, bool, StoreRevision) {};
        FlowController::Times times;
        times.reader = {WatchInterval, WatchInterval};
        node.controller = std::make_unique<FlowController>(times, hooks);
        node.controller->setDataCentres({OwnDataCentre, OtherDataCentre});
        MemberUpdate self;
        self.id.value = static_cast<std::uint32_t>(index + 1);
        self.incarnation.value = static_cast<std::uint64_t>(events.now().value + 1);
        self.control = endpoint(index);
        node.peers = std::make_unique<PeerController>(
                self, DataCentreId{1}, std::vector<Endpoint>{endpoint(0), endpoint(1)},
                ControlHooks{random, [](RetryReason) {}, [](ControlEvent) {}});
        node.isUp = true;
        tick(index, ++node.start);
    }

    void kill(int index) { m_nodes[static_cast<std::size_t>(index)].isUp = false; }

    /// Writes an entry of an upstream.
    void write(const UpstreamEntry &entry) { m_changes.push_back({{++m_revision}, entry}); }

    void declare(std::uint64_t version)
    {
        m_changes.push_back({{++m_revision}, DeclaredRoutes{makeRoutes(version), {}}});
    }

    FlowController &controller(int index)
    {
        return *m_nodes[static_cast<std::size_t>(index)].controller;
    }

    bool isReader(int index) { return m_nodes[static_cast<std::size_t>(index)].peers->isReader(); }

    std::vector<int> readers()
    {
        std::vector<int> found;
        for (int i = 0; i < static_cast<int>(m_nodes.size()); ++i) {
            if (m_nodes[static_cast<std::size_t>(i)].isUp && isReader(i)) {
                found.push_back(i);
            }
        }
        return found;
    }

    /// Removes the entry of an upstream.
    void remove(const UpstreamEntry &entry)
    {
        m_changes.push_back({{++m_revision}, UpstreamRemoval{entry.key.id, {}}});
    }

    /// Writes or removes an operator's request to evacuate a data centre.
    void evacuate(DataCentreId dataCentre,
                  EvacuationChange::Kind kind = EvacuationChange::Kind::Evacuated)
    {
        m_changes.push_back({{++m_revision}, EvacuationChange{kind, dataCentre, "op/evacuate/x"}});
    }

    /// Returns at how many live instances @p dataCentre is evacuated.
    int countEvacuated(DataCentreId dataCentre)
    {
        int found = 0;
        for (int i = 0; i < size(); ++i) {
            found += isUp(i) && controller(i).evacuated().contains(dataCentre) ? 1 : 0;
        }
        return found;
    }

    /// The store forgets all changes up to now; only lists return what they led to.
    void discardHistory() { m_historyStart = m_revision; }

    /// The store returns from the copy that it had at @p revision, and gives out the revisions
    /// after it again. Precondition: discardHistory() has not been called since that revision.
    void restore(StoreRevision revision)
    {
        std::erase_if(m_changes, [&](const StoreChange &change) {
            return change.revision.value > revision.value;
        });
        m_revision = revision.value;
        ++m_era.value;
    }

    /// Current revision of the store.
    StoreRevision revision() const { return {m_revision, m_era}; }

    bool isUp(int index) const { return m_nodes[static_cast<std::size_t>(index)].isUp; }
    int size() const { return static_cast<int>(m_nodes.size()); }

    /// Returns true if @p entry has the given state at an instance.
    bool knows(int index, const UpstreamEntry &entry, UpstreamHealth health)
    {
        const std::vector<UpstreamRecord> records = controller(index).directory().records();
        return std::any_of(records.begin(), records.end(), [&](const UpstreamRecord &record) {
            return record.entry.key == entry.key && record.health == health;
        });
    }

    /// Returns at how many live instances @p entry has the given state.
    int count(const UpstreamEntry &entry, UpstreamHealth health)
    {
        int found = 0;
        for (int i = 0; i < size(); ++i) {
            found += isUp(i) && knows(i, entry, health) ? 1 : 0;
        }
        return found;
    }

    fakes::EventQueue events;
    int calls = 0;
    int datagrams = 0;
    /// Share of datagrams that are lost.
    double loss = 0;
    /// Instances whose calls the store refuses.
    std::set<int> refused;
    /// Refusals name the era of the store.
    bool areErasInRefusals = false;
    /// Watches from an earlier revision have answers that are too large to be received.
    std::uint64_t oversizedBefore = 0;
    /// Lists have two pages, as if there were large items of other programs.
    bool areListsSplit = false;
    /// Instances that exchange no datagrams with others.
    std::set<int> cutOff;
    /// Calls of each kind and reason since the start.
    std::map<std::pair<StoreCall::Kind, StoreCall::Reason>, int> callsByReason;

private:
    struct Node
    {
        bool isUp = false;
        int start = 0;
        std::unique_ptr<FlowController> controller;
        std::unique_ptr<PeerController> peers;
    };

    static Endpoint endpoint(int index)
    {
        return {static_cast<std::uint32_t>(0x0a000001 + index), 8166};
    }

    void raiseRevision()
    {
        ++m_revision;
        events.schedule(events.now() + 70_ms, [this] { raiseRevision(); });
    }

    void tick(int index, int start)
    {
        Node &node = m_nodes[static_cast<std::size_t>(index)];
        if (!node.isUp || node.start != start) {
            return;
        }
        apply(node.peers->tick(events.now()), index);
        node.controller->setReader(node.peers->isReader(), node.peers->peerCount());
        publishUpdates(index);
        requestChanges(index);
        node.controller->tick(events.now());
        startDueCall(index);
        events.schedule(events.now() + TickInterval, [this, index, start] { tick(index, start); });
    }

    void startDueCall(int index)
    {
        Node &node = m_nodes[static_cast<std::size_t>(index)];
        const auto call = node.controller->nextCall(events.now());
        if (!call) {
            return;
        }
        ++calls;
        ++callsByReason[{call->kind, call->reason}];
        const int start = node.start;
        // An update of a peer may overtake the response.
        events.schedule(events.now() + StoreDelay / 2, [this, index, start, call = *call] {
            events.schedule(events.now() + StoreDelay / 2,
                            [this, index, start, reply = makeReply(index, call)] {
                                receiveReply(index, start, reply);
                            });
        });
    }

    void receiveReply(int index, int start, const StoreReply &reply)
    {
        Node &node = m_nodes[static_cast<std::size_t>(index)];
        if (!node.isUp || node.start != start) {
            return;
        }
        node.controller->handleReply(reply, events.now());
        publishUpdates(index);
        startDueCall(index);
    }

    void publishUpdates(int index)
    {
        Node &node = m_nodes[static_cast<std::size_t>(index)];
        for (const DirectoryUpdate &update : node.controller->takeDirectoryUpdates(events.now())) {
            apply(node.peers->publish(update), index);
        }
    }

    void requestChanges(int index)
    {
        Node &node = m_nodes[static_cast<std::size_t>(index)];
        const auto request = node.controller->takeChangesRequest(events.now());
        const auto to = request ? node.peers->receiverOf(*request) : std::nullopt;
        if (!to) {
            return;
        }
        deliver(index, *to, [this, index, request = request->request](int peer) {
            Node &asked = m_nodes[static_cast<std::size_t>(peer)];
            PeerActions actions;
            for (const DirectoryUpdate &update :
                 asked.controller->answerChangesRequest(request, events.now())) {
                actions.updates.push_back(asked.peers->reply(update, endpoint(index)));
            }
            apply(actions, peer);
        });
    }

    StoreReply makeReply(int index, const StoreCall &call) const
    {
        StoreReply reply;
        if (refused.contains(index)) {
            reply.outcome = StoreOutcome::Refused;
            reply.asOf.era = areErasInRefusals ? m_era : call.after.era;
            return reply;
        }
        reply.asOf.era = m_era;
        if (call.kind == StoreCall::Kind::Watch &&
            (call.after.value < m_historyStart || call.after.value > m_revision)) {
            reply.outcome = StoreOutcome::HistoryLost;
            return reply;
        }
        if (call.kind == StoreCall::Kind::Watch && call.after.value < oversizedBefore) {
            reply.outcome = StoreOutcome::Oversized;
            return reply;
        }
        reply.outcome = StoreOutcome::Done;
        reply.asOf = revision();
        const bool isFirstOfTwo =
                call.kind == StoreCall::Kind::List && areListsSplit && call.pageAfter.empty();
        if (isFirstOfTwo) {
            reply.nextPage = "servers/";
        } else {
            reply.changes = call.kind == StoreCall::Kind::List ? listItems() : changesFor(call);
        }
        for (StoreChange &change : reply.changes) {
            change.revision.era = m_era;
        }
        return reply;
    }

    std::vector<StoreChange> changesFor(const StoreCall &call) const
    {
        std::vector<StoreChange> changes;
        for (const StoreChange &change : m_changes) {
            const bool isDeclaration = std::holds_alternative<DeclaredRoutes>(change.content);
            if (call.kind == StoreCall::Kind::Declaration
                        ? isDeclaration
                        : change.revision.value > call.after.value) {
                changes.push_back(change);
            }
        }
        return changes;
    }

    /// Returns the items that exist now.
    std::vector<StoreChange> listItems() const
    {
        std::vector<StoreChange> items;
        for (const StoreChange &change : m_changes) {
            const auto *removal = std::get_if<UpstreamRemoval>(&change.content);
            const auto *entry = std::get_if<UpstreamEntry>(&change.content);
            const auto *evacuation = std::get_if<EvacuationChange>(&change.content);
            std::erase_if(items, [&](const StoreChange &item) {
                const auto *earlier = std::get_if<EvacuationChange>(&item.content);
                if (evacuation && earlier) {
                    return evacuation->dataCentre == earlier->dataCentre;
                }
                const auto *older = std::get_if<UpstreamEntry>(&item.content);
                return older && ((removal && removal->id == older->key.id) ||
                                 (entry && entry->key.id == older->key.id));
            });
            const bool isEnded = evacuation && evacuation->kind == EvacuationChange::Kind::Removed;
            if (!removal && !isEnded) {
                items.push_back(change);
            }
        }
        return items;
    }

    void apply(const PeerActions &actions, int from)
    {
        for (const SendDatagram &send : actions.datagrams) {
            deliver(from, send.to, [this, from, datagram = send.datagram](int to) {
                Node &node = m_nodes[static_cast<std::size_t>(to)];
                apply(node.peers->handleDatagram(datagram, endpoint(from), events.now()), to);
            });
        }
        for (const SendDirectoryUpdate &send : actions.updates) {
            deliver(from, send.to, [this, from, update = send.update](int to) {
                Node &node = m_nodes[static_cast<std::size_t>(to)];
                apply(node.peers->relayUpdate(update, events.now()), to);
                node.controller->handleDirectoryUpdate(update, endpoint(from), events.now());
                requestChanges(to);
                startDueCall(to);
            });
        }
    }

    template <typename Receive>
    void deliver(int from, Endpoint to, Receive receive)
    {
        ++datagrams;
        const int index = static_cast<int>(to.address - 0x0a000001);
        if (randomUnit(m_random) < loss || cutOff.contains(from) || cutOff.contains(index)) {
            return;
        }
        events.schedule(events.now() + PeerDelay, [this, index, receive] {
            if (m_nodes[static_cast<std::size_t>(index)].isUp) {
                receive(index);
            }
        });
    }

    RandomSource m_random;
    std::deque<Node> m_nodes;
    std::vector<StoreChange> m_changes;
    std::uint64_t m_revision = 1;
    std::uint64_t m_historyStart = 0;
    StoreEra m_era{1};
};

} // namespace damaskhall::test
