#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/milliseconds.h"
#include "config/declaration.h"
#include "core/reasons.h"

#include <cstdint>
#include <string>
#include <variant>

namespace damaskhall {

/// Messages of the traffic path as plain data. The wire layer encodes them; decisions see only
/// these structs. Byte strings are std::string. All types are plain values.

/// Authenticated token as it travels; opaque to callers and upstreams.
using SealedToken = std::string;

enum class TokenKind : std::uint8_t {
    Feed,
    Upload,
    Permit,
};

/// Content of a token.
struct Token
{
    TokenKind kind = TokenKind::Feed;
    ServiceId service;
    ClassId workClass;
    WorkspaceId workspace;
    /// Zero for a permit: the owner chooses the upstream when it sends the request.
    UpstreamId upstream;
    /// Balancer that issued the token.
    InstanceId owner;
    Incarnation ownerIncarnation;
    /// Flow id of a feed, request id of an upload or permit.
    std::uint64_t subject = 0;
    /// Permit: end of validity on the owner's clock; only the owner checks it. Others: zero.
    Milliseconds expiry;

    bool operator==(const Token &) const = default;
};

// Caller to balancer.

/// Opens a feed. Runs nothing; may be repeated at any balancer.
struct Open
{
    FlowId flow;
    ServiceId service;
    ClassId workClass;
    WorkspaceId workspace;

    bool operator==(const Open &) const = default;
};

/// Data of a feed towards its upstream.
struct FeedData
{
    SealedToken token;
    std::string body;

    bool operator==(const FeedData &) const = default;
};

/// Proves a feed alive end to end and acknowledges pushes; the upstream answers.
struct Keepalive
{
    SealedToken token;
    /// Highest sequence up to which all pushes have arrived.
    std::uint64_t acknowledged = 0;

    bool operator==(const Keepalive &) const = default;
};

/// Asks for admission of a request or upload. Runs nothing; may be repeated at any balancer.
struct Reserve
{
    RequestId request;
    ServiceId service;
    ClassId workClass;
    WorkspaceId workspace;
    /// Time left until the caller gives up.
    Milliseconds remaining;
    /// Time since the caller's first Reserve of this request.
    Milliseconds waited;

    bool operator==(const Reserve &) const = default;
};

/// Hands over the request itself, under a permit.
struct Execute
{
    RequestId request;
    SealedToken permit;
    Milliseconds remaining;
    std::string body;

    bool operator==(const Execute &) const = default;
};

/// Withdraws a request. @c permit is empty if none was received.
struct Cancel
{
    RequestId request;
    ServiceId service;
    SealedToken permit;

    bool operator==(const Cancel &) const = default;
};

/// Confirms that the whole answer has arrived, so that the owner may drop it.
struct AnswerAck
{
    RequestId request;
    SealedToken permit;

    bool operator==(const AnswerAck &) const = default;
};

struct UploadChunk
{
    SealedToken token;
    std::uint64_t offset = 0;
    /// Size of the whole upload in bytes.
    std::uint64_t total = 0;
    std::string body;

    bool operator==(const UploadChunk &) const = default;
};

/// Ends a flow.
struct Close
{
    SealedToken token;

    bool operator==(const Close &) const = default;
};

// Balancer to caller.

/// Reply to Open, and to Reserve of an upload once a slot is held for it.
struct OpenReply
{
    /// Flow id of a feed, request id of an upload.
    std::uint64_t subject = 0;
    SealedToken token;

    bool operator==(const OpenReply &) const = default;
};

struct Permit
{
    RequestId request;
    SealedToken permit;

    bool operator==(const Permit &) const = default;
};

enum class Outcome : std::uint8_t {
    Done,
    /// The request may or may not have run.
    Unknown,
};

/// One fragment of an answer. Unknown has a single empty fragment.
struct Answer
{
    RequestId request;
    Outcome outcome = Outcome::Done;
    std::uint16_t fragment = 0;
    std::uint16_t fragmentCount = 1;
    std::string body;

