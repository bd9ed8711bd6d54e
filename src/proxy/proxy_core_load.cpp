#include "base/digest.hpp"
#include "proxy/proxy_core.hpp"

#include <algorithm>
#include <sstream>

// The part of proxy_core that connects the decision under load (src/admission).

namespace wagtailhitch {

namespace {

/// Above this multiple of a replica's slots, a request waits longer there than a caller's retry
/// takes.
constexpr double overload = 2.0;
/// Divisor of the latency target: the time after which a caller may retry when all replicas are
/// overloaded.
constexpr int overload_retry_divisor = 4;
constexpr duration shortest_target = 1ms;

/// Identifies a request over the attempts of its caller; 0 if nothing in it does. The id of the
/// request is that of the attempt.
std::uint64_t caller_of(const admission& admitted, const proxied_request& request)
{
    if (request.session.empty() && request.parts.empty()) {
        return 0;
    }
    const std::uint64_t part = request.parts.empty() ? 0 : request.parts.back().id;
    return hash64(admitted.team.value + '\n' + admitted.route->name + '\n' + request.session +
                  '\n' + std::to_string(part));
}

load_request describe(const admission& admitted, const proxied_request& request,
                      const send_history& history, const choice& chosen, time_point now)
{
    load_request out;
    out.service = admitted.service;
    out.priority = admitted.priority;
    out.team = admitted.team;
    out.route = admitted.route->name;
    out.caller = caller_of(admitted, request);
    out.tokens = static_cast<double>(request.prompt_tokens) + request.output_tokens;
    out.output_tokens = request.output_tokens;
    out.time_left = admitted.answer_deadline - now;
    const duration target = admitted.route->target_latency;
    out.target = target > duration{0}
                     ? std::max(shortest_target, request.received_at + target - now)
                     : out.time_left;
    out.first_token = chosen.expected_first_token - chosen.expected_wait;
    out.assumed_wait = chosen.expected_wait;
    out.load = chosen.load;
    out.repeated = !history.tried.empty() || history.sends > 0;
    return out;
}

std::string detail_of(const load_request& request, const load_verdict& verdict)
{
    std::ostringstream out;
    out << "Refused under load (" << name_of(verdict.refused) << "): first token expected after "
        << to_milliseconds(verdict.first_token) << " ms, target in "
        << to_milliseconds(request.target) << " ms, end expected after "
        << to_milliseconds(verdict.end) << " ms, time left " << to_milliseconds(request.time_left)
        << " ms, " << static_cast<std::int64_t>(request.load) << " requests at the replica of "
        << static_cast<std::int64_t>(request.slots) << " slots, "
        << static_cast<std::int64_t>(verdict.usage.load) << " at all of "
        << static_cast<std::int64_t>(verdict.usage.slots) << " slots, share "
        << static_cast<std::int64_t>(verdict.share * 100) << " %.";
    return out.str();
}

} // namespace

service_occupancy proxy_core::occupancy_for(const admission& admitted, const std::string& software,
                                            time_point now) const
{
    service_occupancy out;
    out.vms = static_cast<double>(peers_.known()) + 1;
    const version_id version = software_version_id(admitted.service, software);
    for (const auto distance : {locality::domain, locality::region, locality::remote}) {
        for (const replica_index replica : pool_.members(version, distance)) {
            if (!pool_.admits(replica, now) || !permits(admitted, replica, now)) {
                continue;
            }
            const replica_load& load = pool_.load(replica);
            out.load += estimate_load(load, chooser_.settings());
            out.slots += load.slots;
            out.own += load.in_flight;
        }
    }
    return out;
}

expected<std::size_t> proxy_core::check_pressure(const admission& admitted,
                                                 const proxied_request& request,
                                                 const send_history& history,
                                                 const std::string& software, const choice& chosen,
                                                 time_point now)
{
    const double slots = pool_.load(chosen.replica).slots;
    if (!admission_.enabled()) {
        if (chosen.load <= overload * slots) {
            return std::size_t{0};
        }
        return tl::unexpected(refusal(error_code::queue_full, step::admit,
                                      "Every replica of the service is at its limit.",
                                      admitted.route->target_latency / overload_retry_divisor));
    }
    load_request described = describe(admitted, request, history, chosen, now);
    described.slots = std::max(1.0, slots);
    const load_verdict verdict = admission_.decide(
        described, [&] { return occupancy_for(admitted, software, now); }, now);
    count_verdict(admitted, verdict);
    if (verdict.refused == load_refusal::none) {
        return verdict.kind;
    }
    const bool late = verdict.refused == load_refusal::deadline;
    return tl::unexpected(refusal(late ? error_code::deadline_unreachable : error_code::queue_full,
                                  step::admit, detail_of(described, verdict), verdict.retry_after));
}

void proxy_core::count_verdict(const admission& admitted, const load_verdict& verdict)
{
    const bool refused = verdict.refused != load_refusal::none;
    if (refused) {
        counters_
            .count("load_refusals_total", {{"route", admitted.route->name},
                                           {"priority", std::to_string(admitted.priority)},
                                           {"reason", std::string{name_of(verdict.refused)}}})
            .add();
    }
    if (verdict.returned == return_state::on_time) {
        counters_
            .count("load_returns_total",
                   {{"route", admitted.route->name}, {"result", refused ? "refused" : "admitted"}})
            .add();
    }
}

void proxy_core::note_service_time(const placement& placed, const attempt_outcome& outcome)
{
    // An answer that was dropped for a larger model ends with its head and says nothing about the
    // time to the end.
    const bool dropped = placed.model && outcome.total == outcome.first_token;
    if (!admission_.enabled() || placed.waits || dropped ||
        outcome.result != attempt_result::succeeded) {
        return;
    }
    admission_.note_answer(placed.load_kind, {outcome.total, outcome.total - outcome.first_token,
                                              placed.output_tokens});
}

} // namespace wagtailhitch
