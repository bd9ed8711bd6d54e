#pragma once

#include "base/clock.hpp"
#include "base/ids.hpp"
#include "base/names.hpp"
#include "rollout/evidence.hpp"

#include <cstdint>
#include <optional>
#include <string>

// One ordered roll-out of a service's software: which part of the traffic the new version gets, and
// when the roll-out ends.
//
//   service_rollout rollout{{"engine", "v2", 24s}, now, {}};
//   bool fresh = rollout.takes(session_point, in_touch, now);
//   rollout.judge(pool, now);                       // may halt
//   if (auto verdict = rollout.verdict(old_in_flight, now)) { publish(*verdict); }
//
// Every VM runs the same schedule from the order on, so the share needs no agreement; a halt by any
// VM is final.

namespace wagtailhitch {

struct rollout_order {
    std::string service;
    std::string target; ///< software version that takes over
    duration period{};  ///< from the order until the roll-out must have ended

    friend bool operator==(const rollout_order&, const rollout_order&) = default;
};

enum class rollout_state { running, complete, rolled_back };

template<>
inline constexpr auto enum_names<rollout_state> = name_table<rollout_state, 3>{{
    {rollout_state::running, "running"},
    {rollout_state::complete, "complete"},
    {rollout_state::rolled_back, "rolled_back"},
}};

struct service_rollout_settings {
    /// Part of the traffic while the version is on trial. Trial and shift together stay below the
    /// bound on what a bad version may get.
    double trial_share{0.08};
    double shift_at{0.68};    ///< part of the period after which all traffic moves
    double complete_at{0.78}; ///< part of the period after which the old version may stop
    double latest_at{0.88};   ///< part of the period after which it stops with work in flight
    std::uint64_t minimum_answers{20}; ///< on trial, before all traffic moves
    /// First tokens of a good version are late while the caches of its replicas fill. Streams tell
    /// a slow version sooner.
    evidence_settings evidence{.slow_worse_by = 0.3};
};

class service_rollout {
public:
    service_rollout(rollout_order order, time_point started_at, service_rollout_settings settings);

    [[nodiscard]] const rollout_order& order() const { return order_; }
    [[nodiscard]] rollout_state state() const { return state_; }
    [[nodiscard]] const std::string& reason() const { return reason_; }
    [[nodiscard]] duration age(time_point now) const { return now - started_at_; }

    /// Another VM saw the order earlier.
    void note_age(duration age, time_point now);
    /// The store holds this state. A final one stands.
    void note_published(rollout_state state);
    /// Another VM decided this; a halt prevails over what was only decided here.
    void note_decided(rollout_state state, const std::string& reason);

    /// Whether the new version takes a request. `point`: hash of its session. `in_touch`: this VM
    /// hears the store or a peer, and so would learn of a halt. The new version gets nothing before
    /// the store's state of the roll-out is known.
    [[nodiscard]] bool takes(std::uint64_t point, bool in_touch, time_point now) const;
    /// Whether the trial exposes requests of this point.
    [[nodiscard]] static bool exposes(std::uint64_t point,
                                      const service_rollout_settings& settings);
    /// Whether all traffic belongs to the new version.
    [[nodiscard]] bool shifted(time_point now) const;

    /// Halts when the evidence says that the version is bad. `fresh` and `baseline` are counts of
    /// one group of requests, pooled over VMs. True when it halts.
    bool judge(const version_counts& fresh, const version_counts& baseline);
    /// The state that is due to be published.
    [[nodiscard]] rollout_state due(std::uint64_t fresh_answers, std::uint32_t old_in_flight,
                                    time_point now);
    /// The state that the store is known to hold.
    [[nodiscard]] const std::optional<rollout_state>& published() const { return published_; }
    [[nodiscard]] bool ended() const { return published_ && *published_ != rollout_state::running; }

private:
    rollout_order order_;
    time_point started_at_;
    service_rollout_settings settings_;
    rollout_state state_{rollout_state::running};
    std::optional<rollout_state> published_;
    bool trial_passed_{false};
    std::string reason_;
};

} // namespace wagtailhitch
