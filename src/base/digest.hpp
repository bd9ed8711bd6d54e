#pragma once

#include "base/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

// Digests, message authentication and signatures, over OpenSSL and xxHash.
//
//   auto tag = hmac_sha256(key, "payload");          // 32 raw bytes
//   auto text = base64url_encode(tag);
//   auto pair = generate_operator_key();
//   bool ok = verify_ed25519(pair.public_key, "payload", sign_ed25519(pair.private_key,
//   "payload"));

namespace wagtailhitch {

/// 64-bit XXH3, for placement and table keys; not for authentication.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// 128-bit XXH3 as 32 hexadecimal digits, for comparing documents; not for authentication.
std::string digest128_hex(std::string_view data);

/// Raw 32 bytes.
std::string sha256(std::string_view data);
/// 64 hexadecimal digits.
std::string sha256_hex(std::string_view data);
/// Raw 32 bytes.
std::string hmac_sha256(std::string_view key, std::string_view data);

/// Compares in time independent of the content.
bool equal_constant_time(std::string_view a, std::string_view b);

std::string to_hex(std::string_view raw);
/// The number in lowercase hexadecimal digits, without leading zeros.
std::string hex_text(std::uint64_t value);
/// Errors: config_invalid when the text is not an even number of hexadecimal digits.
expected<std::string> from_hex(std::string_view text);

/// URL-safe base 64 without padding.
std::string base64url_encode(std::string_view raw);
/// Errors: malformed_request when the text holds other characters.
expected<std::string> base64url_decode(std::string_view text);

/// Ed25519 keys as raw 32-byte strings.
struct operator_key {
    std::string private_key;
    std::string public_key;
};

operator_key generate_operator_key();
/// Errors: signature_invalid when the private key is not 32 bytes.
expected<std::string> sign_ed25519(std::string_view private_key, std::string_view data);
bool verify_ed25519(std::string_view public_key, std::string_view data, std::string_view signature);

/// Rendezvous weight of `member` for `key`: the highest weights own the key.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view member);

} // namespace wagtailhitch
