#pragma once

#include "base/ids.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Evidence for or against a version that is rolling out, pooled over VMs.
//
//   evidence_pool pool;
//   pool.set(peer, version, counts);                   // cumulative counts of one process
//   auto judged = judge_evidence(pool.total(version), pool.total(baseline), quality, settings);
//   if (judged.halt) { append(halt record with judged.reason); }

namespace wagtailhitch {

/// Cumulative counts of one version. Ratings arrive late or never, so they are counted apart from
/// the answers.
struct version_counts {
    std::uint64_t answers{0}; ///< complete answers and failures
    std::uint64_t errors{0};  ///< answers that failed at the engine
    std::uint64_t slow{0};    ///< answers whose first token was later than the route's target
    std::uint64_t ratings{0};
    double insufficient{0};   ///< sum of (1 - score) over the ratings
    std::uint64_t dragged{0}; ///< streams whose pauses between events were longer than usual

    version_counts& operator+=(const version_counts& other);
    friend bool operator==(const version_counts&, const version_counts&) = default;
};

/// Counts of one process, as VMs share them.
struct evidence_entry {
    process_id from;
    version_id version;
    version_counts counts;

    friend bool operator==(const evidence_entry&, const evidence_entry&) = default;
};

/// The latest counts of each process; counts of a process only grow, so late reports are harmless.
class evidence_pool {
public:
    void set(const process_id& from, const version_id& version, const version_counts& counts);
    [[nodiscard]] version_counts total(const version_id& version) const;
    /// Every version with counts.
    [[nodiscard]] std::vector<version_id> versions() const;
    /// Everything known, for passing on.
    [[nodiscard]] std::vector<evidence_entry> entries() const;

private:
    std::map<version_id, std::map<process_id, version_counts>> counts_;
};

struct evidence_settings {
    /// Probability that a version no worse than the baseline is ever halted, over all signals and
    /// however often the evidence is looked at.
    double false_alarm_rate{0.01};
    /// A rate counts as worse when it exceeds the baseline's by this factor and this difference;
    /// smaller differences are not worth a halt.
    double worse_factor{1.5};
    double worse_by{0.05};
    /// The same difference for slow answers. Larger where a roll-out moves all traffic at once to
    /// replicas whose caches are empty.
    double slow_worse_by{0.05};
    /// The same difference for dragged streams. Between the share that a loaded baseline has and
    /// the least share of a version that is slow for a part of its requests.
    double dragged_worse_by{0.08};
    /// Weight of the declared quality against the baseline's measured ratings.
    double prior_ratings{50};
    /// Expected rates of errors and slow answers before anything is measured.
    double prior_errors{0.01};
    double prior_slow{0.05};
    double prior_dragged{0.1};
};

struct evidence_verdict {
    bool halt{false};
    std::string reason; ///< a full sentence with the counts, for operators
};

/// Sequential probability ratio test of each signal against the baseline's rate. The rate assumed
/// for the baseline is an upper confidence bound, so that few baseline counts cause no false alarm.
evidence_verdict judge_evidence(const version_counts& fresh, const version_counts& baseline,
                                double declared_quality, const evidence_settings& settings);

/// Whether too few answers are rated, compared with the baseline, to rely on the ratings: answers
/// that are not rated may be the bad ones.
bool ratings_missing(const version_counts& fresh, const version_counts& baseline);

} // namespace wagtailhitch
