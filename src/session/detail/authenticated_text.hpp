#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace wagtailhitch::detail {

/// Encodes a payload as header text with an HMAC-SHA256 tag. The payload is not encrypted. The tag
/// covers the purpose, so that a text issued for one purpose is not accepted for another.
std::string encode_authenticated(std::string_view key, std::string_view purpose,
                                 std::string_view payload);

/// Returns the payload, or nullopt if the text was not authenticated with `key` for `purpose`.
std::optional<std::string> decode_authenticated(std::string_view key, std::string_view purpose,
                                                std::string_view text);

} // namespace wagtailhitch::detail
