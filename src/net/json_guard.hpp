#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>

// Parses JSON and MessagePack received from the network.
//
//   auto body = parse_json(text);      // nullopt when malformed or nested too deeply
//
// nlohmann::json recurses when it reads MessagePack and when it writes JSON, so the nesting depth
// is checked before a value is built.

namespace wagtailhitch::detail {

inline constexpr std::size_t json_depth_limit = 64;

std::optional<nlohmann::json> parse_json(std::string_view text);
std::optional<nlohmann::json> parse_msgpack(std::string_view bytes);

} // namespace wagtailhitch::detail
