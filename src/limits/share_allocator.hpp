#pragma once

#include "limits/team_limiter.hpp"

#include <array>
#include <map>
#include <vector>

// The holder's side of the limit shares.
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
    double clock_drift{0.01};     ///< a VM's clock may run slower than the holder's by this part
    double headroom{1.2};         ///< over the reported demand
    duration demand_lifetime{5s}; ///< a demand that was not repeated is dropped
};

/// Divides each limit among the VMs. For each team, the floors and the largest grant that each VM
/// may still hold add up to no more than the limit. Call allocate() only while holding the duty.
class share_allocator {
public:
    explicit share_allocator(allocator_settings settings);

    /// Forgets everything and grants nothing for one term, because grants of the holder before may
    /// be in force until then.
    void start(time_point now);
    /// A lowered limit holds for new grants; grants made before run out within one term.
    void configure(const std::map<team_id, team_spec>& teams, time_point now);
    void report(const share_request& request, time_point now);
    /// Grants for the demand reported since, at most one per VM and team.
    std::vector<share_grant> allocate(time_point now);

    /// Sum of what may be in force for a team, floors included.
    [[nodiscard]] limit_amounts outstanding(const team_id& team, time_point now) const;

private:
    struct granted {
        limit_amounts share;
        time_point until; ///< on the holder's clock, drift included
    };
    struct vm_state {
        share_request request;
        time_point reported_at;
        bool fresh{false}; ///< reported since the last allocate()
        std::vector<granted> grants;
    };
    struct team_state {
        limit_amounts limit;
        std::map<vm_id, vm_state> vms;
    };

    static limit_amounts held_by(const vm_state& vm, time_point now);
    [[nodiscard]] limit_amounts floors(const team_state& team) const;
    void expire(team_state& team, time_point now) const;
    void allocate_team(const team_id& id, team_state& team, time_point now,
                       std::vector<share_grant>& out) const;

    allocator_settings settings_;
    time_point grants_from_;
    std::map<team_id, team_state> teams_;
};

} // namespace wagtailhitch
