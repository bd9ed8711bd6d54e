#include "proxy/peer_table.hpp"

#include <algorithm>
#include <utility>

namespace wagtailhitch {

namespace {

/// Reports of a gone peer are kept for this many timeouts, so that its address is tried again.
constexpr int timeouts_until_forgotten = 4;

/// Loads must be newer than the work of a typical request.
constexpr duration shortest_report_interval = 200ms;
/// Datagrams a second to and from all peers together.
constexpr int datagrams_per_second = 50;
/// A peer is gone when it has missed this many reports.
constexpr int missed_reports = 4;

} // namespace

peer_table::peer_table(process_id self, std::string address, duration timeout)
    : self_{std::move(self)}, address_{std::move(address)}, timeout_{timeout}
{
}

bool peer_table::is_live(const peer& item, time_point now) const
{
    return now - item.heard_at <= std::max(timeout_, interval_for(peers_.size()) * missed_reports);
}

duration peer_table::interval_for(std::size_t peers)
{
    const duration spread = duration{1s} * static_cast<int>(peers) / datagrams_per_second;
    return std::max(shortest_report_interval, spread);
}

duration peer_table::report_interval(time_point now) const
{
    return interval_for(live(now));
}

std::size_t peer_table::known() const
{
    std::size_t out = peers_.size();
    for (const auto& address : known_addresses_) {
        const bool reports = std::ranges::any_of(
            peers_, [&](const auto& item) { return item.second.report.address == address; });
        out += reports ? 0 : 1;
    }
    return out;
}

bool peer_table::take(const peer_report& report, time_point now)
{
    if (report.from.vm == self_.vm) {
        return false;
    }
    peer& known = peers_[report.from.vm];
    const auto order = [](const peer_report& r) { return std::pair{r.from.run, r.sequence}; };
    if (known.heard_at != time_point{} && order(report) <= order(known.report)) {
        return false;
    }
    known = {report, now};
    return true;
}

void peer_table::add_address(const std::string& address)
{
    if (address != address_ &&
        std::ranges::find(known_addresses_, address) == known_addresses_.end()) {
        known_addresses_.push_back(address);
    }
}

void peer_table::forget_gone(time_point now)
{
    std::erase_if(peers_, [&](const auto& item) {
        return now - item.second.heard_at > timeout_ * timeouts_until_forgotten;
    });
}

std::size_t peer_table::live(time_point now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(peers_, [&](const auto& item) { return is_live(item.second, now); }));
}

std::vector<std::string> peer_table::addresses(std::uint64_t round, time_point now) const
{
    std::vector<std::string> out;
    std::vector<std::string> silent = known_addresses_;
    for (const auto& [vm, item] : peers_) {
        std::erase(silent, item.report.address);
        (is_live(item, now) ? out : silent).push_back(item.report.address);
    }
    // One silent address a round finds peers that return at little cost.
    if (!silent.empty()) {
        out.push_back(silent[round % silent.size()]);
    }
    return out;
}

std::vector<heard_report> peer_table::heard(time_point now) const
{
    std::vector<heard_report> out;
    for (const auto& [vm, item] : peers_) {
        if (is_live(item, now)) {
            out.push_back({item.report.from, item.report.sequence});
        }
    }
    return out;
}

std::map<upstream_id, std::uint32_t> peer_table::loads(time_point now) const
{
    std::map<upstream_id, std::uint32_t> out;
    for (const auto& [vm, item] : peers_) {
        if (!is_live(item, now)) {
            continue;
        }
        for (const auto& load : item.report.loads) {
            out[load.upstream] += load.in_flight;
        }
    }
    return out;
}

std::size_t peer_table::rank(time_point now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(peers_, [&](const auto& item) {
        return is_live(item.second, now) && !item.second.report.leaving && item.first < self_.vm;
    }));
}

bool peer_table::ahead_of(log_offset position, time_point now) const
{
    return std::ranges::any_of(peers_, [&](const auto& item) {
        return is_live(item.second, now) && item.second.report.position > position;
    });
}

} // namespace wagtailhitch
