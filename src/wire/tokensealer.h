#pragma once

#include "base/result.h"
#include "core/messages.h"

#include <array>
#include <cstdint>
#include <map>
#include <string_view>

namespace damaskhall {

/// 128-bit SipHash key.
using TokenKey = std::array<std::uint8_t, 16>;

/// Keys by id. Tokens are sealed with @c current; all keys are accepted, so that a key can be
/// replaced without breaking established flows.
struct TokenKeyRing
{
    std::uint8_t current = 0;
    std::map<std::uint8_t, TokenKey> keys;
};

/// Parses a key of 32 hexadecimal digits. Errors: InvalidValue. Thread safety: reentrant.
Result<TokenKey> parseTokenKey(std::string_view hex);

/// Authenticates tokens with SipHash-2-4-128 (libsodium's crypto_shorthash_siphashx24).
/// Thread safety: const methods may be called from any thread.
class TokenSealer
{
public:
    /// Precondition: @p keys holds its current key.
    explicit TokenSealer(TokenKeyRing keys);

    /// Returns: tag (16 bytes), key id (1 byte), msgpack array of the token's fields.
    SealedToken seal(const Token &token) const;

    /// Verifies the tag and reads the token. Errors: Malformed, Forged (wrong tag or unknown key).
    Result<Token> open(const SealedToken &sealed) const;

private:
    TokenKeyRing m_keys;
};

} // namespace damaskhall
