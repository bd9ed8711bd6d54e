#pragma once

#include "base/clock.hpp"

#include <cstdint>

// Limits the bytes sent over the paid link between regions.
//
//   link_budget budget{{.bytes_per_second = 30e6 / 8 / 7}, now};
//   if (budget.fits(bytes, now)) { budget.spend(bytes, now); }

namespace wagtailhitch {

struct link_settings {
    /// This VM's share of the link's bandwidth. 0 disables the link.
    double bytes_per_second{0};
    /// Capacity of the bucket, in seconds of the rate.
    double burst_seconds{2};
};

/// Token bucket that counts bytes. Not thread-safe; used by a single thread.
class link_budget {
public:
    link_budget(link_settings settings, time_point now);

    /// Returns whether `bytes` may be sent now.
    [[nodiscard]] bool fits(double bytes, time_point now) const;
    /// Returns the bytes that may be sent now; negative after a response was larger than estimated.
    [[nodiscard]] double available(time_point now) const;
    /// Changes the rate from now on.
    void set_rate(double bytes_per_second, time_point now);
    /// Subtracts `bytes`, even if more than available: bytes already on the wire always count.
    void spend(double bytes, time_point now);
    /// Returns the total of bytes spent.
    [[nodiscard]] double spent() const { return spent_; }

private:
    link_settings settings_;
    double level_{0};
    double spent_{0};
    time_point updated_;
};

} // namespace wagtailhitch
