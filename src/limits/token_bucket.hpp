#pragma once

#include "base/clock.hpp"

#include <algorithm>

// A rate with a bounded burst.
//
//   token_bucket bucket{10.0, 20.0, now};   // 10 per second, at most 20 at once
//   if (bucket.level(now) >= 1) { bucket.take(1, now); }

namespace wagtailhitch {

/// Units per second with a capacity. The level may become negative by take(), which delays later
/// work until the debt is repaid.
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
    /// Time until `amount` is there; the longest duration of `never` when the rate is 0.
    [[nodiscard]] duration wait_for(double amount, time_point now) const
    {
        const double missing = std::min(amount, capacity_) - level(now);
        if (missing <= 0) {
            return duration{0};
        }
        if (rate_ <= 0) {
            return never;
        }
        return std::min(never, std::chrono::duration_cast<duration>(
                                   std::chrono::duration<double>(std::min(missing / rate_, 1e6))));
    }
    void take(double amount, time_point now)
    {
        level_ = level(now) - amount;
        updated_ = std::max(updated_, now);
    }
    /// A lower capacity drops what no longer fits; a higher one adds nothing at once.
    void set_rate(double rate, double capacity, time_point now)
    {
        level_ = std::min(level(now), capacity);
        updated_ = std::max(updated_, now);
        rate_ = rate;
        capacity_ = capacity;
    }
    [[nodiscard]] double rate() const { return rate_; }

    static constexpr duration never = std::chrono::hours{24};

private:
    double rate_{0};
    double capacity_{0};
    double level_{0};
    time_point updated_;
};

} // namespace wagtailhitch
