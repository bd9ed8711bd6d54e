#include "proxy/peer_table.hpp"

#include <algorithm>
#include <utility>

namespace wagtailhitch {

namespace {

/// The report of a peer is kept for this many timeouts, so that its address is tried again.
constexpr int timeouts_until_removed = 4;

/// Reported loads must be more recent than the duration of a typical request.
constexpr duration min_report_interval = 200ms;
/// Datagrams per second to and from all members together.
constexpr int datagrams_per_second = 50;
/// Digests per second from all other domains together; each crosses the links of the domains once.
constexpr int digests_per_second = 10;
/// A peer that has missed more reports than this is not live.
constexpr int max_missed_reports = 4;

duration send_interval(std::size_t senders, int per_second)
{
    return std::max(min_report_interval, duration{1s} * static_cast<int>(senders) / per_second);
}

std::pair<std::uint64_t, std::uint64_t> sequence_key(const peer_report& report)
{
    return {report.from.run, report.sequence};
}

} // namespace

peer_table::peer_table(peer_table_settings settings) : settings_{std::move(settings)} {}

bool peer_table::is_live(const peer& item, time_point now) const
{
    const duration interval = send_interval(members_.size(), datagrams_per_second);
    return now - item.received_at <= std::max(settings_.timeout, interval * max_missed_reports);
}

bool peer_table::is_live_domain(const peer& item, time_point now) const
{
    return now - item.received_at <=
           std::max(settings_.timeout, digest_interval() * max_missed_reports);
}

duration peer_table::report_interval(time_point now) const
{
    return send_interval(live_members(now), datagrams_per_second);
}

duration peer_table::digest_interval() const
{
    return send_interval(domains_.size(), digests_per_second);
}

std::size_t peer_table::known_members() const
{
    std::size_t out = members_.size();
    const auto it = known_addresses_.find(settings_.domain);
    if (it == known_addresses_.end()) {
        return out;
    }
    for (const auto& address : it->second) {
        const bool reports = std::ranges::any_of(
            members_, [&](const auto& item) { return item.second.report.address == address; });
        out += reports ? 0 : 1;
    }
    return out;
}

std::size_t peer_table::known() const
{
    std::map<failure_domain_id, std::size_t> others;
    for (const auto& [domain, addresses] : known_addresses_) {
        others[domain] = addresses.size();
    }
    for (const auto& [domain, item] : domains_) {
        others[domain] = std::max<std::size_t>(others[domain], item.report.members);
    }
    others.erase(settings_.domain);
    std::size_t out = known_members();
    for (const auto& [domain, count] : others) {
        out += count;
    }
    return out;
}

bool peer_table::take(const peer_report& report, time_point now)
{
    const bool digest = report.scope == report_scope::domain;
    if (report.from.vm == settings_.self.vm || digest == (report.domain == settings_.domain)) {
        return false;
    }
    peer& known = digest ? domains_[report.domain] : members_[report.from.vm];
    const bool same_sender = known.report.from.vm == report.from.vm;
    if (known.received_at != time_point{} && same_sender &&
        sequence_key(report) <= sequence_key(known.report)) {
        return false;
    }
    known = {report, now};
    return true;
}

void peer_table::add_address(const std::string& address, const failure_domain_id& domain)
{
    auto& known = known_addresses_[domain];
    if (address != settings_.address && std::ranges::find(known, address) == known.end()) {
        known.push_back(address);
    }
}

std::map<failure_domain_id, std::vector<std::string>> peer_table::registered() const
{
    auto out = known_addresses_;
    out[settings_.domain].push_back(settings_.address);
    for (auto& [domain, addresses] : out) {
        std::ranges::sort(addresses);
    }
    return out;
}

void peer_table::remove_expired(time_point now)
{
    const auto expired = [&](const auto& item) {
        return now - item.second.received_at > settings_.timeout * timeouts_until_removed;
    };
    std::erase_if(members_, expired);
    std::erase_if(domains_, expired);
}

std::size_t peer_table::live_members(time_point now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        members_, [&](const auto& item) { return is_live(item.second, now); }));
}

std::size_t peer_table::live(time_point now) const
{
    return live_members(now) +
           static_cast<std::size_t>(std::ranges::count_if(
               domains_, [&](const auto& item) { return is_live_domain(item.second, now); }));
}

std::vector<std::string> peer_table::member_addresses(time_point now) const
{
    std::vector<std::string> out;
    for (const auto& [vm, item] : members_) {
        if (is_live(item, now)) {
            out.push_back(item.report.address);
        }
    }
    return out;
}

std::vector<std::string> peer_table::member_names(time_point now) const
{
    std::vector<std::string> out;
    for (const auto& [vm, item] : members_) {
        if (is_live(item, now)) {
            out.push_back(vm.value);
        }
    }
    return out;
}

