#include "routing/replica_pool.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wagtailhitch {

namespace {

// Ratios of observed to predicted time are clamped to this range; more extreme values carry no
// further information.
constexpr double min_ratio = 0.25;
constexpr double max_ratio = 64;

constexpr std::uint32_t max_doublings = 16;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

double log_ratio(duration observed, duration predicted)
{
    const double ratio = seconds(observed) / std::max(seconds(predicted), 1e-3);
    return std::log(std::clamp(ratio, min_ratio, max_ratio));
}

duration average(duration mean, duration observed, double weight)
{
    if (mean == duration{0}) {
        return observed;
    }
    return mean + std::chrono::duration_cast<duration>((observed - mean) * weight);
}

} // namespace

replica_pool::replica_pool(pool_settings settings)
    : settings_{std::move(settings)}, outliers_{settings_.outliers}
{
}

void replica_pool::configure(const std::map<upstream_id, upstream_spec>& upstreams, time_point now)
{
    std::vector<replica_index> removed;
    for (const auto& [id, replica] : indexes_) {
        if (!upstreams.contains(id)) {
            removed.push_back(replica);
        }
    }
    for (const replica_index replica : removed) {
        remove(replica);
    }
    for (const auto& [id, spec] : upstreams) {
        const auto it = indexes_.find(id);
        if (it != indexes_.end()) {
            update(it->second, spec, now);
            continue;
        }
        const replica_index replica = allocate();
        indexes_[id] = replica;
        replicas_[replica].id = id;
        replicas_[replica].present = true;
        replicas_[replica].needs_slow_start = configured_;
        update(replica, spec, now);
    }
    configured_ = true;
}

void replica_pool::set_health(const upstream_id& upstream, replica_health health, std::uint64_t run,
                              time_point now)
{
    const auto it = indexes_.find(upstream);
    if (it == indexes_.end()) {
        return;
    }
    replica_view& replica = replicas_[it->second];
    const bool stale = run != 0 && run < replica.run;
    const bool restarted = replica.run != 0 && run > replica.run;
    if (stale) {
        return;
    }
    replica.run = std::max(replica.run, run);
    if (restarted) {
        restart(it->second);
    }
    if (replica.health != replica_health::leaving) {
        change_health(it->second, health, now);
    }
}

void replica_pool::set_loaded(const upstream_id& upstream, const std::vector<version_id>& loaded)
{
    const auto it = indexes_.find(upstream);
    if (it == indexes_.end() || loaded_[it->second] == loaded) {
        return;
    }
    remove_from_groups(it->second);
    loaded_[it->second] = loaded;
    add_to_groups(it->second);
}

void replica_pool::report_load(const upstream_id& upstream, const load_report& report,
                               time_point now)
{
    const auto it = indexes_.find(upstream);
    if (it == indexes_.end() || now - report.age < replicas_[it->second].load_at) {
        return;
    }
    const time_point measured = now - report.age;
    replica_load& load = loads_[it->second];
    attempt_log& log = attempts_[it->second];
    load.reported = static_cast<float>(report.running) + static_cast<float>(report.waiting);
    load.known = true;
    load.sent_since = 0;
    load.finished_since = 0;
    replicas_[it->second].load_at = measured;
    std::uint64_t first = log.next_sequence;
    const std::uint64_t oldest = first > attempt_log_size ? first - attempt_log_size : 0;
    while (first > oldest && log.sent[(first - 1) % attempt_log_size] > measured) {
        --first;
        load.sent_since += log.open[first % attempt_log_size] ? 1 : 0;
    }
    log.first_unreported = first;
    const std::uint64_t oldest_end = log.ends > attempt_log_size ? log.ends - attempt_log_size : 0;
    for (std::uint64_t i = log.ends; i > oldest_end; --i) {
        const sequence_time& end = log.ended[(i - 1) % attempt_log_size];
        if (end.at <= measured) {
            break;
        }
        load.finished_since += end.sequence < first ? 1 : 0;
    }
}

dispatch_ticket replica_pool::begin(replica_index replica, time_point now)
{
    attempt_log& log = attempts_[replica];
    const std::uint64_t sequence = log.next_sequence++;
    log.sent[sequence % attempt_log_size] = now;
    log.open[sequence % attempt_log_size] = true;
    ++loads_[replica].in_flight;
    ++loads_[replica].sent_since;
    const bool trial = outliers_.state(replica, now) == outlier_state::trial;
    if (trial) {
        outliers_.begin_trial(replica, now);
    }
    replica_view& view = replicas_[replica];
    const bool tests_hold = view.held != hold_reason::none;
    if (tests_hold) {
        view.hold_tested_at = now;
    }
    return {replica, view.generation, sequence, trial, tests_hold};
}

