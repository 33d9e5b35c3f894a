#include "wire/controlcodec.h"

#include "wire/packing.h"

#include <array>
#include <utility>

namespace damaskhall {

namespace packing {

template <>
constexpr std::uint64_t MaximumOf<MemberState> = static_cast<std::uint64_t>(MemberState::Dead);

} // namespace packing

namespace {

using packing::BadElement;
using packing::Packer;

/// First byte of a control datagram. The high half differs from that of traffic frames.
constexpr std::uint8_t ControlMarker = 0xb0 | ControlProtocolVersion;
constexpr std::uint8_t MarkerKindMask = 0xf0;

// Fields of each message in wire order.

auto fields(MemberUpdate &m)
{
    return std::tie(m.id, m.incarnation, m.counter, m.state, m.endpoint, m.control);
}

auto fields(UpstreamUpdate &m)
{
    return std::tie(m.id, m.endpoint, m.service, m.isLeaving, m.presenceCounter);
}

auto fields(ConfigSection &m)
{
    return std::tie(m.name, m.text);
}

auto fields(Gossip &m)
{
    return std::tie(m.dataCentre, m.sender, m.revision, m.digest, m.members, m.upstreams);
}

auto fields(Announce &)
{
    return std::tie();
}

auto fields(Ping &m)
{
    return std::tie(m.sequence);
}

auto fields(PingReq &m)
{
    return std::tie(m.sequence, m.target, m.targetControl);
}

auto fields(Ack &m)
{
    return std::tie(m.sequence, m.subject);
}

auto fields(RemoteRevision &m)
{
    return std::tie(m.isReply);
}

auto fields(Hello &m)
{
    return std::tie(m.version, m.from);
}

auto fields(Heartbeat &)
{
    return std::tie();
}

auto fields(ConfigPull &m)
{
    return std::tie(m.knownRevision);
}

auto fields(ConfigDelta &m)
{
    return std::tie(m.base, m.revision, m.change, m.contentHash, m.changed, m.removed);
}

auto fields(StatePull &)
{
    return std::tie();
}

auto fields(StateSnapshot &m)
{
    return std::tie(m.members, m.upstreams);
}

template <typename T>
constexpr bool IsVector = false;
template <typename T>
constexpr bool IsVector<std::vector<T>> = true;

template <typename T>
void packElement(Packer &packer, const T &value);

template <typename T>
void packFields(Packer &packer, const T &message)
{
    // fields() binds references; packing only reads through them.
    std::apply([&packer](const auto &...element) { (packElement(packer, element), ...); },
               fields(const_cast<T &>(message)));
}

template <typename T>
void packElement(Packer &packer, const T &value)
{
    if constexpr (IsVector<T>) {
        packer.pack_array(static_cast<std::uint32_t>(value.size()));
        for (const auto &entry : value) {
            packElement(packer, entry);
        }
    } else if constexpr (std::is_same_v<T, MemberUpdate> || std::is_same_v<T, UpstreamUpdate> ||
                         std::is_same_v<T, ConfigSection>) {
        packer.pack_array(std::tuple_size_v<decltype(fields(const_cast<T &>(value)))>);
        packFields(packer, value);
    } else {
        packing::pack(packer, value);
    }
}

const msgpack::object_array &arrayOf(const msgpack::object &object)
{
    if (object.type != msgpack::type::ARRAY) {
        throw BadElement();
    }
    return object.via.array;
}

template <typename T>
void unpackElement(const msgpack::object &object, T &value);

/// Reads @p count elements starting at @p objects into the fields of @p message.
template <typename T>
void unpackFields(const msgpack::object *objects, std::size_t count, T &message)
{
    auto tuple = fields(message);
    if (count != std::tuple_size_v<decltype(tuple)>) {
        throw BadElement();
    }
    [[maybe_unused]] std::size_t index = 0;
    std::apply([&](auto &...element) { (unpackElement(objects[index++], element), ...); }, tuple);
}

template <typename T>
void unpackElement(const msgpack::object &object, T &value)
{
    if constexpr (IsVector<T>) {
        const auto &array = arrayOf(object);
        value.resize(array.size);
        for (std::uint32_t i = 0; i < array.size; ++i) {
            unpackElement(array.ptr[i], value[i]);
        }
    } else if constexpr (std::is_same_v<T, MemberUpdate> || std::is_same_v<T, UpstreamUpdate> ||
                         std::is_same_v<T, ConfigSection>) {
        const auto &array = arrayOf(object);
        unpackFields(array.ptr, array.size, value);
    } else {
        packing::unpack(object, value);
    }
}

template <typename Variant, std::size_t Index>
Variant readAlternative(const msgpack::object *objects, std::size_t count)
{
    std::variant_alternative_t<Index, Variant> message;
    unpackFields(objects, count, message);
    return message;
}

template <typename Variant, std::size_t... Index>
Variant readVariant(std::uint8_t type, const msgpack::object *objects, std::size_t count,
                    std::index_sequence<Index...>)
{
    using Reader = Variant (*)(const msgpack::object *, std::size_t);
    constexpr std::array<Reader, sizeof...(Index)> Readers = {&readAlternative<Variant, Index>...};
    if (type >= Readers.size()) {
        throw BadElement();
    }
    return Readers.at(type)(objects, count);
}

template <typename Variant>
Variant readVariant(std::uint8_t type, const msgpack::object *objects, std::size_t count)
{
    return readVariant<Variant>(type, objects, count,
                                std::make_index_sequence<std::variant_size_v<Variant>>());
}

template <typename Variant>
void packVariant(Packer &packer, const Variant &variant, std::size_t extraElements)
{
    std::visit(
            [&](const auto &message) {
                auto &mutableMessage = const_cast<std::decay_t<decltype(message)> &>(message);
                const std::size_t count = std::tuple_size_v<decltype(fields(mutableMessage))>;
                packer.pack_array(static_cast<std::uint32_t>(count + 1 + extraElements));
                packer.pack(static_cast<std::uint8_t>(variant.index()));
            },
            variant);
}

Error malformed(std::string detail)
{
    return {ErrorCode::Malformed, Step::ReceiveMessage, "", std::move(detail)};
}

// Parses one msgpack array, in which no length exceeds that of the input, and hands it to @p read,
// which may throw BadElement.
template <typename T, typename Reader>
Result<T> parse(std::string_view bytes, std::size_t offset, Reader read)
{
    try {
        msgpack::zone zone(2048);
        const msgpack::object object = msgpack::unpack(
                zone, bytes.data(), bytes.size(), offset,
                [](msgpack::type::object_type, std::size_t, void *) { return true; }, nullptr,
                msgpack::unpack_limit(bytes.size(), bytes.size(), bytes.size(), bytes.size()));
        if (offset != bytes.size()) {
            return malformed("trailing bytes");
        }
        return read(arrayOf(object));
    } catch (const BadElement &) {
        return malformed("unexpected element");
    } catch (const std::exception &error) {
        return malformed(error.what());
    }
}

} // namespace

std::string encodeControlDatagram(const ControlDatagram &datagram)
{
    msgpack::sbuffer buffer(256);
    const char marker = static_cast<char>(ControlMarker);
    buffer.write(&marker, 1);
    Packer packer(buffer);
    packVariant(packer, datagram.body,
                std::tuple_size_v<decltype(fields(std::declval<Gossip &>()))>);
    packFields(packer, datagram.gossip);
    std::visit([&packer](const auto &message) { packFields(packer, message); }, datagram.body);
    return {buffer.data(), buffer.size()};
}

Result<ControlDatagram> decodeControlDatagram(std::string_view bytes)
{
    if (bytes.size() > MaxControlDatagramBytes) {
        return Error{ErrorCode::Oversized, Step::ReceiveMessage, "", std::to_string(bytes.size())};
    }
    if (bytes.empty()) {
        return malformed("empty datagram");
    }
    const auto marker = static_cast<std::uint8_t>(bytes.front());
    if (marker != ControlMarker) {
        const bool isControl = (marker & MarkerKindMask) == (ControlMarker & MarkerKindMask);
        return isControl ? Error{ErrorCode::VersionMismatch, Step::ReceiveMessage, "",
                                 "control version " + std::to_string(marker & ~MarkerKindMask)}
                         : malformed("not a control datagram");
    }
    return parse<ControlDatagram>(bytes, 1, [](const msgpack::object_array &array) {
        constexpr std::size_t GossipFields =
                std::tuple_size_v<decltype(fields(std::declval<Gossip &>()))>;
        if (array.size < GossipFields + 1) {
            throw BadElement();
        }
        ControlDatagram datagram;
        unpackFields(array.ptr + 1, GossipFields, datagram.gossip);
        datagram.body = readVariant<DatagramBody>(packing::integer<std::uint8_t>(array.ptr[0]),
                                                  array.ptr + 1 + GossipFields,
                                                  array.size - 1 - GossipFields);
        return datagram;
    });
}

std::string encodeStreamMessage(const StreamMessage &message)
{
    msgpack::sbuffer buffer(256);
    Packer packer(buffer);
    packVariant(packer, message, 0);
    std::visit([&packer](const auto &content) { packFields(packer, content); }, message);
    return {buffer.data(), buffer.size()};
}

Result<StreamMessage> decodeStreamMessage(std::string_view bytes)
{
    if (bytes.size() > MaxStreamMessageBytes) {
        return Error{ErrorCode::Oversized, Step::ReceiveMessage, "", std::to_string(bytes.size())};
    }
    auto message = parse<StreamMessage>(bytes, 0, [](const msgpack::object_array &array) {
        if (array.size == 0) {
            throw BadElement();
        }
        return readVariant<StreamMessage>(packing::integer<std::uint8_t>(array.ptr[0]),
                                          array.ptr + 1, array.size - 1);
    });
    if (!message) {
        return message;
    }
    const auto *hello = std::get_if<Hello>(&message.assume_value());
    if (hello && hello->version != ControlProtocolVersion) {
        return Error{ErrorCode::VersionMismatch, Step::ReceiveMessage, "",
                     "control version " + std::to_string(hello->version)};
    }
    return message;
}

} // namespace damaskhall
