#include "wire/framecodec.h"

#include "wire/framefields.h"
#include "wire/packing.h"

#include <array>
#include <cstring>

namespace damaskhall {

namespace packing {

template <>
constexpr std::uint64_t MaximumOf<Outcome> = static_cast<std::uint64_t>(Outcome::Unknown);
template <>
constexpr std::uint64_t MaximumOf<ReplyStatus> = static_cast<std::uint64_t>(ReplyStatus::Expired);
template <>
constexpr std::uint64_t MaximumOf<RefusalReason> = RefusalReasonCount - 1;

} // namespace packing

namespace {

// First byte of a datagram. Both values are unused by msgpack's fixed-size integers below 0x80, so
// that a plain msgpack message is not mistaken for a datagram.
constexpr std::uint8_t FrameMarker = 0xd0 | WireVersion;
constexpr std::uint8_t EncapsulationMarker = 0xe1;
constexpr std::uint8_t MarkerKindMask = 0xf0;
constexpr std::size_t EncapsulationHeaderBytes = 7;

Error malformed(std::string detail)
{
    return {ErrorCode::Malformed, Step::DecodeFrame, "", std::move(detail)};
}

using FrameReader = Frame (*)(const msgpack::object *objects, std::uint32_t count);

template <std::size_t Index>
Frame readFrame(const msgpack::object *objects, std::uint32_t count)
{
    std::variant_alternative_t<Index, Frame> message;
    auto tuple = fields(message);
    if (count != std::tuple_size_v<decltype(tuple)>) {
        throw packing::BadElement();
    }
    packing::unpackAll(objects, tuple);
    return message;
}

template <std::size_t... Index>
constexpr auto makeReaders(std::index_sequence<Index...>)
{
    return std::array<FrameReader, sizeof...(Index)>{&readFrame<Index>...};
}

constexpr auto Readers = makeReaders(std::make_index_sequence<std::variant_size_v<Frame>>());

Frame readArray(const msgpack::object &object)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size == 0) {
        throw packing::BadElement();
    }
    const msgpack::object *elements = object.via.array.ptr;
    const auto type = packing::integer<std::uint8_t>(elements[0]);
    if (type >= Readers.size()) {
        throw packing::BadElement();
    }
    return Readers.at(type)(elements + 1, object.via.array.size - 1);
}

} // namespace

std::string encodeFrame(const Frame &frame)
{
    msgpack::sbuffer buffer(256);
    const char marker = static_cast<char>(FrameMarker);
    buffer.write(&marker, 1);
    packing::Packer packer(buffer);
    std::visit(
            [&](const auto &message) {
                // fields() binds references; packing only reads through them.
                auto &mutableMessage = const_cast<std::decay_t<decltype(message)> &>(message);
                const auto tuple = fields(mutableMessage);
                packer.pack_array(std::tuple_size_v<decltype(tuple)> + 1);
                packer.pack(static_cast<std::uint8_t>(frame.index()));
                packing::packAll(packer, tuple);
            },
            frame);
    return {buffer.data(), buffer.size()};
}

Result<Frame> decodeFrame(std::string_view datagram)
{
    if (datagram.size() > MaxDatagramBytes) {
        return Error{ErrorCode::Oversized, Step::DecodeFrame, "", std::to_string(datagram.size())};
    }
    if (datagram.empty()) {
        return malformed("empty datagram");
    }
    const auto marker = static_cast<std::uint8_t>(datagram.front());
    if (marker != FrameMarker) {
        if ((marker & MarkerKindMask) == (FrameMarker & MarkerKindMask)) {
            return Error{ErrorCode::VersionMismatch, Step::DecodeFrame, "",
                         "wire version " + std::to_string(marker & ~MarkerKindMask)};
        }
        return malformed("not a frame");
    }
    try {
        msgpack::zone zone(512);
        std::size_t offset = 1;
        const msgpack::object object = msgpack::unpack(
                zone, datagram.data(), datagram.size(), offset,
                [](msgpack::type::object_type, std::size_t, void *) { return true; });
        if (offset != datagram.size()) {
            return malformed("trailing bytes");
        }
        return readArray(object);
    } catch (const packing::BadElement &) {
        return malformed("unexpected element");
    } catch (const std::exception &error) {
        return malformed(error.what());
    }
}

std::string encapsulate(Endpoint source, std::string_view datagram)
{
    std::string wrapped(EncapsulationHeaderBytes, '\0');
    wrapped[0] = static_cast<char>(EncapsulationMarker);
    const std::uint64_t packed = std::uint64_t{source.address} << 16 | source.port;
    for (std::size_t i = 0; i < EncapsulationHeaderBytes - 1; ++i) {
        wrapped[i + 1] = static_cast<char>(packed >> (40 - 8 * i) & 0xff);
    }
    return wrapped.append(datagram);
}

bool isEncapsulated(std::string_view datagram)
{
    return !datagram.empty() && static_cast<std::uint8_t>(datagram.front()) == EncapsulationMarker;
}

Result<Encapsulated> decapsulate(std::string_view datagram)
{
    if (!isEncapsulated(datagram) || datagram.size() <= EncapsulationHeaderBytes) {
        return malformed("no encapsulation header");
    }
    std::uint64_t packed = 0;
    for (std::size_t i = 1; i < EncapsulationHeaderBytes; ++i) {
        packed = packed << 8 | static_cast<std::uint8_t>(datagram[i]);
    }
    Encapsulated result;
    result.source.address = static_cast<std::uint32_t>(packed >> 16);
    result.source.port = static_cast<std::uint16_t>(packed & 0xffff);
    result.datagram = datagram.substr(EncapsulationHeaderBytes);
    return result;
}

} // namespace damaskhall
