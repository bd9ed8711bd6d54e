#include "proxy/rollout_tracker.hpp"

#include "proxy/replica_directory.hpp"

#include <algorithm>
#include <utility>

namespace wagtailhitch {

namespace {

/// Delay per rank before a VM publishes, so that the VMs before it can publish first.
constexpr duration publish_delay_per_rank = 700ms;
/// Interval at which a publication is repeated until it appears in the store.
constexpr duration publish_retry_interval = 1s;
/// Time after the last sight of a replica for which an outcome is kept. Longer than outages of the
/// store, in which the records of live replicas may lapse.
constexpr duration outcome_memory = 600s;
/// Time after the last sight of a replica for which an outcome is reported. Much shorter than
/// `outcome_memory`, so that VMs do not remind each other of what all of them would forget.
constexpr duration outcome_report_time = 5s;
constexpr duration sweep_interval = 1s;
constexpr std::string_view reported_reason = "Another VM knows this outcome.";
/// Denotes the group of all requests to a service.
constexpr std::string_view all_routes;

/// Evidence is evaluated for a service as a whole and for each route, to detect versions that are
/// bad for only one kind of request as well. That of a trial is kept by order, so that a version
/// that is ordered again is not halted by what its earlier trial showed. `order`: 0 for established
/// software.
version_id evidence_group(const version_id& version, revision order, std::string_view route)
{
    const std::string trial = order == 0 ? std::string{} : "~" + std::to_string(order);
    return version_id{version.value + trial + "#" + std::string{route}};
}

} // namespace

rollout_tracker::rollout_tracker(process_id self, service_rollout_settings settings)
    : self_{std::move(self)}, settings_{settings}
{
}

void rollout_tracker::order(const rollout_order& order, time_point now)
{
    const auto it = rollouts_.find(order.service);
    if (it != rollouts_.end()) {
        const rollout_order& known = it->second.order();
        rollout_order same = order;
        same.number = known.number;
        same.epoch = known.epoch;
        const bool later_epoch = order.epoch > known.epoch;
        const bool repeats = !later_epoch && order.number > known.number && known.number != 0 &&
                             it->second.state() == rollout_state::rolled_back;
        const past_outcome* past = find_past(order.service, order.target);
        if (same != known && later_epoch && past != nullptr && past->order == order.number) {
            return; // The store's copy is from before the known order.
        }
        if (same == known && !repeats) {
            it->second.note_order_number(order.number, order.epoch);
            apply_kept_outcome(it->second);
            return;
        }
        keep_outcome({order.service, known.target, known.number, it->second.state()});
    }
    rollouts_.erase(order.service);
    const auto added = rollouts_.emplace(order.service, service_rollout{order, now, settings_});
    apply_kept_outcome(added.first->second);
    publication_due_.erase(order.service);
    member_paces_.erase(order.service);
    domain_paces_.erase(order.service);
}

void rollout_tracker::begin_epoch(log_epoch epoch)
{
    if (epoch <= epoch_) {
        return;
    }
    epoch_ = epoch;
    for (auto& [service, rollout] : rollouts_) {
        rollout.forget_published();
    }
}

void rollout_tracker::apply_kept_outcome(service_rollout& rollout)
{
    const rollout_order& order = rollout.order();
    const past_outcome* past = find_past(order.service, order.target);
    if (past != nullptr && order.number != 0 && past->order == order.number) {
        rollout.note_decided(past->state, std::string{reported_reason});
    }
}

const rollout_tracker::past_outcome* rollout_tracker::find_past(const std::string& service,
                                                                const std::string& software) const
{
    const auto versions = past_.find(service);
    if (versions == past_.end()) {
        return nullptr;
    }
    const auto it = versions->second.find(software);
    return it == versions->second.end() ? nullptr : &it->second;
}

// Outcomes of a later order prevail; among those of one order a halt does, as among VMs.
void rollout_tracker::keep_outcome(const rollout_outcome& outcome)
{
    auto& versions = past_[outcome.service];
    const auto [it, added] =
        versions.try_emplace(outcome.software, past_outcome{outcome.order, outcome.state, {}});
    past_outcome& known = it->second;
    if (added || outcome.order < known.order) {
        return;
    }
    const bool prevails = outcome.order > known.order || known.state == rollout_state::running ||
                          outcome.state == rollout_state::rolled_back;
    if (prevails) {
        known.order = outcome.order;
        known.state = outcome.state;
    }
}

void rollout_tracker::note_outcome(const rollout_outcome& outcome)
{
    if (outcome.state == rollout_state::running) {
        return;
    }
    const auto it = rollouts_.find(outcome.service);
    const bool newest = it != rollouts_.end() && outcome.order != 0 &&
                        it->second.order().target == outcome.software &&
                        it->second.order().number == outcome.order;
    if (newest) {
        it->second.note_decided(outcome.state, std::string{reported_reason});
        return;
    }
    keep_outcome(outcome);
}

void rollout_tracker::note_started(const std::string& service, revision order)
{
    revision& known = started_[service];
    known = std::max(known, order);
}

bool rollout_tracker::is_earlier_state(const std::string& service, const std::string& target,
                                       rollout_state state) const
{
    const service_rollout* rollout = find(service);
    if (rollout == nullptr || rollout->order().target != target ||
        state != rollout_state::rolled_back || rollout->published()) {
        return false;
    }
    const revision number = rollout->order().number;
    const auto started = started_.find(service);
    const past_outcome* past = find_past(service, target);
    return (started == started_.end() || started->second < number) && past != nullptr &&
           past->state == rollout_state::rolled_back && past->order != 0 && past->order < number;
}

bool rollout_tracker::is_newest(const rollout_publication& publication) const
{
    const service_rollout* rollout = find(publication.service);
    return rollout != nullptr && rollout->order().target == publication.target &&
           rollout->order().number == publication.order;
}

std::vector<rollout_outcome> rollout_tracker::rolled_back() const
{
    std::vector<rollout_outcome> out;
    for (const auto& [service, versions] : past_) {
        for (const auto& [software, past] : versions) {
            if (past.state == rollout_state::rolled_back) {
                out.push_back({service, software, past.order, past.state});
            }
        }
    }
    for (const auto& [service, rollout] : rollouts_) {
        if (rollout.published() == rollout_state::rolled_back) {
            out.push_back({service, rollout.order().target, rollout.order().number,
                           rollout_state::rolled_back});
        }
    }
    return out;
}

bool rollout_tracker::is_rolled_back(const std::string& service, const std::string& software) const
{
    if (const auto* rollout = find(service); rollout && rollout->order().target == software) {
        return rollout->state() == rollout_state::rolled_back;
    }
    const past_outcome* past = find_past(service, software);
    return past != nullptr && past->state == rollout_state::rolled_back;
}

bool rollout_tracker::is_established(const std::string& service, const std::string& software) const
{
    if (const auto* rollout = find(service); rollout && rollout->order().target == software) {
        return rollout->state() == rollout_state::complete;
    }
    const past_outcome* past = find_past(service, software);
    return past == nullptr || past->state == rollout_state::complete;
}

void rollout_tracker::sweep(
    const std::function<bool(const std::string& service, const std::string& software)>& has_replica,
    time_point now)
{
    if (now - swept_at_ < sweep_interval) {
        return;
    }
    swept_at_ = now;
    for (auto& [service, versions] : past_) {
        for (auto& [software, past] : versions) {
            if (past.replica_seen_at == time_point{} || has_replica(service, software)) {
                past.replica_seen_at = now;
            }
        }
        std::erase_if(versions, [now](const auto& item) {
            return now - item.second.replica_seen_at > outcome_memory;
        });
    }
}

service_rollout* rollout_tracker::find(const std::string& service, const std::string& target)
{
    const auto it = rollouts_.find(service);
    const bool found = it != rollouts_.end() && it->second.order().target == target;
    return found ? &it->second : nullptr;
}

const service_rollout* rollout_tracker::find(const std::string& service) const
{
    const auto it = rollouts_.find(service);
    return it == rollouts_.end() ? nullptr : &it->second;
}

void rollout_tracker::note_published(const std::string& service, const std::string& target,
                                     rollout_state state)
{
    if (auto* rollout = find(service, target)) {
        if (!is_earlier_state(service, target, state)) {
            rollout->note_published(state);
        }
        return;
    }
    const past_outcome* past = find_past(service, target);
    const bool unknown = past != nullptr && past->state == rollout_state::running;
    note_outcome({service, target, unknown ? past->order : 0, state});
}

void rollout_tracker::note_age(const std::string& service, const std::string& target, duration age,
                               time_point now)
{
    if (auto* rollout = find(service, target)) {
        rollout->note_age(std::clamp(age, duration{0}, rollout->order().period), now);
    }
}

void rollout_tracker::take(const peer_report& report, time_point now)
{
    for (const auto& item : report.evidence) {
        if (report.scope == report_scope::domain) {
            domain_evidence_[report.domain][item.group] = item.counts;
        }
        else {
            evidence_.set(report.from, item.group, item.counts);
        }
    }
    for (const auto& item : report.paces) {
        if (report.scope == report_scope::domain) {
            domain_paces_[item.service][report.domain] = item.fastest_interval;
        }
        else {
            member_paces_[item.service][report.from.vm] = item.fastest_interval;
        }
    }
    for (const auto& item : report.rollouts) {
        const auto it = rollouts_.find(item.order.service);
        if (it == rollouts_.end() || !is_same_order(it->second.order(), item.order)) {
            note_outcome({item.order.service, item.order.target, item.order.number, item.state});
            continue;
        }
        it->second.note_age(item.age, now);
        // A VM that has not noticed the store's epoch yet may know of a state that was lost.
        if (item.published && report.position.epoch >= epoch_) {
            it->second.note_published(*item.published);
        }
        it->second.note_decided(item.state, item.reason);
    }
    for (const auto& outcome : report.outcomes) {
        note_outcome(outcome);
    }
}

void rollout_tracker::fill(peer_report& report, time_point now) const
{
    for (const auto& [service, rollout] : rollouts_) {
        report.rollouts.push_back({rollout.order(), rollout.age(now), rollout.state(),
                                   rollout.published(), rollout.reason()});
        const bool digest = report.scope == report_scope::domain;
        const auto own = paces_.find(service);
        const auto fastest = digest                ? fastest_interval(service, true)
                             : own != paces_.end() ? own->second.fastest_interval()
                                                   : std::nullopt;
        if (fastest && rollout.state() == rollout_state::running) {
            report.paces.push_back({service, *fastest});
        }
    }
    for (const auto& [service, versions] : past_) {
        for (const auto& [software, past] : versions) {
            const bool recent = past.replica_seen_at == time_point{} ||
                                now - past.replica_seen_at <= outcome_report_time;
            if (recent && past.state != rollout_state::running) {
                report.outcomes.push_back({service, software, past.order, past.state});
            }
        }
    }
    if (report.scope == report_scope::vm) {
        for (const auto& [group, counts] : own_evidence_) {
            if (is_under_evaluation(group)) {
                report.evidence.push_back({group, counts});
            }
        }
        return;
    }
    for (const auto& group : evidence_.versions()) {
        if (is_under_evaluation(group)) {
            report.evidence.push_back({group, evidence_.total(group)});
        }
    }
}

// Only groups of running roll-outs are reported. The counts of other groups have no effect and
// would only enlarge the reports.
bool rollout_tracker::is_under_evaluation(const version_id& group) const
{
    return std::ranges::any_of(rollouts_, [&group](const auto& item) {
        return item.second.state() == rollout_state::running &&
               group.value.starts_with(item.first + "@");
    });
}

version_counts rollout_tracker::total(const version_id& group) const
{
    version_counts out = evidence_.total(group);
    for (const auto& [domain, groups] : domain_evidence_) {
        if (const auto it = groups.find(group); it != groups.end()) {
            out += it->second;
        }
    }
    return out;
}

// Streams of a version on trial are compared with the pace of established software but do not
// contribute to that pace.
std::optional<duration> rollout_tracker::fastest_interval(const std::string& service,
                                                          bool own_domain_only) const
{
    constexpr std::size_t disturbed_share = 4;
    std::vector<duration> known;
    const auto add = [&](const auto& sources) {
        if (const auto it = sources.find(service); it != sources.end()) {
            for (const auto& [source, interval] : it->second) {
                known.push_back(interval);
            }
        }
    };
    add(member_paces_);
    if (!own_domain_only) {
        add(domain_paces_);
    }
    if (const auto it = paces_.find(service); it != paces_.end()) {
        if (const auto own = it->second.fastest_interval()) {
            known.push_back(*own);
        }
    }
    if (known.empty()) {
        return std::nullopt;
    }
    std::ranges::sort(known);
    return known[known.size() / disturbed_share];
}

rollout_tracker::stream_pace rollout_tracker::pace_of(const observed_answer& answer)
{
    const auto& interval = answer.quality.mean_event_interval;
    if (!interval) {
        return {};
    }
    event_interval_baseline& baseline_pace = paces_[answer.service];
    const auto fastest = fastest_interval(answer.service, false);
    stream_pace pace{baseline_pace.is_slow_interval(*interval), {}};
    if (fastest && baseline_pace.is_lightly_loaded(answer.quality.load)) {
        pace.sluggish = baseline_pace.is_sluggish(*interval, *fastest);
    }
    if (is_established(answer.service, answer.software)) {
        baseline_pace.note(*interval, answer.quality.load);
    }
    return pace;
}

version_id rollout_tracker::group_of(const std::string& service, const std::string& software,
                                     std::string_view route) const
{
    const service_rollout* rollout = find(service);
    const bool on_trial = rollout != nullptr && rollout->order().target == software &&
                          rollout->state() != rollout_state::complete;
    return evidence_group(software_version_id(service, software),
                          on_trial ? rollout->order().number : 0, route);
}

void rollout_tracker::note_answer(const observed_answer& answer)
{
    const stream_pace pace = pace_of(answer);
    for (const std::string_view part : {all_routes, answer.route}) {
        const version_id group = group_of(answer.service, answer.software, part);
        version_counts& counts = own_evidence_[group];
        ++counts.answers;
        counts.errors += answer.quality.failed ? 1 : 0;
        counts.slow += answer.quality.slow ? 1 : 0;
        counts.dragged += pace.dragged ? 1 : 0;
        counts.paced += pace.sluggish ? 1 : 0;
        counts.sluggish += pace.sluggish.value_or(false) ? 1 : 0;
        evidence_.set(self_, group, counts);
    }
}

bool rollout_tracker::evaluate_groups(const std::string& service, service_rollout& rollout,
                                      const std::vector<std::string>& routes,
                                      const rollout_context& context)
{
    bool in_doubt = false;
    const auto halts = [&](std::string_view route) {
        const version_counts counts = total(group_of(service, rollout.order().target, route));
        version_counts baseline;
        for (const auto& software : context.old_software) {
            if (!is_established(service, software)) {
                continue;
            }
            baseline += total(group_of(service, software, route));
        }
        const auto verdict = rollout.evaluate(counts, baseline);
        in_doubt = in_doubt || verdict.in_doubt;
        return verdict.halt;
    };
    const bool halted = halts(all_routes) || std::ranges::any_of(routes, halts);
    rollout.set_in_doubt(in_doubt);
    return halted;
}

std::size_t rollout_tracker::evaluate(const std::vector<std::string>& routes,
                                      const rollout_context_provider& context, time_point now)
{
    std::size_t halted = 0;
    for (auto& [service, rollout] : rollouts_) {
        if (rollout.state() != rollout_state::running) {
            continue;
        }
        const std::string& target = rollout.order().target;
        const rollout_context current_context = context(service, target);
        halted += evaluate_groups(service, rollout, routes, current_context) ? 1 : 0;
        const auto answers = total(group_of(service, target, all_routes)).answers;
        if (rollout.due(answers, current_context.old_in_flight, now) != rollout_state::running) {
            publication_due_.erase(service);
        }
    }
    return halted;
}

std::vector<rollout_publication> rollout_tracker::publications(std::size_t rank, time_point now)
{
    std::vector<rollout_publication> out;
    for (const auto& [service, rollout] : rollouts_) {
        if (rollout.published() == rollout.state()) {
            continue;
        }
        const auto [due, added] = publication_due_.try_emplace(service, now);
        if (now - due->second >= publish_delay_per_rank * static_cast<int>(rank)) {
            due->second = now + publish_retry_interval;
            out.push_back({service, rollout.order().target, rollout.state(), rollout.reason(),
                           rollout.order().number});
        }
    }
    return out;
}

} // namespace wagtailhitch
