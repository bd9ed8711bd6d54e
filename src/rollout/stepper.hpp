#pragma once

#include "base/clock.hpp"
#include "rollout/evidence.hpp"
#include "rollout/rollout.hpp"

#include <map>
#include <optional>
#include <vector>

// Decides when a roll-out advances or halts.
//
//   rollout_stepper stepper{self};
//   auto record = stepper.decide(inputs, now);
//   if (record) { append(rollout_stream, encode_rollout_record(*record)); }
//
// Runs on every VM. Any VM may halt a roll-out; only the holder of the lease `rollout` may advance
// it.

namespace wagtailhitch {

/// Inputs of a decision about one version that is rolling out.
struct rollout_inputs {
    version_id version;
    version_spec spec;
    rollout_progress progress; ///< from rollout_fold; default if it has no entry
    version_counts fresh;      ///< counts of the version that is rolling out
    version_counts baseline;
    double declared_quality{0};
    bool capacity_ready{false};        ///< enough replicas for the next stage have the version
    std::optional<log_offset> fencing; ///< set while this VM holds the lease `rollout`
};

class rollout_stepper {
public:
    explicit rollout_stepper(vm_id self, evidence_settings settings = {},
                             duration resend_interval = std::chrono::seconds{5});

    /// Returns the record to append, if any. It is returned again after `resend_interval` until
    /// rollout_fold has applied it, because an append can be lost.
    std::optional<rollout_record> decide(const rollout_inputs& inputs, time_point now);
    /// Returns why the version does not advance, as a full sentence; empty when it may advance.
    [[nodiscard]] std::string blocking_reason(const rollout_inputs& inputs, time_point now) const;

private:
    struct stage_entry {
        std::uint32_t step{0};
        time_point entered_at;
        std::uint64_t ratings{0}; ///< number of ratings when the stage was entered
        std::optional<time_point> sent_at;
    };

    stage_entry& stage_entry_for(const rollout_inputs& inputs, time_point now);

    vm_id self_;
    evidence_settings settings_;
    duration resend_interval_;
    std::map<version_id, stage_entry> entries_;
};

/// A class of requests. Classes are exposed to a new version one after another.
struct exposure_class {
    std::string name;
    double traffic{0};       ///< share of all requests, 0 to 1
    duration rating_delay{}; ///< time until half of the ratings have arrived
    double error_cost{0};    ///< cost of one bad answer, in currency units
};

/// Returns the exposed share of each class, in basis points, when `share` of all requests is
/// exposed. Classes with early ratings and low error cost are exposed first.
std::map<std::string, std::uint32_t> exposed_shares_by_class(std::vector<exposure_class> classes,
                                                             std::uint32_t share);

/// A replica that can load the version.
struct load_candidate {
    upstream_id upstream;
    failure_domain_id failure_domain;
    bool holds{false};
    bool loading{false};
    std::uint32_t running{0};
};

/// Returns whether enough replicas have the version loaded to serve `share` in every failure
/// domain.
bool has_coverage(const std::vector<load_candidate>& candidates, std::uint32_t share);

/// Starts loads one at a time, because the weight store can serve only a few fetches at once.
class load_planner {
public:
    explicit load_planner(duration interval = std::chrono::seconds{2}, std::size_t max_loading = 2);

    /// Returns the next replica that should load the version: the one with the fewest running
    /// requests in the failure domain with the lowest coverage. Nothing is unloaded, so the old
    /// version keeps its capacity.
    std::optional<upstream_id> next(const std::vector<load_candidate>& candidates,
                                    std::uint32_t share, time_point now);

private:
    duration interval_;
    std::size_t max_loading_;
    std::optional<time_point> last_load_at_;
};

} // namespace wagtailhitch
