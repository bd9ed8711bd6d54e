#include "limits/team_limiter.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wagtailhitch {

namespace {

constexpr double seconds_per_minute = 60;
constexpr double seconds_per_hour = 3600;

// Minimum reported demand, in requests per second: about one request in a quarter of an hour.
constexpr double min_reported_demand = 1e-3;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

limit_amounts sum(const limit_amounts& a, const limit_amounts& b)
{
    return {a.requests + b.requests, a.tokens + b.tokens, a.money + b.money};
}

// Defensive: a correct holder never grants a share above the limit.
limit_amounts clamp_to_limit(const limit_amounts& value, const limit_amounts& limit)
{
    return {std::min(value.requests, limit.requests), std::min(value.tokens, limit.tokens),
            std::min(value.money, limit.money)};
}

error refusal(error_code code, const team_id& team, std::string detail, duration wait)
{
    return {code, step::admit, team.value, run_state::not_run, std::move(detail), wait};
}

} // namespace

limit_amounts rates_per_second(const team_limits& limits)
{
    return {limits.requests_per_second, limits.tokens_per_minute / seconds_per_minute,
            limits.spend_per_hour / seconds_per_hour};
}

team_limiter::team_limiter(limiter_settings settings) : settings_{std::move(settings)} {}

void team_limiter::configure(const std::map<team_id, team_spec>& teams, std::uint32_t vm_count,
                             time_point now)
{
    vm_count_ = std::max(1U, vm_count);
    std::erase_if(teams_, [&](const auto& item) { return !teams.contains(item.first); });
    for (const auto& [id, spec] : teams) {
        const auto [it, added] = teams_.try_emplace(id);
        it->second.limit = rates_per_second(spec.limits);
        if (added) {
            it->second.demand_at = now;
            start_buckets(it->second, now);
        }
        update_rates(it->second, now);
    }
}

void team_limiter::grant(const share_grant& grant, time_point now)
{
    const auto it = teams_.find(grant.team);
    const bool for_this_vm = grant.vm == settings_.vm;
    // A grant with a request time in the future would be valid for too long.
    const bool within_term = grant.asked_at <= now && now < grant.asked_at + grant.term;
    if (it == teams_.end() || !for_this_vm || !within_term ||
        grant.asked_at < it->second.share_asked_at) {
        return;
    }
    update_rates(it->second, now);
    it->second.share = grant.share;
    it->second.share_asked_at = grant.asked_at;
    it->second.share_expires_at = grant.asked_at + grant.term;
    update_rates(it->second, now);
}

expected<void> team_limiter::admit(const team_id& team, const limit_amounts& estimate,
                                   time_point now)
{
    const auto it = teams_.find(team);
    if (it == teams_.end()) {
        return tl::unexpected(refusal(error_code::unknown_team, team,
                                      "The team is not in the configuration in force.", {}));
    }
    team_state& state = it->second;
    record_demand(state, estimate, now);
    update_rates(state, now);
    const duration rate_wait =
        std::max(time_until_available(state.limit.requests, state.requests, estimate.requests, now),
                 time_until_available(state.limit.tokens, state.tokens, estimate.tokens, now));
    if (rate_wait > duration{0}) {
        return tl::unexpected(refusal(error_code::team_rate_limited, team,
                                      "The team's request or token limit is used up.", rate_wait));
    }
    const duration spend_wait =
        time_until_available(state.limit.money, state.money, estimate.money, now);
    if (spend_wait > duration{0}) {
        return tl::unexpected(refusal(error_code::team_spend_limited, team,
                                      "The team's spending limit is used up.", spend_wait));
    }
    state.requests.take(estimate.requests, now);
    state.tokens.take(estimate.tokens, now);
    state.money.take(estimate.money, now);
    return {};
}