void replica_pool::hold(replica_index replica, hold_reason reason, time_point until)
{
    replica_view& it = replicas_.at(replica);
    if (it.held == hold_reason::none || until > it.held_until) {
        it.held = reason;
        it.held_until = until;
    }
    it.hold_tested_at = {};
}

bool replica_pool::hold_for_quiet(replica_index replica, duration quiet, time_point now)
{
    const replica_view& it = replicas_.at(replica);
    const time_point until = now + std::min(quiet, settings_.longest_quiet);
    if (it.held != hold_reason::none && until <= it.held_until) {
        return false;
    }
    hold(replica, hold_reason::asked_for_quiet, until);
    return true;
}

bool replica_pool::may_send(const dispatch_ticket& ticket, time_point now) const
{
    const replica_view& it = replicas_.at(ticket.replica);
    return it.present && it.generation == ticket.generation &&
           it.health == replica_health::usable &&
           (it.held == hold_reason::none || now >= it.held_until);
}

std::optional<duration> replica_pool::until_released(replica_index replica, time_point now) const
{
    const replica_view& it = replicas_.at(replica);
    const bool usable = it.present && it.health == replica_health::usable && now >= it.not_before &&
                        outliers_.admits(replica, now);
    if (!usable || !is_held(it, now)) {
        return std::nullopt;
    }
    return std::max<duration>(it.held_until - now, settings_.hold_test_poll);
}

void replica_pool::note_answered(const dispatch_ticket& ticket, time_point now)
{
    replica_view& it = replicas_.at(ticket.replica);
    if (it.present && it.generation == ticket.generation) {
        it.refusals = 0;
        // The replica may have asked for quiet again after the test was sent.
        if (ticket.tests_hold && now >= it.held_until) {
            it.held = hold_reason::none;
        }
    }
}

void replica_pool::hold_after_refused_connection(replica_index replica, time_point now)
{
    const std::uint32_t doublings = std::min(replicas_[replica].refusals++, max_doublings);
    const duration wait = settings_.first_refused_wait * (1LL << doublings);
    hold(replica, hold_reason::connection_refused,
         now + std::min<duration>(wait, settings_.longest_refused_wait));
}

void replica_pool::end_hold_test(const dispatch_ticket& ticket)
{
    if (ticket.tests_hold) {
        replicas_[ticket.replica].hold_tested_at = {};
    }
}

bool replica_pool::is_held(const replica_view& replica, time_point now) const
{
    const bool tested = replica.hold_tested_at != time_point{} &&
                        now - replica.hold_tested_at < settings_.hold_test_timeout;
    return replica.held != hold_reason::none && (now < replica.held_until || tested);
}

bool replica_pool::finish(const dispatch_ticket& ticket, const attempt_outcome& outcome,
                          time_point now)
{
    replica_view& replica = replicas_.at(ticket.replica);
    if (!replica.present || replica.generation != ticket.generation) {
        return false;
    }
    count_end(ticket, now);
    end_hold_test(ticket);
    if (outcome.connection_refused) {
        hold_after_refused_connection(ticket.replica, now);
    }
    if (outcome.result == attempt_result::cancelled) {
        if (outcome.overtaken) {
            record_overtaken(ticket.replica, outcome, now);
        }
        if (ticket.trial) {
            outliers_.abandon_trial(ticket.replica);
        }
        return false;
    }
    update_statistics(replica, outcome, now);
    const bool succeeded = outcome.result == attempt_result::succeeded;
    if (!ticket.trial) {
        const pool_ejections limit = succeeded ? pool_ejections{} : smallest_pool(ticket.replica);
        return outliers_.record(ticket.replica, succeeded, limit, now);
    }
    const bool ejected = outliers_.record_trial(ticket.replica, succeeded, now);
    if (!outliers_.out_of_service(ticket.replica)) {
        replica.needs_slow_start = true;
        replica.usable_since = now;
    }
    return ejected;
}

std::vector<replica_statistics> replica_pool::take_statistics()
{
    std::vector<replica_statistics> shares;
    for (const auto& [id, replica] : indexes_) {
        const outcome_counts counts = outliers_.take_counts(replica);
        if (counts.successes + counts.failures > 0) {
            shares.push_back({id, counts, std::exp(replicas_[replica].log_slowness)});
        }
    }
    return shares;
}

void replica_pool::merge_statistics(const replica_statistics& share, time_point now)
{
    const auto it = indexes_.find(share.upstream);
    if (it == indexes_.end()) {
        return;
    }
    const double ratio = std::clamp(share.slowness, min_ratio, max_ratio);
    record_slowness(replicas_[it->second], std::log(ratio), now);
    outliers_.merge(it->second, share.counts, smallest_pool(it->second), now);
}

std::optional<replica_index> replica_pool::find(const upstream_id& upstream) const
{
    const auto it = indexes_.find(upstream);
    return it == indexes_.end() ? std::nullopt : std::optional{it->second};
}

