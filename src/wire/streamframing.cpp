#include "wire/streamframing.h"

#include <cstdint>

namespace damaskhall {

namespace {

constexpr std::size_t LengthBytes = 4;

} // namespace

std::string frameForStream(std::string_view message)
{
    std::string framed;
    framed.reserve(LengthBytes + message.size());
    for (int shift = 24; shift >= 0; shift -= 8) {
        framed += static_cast<char>(message.size() >> shift & 0xff);
    }
    return framed.append(message);
}

StreamReader::StreamReader(std::size_t maxMessageBytes)
    : m_maxMessageBytes(maxMessageBytes)
{
}

void StreamReader::append(std::string_view bytes)
{
    if (m_offset == m_buffer.size()) {
        m_buffer.clear();
        m_offset = 0;
    }
    m_buffer.append(bytes);
}

Result<std::optional<std::string>> StreamReader::next()
{
    const std::size_t available = m_buffer.size() - m_offset;
    if (available < LengthBytes) {
        return std::optional<std::string>();
    }
    std::size_t length = 0;
    for (std::size_t i = 0; i < LengthBytes; ++i) {
        length = length << 8 | static_cast<std::uint8_t>(m_buffer[m_offset + i]);
    }
    if (length > m_maxMessageBytes) {
        return Error{ErrorCode::Oversized, Step::ReceiveMessage, "", std::to_string(length)};
    }
    if (available - LengthBytes < length) {
        return std::optional<std::string>();
    }
    std::optional<std::string> message(m_buffer.substr(m_offset + LengthBytes, length));
    m_offset += LengthBytes + length;
    return message;
}

} // namespace damaskhall