std::vector<std::string> peer_table::addresses(std::uint64_t round, time_point now) const
{
    std::vector<std::string> out = member_addresses(now);
    std::vector<std::string> silent;
    if (const auto it = known_addresses_.find(settings_.domain); it != known_addresses_.end()) {
        silent = it->second;
    }
    for (const auto& [vm, item] : members_) {
        std::erase(silent, item.report.address);
        if (!is_live(item, now)) {
            silent.push_back(item.report.address);
        }
    }
    // One address per round that is not live: detects returning members at little cost.
    if (!silent.empty()) {
        out.push_back(silent[round % silent.size()]);
    }
    return out;
}

std::vector<std::string> peer_table::digest_addresses(std::uint64_t round, time_point now) const
{
    std::vector<std::string> out;
    for (const auto& [domain, item] : domains_) {
        if (is_live_domain(item, now)) {
            out.push_back(item.report.address);
        }
    }
    for (const auto& [domain, addresses] : known_addresses_) {
        const auto it = domains_.find(domain);
        const bool received = it != domains_.end() && is_live_domain(it->second, now);
        if (domain != settings_.domain && !received && !addresses.empty()) {
            out.push_back(addresses[round % addresses.size()]);
        }
    }
    return out;
}

std::vector<received_report> peer_table::received(report_scope scope, time_point now) const
{
    std::vector<received_report> out;
    if (scope == report_scope::vm) {
        for (const auto& [vm, item] : members_) {
            if (is_live(item, now)) {
                out.push_back({item.report.from, item.report.sequence});
            }
        }
        return out;
    }
    for (const auto& [domain, item] : domains_) {
        if (is_live_domain(item, now)) {
            out.push_back({item.report.from, item.report.sequence});
        }
    }
    return out;
}

void peer_table::add_loads(const peer_report& report, std::map<upstream_id, std::uint32_t>& out)
{
    for (const auto& load : report.loads) {
        out[load.upstream] += load.in_flight;
    }
}

std::map<upstream_id, std::uint32_t> peer_table::member_loads(time_point now) const
{
    std::map<upstream_id, std::uint32_t> out;
    for (const auto& [vm, item] : members_) {
        if (is_live(item, now)) {
            add_loads(item.report, out);
        }
    }
    return out;
}

std::map<upstream_id, std::uint32_t> peer_table::loads(time_point now) const
{
    auto out = member_loads(now);
    for (const auto& [domain, item] : domains_) {
        if (is_live_domain(item, now)) {
            add_loads(item.report, out);
        }
    }
    return out;
}

std::size_t peer_table::member_rank(bool leaving, time_point now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(members_, [&](const auto& item) {
        return is_live(item.second, now) && !item.second.report.leaving &&
               (leaving || item.first < settings_.self.vm);
    }));
}

std::optional<std::string> peer_table::speaker_address(bool leaving, time_point now) const
{
    for (const auto& [vm, item] : members_) {
        if (is_live(item, now) && !item.report.leaving && (leaving || vm < settings_.self.vm)) {
            return item.report.address;
        }
    }
    return std::nullopt;
}

std::size_t peer_table::rank(bool leaving, time_point now) const
{
    const std::size_t members = member_rank(leaving, now);
    const auto domains = std::ranges::count_if(domains_, [&](const auto& item) {
        return is_live_domain(item.second, now) && (members > 0 || item.first < settings_.domain);
    });
    return members + static_cast<std::size_t>(domains);
}

std::optional<std::string> peer_table::address_with_lost_configuration(revision known,
                                                                       log_position position,
                                                                       time_point now) const
{
    const auto beyond = [&](const peer_report& report) {
        return report.configuration > known && report.position <= position;
    };
    for (const auto& [vm, item] : members_) {
        if (is_live(item, now) && beyond(item.report)) {
            return item.report.address;
        }
    }
    for (const auto& [domain, item] : domains_) {
        if (is_live_domain(item, now) && beyond(item.report)) {
            return item.report.address;
        }
    }
    return std::nullopt;
}

std::optional<std::string> peer_table::address_of_peer_ahead(followed_stream stream,
                                                             log_position position, bool speaker,
                                                             time_point now) const
{
    const auto position_of = [stream](const peer_report& report) {
        return stream == followed_stream::operators ? report.position : report.replica_position;
    };
    const peer_report* best = nullptr;
    const auto consider = [&](const peer& item, bool is_candidate) {
        const log_position known = best == nullptr ? position : position_of(*best);
        if (is_candidate && position_of(item.report) > known) {
            best = &item.report;
        }
    };
    for (const auto& [vm, item] : members_) {
        consider(item, is_live(item, now));
    }
    if (best == nullptr && speaker) {
        for (const auto& [domain, item] : domains_) {
            consider(item, is_live_domain(item, now));
        }
    }
    return best == nullptr ? std::nullopt : std::optional{best->address};
}

} // namespace wagtailhitch
