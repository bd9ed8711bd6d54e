#pragma once

#include "base/clock.hpp"

#include <array>
#include <cstdint>
#include <optional>

// Request hedging: starts a second attempt when the first one is slow (design 3.12).
//
//   policy.count_request();
//   if (auto at = policy.hedge_time(context, sent_at)) { set_timer(*at); }
//   // When the timer fires and no token has arrived:
//   if (policy.try_consume()) { start_second_attempt(); }
//   policy.record_first_token(elapsed);

namespace wagtailhitch {

struct hedge_settings {
    double quantile{0.95};
    double budget_share{0.05};     ///< hedges per request
    double budget_capacity{5};     ///< maximum number of saved hedges
    std::uint32_t min_samples{50}; ///< no request is hedged below this
    duration min_delay{5ms};
};

struct hedge_context {
    bool idempotent{false};
    bool stream_started{false}; ///< the caller has received part of the response
    bool already_hedged{false};
    time_point deadline{};
};

/// Hedging state of one pool: the histogram of first-token latencies and the hedge budget.
class hedge_policy {
public:
    explicit hedge_policy(hedge_settings settings);

    void count_request();
    void record_first_token(duration elapsed);
    /// Records an attempt that ended after `elapsed` without a first token. It counts as one of the
    /// known attempts that took longer, or as twice as long if none is known.
    void record_unanswered(duration elapsed);
    /// Time at which to start a second attempt if no token has arrived; empty when hedging is
    /// not permitted.
    [[nodiscard]] std::optional<time_point> hedge_time(const hedge_context& context,
                                                       time_point sent_at) const;
    /// Takes one hedge from the budget. Returns false when the budget is exhausted.
    bool try_consume();
    [[nodiscard]] bool budget_left() const { return credit_ >= 1; }
    /// Mean time until the first token of those attempts that took longer than `elapsed`. If none
    /// is known to have taken that long, `elapsed` again, as slow attempts have no usual length.
    [[nodiscard]] duration expected_remaining(duration elapsed) const;
    /// Upper bound of the pool's first-token latency at the configured quantile; empty below
    /// `min_samples`.
    [[nodiscard]] std::optional<duration> latency_quantile() const;

private:
    // Logarithmic histogram bins: 8 per doubling, from 1 ms to about 65 s.
    static constexpr std::size_t bin_count = 128;
    static std::size_t bin_index(duration elapsed);
    /// Counts a sample, and halves the weights if they have grown too large.
    void count_sample();
    [[nodiscard]] double weight_beyond(duration elapsed) const;
    static duration upper_edge(std::size_t bin);
    static duration middle(std::size_t bin);

    hedge_settings settings_;
    std::array<double, bin_count> bins_{};
    double total_{0};
    double credit_{0};
};

} // namespace wagtailhitch
