#pragma once

#include "base/clock.hpp"
#include "base/ids.hpp"
#include "base/names.hpp"
#include "rollout/evidence.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

// One roll-out of a service's software, as ordered by an operator. Decides which share of the
// traffic the new version gets and when the roll-out ends.
//
//   service_rollout rollout{{"engine", "v2", 24s}, now, {}};
//   bool use_new = rollout.uses_new_version(session_hash, connected, now);
//   rollout.evaluate(candidate_counts, baseline_counts);    // may halt the roll-out
//   rollout_state state = rollout.due(candidate_answers, old_in_flight, now);
//   if (rollout.published() != state) { publish(state); }
//
// Every VM follows the same schedule, which starts with the order, so the VMs need not agree on the
// share. A halt by any VM is final.

namespace wagtailhitch {

struct rollout_order {
    std::string service;
    std::string target; ///< software version to roll out
    duration period{};  ///< time from the order within which the roll-out must end
    revision number{0}; ///< identifies the order and increases with each one; 0: not known
    log_epoch epoch{};  ///< of the store, in which this VM has read the number

    friend bool operator==(const rollout_order&, const rollout_order&) = default;
};

/// Whether both are the same order. Orders whose number is not known are compared by the rest.
bool is_same_order(const rollout_order& a, const rollout_order& b);

enum class rollout_state { running, complete, rolled_back };

template<>
inline constexpr auto enum_names<rollout_state> = name_table<rollout_state, 3>{{
    {rollout_state::running, "running"},
    {rollout_state::complete, "complete"},
    {rollout_state::rolled_back, "rolled_back"},
}};

/// How a roll-out that may have been followed by others has ended. `running`: not known.
struct rollout_outcome {
    std::string service;
    std::string software; ///< the order's target
    revision order{0};    ///< number of the order; 0: not known
    rollout_state state{rollout_state::running};

    friend bool operator==(const rollout_outcome&, const rollout_outcome&) = default;
};

struct service_rollout_settings {
    /// Share of the traffic that the new version gets during the trial. The trial and the phase
    /// with all traffic together stay below the bound on the traffic of a bad version.
    double trial_share{0.08};
    double shift_at{0.68};           ///< fraction of the period after which all traffic moves
    double complete_at{0.78};        ///< fraction after which the old version stops once it is idle
    double forced_complete_at{0.88}; ///< fraction after which it stops even with requests in flight
    std::uint64_t minimum_answers{20}; ///< answers during the trial before all traffic moves
    /// `min_slow_difference` is high because the first tokens of a good version are late while the
    /// caches of its replicas fill. The event intervals of streams reveal a slow version sooner.
    evidence_settings evidence{.min_slow_difference = 0.3};
};

class service_rollout {
public:
    service_rollout(rollout_order order, time_point started_at, service_rollout_settings settings);

    [[nodiscard]] const rollout_order& order() const { return order_; }
    [[nodiscard]] rollout_state state() const { return state_; }
    [[nodiscard]] const std::string& reason() const { return reason_; }
    [[nodiscard]] duration age(time_point now) const { return now - started_at_; }

    /// Sets the number of the order, if it was not known or the same order was written again.
    void note_order_number(revision number, log_epoch epoch);
    /// The store may have lost the state that was written to it.
    void forget_published() { published_.reset(); }
    /// Applies the age of the order as seen by another VM, which may have received it earlier.
    void note_age(duration age, time_point now);
    /// Applies the state that the store holds. Once a final state is known, it does not change.
    void note_published(rollout_state state);
    /// Applies the decision of another VM. A halt overrides a local decision that is not published.
    void note_decided(rollout_state state, const std::string& reason);

    /// Whether a request goes to the new version. `session_hash`: hash of its session. `connected`:
    /// this VM receives messages from the store or a peer, and so would learn of a halt. The new
    /// version gets no requests until the store's state of the roll-out is known.
    [[nodiscard]] bool uses_new_version(std::uint64_t session_hash, bool connected,
                                        time_point now) const;
    /// Whether the trial sends requests with this session hash to the new version.
    [[nodiscard]] static bool in_trial_share(std::uint64_t session_hash,
                                             const service_rollout_settings& settings);
    /// Whether the trial has passed and the running roll-out sends all traffic to the new version.
    [[nodiscard]] bool all_traffic_shifted(time_point now) const;

    /// Halts the roll-out when the evidence shows that the new version is bad. `candidate` and
    /// `baseline` are counts of one group of requests, summed over all VMs. Does nothing without
    /// answers of the candidate or once the roll-out has ended.
    evidence_verdict evaluate(const version_counts& candidate, const version_counts& baseline);
    /// A version in doubt gets no more than the trial share. If the doubt lasts until the end of
    /// the roll-out is forced, it is rolled back.
    void set_in_doubt(bool in_doubt) { in_doubt_ = in_doubt; }
    /// Advances the roll-out if it is due, and returns the state to be published.
    [[nodiscard]] rollout_state due(std::uint64_t candidate_answers, std::uint32_t old_in_flight,
                                    time_point now);
    /// The last known state of the roll-out in the store.
    [[nodiscard]] const std::optional<rollout_state>& published() const { return published_; }
    [[nodiscard]] bool ended() const { return published_ && *published_ != rollout_state::running; }

private:
    rollout_order order_;
    time_point started_at_;
    service_rollout_settings settings_;
    rollout_state state_{rollout_state::running};
    std::optional<rollout_state> published_;
    bool trial_passed_{false};
    bool in_doubt_{false};
    bool shifted_{false}; ///< all traffic has moved to the new version
    std::string reason_;
};

} // namespace wagtailhitch
