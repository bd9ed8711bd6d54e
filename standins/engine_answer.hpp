#pragma once

#include "standins.hpp"

#include <string>
#include <vector>

// An engine's answer, determined by the request alone.

namespace wagtailhitch::standins {

struct engine_answer {
    std::uint64_t prompt_tokens{0};
    std::vector<std::string> tokens; ///< the first one names the version
    std::string finish_reason;       ///< stop, length or low_confidence
    double confidence{0};            ///< 0 to 1
};

/// The text of all messages of a chat body, or its `prompt`. Throws when there is neither.
std::string prompt_text(const json& body);

/// `body` is a chat body whose `model` is a version.
engine_answer make_answer(const engine_settings& settings, const json& body, bool bad_version);

} // namespace wagtailhitch::standins
