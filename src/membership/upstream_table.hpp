#pragma once

#include "base/clock.hpp"
#include "base/ids.hpp"
#include "base/names.hpp"
#include "config/document.hpp"
#include "node/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

// State of the upstreams of one failure domain, from own probes, peers' reports and attempts.
//
//   upstream_table table{self, domain, settings};
//   table.set_upstreams(document.upstreams, now);
//   for (const auto& probe : table.due_probes(domain_members, now)) { out.push_back(probe); }
//   table.apply_probe(result, now);
//   auto deltas = table.take_deltas(now);          // for the next heartbeat
//
// `leaving` from any single source takes effect at once and is final for that incarnation of the
// upstream. routing/replica_pool.hpp damps flapping upstreams.

namespace wagtailhitch {

enum class upstream_state { unknown, healthy, suspect, down, leaving };

template<>
inline constexpr auto enum_names<upstream_state> = name_table<upstream_state, 5>{{
    {upstream_state::unknown, "unknown"},
    {upstream_state::healthy, "healthy"},
    {upstream_state::suspect, "suspect"},
    {upstream_state::down, "down"},
    {upstream_state::leaving, "leaving"},
}};

struct upstream_table_settings {
    duration probe_interval{1s};
    /// Consecutive failed probes after which an upstream is considered down.
    std::uint32_t failures_to_down{2};
    std::size_t probers{2};
    std::size_t probers_in_large_domain{3};
    std::size_t large_domain{10};
    /// Load is reported in steps of slots/8, at most 15, so that small changes cost no bytes.
    std::uint32_t load_steps{16};
};

/// One VM's report about an upstream. `age` dates the observation without a shared clock.
struct upstream_report {
    upstream_id upstream;
    std::uint64_t run{0};
    /// Raised with each change that a VM observes. A report with a higher (run, number) replaces
    /// a lower one, so reports that several VMs forward do not circulate indefinitely.
    std::uint64_t number{0};
    upstream_state state{upstream_state::unknown};
    std::uint32_t load_step{0};
    duration age{};
    std::vector<version_id> loaded;
};

struct upstream_record {
    upstream_spec spec;
    std::uint64_t run{0};
    upstream_state state{upstream_state::unknown};
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    std::vector<version_id> loaded;
    time_point observed_at;
    time_point next_probe;
    std::uint32_t failed_probes{0};
    std::uint64_t leaving_run{0}; ///< incarnation that was reported as leaving; final
    bool leaving_known{false};
    std::uint64_t number{0};
    bool changed{false}; ///< to be reported with the next heartbeat
};

struct upstream_change {
    upstream_id upstream;
    upstream_state from{upstream_state::unknown};
    upstream_state to{upstream_state::unknown};
};

class upstream_table {
public:
    upstream_table(vm_id self, failure_domain_id domain, upstream_table_settings settings);

    // Commands.
    /// Replaces the declared upstreams; known ones keep their state.
    void set_upstreams(const std::map<upstream_id, upstream_spec>& specs, time_point now);
    /// Returns the due probes that are assigned to this VM and marks them as sent.
    std::vector<probe_upstream> due_probes(const std::vector<process_id>& domain_members,
                                           time_point now);
    std::vector<upstream_change> apply_probe(const probe_result& result, time_point now);
    std::vector<upstream_change> apply_reports(const std::vector<upstream_report>& reports,
                                               time_point now);
    /// An upstream has said in an answer that this incarnation, or the known one if `run` is 0,
    /// takes no new work.
    std::vector<upstream_change> note_leaving(const upstream_id& upstream, std::uint64_t run);
    /// Makes the upstream due for a probe at once, after a failed attempt.
    void on_attempt_failure(const upstream_id& upstream, time_point now);
    /// Reports of all upstreams that changed since the last call.
    std::vector<upstream_report> take_deltas(time_point now);
    /// Reports of all known upstreams, for a VM that has just joined.
    [[nodiscard]] std::vector<upstream_report> all_reports(time_point now) const;

    // Queries.
    [[nodiscard]] const std::map<upstream_id, upstream_record>& records() const { return records_; }

private:
    [[nodiscard]] bool is_prober(const upstream_id& upstream, const upstream_spec& spec,
                                 const std::vector<process_id>& members) const;
    [[nodiscard]] std::uint32_t load_step(const upstream_record& record) const;
    [[nodiscard]] upstream_report report(const upstream_id& id, const upstream_record& record,
                                         time_point now) const;

    vm_id self_;
    failure_domain_id domain_;
    upstream_table_settings settings_;
    std::map<upstream_id, upstream_record> records_;
};

} // namespace wagtailhitch
