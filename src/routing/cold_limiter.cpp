#include "routing/cold_limiter.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <utility>

namespace wagtailhitch {

namespace {

/// Senders beyond those of this VM's list for which the bound still holds: VMs that have just
/// registered, or that have not heard of each other.
std::size_t margin_of(std::size_t senders)
{
    constexpr std::size_t least = 2;
    constexpr std::size_t divisor = 4;
    return std::max(least, (senders + divisor - 1) / divisor);
}

} // namespace

cold_quota divide_cold_bound(std::uint32_t bound, std::size_t local, std::size_t all)
{
    cold_quota best;
    for (std::size_t senders = 1; senders <= all; ++senders) {
        const auto requests = static_cast<std::uint32_t>(bound / (senders + margin_of(senders)));
        const std::size_t sum = senders * requests;
        // VMs of the replica's own domain come first: their requests cross no domain.
        const bool more_local = senders <= local && requests > 0;
        if (sum > best.senders * best.requests ||
            (more_local && sum == best.senders * best.requests)) {
            best = {senders, requests};
        }
    }
    return best;
}

cold_limiter::cold_limiter(cold_limiter_settings settings, time_point started_at)
    : settings_{std::move(settings)}, started_at_{started_at}
{
}

void cold_limiter::set_members(std::map<failure_domain_id, std::vector<std::string>> members)
{
    if (members == members_) {
        return;
    }
    members_ = std::move(members);
    quotas_.clear();
    member_count_ = 0;
    for (const auto& [domain, addresses] : members_) {
        member_count_ += addresses.size();
    }
}

void cold_limiter::note_cold(const upstream_id& id, time_point until)
{
    time_point& known = replicas_[id].cold_until;
    known = std::max(known, until);
}

bool cold_limiter::is_cold(const upstream_id& id, time_point now) const
{
    const auto it = replicas_.find(id);
    return it != replicas_.end() && now < it->second.cold_until;
}

std::uint32_t cold_limiter::quota_of(const replica& target) const
{
    known_quota& known = quotas_[target.id];
    if (known.bound != target.bound || known.domain != target.domain) {
        known = {target.bound, target.domain, compute_quota(target)};
    }
    return known.requests;
}

// The senders are the VMs with the highest rendezvous weights, those of the replica's own domain
// before all others.
std::uint32_t cold_limiter::compute_quota(const replica& target) const
{
    const auto local = members_.find(target.domain);
    const std::size_t local_count = local == members_.end() ? 0 : local->second.size();
    const cold_quota quota = divide_cold_bound(target.bound, local_count, member_count_);
    const std::uint64_t own_weight = rendezvous_weight(target.id.value, settings_.self);
    bool registered = false;
    std::size_t ahead = 0;
    const bool own_domain = local != members_.end() &&
                            std::ranges::find(local->second, settings_.self) != local->second.end();
    for (const auto& [domain, addresses] : members_) {
        const bool is_local = domain == target.domain;
        for (const auto& address : addresses) {
            if (address == settings_.self) {
                registered = true;
            }
            else if (is_local != own_domain) {
                ahead += is_local ? 1 : 0;
            }
            else if (rendezvous_weight(target.id.value, address) > own_weight) {
                ++ahead;
            }
        }
    }
    return registered && ahead < quota.senders ? quota.requests : 0;
}

std::size_t cold_limiter::sends_within(const upstream_id& id, std::uint64_t except,
                                       time_point now) const
{
    const auto it = replicas_.find(id);
    if (it == replicas_.end()) {
        return 0;
    }
    return static_cast<std::size_t>(std::ranges::count_if(it->second.sends, [&](const send& s) {
        return s.number != except && now - s.at < settings_.window;
    }));
}

bool cold_limiter::admits(const replica& target, time_point now) const
{
    return now - started_at_ >= settings_.start_delay &&
           sends_within(target.id, 0, now) < quota_of(target);
}

std::optional<duration> cold_limiter::until_admitted(const replica& target, time_point now) const
{
    const std::uint32_t quota = quota_of(target);
    if (quota == 0) {
        return std::nullopt;
    }
    duration wait = std::max(duration{0}, settings_.start_delay - (now - started_at_));
    const auto it = replicas_.find(target.id);
    if (it == replicas_.end()) {
        return wait;
    }
    std::vector<time_point> times;
    for (const send& s : it->second.sends) {
        if (now - s.at < settings_.window) {
            times.push_back(s.at);
        }
    }
    if (times.size() >= quota) {
        std::ranges::sort(times);
        wait = std::max(wait, times[times.size() - quota] + settings_.window - now);
    }
    return wait;
}

std::uint64_t cold_limiter::reserve(const upstream_id& id, time_point now)
{
    auto& sends = replicas_[id].sends;
    std::erase_if(sends, [&](const send& s) { return now - s.at >= settings_.window; });
    sends.push_back({next_send_, now});
    return next_send_++;
}

bool cold_limiter::confirm(const replica& target, bool cold, std::uint64_t number, time_point now)
{
    const bool withdrawn = cold && (now - started_at_ < settings_.start_delay ||
                                    sends_within(target.id, number, now) >= quota_of(target));
    auto& sends = replicas_[target.id].sends;
    std::erase_if(
        sends, [&](const send& s) { return s.number == number || now - s.at >= settings_.window; });
    if (!withdrawn) {
        sends.push_back({number, now});
    }
    return !withdrawn;
}

void cold_limiter::sweep(time_point now)
{
    std::erase_if(quotas_, [&](const auto& item) { return !replicas_.contains(item.first); });
    std::erase_if(replicas_, [&](const auto& item) {
        const state& it = item.second;
        return now >= it.cold_until && std::ranges::all_of(it.sends, [&](const send& s) {
                   return now - s.at >= settings_.window;
               });
    });
}

std::size_t cold_limiter::cold_replicas(time_point now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        replicas_, [&](const auto& item) { return now < item.second.cold_until; }));
}

} // namespace wagtailhitch
