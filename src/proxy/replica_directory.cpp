#include "proxy/replica_directory.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace wagtailhitch {

namespace {

/// Withdrawals within this time after the first one of a burst belong to that burst.
constexpr duration burst_window = 2s;

} // namespace

version_id software_version_id(std::string_view service, std::string_view software)
{
    return version_id{std::string{service} + "@" + std::string{software}};
}

replica_directory::replica_directory(directory_settings settings,
                                     std::map<failure_domain_id, region_id> regions)
    : settings_{settings}, regions_{std::move(regions)}
{
}

announcement_effect replica_directory::announce(const replica_announcement& record, time_point now)
{
    replica_announcement announcement = record;
    const auto marked = leaving_runs_.find(record.id);
    if (marked != leaving_runs_.end() && record.started_ms <= marked->second.started_ms) {
        announcement.leaving = true;
    }
    const auto order = [](const auto& run) { return std::pair{run.started_ms, run.sequence}; };
    const auto removed = removed_runs_.find(record.id);
    // A store that comes back from an older copy lists replicas again that have left. One that
    // lives announces itself with a later sequence.
    if (removed != removed_runs_.end() && order(record) <= order(removed->second)) {
        return announcement_effect::stale;
    }
    first_seen_.try_emplace(software_version_id(announcement.service, announcement.software), now);
    const auto [it, added] = entries_.try_emplace(announcement.id);
    entry& known = it->second;
    if (added) {
        if (removed != removed_runs_.end()) {
            known.started_at = record.started_ms > removed->second.started_ms ? now : time_point{};
            removed_runs_.erase(removed);
        }
        known.cold_until = now + announcement.cold_left;
        known.announcement = announcement;
        known.presence =
            announcement.leaving ? replica_presence::leaving : replica_presence::present;
        changed_ = true;
        return announcement_effect::added;
    }
    if (order(announcement) < order(known.announcement)) {
        return announcement_effect::stale;
    }
    const bool restarted = announcement.started_ms > known.announcement.started_ms;
    if (restarted) {
        known.started_at = now;
    }
    known.cold_until = std::max(known.cold_until, now + announcement.cold_left);
    const bool left = announcement.leaving && known.presence == replica_presence::present;
    // A replica that is leaving never becomes present again within the same run.
    const bool leaving =
        announcement.leaving || (!restarted && known.presence == replica_presence::leaving);
    const auto presence = leaving ? replica_presence::leaving : replica_presence::present;
    const bool same = presence == known.presence && !restarted &&
                      spec_of(known.announcement) == spec_of(announcement) &&
                      known.announcement.service == announcement.service;
    known.announcement = announcement;
    known.presence = presence;
    if (same) {
        return announcement_effect::none;
    }
    changed_ = true;
    if (left) {
        return announcement_effect::left;
    }
    return restarted ? announcement_effect::restarted : announcement_effect::updated;
}

replica_directory::removed_run replica_directory::removed_run_of(const entry& item, time_point now)
{
    return {item.announcement.started_ms, item.announcement.sequence, now};
}

bool replica_directory::withdraw(const upstream_id& id, time_point now)
{
    const auto it = entries_.find(id);
    if (it == entries_.end() || it->second.presence == replica_presence::withdrawn) {
        return false;
    }
    if (it->second.presence == replica_presence::leaving) {
        removed_runs_[id] = removed_run_of(it->second, now);
        entries_.erase(it);
        return false;
    }
    if (now - burst_started_at_ > burst_window) {
        burst_started_at_ = now;
        burst_withdrawals_ = 0;
    }
    ++burst_withdrawals_;
    it->second.presence = replica_presence::withdrawn;
    it->second.expires_at = now + settings_.withdrawn_grace;
    const double share =
        static_cast<double>(burst_withdrawals_) / static_cast<double>(entries_.size());
    if (share >= settings_.store_outage_share) {
        for (auto& [other, item] : entries_) {
            if (item.presence == replica_presence::withdrawn) {
                item.expires_at = burst_started_at_ + settings_.store_outage_grace;
            }
        }
    }
    return true;
}

