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

// Which step of a route answers a request, and when the next one is asked (design 3.10).
//
//   auto first = policy.first_step(table, request, steps, generator);
//   auto signal = policy.signal_of(finish_reason, confidence, check_passed);
//   if (auto next = policy.next_step(table, request, steps, *first, signal)) { ... }

namespace wagtailhitch {

/// Why an answer is not taken as final.
enum class escalation_signal { none, low_confidence, check_failed, cut_short };

template<>
inline constexpr auto enum_names<escalation_signal> = name_table<escalation_signal, 4>{{
    {escalation_signal::none, "none"},
    {escalation_signal::low_confidence, "low_confidence"},
    {escalation_signal::check_failed, "check_failed"},
    {escalation_signal::cut_short, "cut_short"},
}};

struct cascade_settings {
    double confidence_threshold{0.5}; ///< an engine's confidence below this escalates
    double z{1.28};                   ///< one-sided 90% bounds
    double minimum_ratings{30};       ///< below this the declared quality decides
    /// Share of requests for which a step that is neither shown to be sufficient nor insufficient
    /// is tried, so that its ratings go on.
    double exploration{0.02};
    double deadline_use{0.9}; ///< part of the remaining time that the expected time may use
};

/// One step of the route, cheap first.
struct step_facts {
    model_id model{};
    double declared_quality{0};
    duration expected_time{}; ///< of the whole answer
    bool available{true};     ///< permitted for the team and not without upstreams
};

struct cascade_request {
    std::string_view route{};
    double quality_target{0};
    duration time_left{};
    bool idempotent{true}; ///< others run on one step and never cascade
};

/// Decides on steps; counts are passed in.
class cascade_policy {
public:
    explicit cascade_policy(cascade_settings settings);

    /// The step to start with. The last available step is used when none is sufficient; of those,
    /// one that fits the deadline is preferred. Errors: no_upstream when no step is available,
    /// deadline_unreachable when none fits, both at step route, not_run.
    expected<std::size_t> first_step(const sufficiency_table& table, const cascade_request& request,
                                     std::span<const step_facts> steps,
                                     std::mt19937_64& generator) const;
    [[nodiscard]] escalation_signal signal_of(std::string_view finish_reason,
                                              std::optional<double> confidence,
                                              bool check_passed) const;
    /// The next step after an answer with a signal; empty when the answer is final.
    [[nodiscard]] std::optional<std::size_t> next_step(const cascade_request& request,
                                                       std::span<const step_facts> steps,
                                                       std::size_t current,
                                                       escalation_signal signal) const;
    /// Whether a step's answers are taken to be sufficient.
    [[nodiscard]] bool sufficient(const sufficiency_counts& counts, double declared_quality,
                                  double target) const;
    /// Whether ratings leave open if a step is sufficient.
    [[nodiscard]] bool undecided(const sufficiency_counts& counts, double target) const;

private:
    [[nodiscard]] bool fits(const step_facts& facts, duration time_left) const;

    cascade_settings settings_;
};

} // namespace wagtailhitch
