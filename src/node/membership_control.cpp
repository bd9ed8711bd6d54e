#include "node/membership_control.hpp"

#include <algorithm>

namespace wagtailhitch {

namespace {

replica_health health_of(upstream_state state)
{
    switch (state) {
    case upstream_state::healthy:
    case upstream_state::suspect: // a single lost probe does not justify moving all work
        return replica_health::usable;
    case upstream_state::leaving:
        return replica_health::leaving;
    case upstream_state::down:
        return replica_health::down;
    case upstream_state::unknown:
        break;
    }
    return replica_health::unknown;
}

// True for the first heartbeat of a VM, after which it is sent all reports, not only the changes.
bool is_first_heartbeat(const vm_change& change)
{
    return change.to == vm_state::alive && change.from == vm_state::listed;
}

} // namespace

membership_control::membership_control(core_state& state) : state_{state} {}

void membership_control::apply(const std::vector<vm_change>& changes)
{
    for (const auto& change : changes) {
        state_.counters.count("membership_changes_total", {{"to", std::string{name_of(change.to)}}})
            .add();
        membership_changed_ = true;
        if (change.to == vm_state::left || change.to == vm_state::removed) {
            state_.claims.on_process_ended(change.process);
            state_.bills.on_process_ended(change.process);
        }
        if (is_first_heartbeat(change)) {
            next_heartbeat_ = time_point{};
        }
    }
}

void membership_control::refresh_topology()
{
    if (!membership_changed_) {
        return;
    }
    membership_changed_ = false;
    std::vector<process_id> domain_peers;
    for (const auto& member : state_.vms.domain_members()) {
        if (member.vm != state_.self().vm) {
            domain_peers.push_back(member);
        }
    }
    state_.bills.set_peers(domain_peers);
    const auto vms = static_cast<std::uint32_t>(domain_peers.size() + 1);
    state_.chooser.set_sharing_vms(vms);
}

void membership_control::on_vm_list(const vm_list& list, time_point now)
{
    apply(state_.vms.apply_vm_list(list, now));
    membership_changed_ = true;
}

void membership_control::on_heartbeat(const peer_frame& frame, const heartbeat_message& message,
                                      time_point now, std::vector<output>& out)
{
    if (state_.vms.is_dead(frame.from)) {
        state_.send(frame.from.vm, peer_message_kind::ended, ended_message{frame.from.run}, out);
        return;
    }
    apply(state_.vms.apply_gossip(message.members, now));
    auto& view = peers_[frame.from.vm];
    view = {frame.from, frame.failure_domain, message.in_force, std::nullopt, message.ready, now};
    if (message.confirmed_age) {
        view.confirmed_at = now - *message.confirmed_age;
    }
    apply(state_.upstreams.apply_reports(message.upstreams, now), now);
    for (const auto& report : message.upstreams) {
        update_pool(report.upstream, now);
    }
    for (const auto& share : message.shares) {
        state_.pool.merge_statistics(share, now);
    }
    for (const auto& cell : message.ratings) {
        state_.sufficiency.merge(cell);
    }
}

bool membership_control::was_removed(const ended_message& message) const
{
    return message.run == state_.self().run;
}

void membership_control::apply(const std::vector<upstream_change>& changes, time_point now)
{
    for (const auto& change : changes) {
        state_.counters.count("upstream_changes_total", {{"to", std::string{name_of(change.to)}}})
            .add();
        // A state change is sent immediately: peers must learn of a leaving upstream within 3 s.
        next_heartbeat_ = time_point{};
        update_pool(change.upstream, now);
    }
}

void membership_control::update_pool(const upstream_id& id, time_point now)
{
    const auto it = state_.upstreams.records().find(id);
    if (it == state_.upstreams.records().end()) {
        return;
    }
    const auto& record = it->second;
    state_.pool.set_health(id, health_of(record.state), record.run, now);
    if (record.state == upstream_state::healthy) {
        state_.pool.report_load(id, {record.running, record.waiting, now - record.observed_at},
                                now);
        if (record.spec.kind == upstream_kind::engine) {
            state_.pool.set_loaded(id, record.loaded);
        }
    }
}

void membership_control::on_probe(const probe_result& result, time_point now)
{
    apply(state_.upstreams.apply_probe(result, now), now);
    update_pool(result.upstream, now);
}

void membership_control::on_notice(const upstream_id& upstream, const dispatch_ticket& ticket,
                                   const upstream_notice& notice, time_point now)
{
    const auto index = state_.pool.find(upstream);
    // An answer of an earlier incarnation says nothing of the present one.
    if (!index || state_.pool.view(*index).generation != ticket.generation) {
        return;
    }
    if (notice.quiet_for && state_.pool.hold_for_quiet(*index, *notice.quiet_for, now)) {
        state_.counters.count("upstreams_set_aside_total", {{"reason", "asked_for_quiet"}}).add();
    }
    if (notice.leaving) {
        const auto changes = state_.upstreams.note_leaving(upstream, notice.run);
        state_.counters.count("upstreams_set_aside_total", {{"reason", "leaving"}})
            .add(changes.size());
        apply(changes, now);
    }
}

void membership_control::on_cache_events(const cache_events& events)
{
    const auto index = state_.pool.find(events.upstream);
    if (!index) {
        return;
    }
    if (events.gap) {
        state_.prefixes.gap(*index);
    }
    state_.prefixes.stored(*index, events.stored);
    state_.prefixes.evicted(*index, events.evicted);
}

void membership_control::on_configuration(time_point now)
{
    state_.upstreams.set_upstreams(state_.doc->upstreams, now);
    state_.pool.configure(state_.doc->upstreams, now);
    for (const auto& [id, record] : state_.upstreams.records()) {
        update_pool(id, now);
    }
}

heartbeat_message membership_control::heartbeat(time_point now) const
{
    heartbeat_message out;
    out.members = state_.vms.gossip();
    out.in_force = state_.configuration.fold().current_revision();
    if (const auto confirmed = state_.configuration.confirmed_at()) {
        out.confirmed_age = now - *confirmed;
    }
    out.ready = state_.ready();
    // Only roll-outs need evidence; without one the heartbeat carries none.
    for (const auto& [model, spec] : state_.doc->models) {
        const bool rolling =
            std::any_of(spec.versions.begin(), spec.versions.end(), [](const auto& item) {
                return item.second.state == version_state::rolling;
            });
        for (auto& entry : state_.evidence.entries()) {
            if (rolling && spec.versions.contains(entry.version)) {
                out.evidence.push_back(std::move(entry));
            }
        }
    }
    return out;
}

void membership_control::send_heartbeats(time_point now, std::vector<output>& out)
{
    const auto summary = heartbeat(now);
    if (now >= next_heartbeat_) {
        next_heartbeat_ = now + state_.settings.heartbeat_interval;
        auto message = summary;
        message.upstreams = state_.upstreams.take_deltas(now);
        message.shares = state_.pool.take_statistics();
        message.ratings = state_.sufficiency.own_cells();
        // A ring neighbour is sent all reports once. Random peers get theirs from their own
        // neighbours.
        auto neighbours = membership_settings{}.ring_neighbours;
        for (const auto& target : state_.vms.heartbeat_targets(state_.generator)) {
            auto full = message;
            const bool neighbour = neighbours > 0;
            neighbours -= neighbour ? 1 : 0;
            auto& reported_run = sent_full_reports_to_[target.process.vm];
            if (neighbour && (reported_run != target.process.run || target.process.run == 0)) {
                reported_run = target.process.run;
                full.upstreams = state_.upstreams.all_reports(now);
            }
            state_.send(target.process.vm, peer_message_kind::heartbeat, full, out);
        }
    }
    if (now >= next_summary_) {
        next_summary_ = now + state_.settings.summary_interval;
        auto message = summary;
        message.upstreams = state_.upstreams.all_reports(now);
        for (const auto& target : state_.vms.summary_targets()) {
            state_.send(target.process.vm, peer_message_kind::heartbeat, message, out);
        }
    }
}

void membership_control::tick(time_point now, std::vector<output>& out)
{
    apply(state_.vms.tick(now));
    refresh_topology();
    for (const auto& probe : state_.upstreams.due_probes(state_.vms.domain_members(), now)) {
        out.emplace_back(probe);
    }
    send_heartbeats(now, out);
}

void membership_control::leave(std::vector<output>& out)
{
    state_.vms.leave();
    heartbeat_message message;
    message.members = state_.vms.gossip();
    for (const auto& [vm, record] : state_.vms.records()) {
        if (vm != state_.self().vm && record.state == vm_state::alive) {
            state_.send(vm, peer_message_kind::heartbeat, message, out);
        }
    }
}

} // namespace wagtailhitch
