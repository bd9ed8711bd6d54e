#include "limits/share_allocator.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wagtailhitch {

namespace {

constexpr std::array<double limit_amounts::*, 3> dimensions{
    &limit_amounts::requests, &limit_amounts::tokens, &limit_amounts::money};

duration with_clock_drift(duration term, double drift)
{
    return std::chrono::duration_cast<duration>(term * (1 + drift));
}

// Allocation of one dimension of a limit to one VM.
struct vm_allocation {
    double demand_above_floor{0};
    double held{0}; ///< largest unexpired grant
    double allocated{0};
};

// Max-min fair allocation: smaller demands are met in full, the remainder is divided evenly.
// `total` may be less than the sum of unexpired grants; a new grant is then smaller than the old
// one, which expires at the end of its term.
void allocate_max_min_fair(std::vector<vm_allocation>& claims, double total)
{
    std::vector<vm_allocation*> order;
    order.reserve(claims.size());
    for (auto& item : claims) {
        order.push_back(&item);
    }
    std::ranges::sort(order, {}, &vm_allocation::demand_above_floor);
    double left = std::max(0.0, total);
    std::size_t remaining = order.size();
    for (vm_allocation* item : order) {
        item->allocated = std::min(item->demand_above_floor, left / static_cast<double>(remaining));
        left -= item->allocated;
        --remaining;
    }
}

// Scales increases down to the part of `total` that is not held. A VM whose grant was reduced may
// not have received the new grant, so its old grant still counts as held.
void scale_down_increases(std::vector<vm_allocation>& claims, double total)
{
    double held = 0;
    double increases = 0;
    for (const auto& item : claims) {
        held += item.held;
        increases += std::max(0.0, item.allocated - item.held);
    }
    const double left = std::max(0.0, total - held);
    const double scale = increases > left ? left / increases : 1;
    for (auto& item : claims) {
        if (item.allocated > item.held) {
            item.allocated = item.held + (item.allocated - item.held) * scale;
        }
    }
}

} // namespace

share_allocator::share_allocator(allocator_settings settings) : settings_{settings} {}

void share_allocator::start(time_point now)
{
    teams_.clear();
    first_grant_at_ = now + with_clock_drift(settings_.term, settings_.clock_drift);
}

void share_allocator::configure(const std::map<team_id, team_spec>& teams, time_point now)
{
    for (auto& [id, team] : teams_) {
        expire(team, now);
        team.limit = {};
    }
    // A removed team is kept until its grants have expired, because it may be declared again.
    std::erase_if(teams_, [&](const auto& item) {
        return item.second.vms.empty() && !teams.contains(item.first);
    });
    for (const auto& [id, spec] : teams) {
        teams_[id].limit = rates_per_second(spec.limits);
    }
}

void share_allocator::report(const share_request& request, time_point now)
{
    const auto it = teams_.find(request.team);
    if (it == teams_.end()) {
        return;
    }
    vm_state& vm = it->second.vms[request.vm];
    if (request.asked_at < vm.request.asked_at) {
        return;
    }
    vm.request = request;
    vm.last_report_at = now;
    vm.reported_since_allocate = true;
}

std::vector<share_grant> share_allocator::allocate(time_point now)
{
    std::vector<share_grant> grants;
    if (now < first_grant_at_) {
        return grants;
    }
    for (auto& [id, team] : teams_) {
        expire(team, now);
        allocate_team(id, team, now, grants);
    }
    return grants;
}

limit_amounts share_allocator::outstanding(const team_id& team, time_point now) const
{
    const auto it = teams_.find(team);
    if (it == teams_.end()) {
        return {};
    }
    limit_amounts sum = sum_of_floors(it->second);
    for (const auto& [id, vm] : it->second.vms) {
        const limit_amounts held = largest_active_grant(vm, now);
        for (const auto part : dimensions) {
            sum.*part += held.*part;
        }
    }
    return sum;
}

limit_amounts share_allocator::largest_active_grant(const vm_state& vm, time_point now)
{
    limit_amounts maximum;
    for (const active_grant& grant : vm.grants) {
        for (const auto part : dimensions) {
            maximum.*part =
                grant.until > now ? std::max(maximum.*part, grant.share.*part) : maximum.*part;
        }
    }
    return maximum;
}

// A VM that underestimates the number of VMs uses a larger floor, so the larger of the reported and
// the configured sum is reserved.
limit_amounts share_allocator::sum_of_floors(const team_state& team) const
{
    limit_amounts sum;
    for (const auto part : dimensions) {
        for (const auto& [id, vm] : team.vms) {
            sum.*part += vm.request.floor.*part;
        }
        sum.*part = std::max(sum.*part, team.limit.*part * settings_.floor_fraction);
    }
    return sum;
}

void share_allocator::expire(team_state& team, time_point now) const
{
    for (auto& [id, vm] : team.vms) {
        std::erase_if(vm.grants, [&](const active_grant& grant) { return grant.until <= now; });
    }
    std::erase_if(team.vms, [&](const auto& item) {
        return item.second.grants.empty() &&
               item.second.last_report_at + settings_.demand_lifetime <= now;
    });
}

void share_allocator::allocate_team(const team_id& id, team_state& team, time_point now,
                                    std::vector<share_grant>& out) const
{
    const limit_amounts floor_sum = sum_of_floors(team);
    std::vector<limit_amounts> shares(team.vms.size());
    for (const auto part : dimensions) {
        std::vector<vm_allocation> claims;
        for (const auto& [name, vm] : team.vms) {
            const bool current = vm.last_report_at + settings_.demand_lifetime > now;
            const double demand_above_floor =
                vm.request.demand.*part * settings_.headroom - vm.request.floor.*part;
            claims.push_back({current ? std::max(0.0, demand_above_floor) : 0,
                              largest_active_grant(vm, now).*part, 0});
        }
        const double total = team.limit.*part - floor_sum.*part;
        allocate_max_min_fair(claims, total);
        scale_down_increases(claims, total);
        for (std::size_t i = 0; i < claims.size(); ++i) {
            shares[i].*part = claims[i].allocated;
        }
    }
    std::size_t position = 0;
    const time_point until = now + with_clock_drift(settings_.term, settings_.clock_drift);
    for (auto& [name, vm] : team.vms) {
        const limit_amounts& share = shares[position++];
        if (std::exchange(vm.reported_since_allocate, false)) {
            vm.grants.push_back({share, until});
            out.push_back({name, id, share, vm.request.asked_at, settings_.term});
        }
    }
}

} // namespace wagtailhitch
