#include "request/service_requests.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace wagtailhitch {

namespace {

call_guarantee guarantee_of(const caller_request& message, const call_spec& call)
{
    if (!message.ticket.empty()) {
        return call_guarantee::ticket;
    }
    if (call.idempotent) {
        return call_guarantee::idempotent;
    }
    return message.idempotency_key.empty() ? call_guarantee::once : call_guarantee::keyed;
}

} // namespace

std::uint64_t digest_of(const caller_request& message)
{
    return make_request_digest(message.service, message.call, message.payload);
}

service_requests::service_requests(core_state& state, bill_gate& gate) : state_{state}, gate_{gate}
{
}

claims_confirmation service_requests::confirmation() const
{
    return {state_.claim_records.confirmed_at()};
}

expected<call_spec> service_requests::find_call(const caller_request& message) const
{
    const auto service = state_.doc->services.find(message.service);
    if (service != state_.doc->services.end()) {
        const auto call = service->second.calls.find(message.call);
        if (call != service->second.calls.end()) {
            return call->second;
        }
    }
    return tl::unexpected(
        make_request_error(error_code::unknown_service, step::route, {}, run_state::not_run,
                           "No service \"" + message.service + "\" with a call \"" + message.call +
                               "\" is declared."));
}

void service_requests::start(const caller_request& message, const team_id& team, time_point now,
                             std::vector<output>& out)
{
    const auto call = find_call(message);
    if (!call) {
        refuse(state_, message.caller, call.error(), out);
        return;
    }
    if (auto admitted = state_.limiter.admit(team, {1.0, 0.0, 0.0}, now); !admitted) {
        refuse(state_, message.caller, admitted.error(), out);
        return;
    }
    service_request request;
    request.facts = {state_.new_request_id(), message.caller, team, now,
                     deadline_of(message, state_.settings.default_deadline, now)};
    request.message = message;
    request.call = *call;
    request.guarantee = guarantee_of(message, *call);
    begin(std::move(request), now, out);
}

void service_requests::begin(service_request request, time_point now, std::vector<output>& out)
{
    state_.retry_credit.count_request(now);
    const auto id = request.facts.id;
    const auto guarantee = request.guarantee;
    if (!request.forwarded) {
        by_caller_[request.facts.caller] = id;
    }
    const auto it = requests_.emplace(id, std::move(request)).first;
    switch (guarantee) {
    case call_guarantee::idempotent:
    case call_guarantee::once:
        dispatch(it, now, out);
        break;
    case call_guarantee::ticket:
        begin_ticket(it, now, out);
        break;
    case call_guarantee::keyed: {
        const auto& r = it->second;
        it->second.claim.emplace(keyed_request{r.facts.team, r.message.idempotency_key,
                                               digest_of(r.message), id, r.message.first_use, now,
                                               r.facts.deadline},
                                 claim_flow_settings{});
        const auto action =
            it->second.claim->start(state_.claims, confirmation(), now, state_.settings.wall_ms());
        act_on_claim(it, action, now, out);
        break;
    }
    }
}

void service_requests::act_on_claim(requests::iterator it, const claim_action& action,
                                    time_point now, std::vector<output>& out)
{
    auto& request = it->second;
    switch (action.kind) {
    case claim_action_kind::wait:
        break;
    case claim_action_kind::submit:
        if (!state_.claim_items.add(action.claim, now)) {
            const auto refusal = request.claim->not_submitted(confirmation());
            request.claim.reset();
            fail(it, refusal.reason, now, out);
        }
        break;
    case claim_action_kind::send:
        dispatch(it, now, out);
        break;
    case claim_action_kind::answer:
        answer_stored(it, action.status, action.content_type, action.payload, out);
        break;
    case claim_action_kind::refuse:
        if (action.withdraw) {
            state_.claim_items.withdraw(request.facts.id);
        }
        if (action.release) {
            state_.claim_items.release(request.claim->key(), request.facts.id, now);
        }
        request.claim.reset();
        fail(it, action.reason, now, out);
        break;
    }
}

void service_requests::on_claims(time_point now, std::vector<output>& out)
{
    std::vector<request_id> waiting;
    for (const auto& [id, request] : requests_) {
        if (request.claim && !request.claim->sent()) {
            waiting.push_back(id);
        }
    }
    for (const auto& id : waiting) {
        const auto it = requests_.find(id);
        if (it != requests_.end()) {
            act_on_claim(it, it->second.claim->advance(state_.claims, confirmation(), now), now,
                         out);
        }
    }
}