bool replica_directory::mark_leaving(const upstream_id& id, std::uint64_t started_ms,
                                     time_point now)
{
    const auto known = leaving_runs_.find(id);
    if (known != leaving_runs_.end() && known->second.started_ms >= started_ms) {
        return false;
    }
    leaving_runs_[id] = {started_ms, now};
    const auto it = entries_.find(id);
    if (it != entries_.end() && it->second.announcement.started_ms <= started_ms &&
        it->second.presence != replica_presence::leaving) {
        it->second.presence = replica_presence::leaving;
        changed_ = true;
    }
    return true;
}

void replica_directory::retire(const upstream_id& id)
{
    const auto it = entries_.find(id);
    if (it != entries_.end() && it->second.presence != replica_presence::leaving) {
        it->second.presence = replica_presence::leaving;
        changed_ = true;
    }
}

std::size_t replica_directory::replace_all(const std::vector<replica_announcement>& announcements,
                                           time_point now)
{
    std::set<upstream_id> seen;
    for (const auto& announcement : announcements) {
        seen.insert(announcement.id);
        announce(announcement, now);
    }
    std::vector<upstream_id> missing;
    for (const auto& [id, item] : entries_) {
        if (!seen.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto& id : missing) {
        withdraw(id, now);
    }
    return missing.size();
}

bool replica_directory::tick(time_point now)
{
    std::erase_if(leaving_runs_, [&](const auto& item) {
        return now - item.second.marked_at > settings_.leaving_memory;
    });
    std::erase_if(removed_runs_, [&](const auto& item) {
        return now - item.second.removed_at > settings_.leaving_memory;
    });
    const auto n = std::erase_if(entries_, [&](const auto& item) {
        const bool expired =
            item.second.presence == replica_presence::withdrawn && now >= item.second.expires_at;
        if (expired) {
            removed_runs_[item.first] = removed_run_of(item.second, now);
        }
        return expired;
    });
    return std::exchange(changed_, false) || n > 0;
}

const replica_directory::entry* replica_directory::find(const upstream_id& id) const
{
    const auto it = entries_.find(id);
    return it == entries_.end() ? nullptr : &it->second;
}

std::map<upstream_id, upstream_spec> replica_directory::upstreams() const
{
    std::map<upstream_id, upstream_spec> out;
    for (const auto& [id, item] : entries_) {
        if (item.presence != replica_presence::leaving) {
            out.emplace(id, spec_of(item.announcement));
        }
    }
    return out;
}

std::vector<std::string> replica_directory::software_versions_of(std::string_view service) const
{
    return software_versions_of(service, [](const replica_announcement&) { return true; });
}

std::vector<std::string> replica_directory::software_versions_of(
    std::string_view service, const std::function<bool(const replica_announcement&)>& usable) const
{
    std::set<std::string> found;
    for (const auto& [id, item] : entries_) {
        if (item.announcement.service == service && item.presence != replica_presence::leaving &&
            usable(item.announcement)) {
            found.insert(item.announcement.software);
        }
    }
    return {found.begin(), found.end()};
}

time_point replica_directory::first_seen(const version_id& version) const
{
    const auto it = first_seen_.find(version);
    return it == first_seen_.end() ? time_point{} : it->second;
}

upstream_spec replica_directory::spec_of(const replica_announcement& announcement) const
{
    upstream_spec spec;
    spec.kind = upstream_kind::engine;
    spec.address = announcement.address;
    spec.failure_domain = announcement.failure_domain;
    const auto region = regions_.find(announcement.failure_domain);
    spec.region = region == regions_.end() ? region_id{} : region->second;
    spec.versions = {software_version_id(announcement.service, announcement.software)};
    spec.slots = announcement.slots;
    return spec;
}

} // namespace wagtailhitch
