#include "node/node_core.hpp"

#include "node/bill_control.hpp"
#include "node/configuration_control.hpp"
#include "node/core_state.hpp"
#include "node/membership_control.hpp"
#include "node/rollout_control.hpp"
#include "node/status_report.hpp"
#include "node/stream_control.hpp"
#include "request/chat_requests.hpp"
#include "request/service_requests.hpp"

namespace wagtailhitch {

namespace {

// Time for which requests are still served after a stop request, because the balancer needs time to
// detect that the VM is no longer ready.
constexpr duration drain_grace_period = 2s;
// Time to transmit the frames of the last heartbeat before the process ends.
constexpr duration leave_grace_period = 100ms;

// Outcomes and bills that cannot be appended within this time are left to their copies on peers.
constexpr duration handover_timeout = 30s;

enum class stop_phase { running, draining, handing_over, leaving, done };

} // namespace

struct node_core::parts {
    parts(core_settings settings, metrics& registry, time_point now)
        : state{std::move(settings), registry, now}, chats{state, gate}, services{state, gate},
          bills{state, gate}, membership{state}, configuration{state,
                                                               [this](time_point at) {
                                                                   on_configuration(at);
                                                               }},
          streams{state,
                  {[this](time_point at, std::vector<output>& out) { services.on_claims(at, out); },
                   [this](const request_id& id) { return services.owns(id); }}},
          rollouts{state}
    {
    }

    void on_configuration(time_point now)
    {
        membership.on_configuration(now);
        chats.on_configuration(now);
        streams.on_configuration(now);
    }

    core_state state;
    bill_gate gate;
    chat_requests chats;
    service_requests services;
    bill_control bills;
    membership_control membership;
    configuration_control configuration;
    stream_control streams;
    rollout_control rollouts;
    time_point next_report;
    time_point stop_at;
    stop_phase phase{stop_phase::running};
    bool restart_after_stop{false};

    void on(const caller_request& message, time_point now, std::vector<output>& out);
    void on(const caller_gone& event, time_point now, std::vector<output>& out);
    void on(const attempt_started& event, time_point now, std::vector<output>& out);
    void on(const upstream_notice& event, time_point now, std::vector<output>& out);
    void on(const attempt_chunk& event, time_point now, std::vector<output>& out);
    void on(const attempt_finished& event, time_point now, std::vector<output>& out);
    void on(const attempt_failed& event, time_point now, std::vector<output>& out);
    void on(const probe_result& event, time_point now, std::vector<output>& out);
    void on(const cache_events& event, time_point now, std::vector<output>& out);
    void on(const order_result& event, time_point now, std::vector<output>& out);
    void on(const log_batch& event, time_point now, std::vector<output>& out);
    void on(const log_read_failed& event, time_point now, std::vector<output>& out);
    void on(const append_result& event, time_point now, std::vector<output>& out);
    void on(const vm_list& event, time_point now, std::vector<output>& out);
    void on(const ratings& event, time_point now, std::vector<output>& out);
    void on(const peer_frame& event, time_point now, std::vector<output>& out);
    void on(const peer_connected& event, time_point now, std::vector<output>& out);
    void on(const peer_lost& event, time_point now, std::vector<output>& out);
    void on(const stop_requested& event, time_point now, std::vector<output>& out);

