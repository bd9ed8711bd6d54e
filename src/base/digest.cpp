#include "base/digest.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <memory>

namespace wagtailhitch {

namespace {

constexpr std::size_t sha256_size = 32;
constexpr std::size_t ed25519_key_size = 32;
constexpr std::size_t ed25519_signature_size = 64;

struct free_key {
    void operator()(EVP_PKEY* key) const { EVP_PKEY_free(key); }
};
struct free_context {
    void operator()(EVP_MD_CTX* context) const { EVP_MD_CTX_free(context); }
};

using key_ptr = std::unique_ptr<EVP_PKEY, free_key>;
using context_ptr = std::unique_ptr<EVP_MD_CTX, free_context>;

const unsigned char* bytes(std::string_view data)
{
    return reinterpret_cast<const unsigned char*>(data.data());
}

unsigned char* bytes(std::string& data)
{
    return reinterpret_cast<unsigned char*>(data.data());
}

error crypto_error(std::string detail)
{
    return error{error_code::signature_invalid,
                 step::authenticate,
                 {},
                 run_state::not_run,
                 std::move(detail),
                 {}};
}

} // namespace

std::uint64_t hash64(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string digest128_hex(std::string_view data)
{
    const auto hash = XXH3_128bits(data.data(), data.size());
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, hash);
    return to_hex({reinterpret_cast<const char*>(canonical.digest), sizeof canonical.digest});
}

std::string sha256(std::string_view data)
{
    std::string out(sha256_size, '\0');
    unsigned int size = 0;
    EVP_Digest(data.data(), data.size(), bytes(out), &size, EVP_sha256(), nullptr);
    return out;
}

std::string sha256_hex(std::string_view data)
{
    return to_hex(sha256(data));
}

std::string hmac_sha256(std::string_view key, std::string_view data)
{
    std::string out(sha256_size, '\0');
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes(data), data.size(),
         bytes(out), &size);
    return out;
}

bool equal_constant_time(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string hex_text(std::uint64_t value)
{
    constexpr int base = 16;
    constexpr std::size_t max_digits = 16;
    std::array<char, max_digits> digits{};
    const auto [end, ec] = std::to_chars(digits.data(), digits.data() + digits.size(), value, base);
    return {digits.data(), end};
}

std::string to_hex(std::string_view raw)
{
    // OpenSSL writes a terminating zero, so the buffer holds one character more than the text.
    std::string out(raw.size() * 2 + 1, '\0');
    std::size_t n = 0;
    OPENSSL_buf2hexstr_ex(out.data(), out.size(), &n, bytes(raw), raw.size(), '\0');
    out.resize(raw.size() * 2);
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

expected<std::string> from_hex(std::string_view text)
{
    std::string out(text.size() / 2 + 1, '\0');
    std::size_t n = 0;
    const std::string terminated{text};
    if (OPENSSL_hexstr2buf_ex(bytes(out), out.size(), &n, terminated.c_str(), '\0') != 1) {
        return tl::unexpected(error{error_code::config_invalid,
                                    step::parse,
                                    {},
                                    run_state::not_run,
                                    "Expected an even number of hexadecimal digits.",
                                    {}});
    }
    out.resize(n);
    return out;
}

std::string base64url_encode(std::string_view raw)
{
    std::string out((raw.size() + 2) / 3 * 4 + 1, '\0');
    const int n = EVP_EncodeBlock(bytes(out), bytes(raw), static_cast<int>(raw.size()));
    out.resize(static_cast<std::size_t>(n));
    std::replace(out.begin(), out.end(), '+', '-');
    std::replace(out.begin(), out.end(), '/', '_');
    out.erase(std::find(out.begin(), out.end(), '='), out.end());
    return out;
}

expected<std::string> base64url_decode(std::string_view text)
{
    const error invalid{error_code::malformed_request,
                        step::parse,
                        {},
                        run_state::not_run,
                        "Expected URL-safe base 64 without padding.",
                        {}};
    if (text.find_first_of("+/=") != std::string_view::npos || text.size() % 4 == 1) {
        return tl::unexpected(invalid);
    }
    std::string standard{text};
    std::replace(standard.begin(), standard.end(), '-', '+');
    std::replace(standard.begin(), standard.end(), '_', '/');
    const std::size_t padding = (4 - standard.size() % 4) % 4;
    standard.append(padding, '=');
    std::string out(standard.size() / 4 * 3, '\0');
    const int n = EVP_DecodeBlock(bytes(out), bytes(standard), static_cast<int>(standard.size()));
    if (n < 0) {
        return tl::unexpected(invalid);
    }
    out.resize(static_cast<std::size_t>(n) - padding);
    return out;
}

operator_key generate_operator_key()
{
    EVP_PKEY* raw = EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519");
    const key_ptr key{raw};
    operator_key out{std::string(ed25519_key_size, '\0'), std::string(ed25519_key_size, '\0')};
    std::size_t n = ed25519_key_size;
    EVP_PKEY_get_raw_private_key(key.get(), bytes(out.private_key), &n);
    n = ed25519_key_size;
    EVP_PKEY_get_raw_public_key(key.get(), bytes(out.public_key), &n);
    return out;
}

expected<std::string> sign_ed25519(std::string_view private_key, std::string_view data)
{
    const key_ptr key{EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, bytes(private_key),
                                                   private_key.size())};
    if (!key) {
        return tl::unexpected(crypto_error("Expected an Ed25519 private key of 32 bytes."));
    }
    const context_ptr context{EVP_MD_CTX_new()};
    std::string signature(ed25519_signature_size, '\0');
    std::size_t n = signature.size();
    if (EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, key.get()) != 1 ||
        EVP_DigestSign(context.get(), bytes(signature), &n, bytes(data), data.size()) != 1) {
        return tl::unexpected(crypto_error("The payload could not be signed."));
    }
    return signature;
}

bool verify_ed25519(std::string_view public_key, std::string_view data, std::string_view signature)
{
    const key_ptr key{EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, bytes(public_key),
                                                  public_key.size())};
    if (!key) {
        return false;
    }
    const context_ptr context{EVP_MD_CTX_new()};
    return EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, key.get()) == 1 &&
           EVP_DigestVerify(context.get(), bytes(signature), signature.size(), bytes(data),
                            data.size()) == 1;
}

std::uint64_t rendezvous_weight(std::string_view key, std::string_view member)
{
    return hash64(member, hash64(key));
}

} // namespace wagtailhitch
