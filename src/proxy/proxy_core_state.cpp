#include "proxy/proxy_core.hpp"

#include <algorithm>
#include <array>

// The part of proxy_core that maintains what the VM knows of the configuration, the replicas, its
// peers and roll-outs. Decisions on single requests are in proxy_core.cpp.

namespace wagtailhitch {

namespace {

/// Longest time for which a VM that has started waits for the first report of another one. Members
/// of a failure domain that know each other's addresses report several times in it.
constexpr duration first_report_wait = 1s;

} // namespace

bool proxy_core::set_catalog(std::shared_ptr<const proxy_catalog> catalog)
{
    if (catalog_ && catalog->version() <= catalog_->version()) {
        return false;
    }
    catalog_ = std::move(catalog);
    return true;
}

void proxy_core::confirm(time_point asked_at)
{
    if (awaits_first_report(asked_at)) {
        unchecked_confirmation_ = asked_at;
        return;
    }
    if (!peer_with_lost_configuration(asked_at)) {
        confirmed_at_ = std::max(confirmed_at_, asked_at);
    }
}

// A store that does not number its epochs loses nothing.
std::optional<std::string> proxy_core::peer_with_lost_configuration(time_point now) const
{
    const log_position& read_to = view(followed_stream::operators).read_to;
    if (!catalog_ || read_to.epoch == log_epoch{}) {
        return std::nullopt;
    }
    return peers_.address_with_lost_configuration(catalog_->version(), read_to, now);
}

// A store that numbers its epochs may have come back from an older copy just before this VM read
// it. The VMs that ran before know of the configurations that it lost.
bool proxy_core::awaits_first_report(time_point now) const
{
    const bool alone = vms_known_ && peers_.known() == 0;
    return view(followed_stream::operators).read_to.epoch != log_epoch{} && !alone &&
           peers_.live(now) == 0 && now - started_at_ < first_report_wait;
}

void proxy_core::confirm_unchecked(time_point now)
{
    if (unchecked_confirmation_ && !awaits_first_report(now)) {
        const time_point asked_at = *std::exchange(unchecked_confirmation_, std::nullopt);
        if (!peer_with_lost_configuration(now)) {
            confirmed_at_ = std::max(confirmed_at_, asked_at);
        }
    }
}

void proxy_core::note_position(followed_stream stream, log_position changed_at,
                               log_position read_to)
{
    followed_stream_state& known = streams_[static_cast<std::size_t>(stream)];
    if (stream == followed_stream::operators && known.read_to.epoch != read_to.epoch) {
        confirmed_before_epoch_ = confirmed_at_;
    }
    known.changed_at = changed_at;
    known.read_to = read_to;
}

void proxy_core::note_read(followed_stream stream, time_point asked_at)
{
    confirm(stream, view(stream).changed_at, asked_at);
}

// A read that found the last change at `changed_at` confirms the stream only if this VM has read
// that change. A read of another epoch confirms nothing.
void proxy_core::confirm(followed_stream stream, log_position changed_at, time_point asked_at)
{
    followed_stream_state& known = streams_[static_cast<std::size_t>(stream)];
    if (known.read_to.epoch == changed_at.epoch && known.read_to >= changed_at) {
        known.confirmed_at = std::max(known.confirmed_at, asked_at);
    }
}

// The order of a roll-out is written before its replicas start. A read that began after the first
// of them was seen has therefore found the order, if there is one.
bool proxy_core::is_verified_software(const std::string& service, const std::string& software) const
{
    return directory_.first_seen(software_version_id(service, software)) <=
           view(followed_stream::operators).confirmed_at;
}

bool proxy_core::has_unverified_software() const
{
    return std::ranges::any_of(directory_.entries(), [this](const auto& item) {
        const replica_announcement& replica = item.second.announcement;
        return !is_verified_software(replica.service, replica.software);
    });
}

bool proxy_core::must_read_operators(time_point now) const
{
    return sends_domain_digest(now) && has_unverified_software();
}

std::optional<std::string> proxy_core::peer_with_newer_records(followed_stream stream,
                                                               time_point now) const
{
    return peers_.address_of_peer_ahead(stream, view(stream).read_to, sends_domain_digest(now),
                                        now);
}

duration proxy_core::until_read(followed_stream stream, time_point now) const
{
    return schedule_.until_read(member_rank(now), now - view(stream).confirmed_at);
}

duration proxy_core::until_retry(unsigned failures, time_point now) const
{
    return schedule_.until_retry(member_rank(now), failures);
}

bool proxy_core::sends_domain_digest(time_point now) const
{
    return member_rank(now) == 0;
}

void proxy_core::set_configuration_age_limits(duration key_validity,
                                              duration definitive_refusal_age)
{
    settings_.key_validity = key_validity;
    settings_.definitive_refusal_age = definitive_refusal_age;
}

void proxy_core::note_address_reused(const upstream_id& id, time_point now)
{
    counters_.count("replicas_replaced_total").add();
    directory_.retire(id);
    if (directory_.tick(now)) {
        refresh_pool(now);
    }
}

bool proxy_core::take_report(const peer_report& report, time_point now)
{
    if (!peers_.take(report, now)) {
        return false;
    }
    confirm_by_peer(report);
    if (peer_with_lost_configuration(now)) {
        confirmed_at_ = std::min(confirmed_at_, confirmed_before_epoch_);
    }
    confirm_unchecked(now);
    rollouts_.take(report, now);
    const bool member = report.scope == report_scope::vm;
    if (!report.calibration.empty()) {
        calibration_.take(member ? report.from.vm.value : report.domain.value,
                          member ? calibration_source::member : calibration_source::other_domain,
                          report.calibration, now);
    }
    take_quarantine(report, now);
    take_leaving(report, now);
    for (const auto& item : report.unreachable_replicas) {
        time_point& known = unreachable_at_[item.upstream];
        known = std::max(known, now - item.age);
    }
    const auto source = member ? session_source::member : session_source::other_domain;
    for (const auto& item : report.sessions) {
        sessions_.remember(item.session, item.software, now - item.age, source);
    }
    return true;
}

void proxy_core::take_quarantine(const peer_report& report, time_point now)
{
    const bool member = report.scope == report_scope::vm;
    quarantine_.take(member ? report.from.vm.value : report.domain.value, report.part_evidence,
                     now);
    for (const auto& imposed : report.quarantined) {
        quarantine_.adopt(imposed, now);
    }
}

void proxy_core::take_leaving(const peer_report& report, time_point now)
{
    for (const auto& item : report.leaving_replicas) {
        directory_.mark_leaving(item.upstream, item.started_ms, now);
    }
    if (directory_.tick(now)) {
        refresh_pool(now);
    }
}

void proxy_core::fill_quarantine(peer_report& report, time_point now) const
{
    std::vector<std::string> members;
    if (report.scope == report_scope::domain) {
        members = peers_.member_names(now);
    }
    report.part_evidence = quarantine_.evidence(members, now);
    report.quarantined = quarantine_.reported(now);
}

// The report states the age of the peer's read when it was sent, and it was sent after the peer had
// received the acknowledged report of this VM. The time at which that report was made, less the
// age, is therefore not later than the start of the peer's read.
void proxy_core::confirm_by_peer(const peer_report& report)
{
    const bool same_catalog = catalog_ && report.configuration == catalog_->version();
    for (const auto& received : report.received) {
        const bool known = received.sequence <= report_sequence_ &&
                           report_sequence_ - received.sequence < reports_made_at_.size();
        if (received.from == settings_.self && known) {
            const time_point sent = reports_made_at_[received.sequence % reports_made_at_.size()];
            if (same_catalog) {
                confirm(sent - report.confirmed_age);
            }
            confirm(followed_stream::operators, report.position, sent - report.confirmed_age);
            confirm(followed_stream::replicas, report.replica_position, sent - report.replica_age);
        }
    }
}

peer_report proxy_core::make_report(report_scope scope, time_point now)
{
    const bool digest = scope == report_scope::domain;
    peer_report report;
    report.scope = scope;
    report.domain = settings_.failure_domain;
    report.members = static_cast<std::uint32_t>(peers_.known_members() + 1);
    report.from = settings_.self;
    report.address = settings_.report_address;
    report.sequence = ++report_sequence_;
    reports_made_at_[report_sequence_ % reports_made_at_.size()] = now;
    report.received = peers_.received(scope, now);
    report.configuration = catalog_ ? catalog_->version() : 0;
    report.position = view(followed_stream::operators).changed_at;
    report.confirmed_age = configuration_age(now);
    report.replica_position = view(followed_stream::replicas).changed_at;
    report.replica_age = now - view(followed_stream::replicas).confirmed_at;
    report.leaving = stopping_;
    auto loads = digest ? peers_.member_loads(now) : std::map<upstream_id, std::uint32_t>{};
    for (const auto& [id, entry] : directory_.entries()) {
        const auto replica = pool_.find(id);
        const std::uint32_t in_flight =
            (replica ? pool_.load(*replica).in_flight : 0) + (digest ? loads[id] : 0);
        if (in_flight > 0) {
            report.loads.push_back({id, in_flight});
        }
    }
    rollouts_.fill(report, now);
    report.sessions = sessions_.exposed(
        settings_.rollout, digest ? session_source::member : session_source::self, now);
    fill_quarantine(report, now);
    for (const auto& [id, run] : directory_.leaving_runs()) {
        if (now - run.marked_at <= settings_.leaving_report_time) {
            report.leaving_replicas.push_back({id, run.started_ms});
        }
    }
    for (const auto& [id, at] : unreachable_at_) {
        if (now - at <= settings_.unreachable_report_time) {
            report.unreachable_replicas.push_back({id, now - at});
        }
    }
    time_point& next = next_calibration_report_[static_cast<std::size_t>(scope)];
    if (now >= next) {
        next = now + settings_.calibration_interval;
        report.calibration = calibration_.report(digest, now);
    }
    return report;
}

std::vector<rollout_publication> proxy_core::tick(time_point now)
{
    peers_.remove_expired(now);
    confirm_unchecked(now);
    for (auto& [service, budget] : retry_budgets_) {
        budget.set_capacity(repeat_capacity());
    }
    if (settings_.link_bytes_per_second > 0) {
        link_.set_rate(settings_.link_bytes_per_second / sharing_vms(), now);
    }
    sessions_.sweep(now);
    // A record counts even if its replica is leaving: until it has gone, the store may list the
    // version again after an outage.
    rollouts_.sweep(
        [this](const std::string& service, const std::string& software) {
            return std::ranges::any_of(directory_.entries(), [&](const auto& item) {
                const replica_announcement& replica = item.second.announcement;
                return replica.service == service && replica.software == software;
            });
        },
        now);
    refresh_cold_replicas(now);
    if (directory_.tick(now)) {
        refresh_pool(now);
    }
    refresh_loads(now);
    for (const auto& [domain, since] : evacuations_.in_force()) {
        counters_.level("evacuated_requests_running", {{"failure_domain", domain.value}})
            .set(requests_running_in(domain));
    }
    evaluate_rollouts(now);
    quarantine_.set_report_delay(peers_.report_interval(now) + peers_.digest_interval());
    quarantine_.evaluate(now);
    publish_calibration(now);
    return rollouts_.publications(peers_.rank(stopping_, now), now);
}

void proxy_core::refresh_cold_replicas(time_point now)
{
    if (vms_known_) {
        cold_.set_members(peers_.registered());
    }
    cold_.sweep(now);
    // Longer than any use of the times.
    constexpr duration kept{60s};
    std::erase_if(unreachable_at_, [&](const auto& item) { return now - item.second > kept; });
    std::erase_if(evacuation_ended_at_, [&](const auto& item) { return now - item.second > kept; });
    const bool bounded = catalog_ && std::ranges::any_of(catalog_->services(), [](const auto& it) {
                             return it.cold_rate > 0;
                         });
    if (!bounded && cold_replicas_.empty()) {
        return;
    }
    std::set<upstream_id> cold;
    for (const auto& [id, entry] : directory_.entries()) {
        if (is_cold(id, now)) {
            cold.insert(id);
            if (!cold_replicas_.contains(id)) {
                cold_changes_.push_back({id, true});
            }
        }
    }
    for (const auto& id : cold_replicas_) {
        if (!cold.contains(id)) {
            cold_changes_.push_back({id, false});
        }
    }
    cold_replicas_ = std::move(cold);
    counters_.level("cold_replicas").set(static_cast<double>(cold_replicas_.size()));
}

bool proxy_core::has_only_cold_replicas(const admission& admitted, time_point now) const
{
    bool found = false;
    for (const auto& [id, entry] : directory_.entries()) {
        if (entry.announcement.service != admitted.service ||
            entry.presence == replica_presence::leaving ||
            !allows_domain(admitted, entry.announcement.failure_domain)) {
            continue;
        }
        if (!is_cold(id, now)) {
            return false;
        }
        found = true;
    }
    return found;
}

void proxy_core::publish_calibration(time_point now)
{
    if (now < next_calibration_metrics_) {
        return;
    }
    next_calibration_metrics_ = now + settings_.calibration_interval;
    calibration_.sweep(now);
    for (const engine_key& engine : calibration_.engines()) {
        const metric_labels labels{{"service", engine.service},
                                   {"software", engine.software},
                                   {"model", std::to_string(engine.model)}};
        const first_token_model model = calibration_.model(engine, now);
        counters_.level("engine_first_token_base_seconds", labels).set(model.base);
        counters_.level("engine_prompt_token_seconds", labels).set(model.per_token);
        counters_.level("engine_load_growth", labels).set(model.load_growth);
        counters_.level("engine_calibration_answers", labels).set(calibration_.answers(engine));
    }
}

void proxy_core::evaluate_rollouts(time_point now)
{
    std::vector<std::string> routes;
    if (catalog_) {
        for (const auto& route : catalog_->routes()) {
            routes.push_back(route.name);
        }
    }
    const auto surroundings = [this](const std::string& service, const std::string& target) {
        rollout_context out;
        out.old_software = directory_.software_versions_of(service);
        std::erase(out.old_software, target);
        for (const auto& [id, entry] : directory_.entries()) {
            const auto replica = pool_.find(id);
            if (replica && entry.announcement.service == service &&
                entry.announcement.software != target) {
                const replica_load& load = pool_.load(*replica);
                out.old_in_flight +=
                    static_cast<std::uint32_t>(std::max<double>(load.reported, load.in_flight));
            }
        }
        return out;
    };
    const std::size_t halted = rollouts_.evaluate(routes, surroundings, now);
    counters_.count("rollouts_halted_total").add(halted);
}

void proxy_core::refresh_pool(time_point now)
{
    auto upstreams = directory_.upstreams();
    for (auto& [id, spec] : upstreams) {
        spec.versions.push_back(
            software_version_id(directory_.find(id)->announcement.service, any_software));
    }
    pool_.configure(upstreams, now);
    for (const auto& [id, spec] : upstreams) {
        pool_.set_health(id, replica_health::usable, directory_.find(id)->announcement.started_ms,
                         now);
    }
}

void proxy_core::refresh_loads(time_point now)
{
    auto sums = peers_.loads(now);
    for (const auto& [id, entry] : directory_.entries()) {
        const auto replica = pool_.find(id);
        if (replica) {
            const std::uint32_t own = pool_.load(*replica).in_flight;
            pool_.report_load(id, {.running = own + sums[id], .waiting = 0, .age = duration{0}},
                              now);
        }
    }
}

readiness proxy_core::ready(time_point now) const
{
    if (stopping_) {
        return {false, "The VM is shutting down."};
    }
    if (!catalog_) {
        return {false, "No configuration is known yet."};
    }
    if (configuration_age(now) > settings_.key_validity) {
        return {false, "The configuration is not confirmed."};
    }
    for (const auto& route : catalog_->routes()) {
        const bool served = std::ranges::any_of(route.services, [this](const auto& share) {
            return !directory_.software_versions_of(share.service).empty();
        });
        if (!served) {
            return {false, "No replica of a service is known: " + route.services.front().service};
        }
    }
    return {true, {}};
}

} // namespace wagtailhitch
