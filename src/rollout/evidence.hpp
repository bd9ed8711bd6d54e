#pragma once

#include "base/ids.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Collects evidence for or against a version that is rolling out, summed over all VMs.
//
//   evidence_pool pool;
//   pool.set(peer, version, counts);                   // cumulative counts of one process
//   auto verdict = evaluate_evidence(pool.total(version), pool.total(baseline), quality, settings);
//   if (verdict.halt) { append(halt record with verdict.reason); }

namespace wagtailhitch {

/// Cumulative counts of one version. Ratings arrive late or never, so they are counted separately
/// from the answers.
struct version_counts {
    std::uint64_t answers{0}; ///< complete answers and failures
    std::uint64_t errors{0};  ///< answers that failed at the engine
    std::uint64_t slow{0};    ///< answers whose first token was later than the route's target
    std::uint64_t ratings{0};
    double insufficient{0};   ///< sum of (1 - score) over the ratings
    std::uint64_t dragged{0}; ///< streams with longer intervals between events than usual
    std::uint64_t paced{0}; ///< streams at lightly loaded replicas, compared with the fastest ones
    std::uint64_t sluggish{0}; ///< of those, streams that did not come close to them

    version_counts& operator+=(const version_counts& other);
    friend bool operator==(const version_counts&, const version_counts&) = default;
};

/// Counts of one process, as exchanged between VMs.
struct evidence_entry {
    process_id from;
    version_id version;
    version_counts counts;

    friend bool operator==(const evidence_entry&, const evidence_entry&) = default;
};

/// Keeps the latest counts of each process. The counts of a process only grow, so late reports
/// cannot overwrite newer ones.
class evidence_pool {
public:
    void set(const process_id& from, const version_id& version, const version_counts& counts);
    [[nodiscard]] version_counts total(const version_id& version) const;
    /// All versions that have counts.
    [[nodiscard]] std::vector<version_id> versions() const;
    /// All counts, to be sent to other VMs.
    [[nodiscard]] std::vector<evidence_entry> entries() const;

private:
    std::map<version_id, std::map<process_id, version_counts>> counts_;
};

struct evidence_settings {
    /// Maximum probability that a version no worse than the baseline is ever halted, over all
    /// signals and regardless of how often the evidence is evaluated.
    double false_alarm_rate{0.01};
    /// A rate counts as worse only when it exceeds the baseline's rate by both this factor and this
    /// difference; smaller differences do not justify a halt.
    double min_worse_ratio{1.5};
    double min_worse_difference{0.05};
    /// The same difference for slow answers. Set higher where a roll-out moves all traffic at once
    /// to replicas with empty caches.
    double min_slow_difference{0.05};
    /// The same difference for dragged streams. It lies between the share of a baseline under load
    /// and the smallest share of a version that is slow for some of its requests.
    double min_dragged_difference{0.08};
    /// Weight of the expected rates, as a number of answers or ratings added to the baseline.
    double prior_ratings{50};
    /// Expected rates of errors, slow answers and dragged streams before any are measured.
    double prior_errors{0.01};
    double prior_slow{0.05};
    double prior_dragged{0.1};
    double prior_sluggish{0.5};
    /// Established replicas in trouble do not excuse a version whose own replicas have little load.
    double max_assumed_sluggish{0.6};
    /// The version is in doubt when the evidence is this many times as likely for a worse version
    /// as for one like the baseline.
    double doubt_ratio{3};
};

struct evidence_verdict {
    bool halt{false};
    bool in_doubt{false}; ///< too early to halt, but not to be trusted with more traffic
    std::string reason;   ///< full sentence with the counts, for operators
};

/// Runs a sequential probability ratio test of each signal against the baseline's rate. An upper
/// confidence bound is used for that rate, so that a small baseline causes no false alarms.
evidence_verdict evaluate_evidence(const version_counts& fresh, const version_counts& baseline,
                                   double declared_quality, const evidence_settings& settings);

/// Returns whether the share of rated answers is too small, compared with the baseline, to rely on
/// the ratings: the answers without a rating may be the bad ones.
bool ratings_missing(const version_counts& fresh, const version_counts& baseline);

} // namespace wagtailhitch
