#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace damaskhall {

/// Integer id that does not mix with ids of another kind. Thread safety: a plain value.
template <typename Tag, typename Rep>
struct StrongId
{
    using Representation = Rep;

    Rep value = 0;

    constexpr auto operator<=>(const StrongId &) const = default;
};

/// Hash of a service name (xxHash), stable over revisions of the declaration.
using ServiceId = StrongId<struct ServiceTag, std::uint32_t>;
/// Hash of "service/class", stable over revisions of the declaration.
using ClassId = StrongId<struct ClassTag, std::uint32_t>;
/// Hash of a workspace name.
using WorkspaceId = StrongId<struct WorkspaceTag, std::uint32_t>;
/// Id of an entry instance (one balancer process), given by its settings.
using InstanceId = StrongId<struct InstanceTag, std::uint32_t>;
using DataCentreId = StrongId<struct DataCentreTag, std::uint32_t>;
/// Start time of a process in milliseconds since 1970; a restarted process has a higher one.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/// Random id of a flow or upload, chosen by the caller.
using FlowId = StrongId<struct FlowTag, std::uint64_t>;
/// Random id of a request, chosen by the caller and unchanged over retransmissions.
using RequestId = StrongId<struct RequestTag, std::uint64_t>;
/// Random id of one transmission of a request to an upstream.
using AttemptId = StrongId<struct AttemptTag, std::uint64_t>;
/// Revision of the declaration; accepted revisions only rise.
using Revision = StrongId<struct RevisionTag, std::uint64_t>;

/// Id of an upstream, given by the platform and never reused. Thread safety: a plain value.
struct UpstreamId
{
    /// Number in packets. Other programs may register entries of the same number, so it does not
    /// identify an upstream in the platform's store.
    std::uint64_t value = 0;
    /// Hash of the whole key in the platform's store; zero if the platform has no keys.
    std::uint32_t keyHash = 0;

    constexpr auto operator<=>(const UpstreamId &) const = default;
};

} // namespace damaskhall

template <>
struct std::hash<damaskhall::UpstreamId>
{
    std::size_t operator()(const damaskhall::UpstreamId &id) const noexcept
    {
        return std::hash<std::uint64_t>()(id.value ^ std::uint64_t{id.keyHash} << 32);
    }
};

template <typename Tag, typename Rep>
struct std::hash<damaskhall::StrongId<Tag, Rep>>
{
    std::size_t operator()(const damaskhall::StrongId<Tag, Rep> &id) const noexcept
    {
        return std::hash<Rep>()(id.value);
    }
};