    bool operator==(const Answer &) const = default;
};

/// Refusal of an Open, Reserve or Execute: the work did not run.
struct Refusal
{
    /// Flow id or request id of the refused frame.
    std::uint64_t subject = 0;
    RefusalReason reason = RefusalReason::NoUpstream;
    Milliseconds retryAfter;
    /// Permit of the refused Execute, empty for Open and Reserve. A caller that has sent an Execute
    /// must ignore refusals of its earlier Reserve frames: they say nothing about the Execute.
    SealedToken permit;

    bool operator==(const Refusal &) const = default;
};

// Upstream to balancer, forwarded to the caller.

struct Push
{
    SealedToken token;
    Endpoint caller;
    std::uint64_t sequence = 0;
    std::string body;

    bool operator==(const Push &) const = default;
};

struct KeepaliveReply
{
    SealedToken token;
    Endpoint caller;
    /// Highest sequence pushed so far.
    std::uint64_t lastSequence = 0;

    bool operator==(const KeepaliveReply &) const = default;
};

struct UploadAck
{
    SealedToken token;
    Endpoint caller;
    /// All bytes before this offset have arrived.
    std::uint64_t acknowledged = 0;
    bool stored = false;

    bool operator==(const UploadAck &) const = default;
};

// Balancer to upstream.

/// Flow frame forwarded to the upstream that its token names.
template <typename Inner>
struct Forwarded
{
    Endpoint caller;
    ServiceId service;
    Inner inner;

    bool operator==(const Forwarded &) const = default;
};

struct UpstreamRequest
{
    AttemptId attempt;
    ServiceId service;
    ClassId workClass;
    WorkspaceId workspace;
    Milliseconds remaining;
    std::string body;

    bool operator==(const UpstreamRequest &) const = default;
};

struct UpstreamCancel
{
    AttemptId attempt;

    bool operator==(const UpstreamCancel &) const = default;
};

/// Confirms that all fragments of a reply have arrived; until then the upstream repeats them.
struct UpstreamReplyAck
{
    AttemptId attempt;

    bool operator==(const UpstreamReplyAck &) const = default;
};

struct Probe
{
    std::uint64_t nonce = 0;

    bool operator==(const Probe &) const = default;
};

// Upstream to balancer.

enum class ReplyStatus : std::uint8_t {
    Ok,
    /// Refused before running: no free slot.
    Shed,
    /// Refused before running: the upstream is leaving.
    Draining,
    /// Cancelled before running.
    Cancelled,
    /// Refused before running: its deadline had passed.
    Expired,
};

struct UpstreamReply
{
    AttemptId attempt;
    ReplyStatus status = ReplyStatus::Ok;
    std::uint16_t fragment = 0;
    std::uint16_t fragmentCount = 1;
    std::string body;

    bool operator==(const UpstreamReply &) const = default;
};

struct ProbeReply
{
    std::uint64_t nonce = 0;
    UpstreamId upstream;
    ServiceId service;
    bool draining = false;
    /// Slots and connections in use as the upstream reports them; may lag or mislead.
    std::uint32_t slotsInUse = 0;
    std::uint32_t connections = 0;

    bool operator==(const ProbeReply &) const = default;
};

// Balancer to balancer.

/// Caller's frame relayed to the dispatcher or owner.
template <typename Inner>
struct Relayed
{
    Endpoint caller;
    /// Relays so far; bounded, as balancers with different views could relay in a circle.
    std::uint8_t hops = 0;
    Inner inner;

    bool operator==(const Relayed &) const = default;
};

/// Tells the owner of an upload's token that the upstream has stored it.
struct UploadFinished
{
    SealedToken token;

    bool operator==(const UploadFinished &) const = default;
};

/// Any message of the traffic path.
using Frame =
        std::variant<Open, FeedData, Keepalive, Reserve, Execute, Cancel, AnswerAck, UploadChunk,
                     Close, OpenReply, Permit, Answer, Refusal, Push, KeepaliveReply, UploadAck,
                     Forwarded<FeedData>, Forwarded<Keepalive>, Forwarded<UploadChunk>,
                     Forwarded<Close>, UpstreamRequest, UpstreamCancel, UpstreamReplyAck, Probe,
                     UpstreamReply, ProbeReply, Relayed<Open>, Relayed<Reserve>, Relayed<Execute>,
                     Relayed<Cancel>, Relayed<AnswerAck>, UploadFinished>;

} // namespace damaskhall
