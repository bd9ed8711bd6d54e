#pragma once

#include "base/clock.hpp"

#include <algorithm>

// Token bucket: limits a rate and permits bounded bursts.
//
//   token_bucket bucket{10.0, 20.0, now};   // 10 per second, at most 20 at once
//   if (bucket.level(now) >= 1) { bucket.take(1, now); }

namespace wagtailhitch {

/// Refills at a rate in units per second up to a capacity. take() may make the level negative,
/// which delays later work until the deficit is refilled.
class token_bucket {
public:
    token_bucket() = default;
    token_bucket(double rate, double capacity, time_point now)
        : rate_{rate}, capacity_{capacity}, level_{capacity}, updated_{now}
    {
    }

    [[nodiscard]] double level(time_point now) const
    {
        const double passed = std::chrono::duration<double>(now - updated_).count();
        return std::min(capacity_, level_ + rate_ * std::max(0.0, passed));
    }
    /// Time until `amount`, or the capacity if that is lower, is available. At most `max_wait`,
    /// which is also returned when the rate is 0.
    [[nodiscard]] duration wait_for(double amount, time_point now) const
    {
        const double missing = std::min(amount, capacity_) - level(now);
        if (missing <= 0) {
            return duration{0};
        }
        if (rate_ <= 0) {
            return max_wait;
        }
        return std::min(max_wait,
                        std::chrono::duration_cast<duration>(
                            std::chrono::duration<double>(std::min(missing / rate_, 1e6))));
    }
    void take(double amount, time_point now)
    {
        level_ = level(now) - amount;
        updated_ = std::max(updated_, now);
    }
    /// Changes rate and capacity. Lowering the capacity discards the excess; raising it does not
    /// add to the level immediately.
    void set_rate(double rate, double capacity, time_point now)
    {
        level_ = std::min(level(now), capacity);
        updated_ = std::max(updated_, now);
        rate_ = rate;
        capacity_ = capacity;
    }
    [[nodiscard]] double rate() const { return rate_; }

    static constexpr duration max_wait = std::chrono::hours{24};

private:
    double rate_{0};
    double capacity_{0};
    double level_{0};
    time_point updated_;
};

} // namespace wagtailhitch
