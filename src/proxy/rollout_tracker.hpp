#pragma once

#include "base/clock.hpp"
#include "proxy/peer_report.hpp"
#include "proxy/service_rollout.hpp"
#include "rollout/event_interval_baseline.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Tracks the roll-outs that operators have ordered and the evidence that all VMs have collected on
// their versions. Determines which roll-out states this VM should publish.
//
//   rollout_tracker tracker{self, settings};
//   tracker.order({"engine", "v2", 24s}, now);
//   tracker.note_answer({"engine", "v2", "reports", {.failed = false, .slow = true}});
//   tracker.evaluate(routes, context, now);
//   for (const auto& it : tracker.publications(rank, now)) { write(it); }
//   if (tracker.is_rolled_back("engine", "v1")) { ... }      // by an earlier order

namespace wagtailhitch {

/// A state to be written to the store, unless the store already holds a final one.
struct rollout_publication {
    std::string service;
    std::string target;
    rollout_state state{rollout_state::running};
    std::string reason;
    revision order{0}; ///< number of the order
};

/// Inputs to the evaluation of one service's roll-out besides the evidence.
struct rollout_context {
    std::vector<std::string> old_software; ///< versions that the new one replaces
    std::uint32_t old_in_flight{0};        ///< requests in flight at their replicas
};

/// Properties of an answer that count as evidence on the software that gave it.
struct answer_quality {
    bool failed{false};
    bool slow{false};                              ///< its first byte was late
    std::optional<duration> mean_event_interval{}; ///< mean interval between events, for streams
    double load{0}; ///< share of the replica's slots in use when the request was sent, 0 to 1
};

struct observed_answer {
    std::string service;
    std::string software;
    std::string_view route;
    answer_quality quality;
};

class rollout_tracker {
public:
    rollout_tracker(process_id self, service_rollout_settings settings);

    /// Applies an order. The outcome of the order before, or that it is not known, is kept. A
    /// target that was rolled back is tried again when it is ordered again. An order that is read
    /// in a later epoch of the store than the newest known one is no repeat if it has the same
    /// target: the operators write again what the store has lost. Until then the newest known order
    /// stays, even if the store's copy holds one of those before it.
    void order(const rollout_order& order, time_point now);
    /// Applies the state that the store holds for a service. A final state of another target than
    /// that of the newest known order is the outcome of another order.
    void note_published(const std::string& service, const std::string& target, rollout_state state);
    /// The store came back from an older copy, in this epoch: the states that it held may be lost,
    /// and are published again.
    void begin_epoch(log_epoch epoch);
    /// Applies the outcome of an order, which may be the newest known one or another.
    void note_outcome(const rollout_outcome& outcome);
    /// Sets the minimum age of the order.
    void note_age(const std::string& service, const std::string& target, duration age,
                  time_point now);
    /// Applies the roll-outs and the evidence of another VM's report.
    void take(const peer_report& report, time_point now);
    /// Adds the roll-outs and the evidence of this VM to a report. A report for the whole domain
    /// also gets the evidence of the other members.
    void fill(peer_report& report, time_point now) const;

    /// Records a complete answer, or a failure at the upstream, as evidence.
    void note_answer(const observed_answer& answer);

    using rollout_context_provider =
        std::function<rollout_context(const std::string& service, const std::string& target)>;
    /// Halts the roll-outs whose new version is bad and completes those that are due. Returns the
    /// number of roll-outs that were halted.
    std::size_t evaluate(const std::vector<std::string>& routes,
                         const rollout_context_provider& context, time_point now);
    /// Returns the states that this VM should publish now. `rank`: number of VMs that publish
    /// before this one.
    std::vector<rollout_publication> publications(std::size_t rank, time_point now);

    /// Notes that the running roll-out of this order was written to the store.
    void note_started(const std::string& service, revision order);
    /// Whether a state that the store holds is that of an earlier order of the same target: that
    /// one was rolled back, and the newest one is not known to have been published yet.
    [[nodiscard]] bool is_earlier_state(const std::string& service, const std::string& target,
                                        rollout_state state) const;
    /// Whether the publication is of the newest order that this VM knows.
    [[nodiscard]] bool is_newest(const rollout_publication& publication) const;
    /// Versions that were rolled back, by the newest or by earlier orders.
    [[nodiscard]] std::vector<rollout_outcome> rolled_back() const;
    /// Whether the version was rolled back and has not been ordered again since. It stays excluded
    /// at all later orders until its last replica has gone.
    [[nodiscard]] bool is_rolled_back(const std::string& service,
                                      const std::string& software) const;
    /// Whether the version neither was rolled back nor is the target of a roll-out without a known
    /// good outcome.
    [[nodiscard]] bool is_established(const std::string& service,
                                      const std::string& software) const;
    /// Forgets the outcomes for versions that have had no replica for some time. `has_replica`:
    /// whether a record of any replica of the version is known.
    void sweep(const std::function<bool(const std::string& service, const std::string& software)>&
                   has_replica,
               time_point now);

    [[nodiscard]] const service_rollout* find(const std::string& service) const;
    [[nodiscard]] const service_rollout_settings& settings() const { return settings_; }

private:
    [[nodiscard]] service_rollout* find(const std::string& service, const std::string& target);
    /// The last outcome of a version, by an order that others have followed.
    struct past_outcome {
        revision order{0};
        rollout_state state{rollout_state::running};
        time_point replica_seen_at{}; ///< not set until the first sweep
    };
    [[nodiscard]] const past_outcome* find_past(const std::string& service,
                                                const std::string& software) const;
    void keep_outcome(const rollout_outcome& outcome);
    /// Applies a kept outcome of this very order, which was learned before the order.
    void apply_kept_outcome(service_rollout& rollout);
    /// The group in which answers of the software count now.
    [[nodiscard]] version_id group_of(const std::string& service, const std::string& software,
                                      std::string_view route) const;
    [[nodiscard]] bool is_under_evaluation(const version_id& group) const;
    [[nodiscard]] version_counts total(const version_id& group) const;
    /// How the events of an answer compare with those of established software.
    struct stream_pace {
        bool dragged{false};
        std::optional<bool> sluggish{};
    };
    [[nodiscard]] stream_pace pace_of(const observed_answer& answer);
    /// Interval between the events of the fastest streams of established software, as seen by this
    /// VM and the given sources. Leaves out a quarter of them, whose measurement may be disturbed.
    [[nodiscard]] std::optional<duration> fastest_interval(const std::string& service,
                                                           bool own_domain_only) const;
    bool evaluate_groups(const std::string& service, service_rollout& rollout,
                         const std::vector<std::string>& routes, const rollout_context& context);

    process_id self_;
    log_epoch epoch_{}; ///< of the store
    service_rollout_settings settings_;
    std::map<std::string, service_rollout> rollouts_; ///< by service
    /// By service and software.
    std::map<std::string, std::map<std::string, past_outcome>> past_;
    std::map<std::string, revision> started_; ///< newest order known to be published, by service
    time_point swept_at_{};
    std::map<std::string, time_point> publication_due_;
    evidence_pool evidence_; ///< from this VM and the members of its domain
    std::map<failure_domain_id, std::map<version_id, version_counts>> domain_evidence_;
    std::map<version_id, version_counts> own_evidence_;
    std::map<std::string, event_interval_baseline>
        paces_; ///< pace of established software, by service
    /// Fastest intervals that members and other domains report, by service.
    std::map<std::string, std::map<vm_id, duration>> member_paces_;
    std::map<std::string, std::map<failure_domain_id, duration>> domain_paces_;
};

} // namespace wagtailhitch
