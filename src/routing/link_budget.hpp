#pragma once

#include "base/clock.hpp"

#include <cstdint>

// Budget for bytes sent over the paid link between regions.
//
//   link_budget budget{{.bytes_per_second = 30e6 / 8 / 7}, now};
//   if (budget.fits(bytes, now)) { budget.spend(bytes, now); }

namespace wagtailhitch {

struct link_settings {
    /// This VM's part of the link. 0 closes the link.
    double bytes_per_second{0};
    /// Bytes that may be sent at once, in seconds of the rate.
    double burst_seconds{2};
};

/// Token bucket over bytes. A single thread owns it.
class link_budget {
public:
    link_budget(link_settings settings, time_point now);

    /// Whether `bytes` may be sent now.
    [[nodiscard]] bool fits(double bytes, time_point now) const;
    /// Bytes that may be sent now; negative after an answer was larger than estimated.
    [[nodiscard]] double available(time_point now) const;
    /// Takes `bytes`, also beyond what is available: bytes on the wire are counted in any case.
    void spend(double bytes, time_point now);
    /// Bytes taken in all.
    [[nodiscard]] double spent() const { return spent_; }

private:
    link_settings settings_;
    double level_{0};
    double spent_{0};
    time_point updated_;
};

} // namespace wagtailhitch
