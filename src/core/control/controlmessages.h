#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "core/routingview.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace damaskhall {

// Messages of the control plane as plain data. The wire layer encodes them.

/// Version of the control protocol, in each datagram and in Hello; others are refused.
inline constexpr std::uint8_t ControlProtocolVersion = 1;

/// Report about a member, ordered by incarnation, then counter, then state.
struct MemberUpdate
{
    InstanceId id;
    Incarnation incarnation;
    /// Incremented by the member itself when it refutes a report or starts to leave.
    std::uint32_t counter = 0;
    MemberState state = MemberState::Alive;
    /// Traffic socket.
    Endpoint endpoint;
    /// Control socket, UDP and TCP.
    Endpoint control;

    bool operator==(const MemberUpdate &) const = default;
};

/// Entry of the upstream directory. Two reports about one id merge to the higher presenceCounter,
/// and to leaving if either is leaving. The merge is independent of the order, so that all members
/// converge.
struct UpstreamUpdate
{
    UpstreamId id;
    Endpoint endpoint;
    ServiceId service;
    bool isLeaving = false;
    /// Even: present; odd: removed. Incremented at each change.
    std::uint32_t presenceCounter = 0;

    bool isPresent() const { return presenceCounter % 2 == 0; }
    bool operator==(const UpstreamUpdate &) const = default;
};

/// Maximum number of updates in one datagram; keeps datagrams under 1,200 bytes.
inline constexpr std::size_t MaxMemberUpdates = 10;
inline constexpr std::size_t MaxUpstreamUpdates = 20;

/// Part common to all datagrams.
struct Gossip
{
    DataCentreId dataCentre;
    MemberUpdate sender;
    Revision revision;
    /// Hash over the live members and the upstream directory; a difference leads to a StatePull.
    std::uint64_t digest = 0;
    std::vector<MemberUpdate> members;
    std::vector<UpstreamUpdate> upstreams;

    bool operator==(const Gossip &) const = default;
};

/// Carries only its Gossip.
struct Announce
{
    bool operator==(const Announce &) const = default;
};

struct Ping
{
    std::uint32_t sequence = 0;

    bool operator==(const Ping &) const = default;
};

/// Asks the receiver to ping @c target on behalf of the sender.
struct PingReq
{
    std::uint32_t sequence = 0;
    InstanceId target;
    Endpoint targetControl;

    bool operator==(const PingReq &) const = default;
};

struct Ack
{
    std::uint32_t sequence = 0;
    /// Member that responded: the sender, or the target of a PingReq.
    InstanceId subject;

    bool operator==(const Ack &) const = default;
};

/// Exchange between platform readers of different data centres. Only the revision of the Gossip is
/// used.
struct RemoteRevision
{
    bool isReply = false;

    bool operator==(const RemoteRevision &) const = default;
};

using DatagramBody = std::variant<Announce, Ping, PingReq, Ack, RemoteRevision>;

struct ControlDatagram
{
    Gossip gossip;
    DatagramBody body;

    bool operator==(const ControlDatagram &) const = default;
};

/// First message in each direction of a connection.
struct Hello
{
    std::uint8_t version = ControlProtocolVersion;
    InstanceId from;

    bool operator==(const Hello &) const = default;
};

struct Heartbeat
{
    bool operator==(const Heartbeat &) const = default;
};

struct ConfigPull
{
    /// Zero requests a full snapshot.
    Revision knownRevision;

    bool operator==(const ConfigPull &) const = default;
};

struct ConfigSection
{
    std::string name;
    std::string text;

    bool operator==(const ConfigSection &) const = default;
};

/// Reply to ConfigPull: the sections changed since the known revision, or all sections.
struct ConfigDelta
{
    /// Zero: full snapshot.
    Revision base;
    Revision revision;
    std::string change;
    /// Hash of the whole document after the change.
    std::uint64_t contentHash = 0;
    std::vector<ConfigSection> changed;
    std::vector<std::string> removed;

    bool operator==(const ConfigDelta &) const = default;
};

struct StatePull
{
    bool operator==(const StatePull &) const = default;
};

struct StateSnapshot
{
    std::vector<MemberUpdate> members;
    std::vector<UpstreamUpdate> upstreams;

    bool operator==(const StateSnapshot &) const = default;
};

using StreamMessage =
        std::variant<Hello, Heartbeat, ConfigPull, ConfigDelta, StatePull, StateSnapshot>;

} // namespace damaskhall
