#include "membership/vm_table.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <set>

namespace wagtailhitch {

namespace {

bool is_final(vm_state state)
{
    return state == vm_state::left || state == vm_state::removed;
}

} // namespace

vm_table::vm_table(process_id self, std::string address, failure_domain_id domain,
                   membership_settings settings)
    : self_{std::move(self)}, domain_{std::move(domain)}, settings_{settings}
{
    vm_record own;
    own.process = self_;
    own.address = std::move(address);
    own.failure_domain = domain_;
    own.state = vm_state::alive;
    records_.emplace(self_.vm, std::move(own));
}

vm_change vm_table::set_state(vm_record& record, vm_state state)
{
    vm_change change{record.process, record.state, state};
    record.state = state;
    if (is_final(state)) {
        auto& run = final_runs_[record.process.vm];
        run = std::max(run, record.process.run);
    }
    return change;
}

std::vector<vm_change> vm_table::apply_vm_list(const vm_list& list, time_point now)
{
    std::set<vm_id> listed_vms;
    for (const auto& entry : list.entries) {
        listed_vms.insert(entry.vm);
        auto [it, added] = records_.try_emplace(entry.vm);
        auto& record = it->second;
        if (added) {
            record.process.vm = entry.vm;
            record.last_advance = now;
        }
        // The list lags behind gossip, so it only supplies what gossip has not provided.
        if (record.process.run == 0) {
            record.address = entry.address;
            record.failure_domain = entry.failure_domain;
        }
        record.listed = true;
        record.list_leaving = entry.state == vm_list_state::leaving;
    }
    for (auto it = records_.begin(); it != records_.end();) {
        auto& record = it->second;
        if (!listed_vms.contains(it->first)) {
            record.listed = false;
        }
        const bool is_removable = !record.listed && it->first != self_.vm &&
                                  (record.process.run == 0 || is_final(record.state));
        it = is_removable ? records_.erase(it) : std::next(it);
    }
    return {};
}

void vm_table::apply_entry(const vm_gossip& entry, time_point now, std::vector<vm_change>& changes)
{
    const auto dead = final_runs_.find(entry.process.vm);
    const bool is_final_run = dead != final_runs_.end() && entry.process.run <= dead->second;
    if (entry.process.vm == self_.vm) {
        return;
    }
    if (is_final_run) {
        return;
    }
    auto [it, added] = records_.try_emplace(entry.process.vm);
    auto& record = it->second;
    if (added) {
        record.process.vm = entry.process.vm;
    }
    const bool newer_run = entry.process.run > record.process.run;
    if (entry.process.run < record.process.run) {
        return;
    }
    if (newer_run && record.process.run != 0 && !is_final(record.state)) {
        // A VM runs one process, so a new incarnation proves that the old one has ended.
        changes.push_back(set_state(record, vm_state::removed));
    }
    if (newer_run) {
        record.process.run = entry.process.run;
        record.sequence = 0;
        record.state = vm_state::listed;
        record.address = entry.address;
        record.failure_domain = entry.failure_domain;
    }
    if (entry.left) {
        changes.push_back(set_state(record, vm_state::left));
        return;
    }
    if (entry.sequence <= record.sequence) {
        return;
    }
    record.sequence = entry.sequence;
    record.last_advance = now;
    if (record.state != vm_state::alive) {
        changes.push_back(set_state(record, vm_state::alive));
    }
}

std::vector<vm_change> vm_table::apply_gossip(const std::vector<vm_gossip>& entries, time_point now)
{
    std::vector<vm_change> changes;
    for (const auto& entry : entries) {
        apply_entry(entry, now, changes);
    }
    return changes;
}

std::vector<vm_change> vm_table::tick(time_point now)
{
    std::vector<vm_change> changes;
    const bool resumed = last_tick_ != time_point{} && now - last_tick_ > settings_.max_tick_gap;
    const auto pause_length = resumed ? now - last_tick_ : duration::zero();
    last_tick_ = now;
    for (auto& [vm, record] : records_) {
        record.last_advance += pause_length;
        if (vm == self_.vm) {
            ++record.sequence;
            record.last_advance = now;
            continue;
        }
        if (record.process.run == 0 || is_final(record.state)) {
            continue;
        }
        const auto silence = now - record.last_advance;
        const bool unlisted = !record.listed && silence >= settings_.unlisted_removed_after;
        const bool silent = record.failure_domain == domain_ && silence >= settings_.removed_after;
        if (silent || (unlisted && record.state == vm_state::suspect)) {
            changes.push_back(set_state(record, vm_state::removed));
        }
        else if (silence >= settings_.suspect_after && record.state == vm_state::alive) {
            changes.push_back(set_state(record, vm_state::suspect));
        }
    }
    return changes;
}

void vm_table::leave()
{
    records_.at(self_.vm).state = vm_state::left;
}

std::vector<vm_gossip> vm_table::gossip() const
{
    std::vector<vm_gossip> out;
    for (const auto& [vm, record] : records_) {
        const bool known = record.process.run != 0;
        if (known && record.failure_domain == domain_ && record.state != vm_state::removed) {
            out.push_back({record.process, record.address, record.failure_domain, record.sequence,
                           record.state == vm_state::left});
        }
    }
    return out;
}

bool vm_table::usable(const vm_record& record) const
{
    return record.state == vm_state::alive || record.process.vm == self_.vm;
}

std::vector<vm_record> vm_table::heartbeat_targets(std::mt19937_64& generator) const
{
    // VMs that are only listed get heartbeats too, since this is how two new VMs discover each
    // other. A suspect
    // VM keeps getting them, so that a healed partition is noticed from both sides.
    std::vector<vm_record> others;
    for (const auto& [vm, record] : records_) {
        if (vm != self_.vm && record.failure_domain == domain_ && record.state != vm_state::left &&
            (record.state != vm_state::removed || record.listed)) {
            others.push_back(record);
        }
    }
    const auto own = rendezvous_weight("heartbeat-ring", self_.vm.value);
    const auto distance = [own](const vm_record& record) {
        return rendezvous_weight("heartbeat-ring", record.process.vm.value) - own;
    };
    std::sort(others.begin(), others.end(),
              [&](const vm_record& a, const vm_record& b) { return distance(a) < distance(b); });
    const auto neighbours = std::min(settings_.ring_neighbours, others.size());
    std::vector<vm_record> out{others.begin(),
                               others.begin() + static_cast<std::ptrdiff_t>(neighbours)};
    std::sample(others.begin() + static_cast<std::ptrdiff_t>(neighbours), others.end(),
                std::back_inserter(out), settings_.random_peers, generator);
    return out;
}

std::vector<vm_record> vm_table::ranked(const std::string& duty,
                                        const failure_domain_id& domain) const
{
    std::vector<vm_record> out;
    for (const auto& [vm, record] : records_) {
        if (record.failure_domain == domain && usable(record)) {
            out.push_back(record);
        }
    }
    std::sort(out.begin(), out.end(), [&](const vm_record& a, const vm_record& b) {
        return rendezvous_weight(duty, a.process.vm.value) >
               rendezvous_weight(duty, b.process.vm.value);
    });
    return out;
}

std::vector<vm_record> vm_table::summary_targets() const
{
    const auto own = ranked("gateway", domain_);
    const auto count = std::min(settings_.gateways, own.size());
    const bool gateway =
        std::any_of(own.begin(), own.begin() + static_cast<std::ptrdiff_t>(count),
                    [this](const vm_record& r) { return r.process.vm == self_.vm; });
    if (!gateway) {
        return {};
    }
    // Other domains' VMs may be known from the list only; rank those like the alive ones.
    std::map<failure_domain_id, std::vector<vm_record>> by_domain;
    for (const auto& [vm, record] : records_) {
        const bool candidate = record.state == vm_state::alive || record.listed;
        if (record.failure_domain != domain_ && candidate) {
            by_domain[record.failure_domain].push_back(record);
        }
    }
    std::vector<vm_record> out;
    for (auto& [domain, members] : by_domain) {
        std::sort(members.begin(), members.end(), [](const vm_record& a, const vm_record& b) {
            const bool a_alive = a.state == vm_state::alive;
            const bool b_alive = b.state == vm_state::alive;
            if (a_alive != b_alive) {
                return a_alive;
            }
            return rendezvous_weight("gateway", a.process.vm.value) >
                   rendezvous_weight("gateway", b.process.vm.value);
        });
        const auto n = std::min(settings_.gateways, members.size());
        out.insert(out.end(), members.begin(), members.begin() + static_cast<std::ptrdiff_t>(n));
    }
    return out;
}

std::vector<process_id> vm_table::domain_members() const
{
    std::vector<process_id> out;
    for (const auto& [vm, record] : records_) {
        if (record.failure_domain == domain_ && usable(record)) {
            out.push_back(record.process);
        }
    }
    return out;
}

const vm_record* vm_table::find(const vm_id& vm) const
{
    const auto it = records_.find(vm);
    return it == records_.end() ? nullptr : &it->second;
}

bool vm_table::is_dead(const process_id& process) const
{
    const auto it = final_runs_.find(process.vm);
    return it != final_runs_.end() && process.run <= it->second;
}

} // namespace wagtailhitch
