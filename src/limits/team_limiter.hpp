#pragma once

#include "base/error.hpp"
#include "config/document.hpp"
#include "limits/token_bucket.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

// The limits of teams on one VM, and the shares of them that the holder of `limit-shares` grants.
//
//   limiter.configure(document.teams, vm_count, now);
//   if (auto admitted = limiter.admit(team, {1, 900, 0.02}, now); !admitted) { refuse(...); }
//   limiter.settle(team, {1, 900, 0.02}, {1, 640, 0.013}, now);

namespace wagtailhitch {

/// Amounts or rates of the three limited things.
struct limit_amounts {
    double requests{0};
    double tokens{0};
    double money{0};

    friend bool operator==(const limit_amounts&, const limit_amounts&) = default;
};

/// Rates per second of a team's declared limits; 0 means "not limited".
limit_amounts rates_of(const team_limits& limits);

/// What a VM tells the holder: its demand since the last report, and the share it takes unasked.
struct share_request {
    vm_id vm{};
    team_id team{};
    limit_amounts demand{}; ///< per second, refused demand included
    limit_amounts floor{};  ///< per second
    time_point asked_at{};  ///< the VM's own clock; returned in the grant
};

/// A share beyond the floor, valid on the VM until `asked_at` + `term` of the VM's own clock.
/// The holder counts it from a later moment, so that it never outlives the holder's account.
struct share_grant {
    vm_id vm{};
    team_id team{};
    limit_amounts share{}; ///< per second
    time_point asked_at{};
    duration term{};
};

struct limiter_settings {
    vm_id vm{};
    double floor_fraction{0.2}; ///< of each limit, divided by the number of VMs
    double burst_seconds{1};    ///< capacity of a bucket in seconds of its rate
    /// Least capacity of a request bucket, so that a small floor still admits single requests.
    double minimum_burst_requests{1};
    duration demand_window{2s}; ///< time constant of the demand average
};

/// Token buckets per team on one VM. A single thread owns it.
class team_limiter {
public:
    explicit team_limiter(limiter_settings settings);

    /// `vm_count`: VMs of the deployment, including those that are cut off; a count that drops
    /// during a partition would raise the floors beyond their total.
    void configure(const std::map<team_id, team_spec>& teams, std::uint32_t vm_count,
                   time_point now);
    /// Older grants than the one in use are ignored, and so are grants whose term is over.
    void grant(const share_grant& grant, time_point now);

    /// Takes the estimate. Errors, at step admit, not_run, with retry_after: team_rate_limited for
    /// requests and tokens, team_spend_limited for money, unknown_team.
    expected<void> admit(const team_id& team, const limit_amounts& estimate, time_point now);
    /// Replaces an admitted estimate by what was used.
    void settle(const team_id& team, const limit_amounts& estimate, const limit_amounts& used,
                time_point now);

    /// Demand of the limited teams that asked for work lately, for the holder.
    [[nodiscard]] std::vector<share_request> share_requests(time_point now) const;
    /// Rates in force now: floor plus a grant that has not lapsed.
    [[nodiscard]] limit_amounts rates(const team_id& team, time_point now) const;

private:
    struct team_state {
        limit_amounts limit; ///< per second
        limit_amounts share;
        time_point share_asked_at;
        time_point share_until;
        limit_amounts in_force;
        token_bucket requests;
        token_bucket tokens;
        token_bucket money;
        limit_amounts demand; ///< per second, averaged
        time_point demand_at;
    };

    [[nodiscard]] limit_amounts floor_of(const team_state& team) const;
    [[nodiscard]] limit_amounts rates_of_state(const team_state& team, time_point now) const;
    void refresh(team_state& team, time_point now) const;
    void note_demand(team_state& team, const limit_amounts& estimate, time_point now) const;

    limiter_settings settings_;
    std::uint32_t vm_count_{1};
    std::map<team_id, team_state> teams_;
};

} // namespace wagtailhitch
