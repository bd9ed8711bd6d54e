#include "membership/upstream_table.hpp"

#include "base/digest.hpp"

#include <algorithm>

namespace wagtailhitch {

namespace {

void set_state(const upstream_id& id, upstream_record& record, upstream_state state,
               std::vector<upstream_change>& changes)
{
    if (record.state == state) {
        return;
    }
    changes.push_back({id, record.state, state});
    record.state = state;
}

void mark_changed(upstream_record& record)
{
    ++record.number;
    record.changed = true;
}

void apply_leaving(const upstream_id& id, upstream_record& record, const upstream_report& report,
                   std::vector<upstream_change>& changes)
{
    if (record.leaving_known && report.run <= record.leaving_run) {
        return;
    }
    record.leaving_known = true;
    record.leaving_run = report.run;
    record.changed = true;
    if (record.run <= record.leaving_run) {
        record.run = report.run;
        record.number = std::max(record.number, report.number);
        set_state(id, record, upstream_state::leaving, changes);
    }
}

} // namespace

upstream_table::upstream_table(vm_id self, failure_domain_id domain,
                               upstream_table_settings settings)
    : self_{std::move(self)}, domain_{std::move(domain)}, settings_{settings}
{
}

void upstream_table::set_upstreams(const std::map<upstream_id, upstream_spec>& specs,
                                   time_point now)
{
    std::erase_if(records_, [&specs](const auto& item) { return !specs.contains(item.first); });
    for (const auto& [id, spec] : specs) {
        auto [it, added] = records_.try_emplace(id);
        const bool address_changed = !added && it->second.spec.address != spec.address;
        if (address_changed) {
            it->second = upstream_record{};
        }
        it->second.spec = spec;
        if (added || address_changed) {
            it->second.next_probe = now;
        }
    }
}

bool upstream_table::is_prober(const upstream_id& upstream, const upstream_spec& spec,
                               const std::vector<process_id>& members) const
{
    if (spec.failure_domain != domain_) {
        return false;
    }
    const auto prober_count = members.size() > settings_.large_domain
                                  ? settings_.probers_in_large_domain
                                  : settings_.probers;
    const auto own = rendezvous_weight(upstream.value, self_.value);
    const auto heavier_members =
        std::count_if(members.begin(), members.end(), [&](const process_id& member) {
            return member.vm != self_ && rendezvous_weight(upstream.value, member.vm.value) > own;
        });
    return static_cast<std::size_t>(heavier_members) < prober_count;
}

std::vector<probe_upstream>
upstream_table::due_probes(const std::vector<process_id>& domain_members, time_point now)
{
    std::vector<probe_upstream> out;
    for (auto& [id, record] : records_) {
        if (record.next_probe > now) {
            continue;
        }
        // Which VMs probe an upstream is computed once per interval, not at each tick.
        record.next_probe = now + settings_.probe_interval;
        if (!is_prober(id, record.spec, domain_members)) {
            continue;
        }
        out.push_back({id, record.spec.address, record.spec.kind == upstream_kind::engine});
    }
    return out;
}

std::vector<upstream_change> upstream_table::apply_probe(const probe_result& result, time_point now)
{
    std::vector<upstream_change> changes;
    const auto it = records_.find(result.upstream);
    if (it == records_.end()) {
        return changes;
    }
    auto& [id, record] = *it;
    if (!result.reachable) {
        ++record.failed_probes;
        const bool down = record.failed_probes >= settings_.failures_to_down;
        if (record.state != upstream_state::leaving) {
            set_state(id, record, down ? upstream_state::down : upstream_state::suspect, changes);
        }
        record.observed_at = now;
        if (!changes.empty()) {
            mark_changed(record);
        }
        return changes;
    }
    const auto step_before = load_step(record);
    const bool loaded_changed = record.loaded != result.loaded;
    record.failed_probes = 0;
    record.run = std::max(record.run, result.run);
    record.running = result.running;
    record.waiting = result.waiting;
    record.loaded = result.loaded;
    record.observed_at = now - result.report_age;
    if (result.leaving) {
        record.leaving_known = true;
        record.leaving_run = std::max(record.leaving_run, result.run);
    }
    const bool leaving = record.leaving_known && result.run <= record.leaving_run;
    set_state(id, record, leaving ? upstream_state::leaving : upstream_state::healthy, changes);
    if (!changes.empty() || loaded_changed || load_step(record) != step_before) {
        mark_changed(record);
    }
    return changes;
}

std::vector<upstream_change>
upstream_table::apply_reports(const std::vector<upstream_report>& reports, time_point now)
{
    std::vector<upstream_change> changes;
    for (const auto& report : reports) {
        const auto it = records_.find(report.upstream);
        if (it == records_.end()) {
            continue;
        }
        auto& [id, record] = *it;
        if (report.state == upstream_state::leaving) {
            apply_leaving(id, record, report, changes);
            continue;
        }
        const bool left = record.leaving_known && report.run <= record.leaving_run;
        const bool newer =
            std::pair{report.run, report.number} > std::pair{record.run, record.number};
        if (left || !newer) {
            continue;
        }
        record.run = report.run;
        record.number = report.number;
        record.observed_at = now - report.age;
        record.running =
            report.load_step * std::max(1U, record.spec.slots) / (settings_.load_steps / 2);
        record.waiting = 0;
        record.loaded = report.loaded;
        record.changed = true;
        set_state(id, record, report.state, changes);
    }
    return changes;
}

std::vector<upstream_change> upstream_table::note_leaving(const upstream_id& upstream,
                                                          std::uint64_t run)
{
    std::vector<upstream_change> changes;
    const auto it = records_.find(upstream);
    if (it != records_.end()) {
        upstream_report report;
        report.upstream = upstream;
        report.run = run > 0 ? run : it->second.run;
        report.number = it->second.number + 1;
        report.state = upstream_state::leaving;
        apply_leaving(upstream, it->second, report, changes);
    }
    return changes;
}

void upstream_table::on_attempt_failure(const upstream_id& upstream, time_point now)
{
    const auto it = records_.find(upstream);
    if (it != records_.end()) {
        it->second.next_probe = std::min(it->second.next_probe, now);
    }
}

std::uint32_t upstream_table::load_step(const upstream_record& record) const
{
    const auto slots = std::max(1U, record.spec.slots);
    return std::min((record.running + record.waiting) * (settings_.load_steps / 2) / slots,
                    settings_.load_steps - 1);
}

upstream_report upstream_table::report(const upstream_id& id, const upstream_record& record,
                                       time_point now) const
{
    const auto age = std::max(duration::zero(), duration{now - record.observed_at});
    return {id, record.run, record.number, record.state, load_step(record), age, record.loaded};
}

std::vector<upstream_report> upstream_table::take_deltas(time_point now)
{
    std::vector<upstream_report> out;
    for (auto& [id, record] : records_) {
        if (record.changed) {
            out.push_back(report(id, record, now));
            record.changed = false;
        }
    }
    return out;
}

std::vector<upstream_report> upstream_table::all_reports(time_point now) const
{
    std::vector<upstream_report> out;
    for (const auto& [id, record] : records_) {
        if (record.state != upstream_state::unknown) {
            out.push_back(report(id, record, now));
        }
    }
    return out;
}

} // namespace wagtailhitch
