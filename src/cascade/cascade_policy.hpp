#pragma once

#include "base/error.hpp"
#include "base/names.hpp"
#include "cascade/sufficiency.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>

// Selects the step of a route that answers a request and decides when to escalate to the next step
// (design 3.10).
//
//   auto first = policy.first_step(table, request, steps, generator);
//   auto signal = policy.detect_escalation(finish_reason, confidence, check_passed);
//   if (auto next = policy.next_step(table, request, steps, *first, signal)) { ... }

namespace wagtailhitch {

/// Reason to escalate to the next step instead of returning the answer.
enum class escalation_signal { none, low_confidence, check_failed };

template<>
inline constexpr auto enum_names<escalation_signal> = name_table<escalation_signal, 3>{{
    {escalation_signal::none, "none"},
    {escalation_signal::low_confidence, "low_confidence"},
    {escalation_signal::check_failed, "check_failed"},
}};

struct cascade_settings {
    double confidence_threshold{0.5}; ///< escalates when the engine's confidence is lower
    double z{1.28};                   ///< normal quantile of one-sided 90% bounds
    double minimum_ratings{30};       ///< with fewer, the declared quality decides
    /// Minimum number of ratings that can overrule the declared quality before `minimum_ratings` is
    /// reached. Without this minimum, a single bad rating would overrule it.
    double min_ratings_to_reject{5};
    /// Share of requests that try a step whose ratings show neither that it is sufficient nor that
    /// it is insufficient, so that it continues to be rated.
    double exploration{0.02};
    /// The same for steps that are rated or declared insufficient, so that an improved model is
    /// detected.
    double insufficient_exploration{0.002};
    double deadline_fraction{0.9}; ///< maximum expected time as a fraction of the time left
};

/// One step of a route. Steps are ordered from the cheapest to the most expensive.
struct cascade_step_info {
    model_id model{};
    double declared_quality{0};
    duration expected_time{}; ///< until the answer is complete
    bool available{true};     ///< the team may use the model and it has an upstream
};

struct cascade_request {
    std::string_view route{};
    double quality_target{0};
    duration time_left{};
    bool idempotent{true}; ///< other requests run on one step and never escalate
};

/// Selects steps. Stateless: the rating counts are passed in.
class cascade_policy {
public:
    explicit cascade_policy(cascade_settings settings);

    /// Returns the first available step that fits the deadline and is sufficient or chosen for
    /// exploration; otherwise the last available step that fits the deadline. Errors: no_upstream
    /// when no step is available, deadline_unreachable when none fits, both at step route, not_run.
    expected<std::size_t> first_step(const sufficiency_table& table, const cascade_request& request,
                                     std::span<const cascade_step_info> steps,
                                     std::mt19937_64& generator) const;
    [[nodiscard]] escalation_signal detect_escalation(std::string_view finish_reason,
                                                      std::optional<double> confidence,
                                                      bool check_passed) const;
    /// Returns the step to escalate to after an answer with `signal`; empty when the answer is
    /// final.
    [[nodiscard]] std::optional<std::size_t> next_step(const cascade_request& request,
                                                       std::span<const cascade_step_info> steps,
                                                       std::size_t current,
                                                       escalation_signal signal) const;
    /// Returns whether a step is assumed to reach the quality target.
    [[nodiscard]] bool sufficient(const sufficiency_counts& counts, double declared_quality,
                                  double target) const;
    /// Returns whether the step has ratings and they do not rule out that it is sufficient.
    [[nodiscard]] bool undecided(const sufficiency_counts& counts, double target) const;

private:
    [[nodiscard]] bool fits_deadline(const cascade_step_info& step_info, duration time_left) const;

    cascade_settings settings_;
};

} // namespace wagtailhitch
