#include "wire/snapshotcodec.h"

#include "wire/directoryupdatecodec.h"

#include <array>
#include <memory>
#include <stdexcept>
#include <zlib.h>

namespace damaskhall {

namespace {

constexpr std::size_t ChunkBytes = 16'384;

Error failure(ErrorCode code, std::string detail)
{
    return {code, Step::ReceiveMessage, "", std::move(detail)};
}

} // namespace

std::string encodeSnapshot(const DirectoryUpdate &snapshot)
{
    const std::string update = encodeDirectoryUpdate(snapshot);
    uLongf size = compressBound(update.size());
    std::string bytes(size, '\0');
    if (compress2(reinterpret_cast<Bytef *>(bytes.data()), &size,
                  reinterpret_cast<const Bytef *>(update.data()), update.size(),
                  Z_BEST_SPEED) != Z_OK) {
        throw std::runtime_error("zlib cannot compress");
    }
    bytes.resize(size);
    return bytes;
}

Result<DirectoryUpdate> decodeSnapshot(std::string_view bytes)
{
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK) {
        return failure(ErrorCode::System, "zlib cannot start");
    }
    const std::unique_ptr<z_stream, int (*)(z_stream *)> guard(&stream, inflateEnd);
    // zlib does not write to its input.
    stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(bytes.data()));
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string update;
    std::array<char, ChunkBytes> chunk{};
    int status = Z_OK;
    while (status == Z_OK) {
        stream.next_out = reinterpret_cast<Bytef *>(chunk.data());
        stream.avail_out = static_cast<uInt>(chunk.size());
        status = inflate(&stream, Z_NO_FLUSH);
        update.append(chunk.data(), chunk.size() - stream.avail_out);
        if (update.size() > MaxSnapshotBytes) {
            return failure(ErrorCode::Oversized, std::to_string(update.size()));
        }
    }
    if (status != Z_STREAM_END) {
        return failure(ErrorCode::Malformed, "not compressed, or not whole");
    }
    return decodeDirectoryUpdate(update, MaxSnapshotBytes);
}

} // namespace damaskhall
