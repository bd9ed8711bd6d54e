#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <vector>

// Ejects replicas that fail (design 3.13).
//
//   if (detector.record(replica, false, {.size = 9, .ejected = 1}, now)) { ++ejections; }
//   switch (detector.state(replica, now)) { case outlier_state::trial: ... }

namespace wagtailhitch {

/// Position of a replica in its pool; reused after the replica is removed.
using replica_index = std::uint32_t;

struct outlier_settings {
    std::uint32_t consecutive_failures{5};
    double error_rate{0.5};
    double minimum_requests{5}; ///< below this the error rate is not judged
    duration window{10s};       ///< half-life of the counts behind the error rate
    /// Part of a pool; of a pool of two or three replicas, one may be ejected.
    double maximum_ejected{0.3};
    duration base_ejection{10s};
    duration longest_ejection{300s};
    std::uint32_t trial_successes{2}; ///< needed to return to service
    /// A trial that has not reported by then no longer blocks the next one.
    duration trial_timeout{30s};
};

/// `trial`: the ejection is over and one request at a time may test the replica.
enum class outlier_state { in_service, ejected, trial };

/// Size of the smallest pool that a replica belongs to, and how many of it are out of service.
struct ejection_room {
    std::uint32_t size{0};
    std::uint32_t ejected{0};
};

/// Counts one VM has seen of a replica since it last shared them; for merging within the domain.
struct outcome_counts {
    std::uint32_t successes{0};
    std::uint32_t failures{0};
};

/// Error statistics and ejections of the replicas of one domain. Failures are attempts that failed
/// at the upstream; requests cancelled by the caller are not recorded.
class outlier_detector {
public:
    explicit outlier_detector(outlier_settings settings);

    /// Records an attempt's outcome. True when the replica is ejected by it.
    bool record(replica_index replica, bool succeeded, ejection_room room, time_point now);
    /// Adds counts of another VM of the domain. True when the replica is ejected by them.
    bool merge(replica_index replica, outcome_counts counts, ejection_room room, time_point now);
    /// Marks the one trial request that may be under way.
    void begin_trial(replica_index replica, time_point now);
    /// Records the outcome of a trial request. True when the replica is ejected again by it.
    bool record_trial(replica_index replica, bool succeeded, time_point now);
    /// Ends a trial whose request was cancelled.
    void abandon_trial(replica_index replica);
    /// Forgets a replica that was removed or restarted.
    void reset(replica_index replica);
    /// Takes the counts recorded here since the last call.
    outcome_counts take_counts(replica_index replica);

    [[nodiscard]] outlier_state state(replica_index replica, time_point now) const;
    /// False while ejected, or while a trial request is under way.
    [[nodiscard]] bool admits(replica_index replica, time_point now) const;
    /// Replicas that were ejected and have not returned to service.
    [[nodiscard]] bool out_of_service(replica_index replica) const;
    [[nodiscard]] double error_rate(replica_index replica, time_point now) const;

private:
    struct history {
        double successes{0};
        double failures{0};
        time_point decayed_at;
        std::uint32_t consecutive{0};
        std::uint32_t ejections{0};
        std::uint32_t trials_passed{0};
        bool ejected{false};
        time_point ejected_until;
        time_point returned_at;
        time_point trial_started; ///< default when no trial is under way
        outcome_counts unshared;
    };

    history& at(replica_index replica);
    void decay(history& entry, time_point now) const;
    bool judge(history& entry, ejection_room room, time_point now);
    void eject(history& entry, time_point now) const;

    outlier_settings settings_;
    std::vector<history> histories_;
};

} // namespace wagtailhitch
