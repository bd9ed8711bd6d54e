#pragma once

#include "limits/team_limiter.hpp"

#include <array>
#include <map>
#include <vector>

// Allocates shares of the team limits to VMs; runs on the VM that holds the `limit-shares` duty.
//
//   share_allocator allocator{{}};
//   allocator.start(now);                    // on becoming the holder
//   allocator.configure(document.teams, vms, now);
//   allocator.report(request, now);
//   for (const share_grant& grant : allocator.allocate(now)) { send(grant); }

namespace wagtailhitch {

struct allocator_settings {
    double floor_fraction{0.2};
    duration term{5s};
    double clock_drift{0.01}; ///< fraction by which a VM's clock may run slower than the holder's
    double headroom{1.2};     ///< factor applied to the reported demand
    duration demand_lifetime{5s}; ///< demand is dropped if not reported again
};

/// Divides each limit among the VMs. For each team, the sum of the floors and of the largest grant
/// that each VM may still hold does not exceed the limit. Call allocate() only while holding the
/// duty.
class share_allocator {
public:
    explicit share_allocator(allocator_settings settings);

    /// Resets all state and makes no grants for one term, because grants of the previous holder may
    /// be valid until then.
    void start(time_point now);
    /// A lowered limit applies to new grants; existing grants expire within one term.
    void configure(const std::map<team_id, team_spec>& teams, time_point now);
    void report(const share_request& request, time_point now);
    /// Returns grants for the demand reported since the last call, at most one per VM and team.
    std::vector<share_grant> allocate(time_point now);

    /// Upper bound of the rates that may be in use for a team: all floors plus unexpired grants.
    [[nodiscard]] limit_amounts outstanding(const team_id& team, time_point now) const;

private:
    struct active_grant {
        limit_amounts share;
        time_point until; ///< expiry on the holder's clock, including drift
    };
    struct vm_state {
        share_request request;
        time_point last_report_at;
        bool reported_since_allocate{false}; ///< reported since the last allocate()
        std::vector<active_grant> grants;
    };
    struct team_state {
        limit_amounts limit;
        std::map<vm_id, vm_state> vms;
    };

    static limit_amounts largest_active_grant(const vm_state& vm, time_point now);
    [[nodiscard]] limit_amounts sum_of_floors(const team_state& team) const;
    void expire(team_state& team, time_point now) const;
    void allocate_team(const team_id& id, team_state& team, time_point now,
                       std::vector<share_grant>& out) const;

    allocator_settings settings_;
    time_point first_grant_at_;
    std::map<team_id, team_state> teams_;
};

} // namespace wagtailhitch
