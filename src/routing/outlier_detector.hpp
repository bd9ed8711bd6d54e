#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <vector>

// Ejects failing replicas (design 3.13).
//
//   if (detector.record(replica, false, {.size = 9, .ejected = 1}, now)) { ++ejections; }
//   switch (detector.state(replica, now)) { case outlier_state::trial: ... }

namespace wagtailhitch {

/// Index of a replica in its pool; reused after the replica is removed.
using replica_index = std::uint32_t;

struct outlier_settings {
    std::uint32_t consecutive_failures{5};
    double error_rate{0.5};
    double minimum_requests{5}; ///< below this the error rate is ignored
    duration window{10s};       ///< half-life of the counts behind the error rate
    /// Fraction of a pool that may be ejected; one replica in a pool of two or three.
    double maximum_ejected{0.3};
    duration base_ejection{10s};
    duration longest_ejection{300s};
    std::uint32_t trial_successes{2}; ///< successful trials needed to return to service
    /// A trial without an outcome after this time no longer blocks the next one.
    duration trial_timeout{30s};
};

/// `trial`: the ejection time has elapsed; one request at a time is sent to test the replica.
enum class outlier_state { in_service, ejected, trial };

/// Size of the smallest pool that a replica belongs to, and how many of its replicas are out of
/// service.
struct pool_ejections {
    std::uint32_t size{0};
    std::uint32_t ejected{0};
};

/// Outcomes of attempts at a replica that one VM has recorded since it last sent them to the other
/// VMs of its failure domain.
struct outcome_counts {
    std::uint32_t successes{0};
    std::uint32_t failures{0};
};

/// Tracks error statistics and ejections of replicas, as seen by the VMs of one failure domain.
/// Failures are attempts that failed at the upstream; requests cancelled by the caller are not
/// recorded.
class outlier_detector {
public:
    explicit outlier_detector(outlier_settings settings);

    /// Records the outcome of an attempt. Returns true if it ejects the replica.
    bool record(replica_index replica, bool succeeded, pool_ejections pool_counts, time_point now);
    /// Adds counts from another VM of the failure domain. Returns true if they eject the replica.
    bool merge(replica_index replica, outcome_counts counts, pool_ejections pool_counts,
               time_point now);
    /// Marks a trial request as in progress; only one is allowed at a time.
    void begin_trial(replica_index replica, time_point now);
    /// Records the outcome of a trial request. Returns true if it ejects the replica again.
    bool record_trial(replica_index replica, bool succeeded, time_point now);
    /// Ends a trial whose request was cancelled.
    void abandon_trial(replica_index replica);
    /// Clears the history of a replica that was removed or restarted.
    void reset(replica_index replica);
    /// Returns the counts that this VM recorded since the last call, and resets them.
    outcome_counts take_counts(replica_index replica);

    [[nodiscard]] outlier_state state(replica_index replica, time_point now) const;
    /// Returns false while the replica is ejected or a trial request is in progress.
    [[nodiscard]] bool admits(replica_index replica, time_point now) const;
    /// Returns whether the replica was ejected and has not returned to service; true during trials.
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
        time_point trial_started; ///< default value when no trial is in progress
        outcome_counts unshared;
    };

    history& at(replica_index replica);
    void decay(history& entry, time_point now) const;
    bool eject_if_failing(history& entry, pool_ejections pool_counts, time_point now);
    void eject(history& entry, time_point now) const;

    outlier_settings settings_;
    std::vector<history> histories_;
};

} // namespace wagtailhitch
