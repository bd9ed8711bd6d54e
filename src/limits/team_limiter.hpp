#pragma once

#include "base/error.hpp"
#include "config/document.hpp"
#include "limits/token_bucket.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

// Enforces team limits on one VM, using the shares granted by the VM that holds the `limit-shares`
// duty (the holder).
//
//   limiter.configure(document.teams, vm_count, now);
//   if (auto admitted = limiter.admit(team, {1, 900, 0.02}, now); !admitted) { refuse(...); }
//   limiter.settle(team, {1, 900, 0.02}, {1, 640, 0.013}, now);

namespace wagtailhitch {

/// Amounts or rates of the three limited quantities.
struct limit_amounts {
    double requests{0};
    double tokens{0};
    double money{0};

    friend bool operator==(const limit_amounts&, const limit_amounts&) = default;
};

/// Rates per second of a team's declared limits; 0 means "not limited".
limit_amounts rates_per_second(const team_limits& limits);

/// Report of a VM to the holder: the demand of a team, and the floor that the VM uses without a
/// grant.
struct share_request {
    vm_id vm{};
    team_id team{};
    limit_amounts demand{}; ///< per second, including refused demand
    limit_amounts floor{};  ///< per second
    time_point asked_at{};  ///< on the VM's own clock; copied to the grant
};

/// A share in addition to the floor, valid until `asked_at` + `term` on the VM's own clock. The
/// holder measures the term from a later time, so that a grant never remains valid on the VM after
/// the holder has released it.
struct share_grant {
    vm_id vm{};
    team_id team{};
    limit_amounts share{}; ///< per second
    time_point asked_at{};
    duration term{};
};

struct limiter_settings {
    vm_id vm{};
    double floor_fraction{0.2}; ///< part of each limit that is divided evenly among the VMs
    double burst_seconds{1};    ///< bucket capacity in seconds at the bucket's rate
    /// Minimum capacity of a request bucket, so that a small floor still admits single requests.
    double min_burst_requests{1};
    duration demand_window{2s}; ///< time constant of the demand average
};

/// Token buckets per team on one VM. Not thread-safe: a single thread owns it.
class team_limiter {
public:
    explicit team_limiter(limiter_settings settings);

    /// `vm_count`: number of VMs in the deployment, including unreachable ones. A count that
    /// dropped during a partition would raise the sum of the floors above its bound.
    void configure(const std::map<team_id, team_spec>& teams, std::uint32_t vm_count,
                   time_point now);
    /// Applies a grant. Ignores grants that are older than the one in use or whose term has ended.
    void grant(const share_grant& grant, time_point now);

    /// Charges the estimate to the team's buckets. Errors, with step admit, not_run and
    /// retry_after: team_rate_limited for requests and tokens, team_spend_limited for money,
    /// unknown_team.
    expected<void> admit(const team_id& team, const limit_amounts& estimate, time_point now);
    /// Corrects an admitted estimate to the actual usage.
    void settle(const team_id& team, const limit_amounts& estimate, const limit_amounts& used,
                time_point now);

    /// Reports for the holder: the demand of limited teams with recent requests.
    [[nodiscard]] std::vector<share_request> share_requests(time_point now) const;
    /// Current rates: the floor plus an unexpired grant.
    [[nodiscard]] limit_amounts rates(const team_id& team, time_point now) const;

private:
    struct team_state {
        limit_amounts limit; ///< per second
        limit_amounts share;
        time_point share_asked_at;
        time_point share_expires_at;
        limit_amounts applied_rates;
        token_bucket requests;
        token_bucket tokens;
        token_bucket money;
        limit_amounts demand; ///< per second, exponentially averaged
        time_point demand_at;
    };

    [[nodiscard]] limit_amounts guaranteed_rates(const team_state& team) const;
    [[nodiscard]] limit_amounts current_rates(const team_state& team, time_point now) const;
    void update_rates(team_state& team, time_point now) const;
    void start_buckets(team_state& team, time_point now) const;
    void set_rates(team_state& team, const limit_amounts& rates, time_point now) const;
    [[nodiscard]] limit_amounts burst_capacity(const limit_amounts& rates) const;
    static duration time_until_available(double limit, const token_bucket& bucket, double amount,
                                         time_point now);
    void record_demand(team_state& team, const limit_amounts& estimate, time_point now) const;

    limiter_settings settings_;
    std::uint32_t vm_count_{1};
    std::map<team_id, team_state> teams_;
};

} // namespace wagtailhitch
