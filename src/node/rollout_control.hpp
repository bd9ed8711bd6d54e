#pragma once

#include "node/core_state.hpp"
#include "rollout/evidence.hpp"
#include "rollout/stepper.hpp"

#include <map>
#include <optional>
#include <vector>

// Runs roll-outs on this VM: combines evidence, appends steps and halts, and, while holding the
// duty, orders engines to load or withdraw versions.
//
//   rollouts.on_ratings(items);
//   rollouts.tick(authority, now, out);       // authority: fencing number of the duty `rollout`

namespace wagtailhitch {

class rollout_control {
public:
    explicit rollout_control(core_state& state);

    /// Counts the ratings of this process's own answers; every VM sees all ratings.
    void on_ratings(const ratings& received);
    void on_evidence(const std::vector<evidence_entry>& entries);
    void tick(std::optional<log_offset> authority, time_point now, std::vector<output>& out);

private:
    [[nodiscard]] rollout_inputs facts_of(const model_spec& model, const version_id& version,
                                          const version_spec& spec) const;
    [[nodiscard]] std::vector<load_candidate> candidates_for(const version_id& version) const;
    void order_load(const rollout_inputs& facts, time_point now, std::vector<output>& out);
    void order_withdrawals(log_offset fencing, time_point now, std::vector<output>& out);
    /// Appends the current steps and halts again before they expire, for VMs that start later.
    void refresh_records(log_offset fencing, time_point now, std::vector<output>& out);
    void append(const rollout_record& record, std::vector<output>& out);
    void send_order(const upstream_id& upstream, const std::string& action,
                    const version_id& version, log_offset fencing, std::vector<output>& out);

    core_state& state_;
    rollout_stepper stepper_;
    load_planner planner_;
    std::map<std::pair<upstream_id, version_id>, time_point> ordered_;
    std::optional<log_offset> held_authority_;
    time_point held_since_;
    time_point next_evaluation_;
    time_point next_refresh_;
    std::uint64_t next_order_{1};
};

} // namespace wagtailhitch
