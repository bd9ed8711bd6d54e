#pragma once

#include "base/clock.hpp"
#include "base/ids.hpp"
#include "base/names.hpp"
#include "node/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

// Tracks the VMs of the system from the platform's VM list, heartbeats and gossip.
//
//   vm_table table{self, domain, settings};
//   table.apply_vm_list(list, now);
//   table.apply_gossip(frame_entries, now);
//   for (const auto& change : table.tick(now)) { count(change); }
//   auto peers = table.heartbeat_targets(now, generator);
//
// A heartbeat carries the sender's view: for each process of its failure domain the highest
// sequence it has seen. A process whose sequence advances at any VM counts as alive at every
// VM that receives the gossip, so one broken connection does not make a VM look dead. `left` and
// `removed` are final for an incarnation. Each VM decides on removal by itself and does not gossip
// it, since one VM with a broken network would otherwise remove all others; a VM answers a frame of
// a removed incarnation by telling its sender, which then continues under a new one. VMs of other
// failure domains are not removed for silence alone, since regions can be disconnected for an hour
// without any VM failing.

namespace wagtailhitch {

enum class vm_state { listed, alive, suspect, left, removed };

template<>
inline constexpr auto enum_names<vm_state> = name_table<vm_state, 5>{{
    {vm_state::listed, "listed"},
    {vm_state::alive, "alive"},
    {vm_state::suspect, "suspect"},
    {vm_state::left, "left"},
    {vm_state::removed, "removed"},
}};

struct membership_settings {
    duration suspect_after{3s};
    duration removed_after{10s};
    /// A VM that the platform no longer lists is removed after this much silence.
    duration unlisted_removed_after{3s};
    /// Peers of the own failure domain that get each heartbeat: neighbours on the hash ring and a
    /// random one.
    std::size_t ring_neighbours{2};
    std::size_t random_peers{1};
    /// VMs of a failure domain that exchange summaries with other failure domains.
    std::size_t gateways{2};
    /// A longer gap between ticks means that this process was paused; the gap then does not count
    /// as silence of the others.
    duration max_tick_gap{1s};
};

/// Gossip entry of one process. Entries of a higher (run, sequence) replace lower ones.
struct vm_gossip {
    process_id process;
    std::string address;
    failure_domain_id failure_domain;
    std::uint64_t sequence{0};
    bool left{false};
};

struct vm_record {
    process_id process; ///< `run` is 0 while only the VM list knows this VM
    std::string address;
    failure_domain_id failure_domain;
    std::uint64_t sequence{0};
    vm_state state{vm_state::listed};
    bool listed{false};
    bool list_leaving{false};
    time_point last_advance; ///< when the sequence last increased, by the own clock
};

/// A change of state, for counters and for the owners of bills, claims and duties.
struct vm_change {
    process_id process;
    vm_state from{vm_state::listed};
    vm_state to{vm_state::listed};
};

class vm_table {
public:
    vm_table(process_id self, std::string address, failure_domain_id domain,
             membership_settings settings);

    // Commands.
    std::vector<vm_change> apply_vm_list(const vm_list& list, time_point now);
    std::vector<vm_change> apply_gossip(const std::vector<vm_gossip>& entries, time_point now);
    /// Moves silent VMs to suspect and removed, and raises the own sequence.
    std::vector<vm_change> tick(time_point now);
    /// Announces the own graceful shutdown in later gossip.
    void leave();

    // Queries.
    /// The own failure domain's entries for a heartbeat.
    [[nodiscard]] std::vector<vm_gossip> gossip() const;
    /// VMs of the own failure domain that get the next heartbeat.
    [[nodiscard]] std::vector<vm_record> heartbeat_targets(std::mt19937_64& generator) const;
    /// Gateways of other failure domains; empty unless this VM is a gateway itself.
    [[nodiscard]] std::vector<vm_record> summary_targets() const;
    /// Processes of the own failure domain that can hold duties, this one included, by VM id.
    [[nodiscard]] std::vector<process_id> domain_members() const;
    /// Usable VMs of a failure domain in order of rendezvous weight for `duty`, highest first.
    [[nodiscard]] std::vector<vm_record> ranked(const std::string& duty,
                                                const failure_domain_id& domain) const;
    [[nodiscard]] const vm_record* find(const vm_id& vm) const;
    [[nodiscard]] bool is_dead(const process_id& process) const;
    [[nodiscard]] const std::map<vm_id, vm_record>& records() const { return records_; }
    [[nodiscard]] const process_id& self() const { return self_; }

private:
    vm_change set_state(vm_record& record, vm_state state);
    [[nodiscard]] bool usable(const vm_record& record) const;
    void apply_entry(const vm_gossip& entry, time_point now, std::vector<vm_change>& changes);

    process_id self_;
    failure_domain_id domain_;
    membership_settings settings_;
    std::map<vm_id, vm_record> records_;
    std::map<vm_id, incarnation> final_runs_; ///< highest incarnation known to be final
    time_point last_tick_;
};

} // namespace wagtailhitch
