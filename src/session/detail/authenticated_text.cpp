#include "session/detail/authenticated_text.hpp"

#include "base/digest.hpp"

namespace wagtailhitch::detail {

namespace {

constexpr std::size_t tag_size = 32;

std::string authenticate(std::string_view key, std::string_view purpose, std::string_view payload)
{
    std::string data{purpose};
    data.push_back('\0');
    data.append(payload);
    return hmac_sha256(key, data);
}

} // namespace

std::string encode_authenticated(std::string_view key, std::string_view purpose,
                                 std::string_view payload)
{
    return base64url_encode(std::string{payload} + authenticate(key, purpose, payload));
}

std::optional<std::string> decode_authenticated(std::string_view key, std::string_view purpose,
                                                std::string_view text)
{
    const auto raw = base64url_decode(text);
    if (!raw || raw->size() < tag_size) {
        return std::nullopt;
    }
    const std::string_view view{*raw};
    const auto payload = view.substr(0, view.size() - tag_size);
    const auto tag = view.substr(payload.size());
    if (!equal_constant_time(tag, authenticate(key, purpose, payload))) {
        return std::nullopt;
    }
    return std::string{payload};
}

} // namespace wagtailhitch::detail
