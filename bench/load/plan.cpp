#include "load/plan.hpp"

#include <nlohmann/json.hpp>

#include <random>

namespace wagtailhitch::load {

namespace {

using generator = std::mt19937_64;

std::size_t draw_kind(const std::vector<request_kind>& kinds, generator& random)
{
    std::vector<double> shares;
    shares.reserve(kinds.size());
    for (const auto& it : kinds) {
        shares.push_back(it.share);
    }
    return std::discrete_distribution<std::size_t>{shares.begin(), shares.end()}(random);
}

std::string make_prompt(const request_kind& kind, const load_settings& settings, generator& random)
{
    const std::uint64_t prefix = random() % settings.distinct_prefixes;
    const std::string unit = kind.model + " " + std::to_string(prefix) + " ";
    std::string out;
    while (out.size() < kind.prompt_bytes) {
        out += unit;
    }
    // The end differs for each request.
    return out + std::to_string(random());
}

std::string make_body(const request_kind& kind, const load_settings& settings, generator& random)
{
    nlohmann::json body{
        {"model", kind.model},
        {"stream", settings.stream},
        {"messages", {{{"role", "user"}, {"content", make_prompt(kind, settings, random)}}}}};
    if (kind.max_tokens != 0) {
        body["max_tokens"] = kind.max_tokens;
    }
    return body.dump();
}

} // namespace

std::vector<planned_request> make_plan(const load_settings& settings)
{
    generator random{settings.seed};
    std::exponential_distribution<double> interval{settings.rate};
    std::vector<planned_request> out;
    double at = interval(random);
    while (at < settings.seconds && out.size() < settings.requests) {
        planned_request next;
        next.at = std::chrono::nanoseconds{static_cast<std::int64_t>(at * 1e9)};
        next.target = out.size() % settings.targets.size();
        next.kind = draw_kind(settings.kinds, random);
        if (!settings.tokens.empty()) {
            next.token = settings.tokens[random() % settings.tokens.size()];
        }
        next.body = make_body(settings.kinds[next.kind], settings, random);
        out.push_back(std::move(next));
        at += interval(random);
    }
    return out;
}

} // namespace wagtailhitch::load
