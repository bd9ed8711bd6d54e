#include "proxy/proxy_core.hpp"

#include <algorithm>
#include <string>

// The part of proxy_core that decides on second attempts of late requests.

namespace wagtailhitch {

namespace {

/// Shortest time between two checks of the same request, so that one whose target is nearly in
/// danger does not wake the VM for each of its milliseconds.
constexpr duration shortest_check_interval = 10ms;

} // namespace

hedged_kind proxy_core::kind_of(const admission& admitted, const placement& placed)
{
    return {admitted.route->name, placed.model.value_or(0)};
}

void proxy_core::count_hedge_won(const admission& admitted)
{
    counters_.count("hedges_won_total", {{"route", admitted.route->name}}).add();
}

hedge_refusal proxy_core::check_hedge(const admission& admitted, const proxied_request& request,
                                      const send_history& history, const waiting_attempt& first,
                                      time_point now)
{
    if (!hedges_.budget_left(kind_of(admitted, first.placed))) {
        return hedge_refusal::percent_used;
    }
    if (history.sends >= admitted.route->maximum_sends) {
        return hedge_refusal::sends_used;
    }
    if (!repeats_left(admitted, now)) {
        return hedge_refusal::budget_used;
    }
    if (check_permission(admitted, now) || !may_run_again(admitted, history, now)) {
        return hedge_refusal::unconfirmed;
    }
    // A replica that does not answer may have crashed on the prompt.
    if (quarantine_.is_suspected(first.parts) || quarantine_.until_settled(first.parts, now) ||
        check_parts(request, first.parts, now)) {
        return hedge_refusal::part_suspected;
    }
    // A second send would count towards the share of requests that new software may get.
    return first.placed.on_trial ? hedge_refusal::on_trial : hedge_refusal::none;
}

hedge_refusal proxy_core::judge_hedge(const admission& admitted, const choice& chosen,
                                      duration gain, time_point now) const
{
    const service_rollout* rollout = rollouts_.find(admitted.service);
    const auto* replica = directory_.find(pool_.view(chosen.replica).id);
    if (rollout != nullptr && rollout->state() == rollout_state::running && replica != nullptr &&
        rollout->order().target == replica->announcement.software) {
        return hedge_refusal::on_trial;
    }
    // Work that may turn out to be unnecessary must not let other requests wait.
    if (chosen.load + 1 > pool_.load(chosen.replica).slots) {
        return hedge_refusal::no_free_slot;
    }
    if (gain < hedges_.least_gain() ||
        now + chosen.expected_first_token >= admitted.answer_deadline) {
        return hedge_refusal::gain_too_small;
    }
    return hedge_refusal::none;
}

hedge_placement proxy_core::place_hedge(const admission& admitted, const proxied_request& request,
                                        const send_history& history, const waiting_attempt& first,
                                        time_point now)
{
    const hedged_kind kind = kind_of(admitted, first.placed);
    const duration remaining = hedges_.expected_remaining(kind, now - first.sent_at);
    const time_point endangered_at =
        request.received_at + admitted.route->target_latency - remaining;
    hedge_placement out;
    if (endangered_at > now) {
        out.refusal = hedge_refusal::not_in_danger;
        out.ask_again = std::max(endangered_at, now + shortest_check_interval);
        return out;
    }
    out.refusal = check_hedge(admitted, request, history, first, now);
    if (out.refusal == hedge_refusal::none) {
        out.refusal = hedge_refusal::no_replica;
        auto placed = place(admitted, request, history, now, [&](const choice& chosen) {
            out.gain = remaining - chosen.expected_first_token;
            out.refusal = judge_hedge(admitted, chosen, out.gain, now);
            return out.refusal == hedge_refusal::none;
        });
        if (placed) {
            out.placed = std::move(*placed);
        }
    }
    if (!out.placed) {
        counters_.count("hedges_refused_total", {{"reason", std::string{name_of(out.refusal)}}})
            .add();
        return out;
    }
    hedges_.spend(kind);
    counters_.count("hedges_total", {{"route", admitted.route->name}}).add();
    counters_.count("hedge_prompt_tokens_total").add(request.prompt_tokens);
    return out;
}

} // namespace wagtailhitch
