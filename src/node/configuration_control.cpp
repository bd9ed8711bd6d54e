#include "node/configuration_control.hpp"

namespace wagtailhitch {

namespace {

template<typename... Handlers> struct overloaded : Handlers... {
    using Handlers::operator()...;
};
// clang 14 does not deduce the arguments of an aggregate.
template<typename... Handlers> overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace

configuration_control::configuration_control(core_state& state,
                                             std::function<void(time_point)> on_accepted)
    : state_{state}, on_accepted_{std::move(on_accepted)}
{
}

void configuration_control::on_log(const log_batch& batch, time_point now, std::vector<output>& out)
{
    config_follower::outputs steps;
    state_.configuration.on_log(batch, now, steps);
    carry_out(steps, now, out);
}

void configuration_control::on_log_failed(time_point now, std::vector<output>& out)
{
    config_follower::outputs steps;
    state_.configuration.on_log_failed(now, steps);
    carry_out(steps, now, out);
}

void configuration_control::on_request(const vm_id& from, const records_request& request,
                                       time_point now, std::vector<output>& out)
{
    config_follower::outputs steps;
    state_.configuration.on_request(from, request, now, steps);
    carry_out(steps, now, out);
}

void configuration_control::on_records(const vm_id& from, const records_message& message,
                                       time_point now, std::vector<output>& out)
{
    config_follower::outputs steps;
    state_.configuration.on_records(from, message, now, steps);
    carry_out(steps, now, out);
}

void configuration_control::on_snapshot(const vm_id& from, const snapshot_message& message,
                                        time_point now, std::vector<output>& out)
{
    std::string joined;
    for (const auto& record : message.records) {
        const auto part = decode_part(record);
        if (!part) {
            state_.counters.count("peer_frames_malformed_total").add();
            return;
        }
        joined += part->data;
    }
    const auto snapshot = decode_snapshot(joined, state_.settings.cluster_key);
    if (!snapshot) {
        state_.counters.count("peer_frames_malformed_total").add();
        return;
    }
    config_follower::outputs steps;
    state_.configuration.on_snapshot(from, *snapshot, now, steps);
    carry_out(steps, now, out);
}

void configuration_control::tick(time_point now, std::vector<output>& out)
{
    config_follower::outputs steps;
    std::vector<domain_member> live;
    std::size_t listed = 0;
    for (const auto& [vm, record] : state_.vms.records()) {
        if (vm != state_.self().vm && record.listed) {
            ++listed;
        }
        if (record.state == vm_state::alive) {
            live.push_back({vm, record.failure_domain == state_.settings.failure_domain});
        }
    }
    state_.configuration.set_members(std::move(live), listed, now, steps);
    state_.configuration.tick(now, steps);
    carry_out(steps, now, out);
}

void configuration_control::carry_out(config_follower::outputs& steps, time_point now,
                                      std::vector<output>& out)
{
    const std::string stream{config_stream};
    for (auto& step : steps) {
        std::visit(overloaded{
                       [&](start_following& s) {
                           out.emplace_back(log_follow{stream, s.from, true});
                       },
                       [&](stop_following&) {
                           out.emplace_back(log_follow{stream, 0, false});
                       },
                       [&](send_request& s) {
                           state_.send(s.peer, peer_message_kind::log_request,
                                       log_request_message{stream, s.message}, out);
                       },
                       [&](send_records& s) {
                           state_.send(s.peer, peer_message_kind::log_records,
                                       log_records_message{stream, std::move(s.message)}, out);
                       },
                       [&](send_snapshot& s) {
                           auto records = encode_snapshot(s.snapshot, state_.settings.cluster_key);
                           if (!records) {
                               state_.counters.count("snapshots_too_large_total").add();
                               return;
                           }
                           state_.send(s.peer, peer_message_kind::snapshot,
                                       snapshot_message{std::move(*records), s.correlation_id},
                                       out);
                       },
                       [&](fold_event& s) { count(s.event); },
                   },
                   step);
    }
    activate_document(now);
}

void configuration_control::count(const config_output& event)
{
    auto& counters = state_.counters;
    std::visit(
        overloaded{
            [&](const change_accepted&) {
                counters.count("configuration_changes_total", {{"result", "accepted"}}).add();
            },
            [&](const change_rejected& e) {
                counters
                    .count("configuration_changes_total",
                           {{"result", std::string{name_of(*e.verdict.refused)}}})
                    .add();
            },
            [&](const change_repeated&) {
                counters.count("configuration_changes_total", {{"result", "repeated"}}).add();
            },
            [&](const snapshot_adopted&) { counters.count("configuration_snapshots_total").add(); },
            [](const auto&) {},
        },
        event);
}

void configuration_control::activate_document(time_point now)
{
    const auto& fold = state_.configuration.fold();
    if (fold.current() == state_.doc) {
        return;
    }
    state_.doc = fold.current();
    in_force_since_ = now;
    state_.teams_by_token.clear();
    for (const auto& [id, team] : state_.doc->teams) {
        state_.teams_by_token[team.token_sha256] = id;
    }
    const auto vms = std::max<std::size_t>(1, state_.vms.records().size());
    state_.limiter.configure(state_.doc->teams, static_cast<std::uint32_t>(vms), now);
    on_accepted_(now);
}

} // namespace wagtailhitch
