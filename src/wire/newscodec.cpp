#include "wire/newscodec.h"

#include "wire/packing.h"

#include <utility>

namespace damaskhall {

namespace {

using packing::BadElement;
using packing::Packer;

/// First byte. The high half differs from that of control datagrams.
constexpr std::uint8_t NewsMarker = 0xd1;
constexpr std::uint8_t MarkerKindMask = 0xf0;
constexpr std::size_t HeadFields = 6;
constexpr std::size_t RemovalFields = 2;

auto headFields(DirectoryNews &news)
{
    return std::tie(news.origin, news.sequence, news.age, news.from, news.to, news.declaration);
}

auto entryFields(StoreChange &change, UpstreamEntry &entry)
{
    return std::tie(change.revision, entry.key.id, entry.key.born, entry.service, entry.endpoint,
                    entry.dataCentre, entry.slots, entry.isLeaving, entry.warmupLeft);
}

void packChange(Packer &packer, StoreChange change)
{
    if (auto *entry = std::get_if<UpstreamEntry>(&change.content)) {
        const auto fields = entryFields(change, *entry);
        packer.pack_array(std::tuple_size_v<decltype(fields)>);
        packing::packAll(packer, fields);
    } else if (const auto *removal = std::get_if<UpstreamRemoval>(&change.content)) {
        packer.pack_array(RemovalFields);
        packing::packAll(packer, std::tie(change.revision, removal->id));
    }
}

const msgpack::object_array &arrayOf(const msgpack::object &object)
{
    if (object.type != msgpack::type::ARRAY) {
        throw BadElement();
    }
    return object.via.array;
}

StoreChange unpackChange(const msgpack::object &object)
{
    const auto &array = arrayOf(object);
    StoreChange change;
    UpstreamEntry entry;
    auto fields = entryFields(change, entry);
    if (array.size == std::tuple_size_v<decltype(fields)>) {
        packing::unpackAll(array.ptr, fields);
        if (entry.slots == 0) {
            throw BadElement();
        }
        change.content = entry;
    } else if (array.size == RemovalFields) {
        UpstreamRemoval removal;
        packing::unpackAll(array.ptr, std::tie(change.revision, removal.id));
        change.content = removal;
    } else {
        throw BadElement();
    }
    return change;
}

DirectoryNews unpackNews(const msgpack::object_array &array)
{
    if (array.size != HeadFields + 1) {
        throw BadElement();
    }
    DirectoryNews news;
    packing::unpackAll(array.ptr, headFields(news));
    if (news.age < Milliseconds{}) {
        throw BadElement();
    }
    const auto &changes = arrayOf(array.ptr[HeadFields]);
    for (std::uint32_t i = 0; i < changes.size; ++i) {
        news.changes.push_back(unpackChange(changes.ptr[i]));
    }
    return news;
}

Error failure(ErrorCode code, std::string detail)
{
    return {code, Step::ReceiveMessage, "", std::move(detail)};
}

} // namespace

bool isNewsDatagram(std::string_view bytes)
{
    return !bytes.empty() && (static_cast<std::uint8_t>(bytes.front()) & MarkerKindMask) ==
                                     (NewsMarker & MarkerKindMask);
}

std::string encodeNews(const DirectoryNews &news)
{
    msgpack::sbuffer buffer(1024);
    const char marker = static_cast<char>(NewsMarker);
    buffer.write(&marker, 1);
    Packer packer(buffer);
    packer.pack_array(HeadFields + 1);
    DirectoryNews copy = news;
    packing::packAll(packer, headFields(copy));
    packer.pack_array(static_cast<std::uint32_t>(news.changes.size()));
    for (const StoreChange &change : news.changes) {
        packChange(packer, change);
    }
    return {buffer.data(), buffer.size()};
}

Result<DirectoryNews> decodeNews(std::string_view bytes, std::size_t most)
{
    if (bytes.size() > most) {
        return failure(ErrorCode::Oversized, std::to_string(bytes.size()));
    }
    if (!isNewsDatagram(bytes)) {
        return failure(ErrorCode::Malformed, "not news");
    }
    if (static_cast<std::uint8_t>(bytes.front()) != NewsMarker) {
        return failure(ErrorCode::VersionMismatch, "another version of news");
    }
    try {
        msgpack::zone zone(2048);
        std::size_t offset = 1;
        const msgpack::object object = msgpack::unpack(
                zone, bytes.data(), bytes.size(), offset,
                [](msgpack::type::object_type, std::size_t, void *) { return true; }, nullptr,
                msgpack::unpack_limit(bytes.size(), bytes.size(), bytes.size(), bytes.size()));
        if (offset != bytes.size()) {
            return failure(ErrorCode::Malformed, "trailing bytes");
        }
        return unpackNews(arrayOf(object));
    } catch (const BadElement &) {
        return failure(ErrorCode::Malformed, "unexpected element");
    } catch (const std::exception &error) {
        return failure(ErrorCode::Malformed, error.what());
    }
}

} // namespace damaskhall
