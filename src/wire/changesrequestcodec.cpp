#include "wire/changesrequestcodec.h"

#include "wire/packing.h"

namespace damaskhall {

namespace {

/// First byte; differs from those of control datagrams and directory updates.
constexpr std::uint8_t ChangesRequestMarker = 0xe2;
constexpr std::size_t RequestFields = 2;
/// Marker, array header and two integers of nine bytes.
constexpr std::size_t MaxRequestBytes = 20;

Error malformed(std::string detail)
{
    return {ErrorCode::Malformed, Step::ReceiveMessage, "", std::move(detail)};
}

} // namespace

bool isChangesRequestDatagram(std::string_view bytes)
{
    return !bytes.empty() && static_cast<std::uint8_t>(bytes.front()) == ChangesRequestMarker;
}

std::string encodeChangesRequest(const ChangesRequest &request)
{
    msgpack::sbuffer buffer(MaxRequestBytes);
    const char marker = static_cast<char>(ChangesRequestMarker);
    buffer.write(&marker, 1);
    packing::Packer packer(buffer);
    packer.pack_array(RequestFields);
    packing::packAll(packer, std::tie(request.known.era, request.known.value));
    return {buffer.data(), buffer.size()};
}

Result<ChangesRequest> decodeChangesRequest(std::string_view bytes)
{
    if (!isChangesRequestDatagram(bytes) || bytes.size() > MaxRequestBytes) {
        return malformed("not a request for changes");
    }
    try {
        msgpack::zone zone(256);
        std::size_t offset = 1;
        const msgpack::object object =
                msgpack::unpack(zone, bytes.data(), bytes.size(), offset, nullptr, nullptr,
                                msgpack::unpack_limit(RequestFields, 0, 0, 0, 0, 1));
        if (offset != bytes.size()) {
            return malformed("trailing bytes");
        }
        if (object.type != msgpack::type::ARRAY || object.via.array.size != RequestFields) {
            throw packing::BadElement();
        }
        ChangesRequest request;
        packing::unpackAll(object.via.array.ptr, std::tie(request.known.era, request.known.value));
        return request;
    } catch (const packing::BadElement &) {
        return malformed("unexpected element");
    } catch (const std::exception &error) {
        return malformed(error.what());
    }
}

} // namespace damaskhall
