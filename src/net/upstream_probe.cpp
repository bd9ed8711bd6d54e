#include "net/upstream_probe.hpp"

#include "net/json_guard.hpp"

#include <nlohmann/json.hpp>

namespace wagtailhitch::detail {

using json = nlohmann::json;

namespace {

/// Treats fields of the wrong type as absent, so that a newer upstream can still be probed.
std::uint64_t number_in(const json& body, const char* name)
{
    const auto it = body.find(name);
    return it != body.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

bool flag_in(const json& body, const char* name)
{
    const auto it = body.find(name);
    return it != body.end() && it->is_boolean() && it->get<bool>();
}

std::vector<std::uint64_t> hashes_in(const json& body, const char* name)
{
    std::vector<std::uint64_t> out;
    const auto it = body.find(name);
    if (it == body.end() || !it->is_array()) {
        return out;
    }
    for (const json& hash : *it) {
        if (hash.is_number_unsigned()) {
            out.push_back(hash.get<std::uint64_t>());
        }
    }
    return out;
}

void read_load(const json& body, probe_result& out)
{
    out.leaving = flag_in(body, "leaving");
    out.run = number_in(body, "run");
    out.running = static_cast<std::uint32_t>(number_in(body, "running"));
    out.waiting = static_cast<std::uint32_t>(number_in(body, "waiting"));
    out.report_age = std::chrono::milliseconds{number_in(body, "age_ms")};
    const auto loaded = body.find("loaded");
    if (loaded == body.end() || !loaded->is_array()) {
        return;
    }
    for (const json& version : *loaded) {
        if (version.is_string()) {
            out.loaded.emplace_back(version.get<std::string>());
        }
    }
}

} // namespace

probe_result parse_probe(const probe_upstream& probe, const whole_answer& answer)
{
    probe_result out;
    out.upstream = probe.upstream;
    if (!answer.ok()) {
        return out;
    }
    const json body = parse_json(answer.body).value_or(json{});
    out.reachable = body.is_object() || !probe.engine;
    if (body.is_object()) {
        read_load(body, out);
    }
    return out;
}

cache_event_page parse_cache_events(const upstream_id& upstream, std::uint64_t from,
                                    const whole_answer& answer)
{
    cache_event_page out;
    out.events.upstream = upstream;
    out.next = from;
    if (!answer.ok()) {
        return out;
    }
    const json body = parse_json(answer.body).value_or(json{});
    if (!body.is_object() || !body.contains("next") || !body["next"].is_number_unsigned()) {
        out.events.gap = true;
        return out;
    }
    out.next = number_in(body, "next");
    // Numbers below the requested ones mean that the engine was restarted with an empty cache.
    out.events.gap = flag_in(body, "gap") || out.next < from;
    out.events.stored = hashes_in(body, "stored");
    out.events.evicted = hashes_in(body, "evicted");
    return out;
}

std::string order_body(const upstream_order& order)
{
    return json{{"order", order.order},
                {"action", order.action},
                {"version", order.version.value},
                {"fencing", order.fencing}}
        .dump();
}

order_result parse_order_result(const upstream_order& order, const whole_answer& answer)
{
    order_result out{order.upstream, order.order, std::nullopt};
    if (answer.ok()) {
        return out;
    }
    error reason{error_code::upstream_refused,
                 step::dispatch,
                 order.upstream.value,
                 run_state::not_run,
                 {},
                 {}};
    if (answer.failure) {
        const bool reached = answer.failure->written;
        reason.code = reached ? error_code::upstream_failed : error_code::upstream_connect_failed;
        reason.run = reached ? run_state::outcome_unknown : run_state::not_run;
        reason.detail = answer.failure->detail;
    }
    else {
        reason.detail = "Status " + std::to_string(answer.status) + ".";
        if (answer.status >= 500 && answer.status != 503) {
            reason.code = error_code::upstream_failed;
            reason.run = run_state::outcome_unknown;
        }
    }
    out.failure = std::move(reason);
    return out;
}

} // namespace wagtailhitch::detail