void service_requests::dispatch(requests::iterator it, time_point now, std::vector<output>& out)
{
    auto& request = it->second;
    choice_request query;
    query.service = request.message.service;
    query.excluded = request.tried_replicas;
    query.request_bytes = static_cast<double>(request.message.payload.size());
    query.answer_bytes = static_cast<double>(outcome_max_bytes);
    const auto target = state_.chooser.choose(state_.pool, state_.prefixes, state_.link, query, now,
                                              state_.generator);
    if (!target) {
        auto [reason, set_aside] = describe_unavailability(state_, target.error(), query, now);
        if (is_worth_waiting(reason, set_aside, request.facts.deadline, now)) {
            request.retry_at = now + std::max<duration>(*reason.retry_after, 20ms);
            return;
        }
        reason.run = request.attempts_made > 0 ? run_state::outcome_unknown : run_state::not_run;
        fail(it, std::move(reason), now, out);
        return;
    }
    const auto& replica = state_.pool.view(target->replica);
    state_.link.spend(target->link_bytes, now);
    request.attempt = attempt_id{request.facts.id, ++request.attempts_made};
    request.pool_ticket = state_.pool.begin(target->replica, now);
    request.sent = now;
    request.upstream = replica.id;
    request.tried_replicas.push_back(target->replica);
    attempt_start start;
    start.attempt = *request.attempt;
    start.kind = attempt_kind::service_call;
    start.upstream = replica.id;
    start.address = replica.spec.address;
    start.upstream_generation = replica.generation;
    start.method = request.call.method;
    start.path = request.call.path;
    start.payload = request.message.payload;
    start.content_type = request.message.content_type;
    start.idempotency_key = request.message.idempotency_key;
    start.first_byte_timeout = state_.settings.first_byte_timeout;
    start.progress_timeout = state_.settings.progress_timeout;
    out.emplace_back(std::move(start));
    state_.counters.count("attempts_total", {{"distance", std::string{name_of(target->distance)}}})
        .add();
}

std::optional<std::pair<upstream_id, dispatch_ticket>>
service_requests::sent_attempt(const attempt_id& id) const
{
    const auto it = requests_.find(id.request);
    if (it == requests_.end() || it->second.attempt != id || !it->second.pool_ticket) {
        return std::nullopt;
    }
    return std::pair{it->second.upstream, *it->second.pool_ticket};
}

void service_requests::end_attempt(service_request& request, attempt_result result, time_point now)
{
    if (request.pool_ticket) {
        const attempt_outcome outcome{result, now - request.sent, now - request.sent, {}};
        state_.pool.finish(*request.pool_ticket, outcome, now);
    }
    request.pool_ticket.reset();
    request.attempt.reset();
}

void service_requests::on_finished(const attempt_finished& event, time_point now)
{
    const auto it = requests_.find(event.attempt.request);
    if (it == requests_.end() || it->second.attempt != event.attempt) {
        state_.counters.count("late_attempt_events_total").add();
        return;
    }
    complete(it, event, now);
}

void service_requests::complete(requests::iterator it, const attempt_finished& event,
                                time_point now)
{
    auto& request = it->second;
    if (request.pool_ticket) {
        state_.pool.note_answered(*request.pool_ticket, now);
    }
    end_attempt(request, attempt_result::succeeded, now);
    if (request.claim) {
        state_.claim_items.add(
            request.claim->answered(event.status, event.content_type, event.payload), now);
    }
    if (request.used_ticket) {
        state_.tickets.finish(request.used_ticket->sequence,
                              {event.status, event.content_type, event.payload});
    }
    const bool answer_is_discarded = request.facts.caller_gone &&
                                     request.guarantee != call_guarantee::keyed &&
                                     request.guarantee != call_guarantee::ticket;
    bill created{request.facts.id,
                 request.facts.team,
                 answer_is_discarded ? bill_outcome::cancelled : bill_outcome::answered,
                 {{version_id{}, request.upstream, 0, 0, 0}}};
    state_.counters.count("answers_total", {{"kind", "service"}}).add();
    std::vector<output> end;
    respond(request, {request.facts.caller, event.status, event.content_type, event.payload, {}},
            end);
    gate_.hold(state_, created, std::move(end.front()), now);
    remove(it);
}

void service_requests::respond(service_request& request, answer_whole answer,
                               std::vector<output>& out)
{
    if (!request.forwarded) {
        answer.headers["Wagtailhitch-Request-Id"] = to_string(request.facts.id);
        out.emplace_back(std::move(answer));
        return;
    }
    state_.send(request.forwarded->from, peer_message_kind::ticket_answer,
                ticket_answer_message{request.forwarded->call,
                                      std::nullopt,
                                      {answer.status, answer.content_type, answer.payload}},
                out);
    if (out.empty()) {
        // The sender is no longer known; an answer without a caller is dropped.
        out.emplace_back(answer_whole{0, answer.status, answer.content_type, {}, {}});
    }
}

void service_requests::answer_stored(requests::iterator it, unsigned status,
                                     std::string content_type, std::string payload,
                                     std::vector<output>& out)
{
    auto& request = it->second;
    state_.counters
        .count("stored_answers_total", {{"guarantee", std::string{name_of(request.guarantee)}}})
        .add();
    respond(request,
            {request.facts.caller, status, std::move(content_type), std::move(payload), {}}, out);
    remove(it);
}

