#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Returns the 64-bit FNV-1a hash, with which caller and upstream compare the content of an upload.
inline std::uint64_t contentHash(std::string_view content)
{
    std::uint64_t hash = 0xcbf29ce484222325;
    for (const char byte : content) {
        hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3;
    }
    return hash;
}

/// Returns the body of the upload @p id: its id, a colon and bytes that depend on id and position.
inline std::string uploadBody(std::uint64_t id, std::size_t bytes)
{
    std::string body = std::to_string(id) + ":";
    std::uint64_t state = id | 1;
    while (body.size() < bytes) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        body.push_back(static_cast<char>(state >> 56));
    }
    return body;
}
