#pragma once

#include "base/result.h"
#include "core/messages.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace damaskhall {

/// Largest datagram in bytes that is accepted; larger ones are refused as Oversized.
inline constexpr std::size_t MaxDatagramBytes = 60'000;

/// Version of the datagram format; a datagram of another version is refused.
inline constexpr std::uint8_t WireVersion = 1;

/// Datagram as the fabric delivers it: it keeps the caller's or upstream's endpoint.
struct Encapsulated
{
    Endpoint source;
    std::string datagram;
};

/// Returns the datagram of @p frame: a version byte, then a msgpack array of the type's index and
/// its fields. Thread safety: reentrant.
std::string encodeFrame(const Frame &frame);

/// Reads a datagram. Errors: Oversized, VersionMismatch, Malformed. @p datagram may hold any bytes.
/// Thread safety: reentrant.
Result<Frame> decodeFrame(std::string_view datagram);

/// Wraps @p datagram with the endpoint that it came from. Thread safety: reentrant.
std::string encapsulate(Endpoint source, std::string_view datagram);

/// Returns true if the datagram was made by encapsulate(). Thread safety: reentrant.
bool isEncapsulated(std::string_view datagram);

/// Unwraps a datagram. Errors: Malformed. Thread safety: reentrant.
Result<Encapsulated> decapsulate(std::string_view datagram);

} // namespace damaskhall
