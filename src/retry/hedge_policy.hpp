#pragma once

#include "base/clock.hpp"

#include <array>
#include <cstdint>
#include <optional>

// A second attempt for a request whose first one is late (design 3.12).
//
//   policy.count_request();
//   if (auto at = policy.hedge_at(facts, sent_at)) { set_timer(*at); }
//   // at the timer, if nothing has arrived:
//   if (policy.take()) { start_second_attempt(); }
//   policy.record_first_token(elapsed);

namespace wagtailhitch {

struct hedge_settings {
    double quantile{0.95};
    double budget_share{0.05};         ///< hedges per request
    double budget_capacity{5};         ///< hedges that may be saved up
    std::uint32_t minimum_samples{50}; ///< below this no request is hedged
    duration shortest_wait{5ms};
};

struct hedge_facts {
    bool idempotent{false};
    bool stream_started{false}; ///< the caller has received part of the answer
    bool already_hedged{false};
    time_point deadline{};
};

/// Hedging of one pool: its first-token quantile and budget.
class hedge_policy {
public:
    explicit hedge_policy(hedge_settings settings);

    void count_request();
    void record_first_token(duration elapsed);
    /// When a second attempt is due if nothing has arrived; empty when none is permitted.
    [[nodiscard]] std::optional<time_point> hedge_at(const hedge_facts& facts,
                                                     time_point sent_at) const;
    /// Takes one hedge from the budget. False when it is used up.
    bool take();
    /// Upper bound of the pool's quantile; empty below the minimum of samples.
    [[nodiscard]] std::optional<duration> late_after() const;

private:
    // Logarithmic bins from 1 ms, 8 per doubling, up to about 65 s.
    static constexpr std::size_t bin_count = 128;
    static std::size_t bin_of(duration elapsed);
    static duration upper_edge(std::size_t bin);

    hedge_settings settings_;
    std::array<double, bin_count> bins_{};
    double total_{0};
    double credit_{0};
};

} // namespace wagtailhitch
