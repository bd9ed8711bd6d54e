#include "request/service_requests.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

// Calls with tickets: run locally, answered from the stored answer, or forwarded to the process
// that the ticket names.

namespace wagtailhitch {

void service_requests::issue_ticket(const caller_request& message, const team_id& team,
                                    std::vector<output>& out)
{
    const auto issued = state_.tickets.issue(team, state_.settings.wall_ms());
    nlohmann::json body;
    body["ticket"] = wagtailhitch::issue_ticket(state_.settings.session_key, issued);
    body["key_horizon_seconds"] = to_milliseconds(state_.settings.log_retention) / 1000;
    out.emplace_back(answer_whole{message.caller, 200, "application/json", body.dump(), {}});
}

void service_requests::begin_ticket(requests::iterator it, time_point now, std::vector<output>& out)
{
    auto& request = it->second;
    auto used = verify_ticket(state_.settings.session_key, request.message.ticket);
    if (!used) {
        fail(it, used.error(), now, out);
        return;
    }
    request.used_ticket = *used;
    const auto decision = state_.tickets.begin(
        *used, request.facts.team, digest_of(request.message), state_.vms.is_dead(used->owner));
    switch (decision.kind) {
    case ticket_verdict::run:
        dispatch(it, now, out);
        break;
    case ticket_verdict::forward:
        forward(it, now, out);
        break;
    case ticket_verdict::repeat:
        answer_stored(it, decision.answer.status, decision.answer.content_type,
                      decision.answer.payload, out);
        break;
    case ticket_verdict::refuse:
        request.used_ticket.reset(); // this request is not the run that the ticket identifies
        fail(it, decision.reason, now, out);
        break;
    }
}

void service_requests::forward(requests::iterator it, time_point now, std::vector<output>& out)
{
    auto& request = it->second;
    const auto owner = request.used_ticket->owner;
    request.used_ticket.reset(); // only the owner keeps the ticket's state
    if (request.forwarded) {
        fail(it,
             make_request_error(
                 error_code::ticket_owner_gone, step::claim, owner.vm.value,
                 run_state::outcome_unknown,
                 "The ticket names another process than the one it was forwarded to."),
             now, out);
        return;
    }
    if (state_.vms.find(owner.vm) == nullptr) {
        fail(it,
             make_request_error(error_code::peer_unavailable, step::claim, owner.vm.value,
                                run_state::outcome_unknown,
                                "The VM named in the ticket is not known to this VM."),
             now, out);
        return;
    }
    request.forward_id = next_forward_id_++;
    by_forward_id_[request.forward_id] = request.facts.id;
    const auto& m = request.message;
    state_.send(owner.vm, peer_message_kind::ticket_forward,
                ticket_forward_message{request.forward_id, m.ticket, request.facts.team.value,
                                       m.service, m.call, m.payload, m.content_type,
                                       request.facts.deadline - now},
                out);
}

void service_requests::on_forward(const process_id& from, const ticket_forward_message& message,
                                  time_point now, std::vector<output>& out)
{
    caller_request call;
    call.kind = caller_request_kind::service_call;
    call.ticket = message.ticket;
    call.service = message.service;
    call.call = message.name;
    call.payload = message.payload;
    call.content_type = message.content_type;
    const auto spec = find_call(call);
    if (!spec) {
        state_.send(from.vm, peer_message_kind::ticket_answer,
                    ticket_answer_message{message.call, spec.error(), {}}, out);
        return;
    }
    service_request request;
    request.facts = {state_.new_request_id(), 0, team_id{message.team}, now,
                     now + std::min(message.time_left, state_.settings.default_deadline)};
    request.message = std::move(call);
    request.call = *spec;
    request.guarantee = call_guarantee::ticket;
    request.forwarded = forwarded_call{from.vm, message.call};
    begin(std::move(request), now, out);
}

void service_requests::on_ticket_answer(const ticket_answer_message& message, time_point now,
                                        std::vector<output>& out)
{
    const auto known = by_forward_id_.find(message.call);
    if (known == by_forward_id_.end()) {
        state_.counters.count("late_attempt_events_total").add();
        return;
    }
    const auto it = requests_.find(known->second);
    if (message.failure) {
        fail(it, *message.failure, now, out);
        return;
    }
    answer_stored(it, message.answer.status, message.answer.content_type, message.answer.payload,
                  out);
}

} // namespace wagtailhitch
