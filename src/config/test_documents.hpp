#pragma once

#include "config/document.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <string>

// Documents for tests: the samples of docs/configuration.md, and edits of them.

namespace wagtailhitch {

/// The n-th JSON block of docs/configuration.md: 0 the settings, 1 the operators' document.
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

/// Sets the value at a JSON pointer, or removes it when the value is `discarded`.
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
