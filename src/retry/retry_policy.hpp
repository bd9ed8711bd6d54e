#pragma once

#include "base/error.hpp"
#include "limits/token_bucket.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <random>

// Decides whether a failed attempt is retried (design 3.12).
//
//   budget.count_request(now);
//   auto decision = policy.decide(failure, budget, now, generator);
//   if (decision.action != retry_action::stop) { budget.spend(now); schedule(decision); }

namespace wagtailhitch {

/// `resume`: request the tokens from `next_index` on from the replica that holds the generation.
/// `restart`: send the request again, to another replica.
enum class retry_action { stop, resume, restart };

/// Reason for which an attempt is not retried; `none` when it is.
enum class retry_refusal {
    none,
    may_have_run,
    not_retryable,
    attempts_used,
    budget_used,
    deadline,
    already_sent,
};

template<>
inline constexpr auto enum_names<retry_refusal> = name_table<retry_refusal, 7>{{
    {retry_refusal::none, "none"},
    {retry_refusal::may_have_run, "may_have_run"},
    {retry_refusal::not_retryable, "not_retryable"},
    {retry_refusal::attempts_used, "attempts_used"},
    {retry_refusal::budget_used, "budget_used"},
    {retry_refusal::deadline, "deadline"},
    {retry_refusal::already_sent, "already_sent"},
}};

struct retry_settings {
    std::uint32_t max_retries{2};
    duration initial_backoff{25ms};
    duration max_backoff{1s};
    double budget_share{0.1};         ///< retries per request
    double min_retries_per_second{1}; ///< retries per second that are always permitted
    double budget_capacity{10};       ///< maximum number of saved retries
    /// Time constant of the exponential decay of saved retries, so that an idle pool starts again
    /// from `min_retries_per_second`.
    duration budget_time_constant{10s};
    /// Length of a sliding window over which requests and retries are counted instead of saving
    /// retries: at most `budget_share` of the window's requests plus `budget_capacity` are retried.
    /// 0 disables the window.
    duration budget_window{0};
    /// Retries a non-idempotent request when no connection to the upstream was established, or
    /// when the upstream reported that it did not run the request. When false, such requests are
    /// never retried (design 3.5).
    bool restart_unsent{false};
};

/// Describes a failed attempt and its request.
struct failed_attempt {
    error_code code{error_code::internal};
    step at{step::dispatch};
    run_state run{run_state::outcome_unknown};
    bool idempotent{false};
    bool resumable{false};        ///< an engine holds the generation and is not known to be down
    bool unsent{false};           ///< no replica has received the request in any attempt
    bool tokens_sent{false};      ///< the caller has received part of the response
    bool resume_failed{false};    ///< an earlier resume of this generation failed
    bool repeatable_answer{true}; ///< a restart can skip by index the tokens already sent
    std::uint32_t retries{0};     ///< retries already made for the request
    time_point deadline{};
    duration expected_time{}; ///< expected duration of another attempt
};

struct retry_decision {
    retry_action action{retry_action::stop};
    duration wait{};
    retry_refusal refusal{retry_refusal::none};
};

/// Retry budget of one pool: a share of its requests, with a minimum rate per second.
class retry_budget {
public:
    retry_budget(const retry_settings& settings, time_point now);

    void count_request(time_point now);
    [[nodiscard]] bool available(time_point now) const;
    void spend(time_point now);
    /// Sets the number of retries permitted in excess of the share of requests.
    void set_capacity(double capacity) { capacity_ = capacity; }

private:
    /// Requests and retries within one slot of the sliding window.
    struct window_slot {
        std::int64_t number{-1};
        std::uint32_t requests{0};
        std::uint32_t retries{0};
    };
    static constexpr std::size_t slots_per_window = 40;

    [[nodiscard]] double saved_retries(time_point now) const;
    [[nodiscard]] double remaining_in_window(time_point now) const;
    [[nodiscard]] std::int64_t window_slot_number(time_point now) const;
    window_slot& window_slot_at(time_point now);

    duration window_;
    std::array<window_slot, slots_per_window> window_slots_{};
    double share_;
    double capacity_;
    double saved_retries_{0};
    time_point updated_at_;
    duration time_constant_;
    token_bucket minimum_rate_;
};

/// Stateless retry decisions.
class retry_policy {
public:
    explicit retry_policy(retry_settings settings);

    [[nodiscard]] retry_decision decide(const failed_attempt& failure, const retry_budget& budget,
                                        time_point now, std::mt19937_64& generator) const;
    [[nodiscard]] const retry_settings& settings() const { return settings_; }

private:
    [[nodiscard]] retry_refusal refuse(const failed_attempt& failure) const;
    [[nodiscard]] duration backoff_delay(std::uint32_t retries, std::mt19937_64& generator) const;

    retry_settings settings_;
};

} // namespace wagtailhitch
