#pragma once

#include "base/result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace damaskhall {

/// IPv4 address and port, both in host byte order. Thread safety: a plain value.
struct Endpoint
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    constexpr auto operator<=>(const Endpoint &) const = default;
    constexpr bool isNull() const { return port == 0; }
};

/// Returns "a.b.c.d:port". Thread safety: reentrant.
std::string toString(Endpoint endpoint);

/// Parses "a.b.c.d:port". Errors: ErrorCode::InvalidValue if @p text has another form.
/// Thread safety: reentrant.
Result<Endpoint> parseEndpoint(std::string_view text);

} // namespace damaskhall

template <>
struct std::hash<damaskhall::Endpoint>
{
    std::size_t operator()(const damaskhall::Endpoint &endpoint) const noexcept
    {
        return std::hash<std::uint64_t>()(std::uint64_t{endpoint.address} << 16 | endpoint.port);
    }
};
