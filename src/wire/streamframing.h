#pragma once

#include "base/result.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace damaskhall {

/// Returns @p message behind its length (4 bytes, big endian). Thread safety: reentrant.
std::string frameForStream(std::string_view message);

/// Cuts a byte stream into the messages that frameForStream() wrote. Thread safety: none.
class StreamReader
{
public:
    /// Messages longer than @p maxMessageBytes are refused.
    explicit StreamReader(std::size_t maxMessageBytes);

    /// Changes the limit for messages that follow.
    void setMaxMessageBytes(std::size_t bytes) { m_maxMessageBytes = bytes; }

    void append(std::string_view bytes);

    /// Returns the next message, or nothing if it is not complete. Errors: Oversized; the stream
    /// cannot be read any further then.
    Result<std::optional<std::string>> next();

private:
    std::size_t m_maxMessageBytes;
    std::string m_buffer;
    /// Start of the unread part; the buffer is compacted when all is read.
    std::size_t m_offset = 0;
};

} // namespace damaskhall
