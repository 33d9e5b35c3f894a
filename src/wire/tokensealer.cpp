#include "wire/tokensealer.h"

#include "wire/framefields.h"
#include "wire/packing.h"

#include <cassert>
#include <sodium.h>

namespace damaskhall {

namespace packing {

template <>
constexpr std::uint64_t MaximumOf<TokenKind> = static_cast<std::uint64_t>(TokenKind::Permit);

} // namespace packing

namespace {

constexpr std::size_t TagBytes = crypto_shorthash_siphashx24_BYTES;
constexpr std::size_t HeaderBytes = TagBytes + 1;
static_assert(std::tuple_size_v<TokenKey> == crypto_shorthash_siphashx24_KEYBYTES);

using Tag = std::array<std::uint8_t, TagBytes>;

// The tag covers the key id and the fields.
Tag computeTag(const TokenKey &key, std::string_view covered)
{
    Tag tag{};
    crypto_shorthash_siphashx24(tag.data(), reinterpret_cast<const unsigned char *>(covered.data()),
                                covered.size(), key.data());
    return tag;
}

Error tokenError(ErrorCode code, std::string detail)
{
    return {code, Step::OpenToken, "", std::move(detail)};
}

Result<Token> readToken(std::string_view bytes)
{
    try {
        msgpack::zone zone(256);
        std::size_t offset = 0;
        const msgpack::object object = msgpack::unpack(zone, bytes.data(), bytes.size(), offset);
        Token token;
        auto tuple = fields(token);
        if (offset != bytes.size() || object.type != msgpack::type::ARRAY ||
            object.via.array.size != std::tuple_size_v<decltype(tuple)>) {
            return tokenError(ErrorCode::Malformed, "unexpected shape");
        }
        packing::unpackAll(object.via.array.ptr, tuple);
        return token;
    } catch (const packing::BadElement &) {
        return tokenError(ErrorCode::Malformed, "unexpected element");
    } catch (const std::exception &error) {
        return tokenError(ErrorCode::Malformed, error.what());
    }
}

} // namespace

Result<TokenKey> parseTokenKey(std::string_view hex)
{
    TokenKey key{};
    std::size_t length = 0;
    const int status = sodium_hex2bin(key.data(), key.size(), hex.data(), hex.size(), nullptr,
                                      &length, nullptr);
    if (status != 0 || length != key.size() || hex.size() != 2 * key.size()) {
        return Error{ErrorCode::InvalidValue, Step::CheckSettings, "",
                     "expected a token key of 32 hexadecimal digits"};
    }
    return key;
}

TokenSealer::TokenSealer(TokenKeyRing keys)
    : m_keys(std::move(keys))
{
    assert(m_keys.keys.count(m_keys.current) == 1);
}

SealedToken TokenSealer::seal(const Token &token) const
{
    Token copy = token;
    const auto tuple = fields(copy);
    msgpack::sbuffer buffer(128);
    packing::Packer packer(buffer);
    packer.pack_array(std::tuple_size_v<decltype(tuple)>);
    packing::packAll(packer, tuple);

    SealedToken covered(1, static_cast<char>(m_keys.current));
    covered.append(buffer.data(), buffer.size());
    const Tag tag = computeTag(m_keys.keys.at(m_keys.current), covered);
    return SealedToken(tag.begin(), tag.end()) + covered;
}

Result<Token> TokenSealer::open(const SealedToken &sealed) const
{
    if (sealed.size() <= HeaderBytes) {
        return tokenError(ErrorCode::Malformed, "too short");
    }
    const auto keyId = static_cast<std::uint8_t>(sealed[TagBytes]);
    const auto key = m_keys.keys.find(keyId);
    if (key == m_keys.keys.end()) {
        return tokenError(ErrorCode::Forged, "unknown key " + std::to_string(keyId));
    }
    const std::string_view covered = std::string_view(sealed).substr(TagBytes);
    const Tag tag = computeTag(key->second, covered);
    if (sodium_memcmp(tag.data(), sealed.data(), TagBytes) != 0) {
        return tokenError(ErrorCode::Forged, "wrong tag");
    }
    return readToken(covered.substr(1));
}

} // namespace damaskhall
