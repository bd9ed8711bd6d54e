#pragma once

#include "config/document.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <string>

// Test documents: the examples in docs/configuration.md and modified copies of them.

namespace wagtailhitch {

/// Returns the n-th JSON block of docs/configuration.md: 0 for the settings, 1 for the operators'
/// document.
inline std::string documented_sample(int n)
{
    std::ifstream in{SOURCE_DIRECTORY "/docs/configuration.md"};
    const std::string text{std::istreambuf_iterator<char>{in}, {}};
    constexpr std::string_view fence = "```json\n";
    std::size_t at = 0;
    for (int i = 0; i <= n; ++i) {
        at = text.find(fence, at) + fence.size();
    }
    return text.substr(at, text.find("```", at) - at);
}

inline nlohmann::json sample_json(int n)
{
    return nlohmann::json::parse(documented_sample(n), nullptr, true, true);
}

/// Returns a copy with the value at a JSON pointer set, or removed when `value` is `discarded`.
inline nlohmann::json with_change(nlohmann::json base, const std::string& pointer,
                                  const nlohmann::json& value)
{
    const nlohmann::json::json_pointer at{pointer};
    if (value.is_discarded()) {
        base.at(at.parent_pointer()).erase(at.back());
    }
    else {
        base[at] = value;
    }
    return base;
}

} // namespace wagtailhitch
