#pragma once

#include "base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

// When refused callers were asked to come back.
//
//   return_schedule returns{{}};
//   returns.ask(caller, now, now + 400ms);
//   switch (returns.state(caller, now)) ...       // of the next request of the caller
//   returns.forget(caller);                       // it was admitted

namespace wagtailhitch {

enum class return_state { none, early, on_time };

struct return_settings {
    /// Callers return this much before the time they were given because it is rounded.
    duration tolerance{20ms};
    /// A caller that returns later than this after its time counts as a new one.
    duration window{5s};
    std::size_t entries{4096}; ///< the oldest is forgotten beyond this
};

class return_schedule {
public:
    explicit return_schedule(return_settings settings) : settings_{settings} {}

    /// `caller` 0 stands for a caller that cannot be recognized. A caller that was asked before,
    /// and came back on time, gets the new time; one that came early keeps the one it has.
    void ask(std::uint64_t caller, time_point now, time_point due);
    [[nodiscard]] return_state state(std::uint64_t caller, time_point now) const;
    /// Time that a caller which returned early has left; 0 for others.
    [[nodiscard]] duration until_due(std::uint64_t caller, time_point now) const;
    void forget(std::uint64_t caller);

private:
    void drop_expired(time_point now);

    return_settings settings_;
    std::unordered_map<std::uint64_t, time_point> due_;
    std::deque<std::pair<time_point, std::uint64_t>> asked_; ///< oldest first
};

} // namespace wagtailhitch