void service_requests::on_failed(const attempt_failed& event, time_point now,
                                 std::vector<output>& out)
{
    const auto it = requests_.find(event.attempt.request);
    if (it == requests_.end() || it->second.attempt != event.attempt) {
        state_.counters.count("late_attempt_events_total").add();
        return;
    }
    auto& request = it->second;
    if (event.withdrawn) {
        end_attempt(request, attempt_result::cancelled, now);
        request.tried_replicas.pop_back();
        request.retry_at = now;
        return;
    }
    state_.upstreams.on_attempt_failure(request.upstream, now);
    end_attempt(request, attempt_result::failed, now);
    failed_attempt failure;
    failure.code = event.reason.code;
    failure.at = event.reason.at;
    failure.run = event.reason.run;
    failure.idempotent = request.guarantee == call_guarantee::idempotent;
    failure.retries = request.retries;
    failure.deadline = request.facts.deadline;
    const auto decision =
        state_.retries.decide(failure, state_.retry_credit, now, state_.generator);
    if (decision.action == retry_action::restart) {
        state_.counters
            .count("retries_total", {{"reason", std::string{name_of(event.reason.code)}}})
            .add();
        state_.retry_credit.spend(now);
        ++request.retries;
        request.retry_at = now + decision.wait;
        return;
    }
    state_.counters
        .count("retries_refused_total", {{"reason", std::string{name_of(decision.refusal)}}})
        .add();
    fail(it, event.reason, now, out);
}

void service_requests::fail(requests::iterator it, error reason, time_point now,
                            std::vector<output>& out)
{
    auto& request = it->second;
    end_attempt(request, attempt_result::cancelled, now);
    if (request.claim && request.claim->sent()) {
        state_.claim_items.add(request.claim->failed(reason.run), now);
    }
    else if (request.claim && request.claim->abandon()) {
        state_.claim_items.withdraw(request.facts.id);
    }
    if (request.used_ticket) {
        state_.tickets.fail(request.used_ticket->sequence, reason.run);
    }
    if (request.forwarded) {
        state_.send(request.forwarded->from, peer_message_kind::ticket_answer,
                    ticket_answer_message{request.forwarded->call, std::move(reason), {}}, out);
    }
    else {
        refuse(state_, request.facts.caller, std::move(reason), out);
    }
    remove(it);
}

void service_requests::detach_caller(service_request& request, error reason,
                                     std::vector<output>& out)
{
    // The call continues until the upstream client's own deadlines, so a repeat can get its answer.
    if (!request.facts.caller_gone) {
        refuse(state_, request.facts.caller, std::move(reason), out);
    }
    by_caller_.erase(request.facts.caller);
    request.facts.caller_gone = true;
    request.facts.deadline = time_point::max();
}

void service_requests::remove(requests::iterator it)
{
    by_caller_.erase(it->second.facts.caller);
    by_forward_id_.erase(it->second.forward_id);
    requests_.erase(it);
}

void service_requests::on_caller_gone(caller_token caller, time_point now, std::vector<output>& out)
{
    const auto known = by_caller_.find(caller);
    if (known == by_caller_.end()) {
        return;
    }
    const auto it = requests_.find(known->second);
    auto& request = it->second;
    request.facts.caller_gone = true;
    // A call that may have started continues, so that a later repeat can get its outcome.
    if (request.attempt || request.forward_id != 0) {
        return;
    }
    if (request.claim && request.claim->abandon()) {
        state_.claim_items.withdraw(request.facts.id);
    }
    request.claim.reset();
    fail(it,
         make_request_error(error_code::caller_gone, step::claim, {}, run_state::not_run,
                            "The caller closed its connection before the call was sent."),
         now, out);
}

void service_requests::tick(time_point now, std::vector<output>& out)
{
    on_claims(now, out);
    std::vector<request_id> due;
    for (const auto& [id, request] : requests_) {
        if (now >= request.facts.deadline || (request.retry_at && now >= *request.retry_at)) {
            due.push_back(id);
        }
    }
    for (const auto& id : due) {
        const auto it = requests_.find(id);
        if (it == requests_.end()) {
            continue;
        }
        auto& request = it->second;
        if (now < request.facts.deadline) {
            request.retry_at.reset();
            dispatch(it, now, out);
            continue;
        }
        const bool may_have_run = request.attempts_made > 0 || request.forward_id != 0;
        auto timeout_error =
            make_request_error(error_code::upstream_timeout, step::dispatch, request.upstream.value,
                               may_have_run ? run_state::outcome_unknown : run_state::not_run,
                               "The call was not answered within its deadline.");
        const bool answer_is_stored = request.claim || request.used_ticket;
        if (request.attempt && answer_is_stored && !request.forwarded) {
            detach_caller(request, std::move(timeout_error), out);
            continue;
        }
        fail(it, std::move(timeout_error), now, out);
    }
}

} // namespace wagtailhitch
