#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace wagtailhitch::detail {

/// Header text of a payload, authenticated by HMAC-SHA256. The purpose is part of what is
/// authenticated, so that a text issued for one purpose is not accepted for another.
std::string seal_text(std::string_view key, std::string_view purpose, std::string_view payload);

/// The payload; nothing when the text was not sealed by `key` for `purpose`.
std::optional<std::string> open_text(std::string_view key, std::string_view purpose,
                                     std::string_view text);

} // namespace wagtailhitch::detail