    [[nodiscard]] std::optional<error> refusal_for(const caller_request& message,
                                                   time_point now) const;
    void on_peer(const peer_frame& frame, const peer_message& message, time_point now,
                 std::vector<output>& out);
    void begin_stop(bool restart, time_point now);
    void advance_stop(time_point now, std::vector<output>& out);
    [[nodiscard]] bool drained() const;
};

std::optional<error> node_core::parts::refusal_for(const caller_request& message,
                                                   time_point now) const
{
    const auto& self = state.self().vm.value;
    // stop_at is the end of the grace period only while draining; later phases reuse it.
    const bool in_grace_period = phase == stop_phase::draining && now < stop_at;
    if (phase != stop_phase::running && !in_grace_period) {
        return error{error_code::shutting_down,
                     step::shutdown,
                     self,
                     run_state::not_run,
                     "The VM is shutting down.",
                     1s};
    }
    const auto readiness = state.configuration.readiness();
    if (!readiness.ready) {
        return error{error_code::not_ready, step::configure,  self,
                     run_state::not_run,    readiness.reason, 1s};
    }
    if (message.kind != caller_request_kind::issue_ticket && state.bills.full()) {
        return error{error_code::bill_buffer_full,       step::bill, self, run_state::not_run,
                     "Too many bills wait for the log.", 5s};
    }
    return std::nullopt;
}

void node_core::parts::on(const caller_request& message, time_point now, std::vector<output>& out)
{
    state.counters.count("requests_total").add();
    if (auto reason = refusal_for(message, now)) {
        refuse(state, message.caller, std::move(*reason), out);
        return;
    }
    const auto team = authenticate(state, message.bearer_token);
    if (!team) {
        refuse(state, message.caller, team.error(), out);
        return;
    }
    switch (message.kind) {
    case caller_request_kind::chat:
        chats.start(message, *team, now, out);
        break;
    case caller_request_kind::service_call:
        services.start(message, *team, now, out);
        break;
    case caller_request_kind::issue_ticket:
        services.issue_ticket(message, *team, out);
        break;
    }
}

void node_core::parts::on(const caller_gone& event, time_point now, std::vector<output>& out)
{
    chats.on_caller_gone(event.caller, now, out);
    services.on_caller_gone(event.caller, now, out);
}

void node_core::parts::on(const attempt_started& /*event*/, time_point /*now*/,
                          std::vector<output>& /*out*/)
{
}

void node_core::parts::on(const upstream_notice& event, time_point now,
                          std::vector<output>& /*out*/)
{
    const auto sent = services.owns(event.attempt.request) ? services.sent_attempt(event.attempt)
                                                           : chats.sent_attempt(event.attempt);
    if (sent) {
        membership.on_notice(sent->first, sent->second, event, now);
    }
}

void node_core::parts::on(const attempt_chunk& event, time_point now, std::vector<output>& out)
{
    chats.on_chunk(event, now, out);
}

void node_core::parts::on(const attempt_finished& event, time_point now, std::vector<output>& out)
{
    if (services.owns(event.attempt.request)) {
        services.on_finished(event, now);
        return;
    }
    chats.on_finished(event, now, out);
}

void node_core::parts::on(const attempt_failed& event, time_point now, std::vector<output>& out)
{
    if (services.owns(event.attempt.request)) {
        services.on_failed(event, now, out);
        return;
    }
    chats.on_failed(event, now, out);
}

void node_core::parts::on(const probe_result& event, time_point now, std::vector<output>& /*out*/)
{
    membership.on_probe(event, now);
}

void node_core::parts::on(const cache_events& event, time_point /*now*/,
                          std::vector<output>& /*out*/)
{
    membership.on_cache_events(event);
}

void node_core::parts::on(const order_result& event, time_point /*now*/,
                          std::vector<output>& /*out*/)
{
    state.counters.count("order_results_total", {{"result", event.failure ? "failed" : "done"}})
        .add();
}

void node_core::parts::on(const log_batch& event, time_point now, std::vector<output>& out)
{
    if (event.stream == config_stream) {
        configuration.on_log(event, now, out);
        return;
    }
    streams.on_log(event, now, out);
}

void node_core::parts::on(const log_read_failed& event, time_point now, std::vector<output>& out)
{
    state.counters
        .count("log_read_failures_total",
               {{"stream", event.stream}, {"code", std::string{name_of(event.reason.code)}}})
        .add();
    if (event.stream == config_stream) {
        configuration.on_log_failed(now, out);
    }
}

void node_core::parts::on(const append_result& event, time_point now, std::vector<output>& out)
{
    state.on_append_result(event, now, out);
}

void node_core::parts::on(const vm_list& event, time_point now, std::vector<output>& /*out*/)
{
    membership.on_vm_list(event, now);
}

void node_core::parts::on(const ratings& event, time_point /*now*/, std::vector<output>& /*out*/)
{
    rollouts.on_ratings(event);
}

void node_core::parts::on(const peer_frame& event, time_point now, std::vector<output>& out)
{
    const auto message = decode_peer_message(event);
    if (!message) {
        state.counters.count("peer_frames_malformed_total").add();
        return;
    }
    on_peer(event, *message, now, out);
}

void node_core::parts::on_peer(const peer_frame& frame, const peer_message& message, time_point now,
                               std::vector<output>& out)
{
    const auto& from = frame.from;
    if (const auto* m = std::get_if<heartbeat_message>(&message)) {
        membership.on_heartbeat(frame, *m, now, out);
        rollouts.on_evidence(m->evidence);
    }
    else if (const auto* ended = std::get_if<ended_message>(&message)) {
        if (membership.was_removed(*ended)) {
            begin_stop(true, now);
        }
    }
    else if (const auto* request = std::get_if<log_request_message>(&message)) {
        if (request->stream == config_stream) {
            configuration.on_request(from.vm, request->request, now, out);
            return;
        }
        streams.on_request(from.vm, *request, now, out);
    }
    else if (const auto* records = std::get_if<log_records_message>(&message)) {
        if (records->stream == config_stream) {
            configuration.on_records(from.vm, records->records, now, out);
            return;
        }
        streams.on_records(from.vm, *records, now, out);
    }
    else if (const auto* snapshot = std::get_if<snapshot_message>(&message)) {
        configuration.on_snapshot(from.vm, *snapshot, now, out);
    }
    else if (const auto* copy = std::get_if<bill_copy_message>(&message)) {
        bills.on_copy(from, *copy, now, out);
    }
    else if (const auto* ack = std::get_if<bill_ack_message>(&message)) {
        bills.on_ack(from, *ack, out);
    }
    else if (const auto* done = std::get_if<bill_done_message>(&message)) {
        bills.on_done(from, *done, out);
    }
    else if (const auto* claims = std::get_if<claim_submit_message>(&message)) {
        streams.on_claim_submit(*claims);
    }
    else if (const auto* forward = std::get_if<ticket_forward_message>(&message)) {
        services.on_forward(from, *forward, now, out);
    }
    else if (const auto* answer = std::get_if<ticket_answer_message>(&message)) {
        services.on_ticket_answer(*answer, now, out);
    }
    else if (const auto* demand = std::get_if<limit_request_message>(&message)) {
        streams.on_limit_request(*demand, now);
    }
    else if (const auto* grants = std::get_if<limit_grant_message>(&message)) {
        for (const auto& grant : grants->grants) {
            state.limiter.grant(grant, now);
        }
    }
}

void node_core::parts::on(const peer_connected& /*event*/, time_point /*now*/,
                          std::vector<output>& /*out*/)
{
    state.counters.count("peer_connections_total").add();
}

void node_core::parts::on(const peer_lost& event, time_point /*now*/, std::vector<output>& /*out*/)
{
    state.counters.count("peers_lost_total", {{"code", std::string{name_of(event.reason.code)}}})
        .add();
}

void node_core::parts::on(const stop_requested& /*event*/, time_point now,
                          std::vector<output>& /*out*/)
{
    begin_stop(false, now);
}

void node_core::parts::begin_stop(bool restart, time_point now)
{
    if (phase != stop_phase::running) {
        restart_after_stop = restart_after_stop && restart;
        return;
    }
    restart_after_stop = restart;
    phase = stop_phase::draining;
    state.stopping = true;
    stop_at = now + drain_grace_period;
    next_report = time_point{};
}

bool node_core::parts::drained() const
{
    return chats.in_flight() == 0 && services.in_flight() == 0 && gate.held() == 0;
}

void node_core::parts::advance_stop(time_point now, std::vector<output>& out)
{
    switch (phase) {
    case stop_phase::running:
    case stop_phase::done:
        break;
    case stop_phase::draining:
        if (now >= stop_at && drained()) {
            state.bills.begin_stop();
            stop_at = now + handover_timeout;
            phase = stop_phase::handing_over;
        }
        break;
    case stop_phase::handing_over:
        if ((state.bills.drained() && state.claim_items.empty()) || now >= stop_at) {
            streams.resign_duties();
            streams.tick(now, out);
            membership.leave(out);
            stop_at = now + leave_grace_period;
            phase = stop_phase::leaving;
        }
        break;
    case stop_phase::leaving:
        if (now >= stop_at) {
            out.emplace_back(stopped{restart_after_stop});
            phase = stop_phase::done;
        }
        break;
    }
}

node_core::node_core(core_settings settings, metrics& registry, time_point now)
    : parts_{std::make_unique<parts>(std::move(settings), registry, now)}
{
}

node_core::~node_core() = default;

void node_core::handle(const input& in, time_point now, std::vector<output>& out)
{
    std::visit([&](const auto& message) { parts_->on(message, now, out); }, in);
}

void node_core::tick(time_point now, std::vector<output>& out)
{
    auto& p = *parts_;
    if (p.phase == stop_phase::leaving || p.phase == stop_phase::done) {
        p.advance_stop(now, out);
        return;
    }
    p.membership.tick(now, out);
    p.configuration.tick(now, out);
    p.streams.tick(now, out);
    p.rollouts.tick(p.streams.electors().at(duty::rollout).authority(now), now, out);
    p.chats.tick(now, out);
    p.services.tick(now, out);
    p.bills.tick(now, out);
    p.advance_stop(now, out);
    if (now >= p.next_report) {
        p.next_report = now + p.state.settings.report_interval;
        out.emplace_back(report_state(p.state, p.configuration, p.membership, p.streams, now));
    }
}

} // namespace wagtailhitch
