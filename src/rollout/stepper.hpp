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
//   auto record = stepper.decide(facts, now);
//   if (record) { append(rollout_stream, encode_rollout_record(*record)); }
//
// Every VM runs it: any of them may halt, only the holder of the lease `rollout` advances.

namespace wagtailhitch {

/// What is known about one version that is rolling out.
struct rollout_facts {
    version_id version;
    version_spec spec;
    rollout_progress progress; ///< from rollout_fold; default when the version has none
    version_counts fresh;
    version_counts baseline;
    double declared_quality{0};
    bool capacity_ready{false};        ///< enough replicas hold the version for the next stage
    std::optional<log_offset> fencing; ///< set while this VM has authority over roll-outs
};

class rollout_stepper {
public:
    explicit rollout_stepper(vm_id self, evidence_settings settings = {},
                             duration repeat_after = std::chrono::seconds{5});

    /// The record to append, if any. It is repeated while the fold does not show it.
    std::optional<rollout_record> decide(const rollout_facts& facts, time_point now);
    /// Why the version does not advance; a full sentence.
    [[nodiscard]] std::string waiting_for(const rollout_facts& facts, time_point now) const;

private:
    struct stage_entry {
        std::uint32_t step{0};
        time_point entered_at;
        std::uint64_t ratings{0}; ///< of the version when the stage was entered
        std::optional<time_point> sent_at;
    };

    stage_entry& entry_of(const rollout_facts& facts, time_point now);

    vm_id self_;
    evidence_settings settings_;
    duration repeat_after_;
    std::map<version_id, stage_entry> entries_;
};

/// One kind of request, for the order in which kinds are exposed.
struct exposure_class {
    std::string name;
    double traffic{0};       ///< share of all requests, 0 to 1
    duration rating_delay{}; ///< until half of its ratings have arrived
    double error_cost{0};    ///< cost of one bad answer, in money units
};

/// Share of each class, in basis points, when `share` of all requests is exposed. Classes whose
/// ratings arrive early and whose errors cost little are exposed before others.
std::map<std::string, std::uint32_t> class_shares(std::vector<exposure_class> classes,
                                                  std::uint32_t share);

/// A replica that can hold the version.
struct load_candidate {
    upstream_id upstream;
    failure_domain_id failure_domain;
    bool holds{false};
    bool loading{false};
    std::uint32_t running{0};
};

/// Whether the replicas that hold the version cover `share` in every domain.
bool covers(const std::vector<load_candidate>& candidates, std::uint32_t share);

/// Orders loads one by one, as the weight store serves few fetches at a time.
class load_planner {
public:
    explicit load_planner(duration interval = std::chrono::seconds{2}, std::size_t open = 2);

    /// The next replica to load: in the domain that lacks most, the one with the least work.
    /// Nothing is unloaded, so that the old version keeps its capacity.
    std::optional<upstream_id> next(const std::vector<load_candidate>& candidates,
                                    std::uint32_t share, time_point now);

private:
    duration interval_;
    std::size_t open_;
    std::optional<time_point> ordered_at_;
};

} // namespace wagtailhitch
