#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

// Names of enumerators, as they appear in files, messages and metrics.
//
//   enum class color { red, green };
//   template<> inline constexpr auto enum_names<color> =
//       name_table<color, 2>{{{color::red, "red"}, {color::green, "green"}}};
//   name_of(color::red);            // "red"
//   parse_name<color>("green");     // color::green

namespace wagtailhitch {

template<typename Enum, std::size_t N>
using name_table = std::array<std::pair<Enum, std::string_view>, N>;

/// Specialized beside the definition of each enumeration that has names.
template<typename Enum> inline constexpr auto enum_names = name_table<Enum, 0>{};

template<typename Enum> constexpr std::string_view name_of(Enum value)
{
    for (const auto& [candidate, name] : enum_names<Enum>) {
        if (candidate == value) {
            return name;
        }
    }
    return "unknown";
}

template<typename Enum> constexpr std::optional<Enum> parse_name(std::string_view text)
{
    for (const auto& [candidate, name] : enum_names<Enum>) {
        if (name == text) {
            return candidate;
        }
    }
    return std::nullopt;
}

} // namespace wagtailhitch
