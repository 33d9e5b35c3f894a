#include "wire/directoryupdatecodec.h"

#include "core/flow/evacuationtable.h"
#include "wire/packing.h"

#include <utility>

namespace damaskhall {

namespace {

using packing::BadElement;
using packing::Packer;

/// First byte. The high half differs from that of control datagrams.
constexpr std::uint8_t DirectoryUpdateMarker = 0xd4;
constexpr std::uint8_t MarkerKindMask = 0xf0;
constexpr std::size_t HeadFields = 7;
constexpr std::size_t RemovalFields = 3;
constexpr std::size_t EvacuationFields = 2;

auto headFields(DirectoryUpdate &update)
{
    return std::tie(update.origin, update.sequence, update.age, update.to.era, update.from.value,
                    update.to.value, update.declaration);
}

auto entryFields(StoreChange &change, UpstreamEntry &entry)
{
    return std::tie(change.revision.value, entry.key.id.value, entry.key.id.keyHash, entry.key.born,
                    entry.service, entry.endpoint, entry.dataCentre, entry.slots, entry.isLeaving,
                    entry.warmupLeft);
}

void packChange(Packer &packer, StoreChange change)
{
    if (auto *entry = std::get_if<UpstreamEntry>(&change.content)) {
        const auto fields = entryFields(change, *entry);
        packer.pack_array(std::tuple_size_v<decltype(fields)>);
        packing::packAll(packer, fields);
    } else if (const auto *removal = std::get_if<UpstreamRemoval>(&change.content)) {
        packer.pack_array(RemovalFields);
        packing::packAll(packer,
                         std::tie(change.revision.value, removal->id.value, removal->id.keyHash));
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
        packing::unpackAll(array.ptr,
                           std::tie(change.revision.value, removal.id.value, removal.id.keyHash));
        change.content = removal;
    } else {
        throw BadElement();
    }
    return change;
}

// One flat array, as nested ones would add a byte per data centre.
void packEvacuations(Packer &packer, const EvacuationSet &set)
{
    packer.pack_array(static_cast<std::uint32_t>(set.size() * EvacuationFields));
    for (const EvacuationEntry &entry : set) {
        packing::packAll(packer, std::tie(entry.dataCentre, entry.revision));
    }
}

EvacuationSet unpackEvacuations(const msgpack::object &object)
{
    const auto &array = arrayOf(object);
    if (array.size % EvacuationFields != 0 ||
        array.size > EvacuationTable::MaxSize * EvacuationFields) {
        throw BadElement();
    }
    EvacuationSet set(array.size / EvacuationFields);
    for (std::size_t i = 0; i < set.size(); ++i) {
        packing::unpackAll(array.ptr + i * EvacuationFields,
                           std::tie(set[i].dataCentre, set[i].revision));
    }
    return set;
}

DirectoryUpdate unpackDirectoryUpdate(const msgpack::object_array &array)
{
    if (array.size != HeadFields + 2) {
        throw BadElement();
    }
    DirectoryUpdate update;
    packing::unpackAll(array.ptr, headFields(update));
    if (update.age < Milliseconds{}) {
        throw BadElement();
    }
    update.from.era = update.to.era;
    const auto &changes = arrayOf(array.ptr[HeadFields]);
    for (std::uint32_t i = 0; i < changes.size; ++i) {
        update.changes.push_back(unpackChange(changes.ptr[i]));
        update.changes.back().revision.era = update.to.era;
    }
    update.evacuations = unpackEvacuations(array.ptr[HeadFields + 1]);
    return update;
}

Error failure(ErrorCode code, std::string detail)
{
    return {code, Step::ReceiveMessage, "", std::move(detail)};
}

} // namespace

bool isDirectoryUpdateDatagram(std::string_view bytes)
{
    return !bytes.empty() && (static_cast<std::uint8_t>(bytes.front()) & MarkerKindMask) ==
                                     (DirectoryUpdateMarker & MarkerKindMask);
}

std::string encodeDirectoryUpdate(const DirectoryUpdate &update)
{
    msgpack::sbuffer buffer(1024);
    const char marker = static_cast<char>(DirectoryUpdateMarker);
    buffer.write(&marker, 1);
    Packer packer(buffer);
    packer.pack_array(HeadFields + 2);
    DirectoryUpdate copy = update;
    packing::packAll(packer, headFields(copy));
    packer.pack_array(static_cast<std::uint32_t>(update.changes.size()));
    for (const StoreChange &change : update.changes) {
        packChange(packer, change);
    }
    packEvacuations(packer, update.evacuations);
    return {buffer.data(), buffer.size()};
}

Result<DirectoryUpdate> decodeDirectoryUpdate(std::string_view bytes, std::size_t most)
{
    if (bytes.size() > most) {
        return failure(ErrorCode::Oversized, std::to_string(bytes.size()));
    }
    if (!isDirectoryUpdateDatagram(bytes)) {
        return failure(ErrorCode::Malformed, "not news");
    }
    if (static_cast<std::uint8_t>(bytes.front()) != DirectoryUpdateMarker) {
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
        return unpackDirectoryUpdate(arrayOf(object));
    } catch (const BadElement &) {
        return failure(ErrorCode::Malformed, "unexpected element");
    } catch (const std::exception &error) {
        return failure(ErrorCode::Malformed, error.what());
    }
}

} // namespace damaskhall