const replica_view& replica_pool::view(replica_index replica) const
{
    return replicas_[replica];
}

const replica_load& replica_pool::load(replica_index replica) const
{
    return loads_[replica];
}

bool replica_pool::holds(replica_index replica, const version_id& version) const
{
    return replicas_[replica].spec.kind == upstream_kind::engine &&
           std::ranges::find(loaded_[replica], version) != loaded_[replica].end();
}

std::span<const replica_index> replica_pool::members(const version_id& version,
                                                     locality distance) const
{
    const group* found = find_group(version.value, false);
    return found ? std::span{found->members[static_cast<std::size_t>(distance)]}
                 : std::span<const replica_index>{};
}

std::span<const replica_index> replica_pool::service_members(std::string_view service,
                                                             locality distance) const
{
    const group* found = find_group(service, true);
    return found ? std::span{found->members[static_cast<std::size_t>(distance)]}
                 : std::span<const replica_index>{};
}

bool replica_pool::admits(replica_index replica, time_point now) const
{
    const replica_view& it = replicas_[replica];
    return it.present && it.health == replica_health::usable && now >= it.not_before &&
           !is_held(it, now) && outliers_.admits(replica, now);
}

outlier_state replica_pool::outlier(replica_index replica, time_point now) const
{
    return outliers_.state(replica, now);
}

double replica_pool::capacity_share(replica_index replica, time_point now) const
{
    const replica_view& it = replicas_[replica];
    if (!it.needs_slow_start) {
        return 1;
    }
    const double elapsed = seconds(now - std::max(it.usable_since, it.not_before));
    return std::clamp(elapsed / seconds(settings_.slow_start), settings_.slow_start_floor, 1.0);
}

double replica_pool::slowness(replica_index replica, time_point now) const
{
    const replica_view& it = replicas_[replica];
    if (it.log_slowness == 0) {
        return 1;
    }
    const double age = seconds(now - it.slowness_at) / seconds(settings_.slowness_time_constant);
    return std::exp(it.log_slowness * std::exp(-age));
}

duration replica_pool::mean_total(replica_index replica) const
{
    const duration own = replicas_[replica].mean_total;
    return own == duration{0} ? pool_mean_total_ : own;
}

replica_index replica_pool::allocate()
{
    if (!free_.empty()) {
        const replica_index replica = free_.back();
        free_.pop_back();
        return replica;
    }
    replicas_.emplace_back();
    loads_.emplace_back();
    attempts_.emplace_back();
    loaded_.emplace_back();
    return static_cast<replica_index>(replicas_.size() - 1);
}

void replica_pool::remove(replica_index replica)
{
    remove_from_groups(replica);
    indexes_.erase(replicas_[replica].id);
    restart(replica);
    loaded_[replica].clear();
    const std::uint32_t generation = replicas_[replica].generation;
    replicas_[replica] = {};
    replicas_[replica].generation = generation;
    free_.push_back(replica);
}

// Resets the state of a replica whose process was replaced: what was learned about the old process
// does not apply to the new one.
void replica_pool::restart(replica_index replica)
{
    remove_from_groups(replica);
    replica_view& it = replicas_[replica];
    ++it.generation;
    it.health = replica_health::unknown;
    it.needs_slow_start = true;
    it.load_at = {};
    it.log_slowness = 0;
    it.mean_total = {};
    it.held = hold_reason::none;
    it.refusals = 0;
    const std::uint32_t slots = loads_[replica].slots;
    loads_[replica] = {};
    loads_[replica].slots = slots;
    attempts_[replica] = {};
    outliers_.reset(replica);
}

void replica_pool::update(replica_index replica, const upstream_spec& spec, time_point now)
{
    replica_view& it = replicas_[replica];
    if (it.spec == spec) {
        return;
    }
    remove_from_groups(replica);
    const bool moved = !it.spec.address.empty() && it.spec.address != spec.address;
    if (moved) {
        restart(replica);
        it.run = 0;
        it.usable_since = now;
    }
    if (it.spec.versions != spec.versions || moved) {
        loaded_[replica] = spec.versions;
    }
    it.spec = spec;
    it.distance = distance_to(spec);
    loads_[replica].slots = std::max(1U, spec.slots);
    add_to_groups(replica);
}

void replica_pool::add_to_groups(replica_index replica)
{
    const replica_view& it = replicas_[replica];
    if (!it.present || it.health != replica_health::usable) {
        return;
    }
    const auto distance = static_cast<std::size_t>(it.distance);
    if (it.spec.kind == upstream_kind::service) {
        services_[it.spec.service].members[distance].push_back(replica);
        return;
    }
    for (const version_id& version : loaded_[replica]) {
        versions_[version.value].members[distance].push_back(replica);
    }
}

