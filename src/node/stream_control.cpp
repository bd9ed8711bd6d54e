#include "node/stream_control.hpp"

#include "base/digest.hpp"

#include <algorithm>

namespace wagtailhitch {

namespace {

constexpr duration limit_report_interval = 1s;
// VMs of a failure domain that read the log for it; as many as config_follower uses.
constexpr std::size_t readers_per_domain = 2;

std::map<duty, lease_elector> make_electors(const core_state& state)
{
    std::map<duty, lease_elector> out;
    for (const auto& [which, name] : enum_names<duty>) {
        std::string lease{name};
        if (which == duty::claim_writer) {
            lease += "/" + state.settings.failure_domain.value;
        }
        out.emplace(which, lease_elector{lease, state.self(), lease_settings{}});
    }
    return out;
}

} // namespace

stream_control::stream_control(core_state& state, stream_hooks hooks)
    : state_{state}, hooks_{std::move(hooks)}, electors_{make_electors(state)},
      writer_{{}, state.self().run}, allocator_{{}}
{
}

std::string stream_control::lease_name(duty which) const
{
    return electors_.at(which).duty();
}

stream_relay* stream_control::relay_of(const std::string& stream)
{
    for (auto* relay : {&state_.lease_records, &state_.claim_records, &state_.rollout_records}) {
        if (relay->stream() == stream) {
            return relay;
        }
    }
    return nullptr;
}

void stream_control::on_log(const log_batch& batch, time_point now, std::vector<output>& out)
{
    auto* relay = relay_of(batch.stream);
    if (relay == nullptr) {
        return;
    }
    std::vector<relay_output> steps;
    const auto update = relay->on_log(batch, now, steps);
    fold(*relay, update, now, out);
    carry_out(batch.stream, steps, out);
}

void stream_control::on_records(const vm_id& from, const log_records_message& message,
                                time_point now, std::vector<output>& out)
{
    auto* relay = relay_of(message.stream);
    if (relay == nullptr) {
        return;
    }
    std::vector<relay_output> steps;
    const auto update = relay->on_records(from, message.records, now, steps);
    fold(*relay, update, now, out);
    carry_out(message.stream, steps, out);
}

void stream_control::on_request(const vm_id& from, const log_request_message& message,
                                time_point now, std::vector<output>& out)
{
    auto* relay = relay_of(message.stream);
    if (relay == nullptr) {
        return;
    }
    std::vector<relay_output> steps;
    relay->on_request(from, message.request, now, steps);
    carry_out(message.stream, steps, out);
}

void stream_control::fold(const stream_relay& relay, const relay_update& update, time_point now,
                          std::vector<output>& out)
{
    const bool leases = &relay == &state_.lease_records;
    const bool claims = &relay == &state_.claim_records;
    if (update.expired_before && leases) {
        state_.leases.start(*update.expired_before);
    }
    if (update.expired_before && claims) {
        state_.claims.gap(*update.expired_before, state_.settings.wall_ms());
    }
    for (const auto& item : update.records) {
        // A record that is not base 64 is passed on undecoded; the decoder of its stream rejects it
        // like any malformed record.
        const log_record record{item.offset, base64url_decode(item.data).value_or(item.data)};
        if (leases) {
            apply_lease(record, now);
        }
        else if (claims) {
            apply_claims(record, now);
        }
        else {
            state_.rollouts.apply(record.offset, record.data);
        }
    }
    if (claims) {
        hooks_.on_claims(now, out);
    }
}

void stream_control::apply_lease(const log_record& record, time_point now)
{
    const auto decoded = decode_lease_record(record.data);
    if (!decoded) {
        state_.counters.count("log_records_ignored_total", {{"stream", std::string{leases_stream}}})
            .add();
        return;
    }
    const auto verdict = state_.leases.apply(record.offset, *decoded);
    state_.counters
        .count("lease_records_total", {{"operation", std::string{name_of(decoded->operation)}},
                                       {"verdict", std::string{name_of(verdict)}}})
        .add();
    for (auto& [which, elector] : electors_) {
        if (elector.duty() == decoded->duty) {
            elector.on_record(record.offset, *decoded, verdict, now);
        }
    }
}

void stream_control::apply_claims(const log_record& record, time_point now)
{
    const auto batch = decode_claim_batch(record.data);
    if (!batch) {
        state_.counters.count("log_records_ignored_total", {{"stream", std::string{claims_stream}}})
            .add();
        return;
    }
    for (const auto& event :
         state_.claims.apply(record.offset, *batch, state_.settings.wall_ms())) {
        state_.counters.count("claims_total", {{"event", std::string{name_of(event.kind)}}}).add();
        // A claim of a request that was refused meanwhile can still win; its key is freed.
        const bool own =
            event.request.vm == state_.self().vm && event.request.run == state_.self().run;
        if (event.kind == claim_event_kind::won && own &&
            !hooks_.is_waiting_for_claim(event.request)) {
            state_.claim_items.release(event.key, event.request, now);
        }
    }
    state_.claim_items.acknowledge(*batch);
}

void stream_control::carry_out(const std::string& stream, std::vector<relay_output>& steps,
                               std::vector<output>& out)
{
    for (auto& step : steps) {
        if (const auto* follow = std::get_if<relay_follow>(&step)) {
            out.emplace_back(log_follow{stream, follow->from, follow->active});
        }
        else if (const auto* request = std::get_if<relay_request>(&step)) {
            state_.send(request->to, peer_message_kind::log_request,
                        log_request_message{stream, request->message}, out);
        }
        else if (auto* records = std::get_if<relay_records>(&step)) {
            state_.send(records->to, peer_message_kind::log_records,
                        log_records_message{stream, std::move(records->message)}, out);
        }
    }
}

void stream_control::update_topology(std::vector<output>& out)
{
    const bool reads_log = state_.configuration.following_log();
    std::vector<vm_id> sources;
    std::vector<vm_id> peers;
    const auto ranked = state_.vms.ranked("config-relay", state_.settings.failure_domain);
    const bool first = !ranked.empty() && ranked.front().process.vm == state_.self().vm;
    for (const auto& record : ranked) {
        if (record.process.vm == state_.self().vm) {
            continue;
        }
        if (sources.size() < readers_per_domain) {
            sources.push_back(record.process.vm);
        }
        if (first && reads_log) {
            peers.push_back(record.process.vm);
        }
    }
    for (auto* relay : {&state_.lease_records, &state_.claim_records, &state_.rollout_records}) {
        std::vector<relay_output> steps;
        relay->set_topology(reads_log, sources, peers, steps);
        carry_out(relay->stream(), steps, out);
    }
}

std::vector<vm_id> stream_control::candidates(duty which) const
{
    std::vector<vm_id> out;
    if (which == duty::claim_writer) {
        for (const auto& member : state_.vms.domain_members()) {
            out.push_back(member.vm);
        }
        return out;
    }
    for (const auto& [vm, record] : state_.vms.records()) {
        const bool usable =
            record.state == vm_state::alive ||
            (record.state == vm_state::listed && record.listed && !record.list_leaving);
        if (usable) {
            out.push_back(vm);
        }
    }
    return out;
}

void stream_control::run_elections(time_point now, std::vector<output>& out)
{
    // A VM with an outdated lease table would contend for leases that others hold.
    const bool current = state_.lease_records.confirmed_at() + 3s > now;
    for (auto& [which, elector] : electors_) {
        if (!current) {
            continue;
        }
        if (auto record = elector.tick(state_.leases, candidates(which), now)) {
            state_.append(
                leases_stream, {encode_lease_record(*record)},
                [](const auto&, time_point, std::vector<output>&) {}, out);
        }
    }
}

void stream_control::on_claim_submit(const claim_submit_message& message)
{
    auto batch = decode_claim_batch(message.data);
    if (!batch) {
        state_.counters.count("peer_frames_malformed_total").add();
        return;
    }
    const auto dropped = writer_.accept(std::move(batch->items));
    state_.counters.count("claims_unqueued_total").add(dropped);
}

void stream_control::write_claims(time_point now, std::vector<output>& out)
{
    const auto* lease = state_.leases.find(lease_name(duty::claim_writer));
    const auto writer = lease != nullptr && !lease->released ? lease->holder.vm : vm_id{};
    if (writer != last_writer_) {
        last_writer_ = writer;
        state_.claim_items.writer_changed();
    }
    if (!writer.empty()) {
        for (auto& items : state_.claim_items.due(now)) {
            if (writer == state_.self().vm) {
                writer_.accept(std::move(items));
                continue;
            }
            state_.send(writer, peer_message_kind::claim_submit,
                        claim_submit_message{encode_claim_batch({0, std::move(items)})}, out);
        }
    }
    const bool authority = electors_.at(duty::claim_writer).authority(now).has_value();
    if (auto append = writer_.due(now, authority)) {
        const auto batch = append->batch;
        state_.append(
            claims_stream, {std::move(append->data)},
            [this, batch](const auto& result, time_point at, std::vector<output>&) {
                writer_.on_result(batch, result.has_value(), at);
            },
            out);
    }
}

void stream_control::write_snapshot(time_point now, std::vector<output>& out)
{
    const auto& fold = state_.configuration.fold();
    const bool due = now >= next_snapshot_ && fold.current_revision() > 0;
    if (!due || !electors_.at(duty::config_snapshot).authority(now)) {
        return;
    }
    // Four snapshots within the retention leave three spare when holders fail or are paused.
    next_snapshot_ = now + state_.settings.log_retention / 4;
    auto records = encode_snapshot(fold.snapshot(), state_.settings.cluster_key);
    if (!records) {
        state_.counters.count("snapshots_too_large_total").add();
        return;
    }
    state_.append(
        config_stream, std::move(*records),
        [this](const auto& result, time_point at, std::vector<output>&) {
            if (!result) {
                next_snapshot_ = at + 10s;
            }
        },
        out);
}

void stream_control::on_limit_request(const limit_request_message& message, time_point now)
{
    for (const auto& request : message.requests) {
        allocator_.report(request, now);
    }
}

void stream_control::share_limits(time_point now, std::vector<output>& out)
{
    const auto* lease = state_.leases.find(lease_name(duty::limit_shares));
    if (now >= next_limit_report_ && lease != nullptr && !lease->released) {
        next_limit_report_ = now + limit_report_interval;
        limit_request_message message{state_.limiter.share_requests(now)};
        if (lease->holder.vm == state_.self().vm) {
            on_limit_request(message, now);
        }
        else if (!message.requests.empty()) {
            state_.send(lease->holder.vm, peer_message_kind::limit_request, message, out);
        }
    }
    const auto fencing = electors_.at(duty::limit_shares).authority(now);
    if (!fencing) {
        return;
    }
    if (*fencing != allocator_fencing_) {
        allocator_fencing_ = *fencing;
        allocator_.start(now);
        allocator_.configure(state_.doc->teams, now);
    }
    std::map<vm_id, limit_grant_message> grants;
    for (auto& grant : allocator_.allocate(now)) {
        if (grant.vm == state_.self().vm) {
            state_.limiter.grant(grant, now);
            continue;
        }
        grants[grant.vm].grants.push_back(std::move(grant));
    }
    for (const auto& [vm, message] : grants) {
        state_.send(vm, peer_message_kind::limit_grant, message, out);
    }
}

void stream_control::on_configuration(time_point now)
{
    allocator_.configure(state_.doc->teams, now);
}

void stream_control::resign_duties()
{
    for (auto& [which, elector] : electors_) {
        elector.resign();
    }
}

void stream_control::tick(time_point now, std::vector<output>& out)
{
    update_topology(out);
    for (auto* relay : {&state_.lease_records, &state_.claim_records, &state_.rollout_records}) {
        std::vector<relay_output> steps;
        relay->tick(now, steps);
        carry_out(relay->stream(), steps, out);
    }
    state_.claims.expire(state_.settings.wall_ms());
    run_elections(now, out);
    write_claims(now, out);
    write_snapshot(now, out);
    share_limits(now, out);
}

} // namespace wagtailhitch
