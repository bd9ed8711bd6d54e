#pragma once

#include "base/names.hpp"
#include "retry/hedge_policy.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

// Decides which slow requests of one VM are sent a second time, from what it learned about each
// kind of request and from the operators' limit. Hedging is off unless the limit is above 0.
//
//   hedge_control hedging{settings};
//   hedging.count_request(kind);
//   auto at = hedging.hedge_time(kind, context, sent_at);     // when to ask
//   if (hedging.budget_left(kind)) { send(); hedging.spend(kind); }
//   hedging.record_first_token(kind, elapsed);

namespace wagtailhitch {

struct hedging_settings {
    /// Largest number of second sends for each 100 requests of a kind, 0 to 100; 0: off.
    double percent{0};
    /// A second send must be expected to be answered sooner than the first by at least this time.
    duration least_gain{50ms};
    /// Quantile, samples and saved hedges of a kind; `budget_share` is taken from `percent`.
    hedge_settings kind{};
};

/// Reason for which a request is not sent to a second replica; `none` when it is.
enum class hedge_refusal {
    none,
    not_waiting,    ///< the answer has begun, or the request was hedged before
    not_in_danger,  ///< the answer is expected within the target
    sends_used,     ///< `maximum_sends` of the route
    budget_used,    ///< the service's retry budget
    percent_used,   ///< the operators' limit
    unconfirmed,    ///< the key or the prompt may no longer be sent
    part_suspected, ///< a part of the prompt may crash replicas
    on_trial,       ///< software that is being rolled out
    no_replica,     ///< none is permitted, or load forbids it
    no_free_slot,
    gain_too_small,
};

template<>
inline constexpr auto enum_names<hedge_refusal> = name_table<hedge_refusal, 12>{{
    {hedge_refusal::none, "none"},
    {hedge_refusal::not_waiting, "not_waiting"},
    {hedge_refusal::not_in_danger, "not_in_danger"},
    {hedge_refusal::sends_used, "sends_used"},
    {hedge_refusal::budget_used, "budget_used"},
    {hedge_refusal::percent_used, "percent_used"},
    {hedge_refusal::unconfirmed, "unconfirmed"},
    {hedge_refusal::part_suspected, "part_suspected"},
    {hedge_refusal::on_trial, "on_trial"},
    {hedge_refusal::no_replica, "no_replica"},
    {hedge_refusal::no_free_slot, "no_free_slot"},
    {hedge_refusal::gain_too_small, "gain_too_small"},
}};

/// Requests that are expected to take similarly long.
struct hedged_kind {
    std::string route;
    std::size_t model{0}; ///< index into the route's models; 0 without models

    friend auto operator<=>(const hedged_kind&, const hedged_kind&) = default;
};

class hedge_control {
public:
    explicit hedge_control(hedging_settings settings);

    [[nodiscard]] bool enabled() const { return settings_.percent > 0; }
    [[nodiscard]] duration least_gain() const { return settings_.least_gain; }
    /// Counts a request towards the operators' limit.
    void count_request(const hedged_kind& kind);
    /// Records the time to the first token of an attempt.
    void record_first_token(const hedged_kind& kind, duration elapsed);
    /// Records an attempt that was cancelled or timed out after `elapsed` without a first token.
    void record_unanswered(const hedged_kind& kind, duration elapsed);
    /// Time at which to ask for a second send of a request sent at `sent_at`; nothing if it must
    /// not be sent again or too few answers of its kind are known.
    [[nodiscard]] std::optional<time_point>
    hedge_time(const hedged_kind& kind, const hedge_context& context, time_point sent_at) const;
    /// Expected time until the answer of an attempt that has waited for `elapsed` begins.
    [[nodiscard]] duration expected_remaining(const hedged_kind& kind, duration elapsed) const;
    [[nodiscard]] bool budget_left(const hedged_kind& kind) const;
    /// Takes one second send from the budget of the kind.
    void spend(const hedged_kind& kind);

private:
    /// Bounds the memory at 1 KiB a kind; beyond it, all kinds are learned again.
    static constexpr std::size_t max_kinds = 256;

    hedge_policy& policy_of(const hedged_kind& kind);
    [[nodiscard]] const hedge_policy* find(const hedged_kind& kind) const;

    hedging_settings settings_;
    std::map<hedged_kind, hedge_policy> kinds_;
};

} // namespace wagtailhitch