void replica_pool::remove_from_groups(replica_index replica)
{
    for (auto* groups : {&versions_, &services_}) {
        for (auto& [name, item] : *groups) {
            for (auto& members : item.members) {
                std::erase(members, replica);
            }
        }
        std::erase_if(*groups, [](const auto& item) {
            return std::ranges::all_of(item.second.members,
                                       [](const auto& members) { return members.empty(); });
        });
    }
}

const replica_pool::group* replica_pool::find_group(std::string_view name, bool service) const
{
    const auto& groups = service ? services_ : versions_;
    const auto it = groups.find(name);
    return it == groups.end() ? nullptr : &it->second;
}

locality replica_pool::distance_to(const upstream_spec& spec) const
{
    if (spec.region != settings_.region) {
        return locality::remote;
    }
    return spec.failure_domain == settings_.failure_domain ? locality::domain : locality::region;
}

pool_ejections replica_pool::smallest_pool(replica_index replica) const
{
    const auto distance = static_cast<std::size_t>(replicas_[replica].distance);
    pool_ejections smallest;
    for (const auto* groups : {&versions_, &services_}) {
        for (const auto& [name, item] : *groups) {
            const auto& members = item.members[distance];
            if (std::ranges::find(members, replica) == members.end()) {
                continue;
            }
            const auto size = static_cast<std::uint32_t>(members.size());
            const auto ejected = std::ranges::count_if(
                members, [&](replica_index other) { return outliers_.out_of_service(other); });
            if (smallest.size == 0 || size < smallest.size) {
                smallest = {size, static_cast<std::uint32_t>(ejected)};
            }
        }
    }
    return smallest;
}

void replica_pool::change_health(replica_index replica, replica_health health, time_point now)
{
    replica_view& it = replicas_[replica];
    if (it.health == health) {
        return;
    }
    remove_from_groups(replica);
    if (health == replica_health::usable) {
        it.usable_since = now;
        if (it.health == replica_health::down) {
            record_return(it, now);
        }
    }
    it.health = health;
    add_to_groups(replica);
}

void replica_pool::record_return(replica_view& replica, time_point now) const
{
    const bool again = replica.returns > 0 && now - replica.returned_at < settings_.flap_window;
    replica.returns = again ? replica.returns + 1 : 1;
    replica.returned_at = now;
    const std::uint32_t doublings = std::min(replica.returns - 1, max_doublings);
    const duration wait = settings_.first_return_wait * (1LL << doublings);
    replica.not_before = now + std::min(wait, settings_.longest_return_wait);
    replica.needs_slow_start = true;
}

void replica_pool::update_statistics(replica_view& replica, const attempt_outcome& outcome,
                                     time_point now)
{
    const bool succeeded = outcome.result == attempt_result::succeeded;
    const duration observed = succeeded
                                  ? outcome.first_token
                                  : std::max(outcome.first_token, settings_.failure_first_token);
    if (outcome.predicted > duration{0}) {
        record_slowness(replica, log_ratio(observed, outcome.predicted), now);
    }
    if (succeeded) {
        replica.mean_total = average(replica.mean_total, outcome.total, settings_.smoothing);
        pool_mean_total_ = average(pool_mean_total_, outcome.total, settings_.smoothing / 4);
    }
}

// Without this, a slow replica would look fast when others answer its slow requests.
void replica_pool::record_overtaken(replica_index index, const attempt_outcome& outcome,
                                    time_point now)
{
    const double ratio = log_ratio(outcome.first_token, outcome.predicted);
    if (outcome.predicted > duration{0} && ratio > std::log(slowness(index, now))) {
        record_slowness(replicas_[index], ratio, now);
    }
}

void replica_pool::record_slowness(replica_view& replica, double log_ratio, time_point now) const
{
    const double age =
        seconds(now - replica.slowness_at) / seconds(settings_.slowness_time_constant);
    const double decayed_slowness = replica.log_slowness * std::exp(-std::max(0.0, age));
    replica.log_slowness = decayed_slowness + (log_ratio - decayed_slowness) * settings_.smoothing;
    replica.slowness_at = now;
}

void replica_pool::count_end(const dispatch_ticket& ticket, time_point now)
{
    replica_load& load = loads_[ticket.replica];
    attempt_log& log = attempts_[ticket.replica];
    load.in_flight -= load.in_flight > 0 ? 1 : 0;
    if (log.next_sequence - ticket.sequence <= attempt_log_size) {
        log.open[ticket.sequence % attempt_log_size] = false;
    }
    log.ended[log.ends++ % attempt_log_size] = {ticket.sequence, now};
    if (ticket.sequence >= log.first_unreported) {
        load.sent_since -= load.sent_since > 0 ? 1 : 0;
    }
    else {
        ++load.finished_since;
    }
}

} // namespace wagtailhitch
