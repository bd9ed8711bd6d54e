#pragma once

#include <chrono>
#include <ctime>
#include <functional>

// Clock sources for modules that make time-dependent decisions.
//
//   manual_clock clock;
//   table.expire(clock.now());
//   clock.advance(std::chrono::seconds{7});
//
// Production code passes steady_clock_source(); tests pass a manual_clock, so that no test waits.

namespace wagtailhitch {

using namespace std::chrono_literals;

using duration = std::chrono::nanoseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;
using clock_source = std::function<time_point()>;

/// A clock that changes only when it is advanced.
class manual_clock {
public:
    [[nodiscard]] time_point now() const { return now_; }
    void advance(duration by) { now_ += by; }
    [[nodiscard]] clock_source source() const
    {
        return [this] { return now_; };
    }

private:
    // Starts away from the epoch so that "never" (a default time_point) is in the past.
    time_point now_{std::chrono::hours{1}};
};

inline clock_source steady_clock_source()
{
    return [] { return time_point{std::chrono::steady_clock::now()}; };
}

/// Includes the time during which a VM is suspended, unlike steady_clock_source(). Used for leases,
/// freshness and any other authority that expires.
inline clock_source boot_clock_source()
{
    return [] {
        timespec ts{};
        clock_gettime(CLOCK_BOOTTIME, &ts);
        return time_point{std::chrono::seconds{ts.tv_sec} + std::chrono::nanoseconds{ts.tv_nsec}};
    };
}

/// Whole milliseconds of a duration, rounded down.
inline std::int64_t to_milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace wagtailhitch
