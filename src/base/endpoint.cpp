#include "base/endpoint.h"

#include <array>
#include <charconv>

namespace damaskhall {

namespace {

constexpr std::size_t OctetCount = 4;

Error invalidEndpoint(std::string_view text)
{
    return {ErrorCode::InvalidValue, Step::ParseEndpoint, std::string(text),
            "expected a.b.c.d:port"};
}

// Parses a decimal number up to @p maximum that is followed by @p separator or the end.
bool consumeNumber(std::string_view &text, unsigned maximum, char separator, unsigned &number)
{
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc() || number > maximum) {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    if (separator == '\0') {
        return text.empty();
    }
    if (text.empty() || text.front() != separator) {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

} // namespace

std::string toString(Endpoint endpoint)
{
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8) {
        text += std::to_string(endpoint.address >> shift & 0xffU);
        text += shift > 0 ? '.' : ':';
    }
    return text + std::to_string(endpoint.port);
}

Result<Endpoint> parseEndpoint(std::string_view text)
{
    std::string_view rest = text;
    Endpoint endpoint;
    unsigned number = 0;
    for (std::size_t octet = 0; octet < OctetCount; ++octet) {
        const char separator = octet + 1 < OctetCount ? '.' : ':';
        if (!consumeNumber(rest, 0xff, separator, number)) {
            return invalidEndpoint(text);
        }
        endpoint.address = endpoint.address << 8 | number;
    }
    if (!consumeNumber(rest, 0xffff, '\0', number) || number == 0) {
        return invalidEndpoint(text);
    }
    endpoint.port = static_cast<std::uint16_t>(number);
    return endpoint;
}

} // namespace damaskhall