void team_limiter::settle(const team_id& team, const limit_amounts& estimate,
                          const limit_amounts& used, time_point now)
{
    const auto it = teams_.find(team);
    if (it == teams_.end()) {
        return;
    }
    update_rates(it->second, now);
    it->second.requests.take(used.requests - estimate.requests, now);
    it->second.tokens.take(used.tokens - estimate.tokens, now);
    it->second.money.take(used.money - estimate.money, now);
}

std::vector<share_request> team_limiter::share_requests(time_point now) const
{
    std::vector<share_request> requests;
    for (const auto& [id, team] : teams_) {
        const bool limited = team.limit != limit_amounts{};
        const double decay =
            std::exp(-seconds(now - team.demand_at) / seconds(settings_.demand_window));
        const limit_amounts demand{team.demand.requests * decay, team.demand.tokens * decay,
                                   team.demand.money * decay};
        if (limited && demand.requests > min_reported_demand) {
            requests.push_back({settings_.vm, id, demand, guaranteed_rates(team), now});
        }
    }
    return requests;
}

limit_amounts team_limiter::rates(const team_id& team, time_point now) const
{
    const auto it = teams_.find(team);
    return it == teams_.end() ? limit_amounts{} : current_rates(it->second, now);
}

limit_amounts team_limiter::guaranteed_rates(const team_state& team) const
{
    const double part = settings_.floor_fraction / vm_count_;
    return {team.limit.requests * part, team.limit.tokens * part, team.limit.money * part};
}

limit_amounts team_limiter::current_rates(const team_state& team, time_point now) const
{
    const limit_amounts floor = guaranteed_rates(team);
    return now < team.share_expires_at ? clamp_to_limit(sum(floor, team.share), team.limit) : floor;
}

void team_limiter::update_rates(team_state& team, time_point now) const
{
    // Until the end of the term, the buckets refill at the granted rate.
    if (team.share_expires_at != time_point{} && team.share_expires_at <= now) {
        const time_point expired_at = std::exchange(team.share_expires_at, time_point{});
        set_rates(team, guaranteed_rates(team), expired_at);
    }
    const limit_amounts rates = current_rates(team, now);
    if (rates != team.applied_rates) {
        set_rates(team, rates, now);
    }
}

void team_limiter::start_buckets(team_state& team, time_point now) const
{
    team.applied_rates = guaranteed_rates(team);
    const limit_amounts capacity = burst_capacity(team.applied_rates);
    team.requests = {team.applied_rates.requests, capacity.requests, now};
    team.tokens = {team.applied_rates.tokens, capacity.tokens, now};
    team.money = {team.applied_rates.money, capacity.money, now};
}

void team_limiter::set_rates(team_state& team, const limit_amounts& rates, time_point now) const
{
    const limit_amounts capacity = burst_capacity(rates);
    team.applied_rates = rates;
    team.requests.set_rate(rates.requests, capacity.requests, now);
    team.tokens.set_rate(rates.tokens, capacity.tokens, now);
    team.money.set_rate(rates.money, capacity.money, now);
}

limit_amounts team_limiter::burst_capacity(const limit_amounts& rates) const
{
    const double burst = settings_.burst_seconds;
    return {std::max(rates.requests * burst, settings_.min_burst_requests), rates.tokens * burst,
            rates.money * burst};
}

// A request that is larger than the capacity waits for a full bucket and makes its level negative.
duration team_limiter::time_until_available(double limit, const token_bucket& bucket, double amount,
                                            time_point now)
{
    return limit > 0 ? bucket.wait_for(amount, now) : duration{0};
}

void team_limiter::record_demand(team_state& team, const limit_amounts& estimate,
                                 time_point now) const
{
    const double window = seconds(settings_.demand_window);
    const double decay = std::exp(-seconds(now - team.demand_at) / window);
    team.demand = {team.demand.requests * decay + estimate.requests / window,
                   team.demand.tokens * decay + estimate.tokens / window,
                   team.demand.money * decay + estimate.money / window};
    team.demand_at = now;
}

} // namespace wagtailhitch
