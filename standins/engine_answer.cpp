#include "engine_answer.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <array>
#include <random>
#include <stdexcept>

namespace wagtailhitch::standins {

namespace {

constexpr std::size_t bytes_per_token = 4;
constexpr double default_confidence = 0.9;
constexpr double confidence_spread = 0.1;
constexpr double bad_confidence = 0.1;

constexpr std::array<std::string_view, 16> words{
    "the ",    "index ", "rose ",   "fell ",   "by ",     "a ",      "quarter ", "price ",
    "houses ", "cups ",  "credit ", "series ", "report ", "region ", "month ",   "value "};

double mean_confidence(const engine_settings& settings, const std::string& version)
{
    const auto it = settings.confidence.find(version);
    return it == settings.confidence.end() ? default_confidence : it->second;
}

/// Content is a string or a list of text parts.
std::string content_text(const json& content)
{
    if (content.is_string()) {
        return content.get<std::string>();
    }
    std::string out;
    for (const json& it : content) {
        out += it.at("text").get<std::string>();
    }
    return out;
}

std::uint64_t token_limit(const json& body)
{
    for (const char* name : {"max_completion_tokens", "max_tokens"}) {
        if (body.contains(name) && body.at(name).is_number_unsigned()) {
            return body.at(name).get<std::uint64_t>();
        }
    }
    return 0;
}

} // namespace

std::string prompt_text(const json& body)
{
    if (body.contains("prompt")) {
        return body.at("prompt").get<std::string>();
    }
    std::string out;
    for (const json& it : body.at("messages")) {
        out += content_text(it.at("content"));
    }
    return out;
}

engine_answer make_answer(const engine_settings& settings, const json& body, bool bad_version)
{
    const auto version = body.at("model").get<std::string>();
    const std::string prompt = prompt_text(body);
    std::mt19937_64 random{hash64(prompt, hash64(version))};
    const auto random_below = [&random](std::uint64_t below) { return random() % below; };

    engine_answer out;
    out.prompt_tokens = prompt.size() / bytes_per_token + 1;
    const std::uint64_t shortest = settings.minimum_tokens;
    const std::uint64_t longest = std::max<std::uint64_t>(settings.maximum_tokens, shortest);
    const std::uint64_t unlimited_count = shortest + random_below(longest - shortest + 1);
    const std::uint64_t limit = token_limit(body);
    const std::uint64_t count = limit == 0 ? unlimited_count : std::min(unlimited_count, limit);
    out.tokens.push_back("[" + version + "] ");
    while (out.tokens.size() < count) {
        out.tokens.emplace_back(bad_version ? "??? " : words.at(random_below(words.size())));
    }
    const double spread =
        (static_cast<double>(random_below(2001)) - 1000) / 1000 * confidence_spread; // -0.1 to 0.1
    const double mean = bad_version ? bad_confidence : mean_confidence(settings, version);
    out.confidence = std::clamp(mean + spread, 0.0, 1.0);
    const bool low = out.confidence < settings.low_confidence;
    out.finish_reason = low ? "low_confidence" : (count < unlimited_count ? "length" : "stop");
    return out;
}

} // namespace wagtailhitch::standins
