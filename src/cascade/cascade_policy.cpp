#include "cascade/cascade_policy.hpp"

#include <utility>

namespace wagtailhitch {

namespace {

error refusal(error_code code, std::string_view route, const char* detail)
{
    return {code, step::route, std::string{route}, run_state::not_run, detail, std::nullopt};
}

} // namespace

cascade_policy::cascade_policy(cascade_settings settings) : settings_{settings} {}

expected<std::size_t> cascade_policy::first_step(const sufficiency_table& table,
                                                 const cascade_request& request,
                                                 std::span<const cascade_step_info> steps,
                                                 std::mt19937_64& generator) const
{
    const std::string route{request.route};
    std::optional<std::size_t> best;
    bool available = false;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        available = available || steps[i].available;
        if (!steps[i].available || !fits_deadline(steps[i], request.time_left)) {
            continue;
        }
        const sufficiency_counts counts = table.counts(route, steps[i].model);
        if (sufficient(counts, steps[i].declared_quality, request.quality_target)) {
            return i;
        }
        const bool is_undecided = undecided(counts, request.quality_target);
        std::bernoulli_distribution explore{is_undecided ? settings_.exploration
                                                         : settings_.insufficient_exploration};
        if (explore(generator)) {
            return i;
        }
        best = i;
    }
    if (best) {
        return *best;
    }
    return tl::unexpected(
        available ? refusal(error_code::deadline_unreachable, request.route,
                            "No model of the route is expected to answer within the deadline.")
                  : refusal(error_code::no_upstream, request.route,
                            "No model of the route is permitted and has an upstream."));
}

escalation_signal cascade_policy::detect_escalation(std::string_view finish_reason,
                                                    std::optional<double> confidence,
                                                    bool check_passed) const
{
    if (!check_passed) {
        return escalation_signal::check_failed;
    }
    const bool below_threshold = confidence && *confidence < settings_.confidence_threshold;
    if (below_threshold || finish_reason == "low_confidence") {
        return escalation_signal::low_confidence;
    }
    return escalation_signal::none;
}

std::optional<std::size_t> cascade_policy::next_step(const cascade_request& request,
                                                     std::span<const cascade_step_info> steps,
                                                     std::size_t current,
                                                     escalation_signal signal) const
{
    if (signal == escalation_signal::none || !request.idempotent) {
        return std::nullopt;
    }
    for (std::size_t i = current + 1; i < steps.size(); ++i) {
        if (steps[i].available && fits_deadline(steps[i], request.time_left)) {
            return i;
        }
    }
    return std::nullopt;
}

bool cascade_policy::sufficient(const sufficiency_counts& counts, double declared_quality,
                                double target) const
{
    if (counts.total >= settings_.minimum_ratings) {
        return wilson_lower(counts, settings_.z) >= target;
    }
    const bool refuted = counts.total >= settings_.min_ratings_to_reject &&
                         wilson_upper(counts, settings_.z) < target;
    return declared_quality >= target && !refuted;
}

bool cascade_policy::undecided(const sufficiency_counts& counts, double target) const
{
    return counts.total > 0 && wilson_upper(counts, settings_.z) >= target;
}

bool cascade_policy::fits_deadline(const cascade_step_info& step_info, duration time_left) const
{
    return std::chrono::duration<double>(step_info.expected_time) <=
           std::chrono::duration<double>(time_left) * settings_.deadline_fraction;
}

} // namespace wagtailhitch
