#include "request/chat_requests.hpp"

#include "session/session_token.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace wagtailhitch {

namespace {

// Assumed length of an answer without max_tokens; corrected when the answer is complete.
constexpr std::uint32_t assumed_answer_tokens = 512;

} // namespace

chat_requests::chat_requests(core_state& state, bill_gate& gate) : state_{state}, gate_{gate} {}

expected<route_spec> chat_requests::find_route(const caller_request& message) const
{
    const auto route = state_.doc->routes.find(message.model);
    if (route != state_.doc->routes.end()) {
        return route->second;
    }
    const model_id model{message.model};
    if (!state_.doc->models.contains(model)) {
        return tl::unexpected(
            make_request_error(error_code::unknown_model, step::route, {}, run_state::not_run,
                               "No route or model has the name \"" + message.model + "\"."));
    }
    route_spec single_step_route;
    single_step_route.steps = {model};
    single_step_route.deadline = state_.settings.default_deadline;
    return single_step_route;
}

expected<session_choice> chat_requests::choose_session(const chat_request& request,
                                                       const model_id& model, time_point now) const
{
    session_query query;
    query.team = request.facts.team;
    query.model = model;
    query.session_id = request.message.session_id;
    query.new_session = to_string(request.facts.id);
    if (!request.message.session_token.empty()) {
        auto token =
            verify_session_token(state_.settings.session_key, request.message.session_token);
        if (!token) {
            return tl::unexpected(token.error());
        }
        // A session token selects the version for its own model only, not for other steps of the
        // route.
        if (token->model == model || request.route.steps.size() == 1) {
            query.token = std::move(*token);
        }
    }
    return state_.sessions.choose(query, *state_.doc, state_.age(now));
}

std::vector<cascade_step_info> chat_requests::describe_steps(const chat_request& request,
                                                             time_point now) const
{
    std::vector<cascade_step_info> out;
    for (const auto& model : request.route.steps) {
        cascade_step_info facts;
        facts.model = model;
        facts.declared_quality = state_.doc->models.at(model).quality;
        const auto queue = queues_.find(model);
        if (queue != queues_.end()) {
            facts.expected_time =
                queue->second.expected_wait(request.facts.team, request.route.kind);
        }
        facts.available = choose_session(request, model, now).has_value();
        out.push_back(std::move(facts));
    }
    return out;
}

limit_amounts chat_requests::estimate_use(const chat_request& request) const
{
    const auto answer =
        request.message.max_tokens > 0 ? request.message.max_tokens : assumed_answer_tokens;
    const auto& version = state_.doc->models.at(request.choice.model)
                              .versions.at(request.choice.candidates.front().version);
    const double money = (version.cost_per_1k_input * request.message.prompt_tokens +
                          version.cost_per_1k_output * answer) /
                         1000.0;
    return {1.0, static_cast<double>(request.message.prompt_tokens + answer), money};
}

expected<chat_request> chat_requests::prepare(const caller_request& message, const team_id& team,
                                              time_point now)
{
    auto route = find_route(message);
    if (!route) {
        return tl::unexpected(route.error());
    }
    chat_request request;
    request.message = message;
    request.route_name = message.model;
    request.route = std::move(*route);
    const auto max_duration = request.route.deadline > duration::zero()
                                  ? request.route.deadline
                                  : state_.settings.default_deadline;
    request.facts = {state_.new_request_id(), message.caller, team, now,
                     deadline_of(message, max_duration, now)};
    request.steps = describe_steps(request, now);
    const bool any_available =
        std::any_of(request.steps.begin(), request.steps.end(),
                    [](const cascade_step_info& facts) { return facts.available; });
    if (!any_available) {
        // The last step uses the route's best model, so its error is the most useful to the caller.
        return tl::unexpected(choose_session(request, request.route.steps.back(), now).error());
    }
    const cascade_request query{request.route_name, request.route.quality_target,
                                request.facts.deadline - now, true};
    const auto first =
        state_.cascade.first_step(state_.sufficiency, query, request.steps, state_.generator);
    if (!first) {
        return tl::unexpected(first.error());
    }
    if (auto entered = enter_step(request, *first, now); !entered) {
        return tl::unexpected(entered.error());
    }
    request.estimate = estimate_use(request);
    return request;
}

expected<void> chat_requests::enter_step(chat_request& request, std::size_t step, time_point now)
{
    auto choice = choose_session(request, request.route.steps.at(step), now);
    if (!choice) {
        return tl::unexpected(choice.error());
    }
    request.step = step;
    request.choice = std::move(*choice);
    request.version = pick_version(request.choice.candidates, state_.generator());
    const auto& prices = state_.doc->models.at(request.choice.model).versions.at(request.version);
    request.cost_per_1k_input = prices.cost_per_1k_input;
    request.cost_per_1k_output = prices.cost_per_1k_output;
    request.buffered.clear();
    request.next_index = 0;
    request.tried_replicas.clear();
    return {};
}

void chat_requests::start(const caller_request& message, const team_id& team, time_point now,
                          std::vector<output>& out)
{
    auto request = prepare(message, team, now);
    if (!request) {
        refuse(state_, message.caller, request.error(), out);
        return;
    }
    if (auto admitted = state_.limiter.admit(team, request->estimate, now); !admitted) {
        refuse(state_, message.caller, admitted.error(), out);
        return;
    }
    request->queue = request->route.steps.at(request->step);
    auto& queue = queue_for(request->queue);
    const auto queued = queue.offer(
        {request->facts.id.sequence, team, request->route.kind, request->facts.deadline, {}, {}},
        now);
    if (!queued) {
        state_.limiter.settle(team, request->estimate, {}, now);
        refuse(state_, message.caller, queued.error(), out);
        return;
    }
    state_.retry_credit.count_request(now);
    const auto id = request->facts.id;
    by_caller_[message.caller] = id;
    by_sequence_[id.sequence] = id;
    requests_.emplace(id, std::move(*request));
    serve_queues(now, out);
}

admission_queue& chat_requests::queue_for(const model_id& model)
{
    const auto it = queues_.find(model);
    if (it != queues_.end()) {
        return it->second;
    }
    auto& queue = queues_.emplace(model, admission_queue{{}}).first->second;
    apply_concurrency();
    return queue;
}

void chat_requests::apply_concurrency()
{
    const auto vms = std::max<std::size_t>(1, state_.vms.domain_members().size());
    for (auto& [model, queue] : queues_) {
        std::size_t slots = 0;
        const auto spec = state_.doc->models.find(model);
        if (spec == state_.doc->models.end()) {
            continue;
        }
        for (const auto& [id, upstream] : state_.doc->upstreams) {
            const bool serves = std::any_of(
                upstream.versions.begin(), upstream.versions.end(),
                [&](const version_id& version) { return spec->second.versions.contains(version); });
            if (serves && upstream.region == state_.settings.region) {
                slots += upstream.slots;
            }
        }
        // Twice the VM's share of the slots keeps the engines' batches full when the VMs' loads
        // differ. Other requests wait here, where they can be ordered, refused or rerouted.
        const auto share = (2 * slots + vms - 1) / vms;
        queue.set_concurrency(std::max<std::uint32_t>(4, static_cast<std::uint32_t>(share)));
        for (const auto& [team, team_spec] : state_.doc->teams) {
            queue.set_weight(team, team_spec.weight);
        }
    }
}

void chat_requests::on_configuration(time_point /*now*/)
{
    apply_concurrency();
}

void chat_requests::serve_queues(time_point now, std::vector<output>& out)
{
    for (auto& [model, queue] : queues_) {
        for (const auto& expired : queue.expire(now)) {
            const auto it = requests_.find(by_sequence_.at(expired.token));
            fail(it,
                 make_request_error(
                     error_code::deadline_unreachable, step::admit, model.value, run_state::not_run,
                     "The request waited too long to be answered within its deadline."),
                 now, out);
        }
        while (auto entry = queue.next(now)) {
            auto& request = requests_.at(by_sequence_.at(entry->token));
            request.admitted = *entry;
            request.admitted_at = now;
            dispatch(request, now, out);
        }
    }
}

std::optional<std::pair<upstream_id, dispatch_ticket>>
chat_requests::sent_attempt(const attempt_id& id) const
{
    const auto it = requests_.find(id.request);
    if (it == requests_.end() || !it->second.attempt || it->second.attempt->id != id) {
        return std::nullopt;
    }
    return std::pair{it->second.attempt->upstream, it->second.attempt->ticket};
}

chat_request* chat_requests::find_attempt(const attempt_id& id)
{
    const auto it = requests_.find(id.request);
    const bool current =
        it != requests_.end() && it->second.attempt && it->second.attempt->id == id;
    if (!current) {
        state_.counters.count("late_attempt_events_total").add();
        return nullptr;
    }
    return &it->second;
}

void chat_requests::on_chunk(const attempt_chunk& event, time_point now, std::vector<output>& out)
{
    auto* request = find_attempt(event.attempt);
    if (request == nullptr) {
        return;
    }
    auto& attempt = *request->attempt;
    if (!attempt.first_token) {
        attempt.first_token = now;
        state_.pool.note_answered(attempt.ticket, now);
    }
    if (event.index < request->next_index) {
        state_.counters.count("repeated_tokens_total").add();
        return;
    }
    if (event.index > request->next_index) {
        // Missing tokens cannot be fetched over this connection; the generation continues and is
        // resumed over another one.
        end_attempt_for_resume(*request, now);
        retry_or_fail(requests_.find(event.attempt.request),
                      make_request_error(
                          error_code::stream_broken, step::stream, request->broken->upstream.value,
                          run_state::outcome_unknown, "The upstream's stream skipped tokens."),
                      now, out);
        return;
    }
    ++request->next_index;
    if (!answer_is_final(*request)) {
        request->buffered += event.content;
        return;
    }
    if (!request->answer_started) {
        start_answer(*request, out);
        state_.counters.time("first_token_seconds", {{"route", request->route_name}})
            .record(std::chrono::duration<double>(now - request->facts.arrived).count());
    }
    out.emplace_back(answer_chunk{request->facts.caller, event.content});
}

bool chat_requests::answer_is_final(const chat_request& request) const
{
    const bool last =
        request.step + 1 >= request.steps.size() ||
        std::none_of(request.steps.begin() + static_cast<std::ptrdiff_t>(request.step) + 1,
                     request.steps.end(), [](const cascade_step_info& f) { return f.available; });
    if (last || request.answer_started) {
        return true;
    }
    // To reduce the time to the first token, a step that ratings show to be sufficient is streamed
    // immediately; it can then no longer be escalated.
    const auto& facts = request.steps.at(request.step);
    return request.message.stream &&
           state_.cascade.sufficient(state_.sufficiency.counts(request.route_name, facts.model),
                                     facts.declared_quality, request.route.quality_target);
}

void chat_requests::start_answer(chat_request& request, std::vector<output>& out) const
{
    answer_start start;
    start.caller = request.facts.caller;
    start.request = request.facts.id;
    start.version = request.version;
    // The token names the requested model, even if the replacement version belongs to another.
    const session_token token{request.facts.team,
                              request.choice.session,
                              request.route.steps.at(request.step),
                              request.version,
                              state_.configuration.fold().current_revision(),
                              state_.settings.wall_ms()};
    start.headers["Wagtailhitch-Session"] = issue_session_token(state_.settings.session_key, token);
    if (request.choice.changed_from) {
        start.headers["Wagtailhitch-Version-Changed"] =
            version_changed_header(*request.choice.changed_from, request.version);
    }
    out.emplace_back(std::move(start));
    request.answer_started = true;
}

void chat_requests::add_bill_line(chat_request& request, std::uint64_t prompt_tokens,
                                  std::uint64_t generated_tokens)
{
    const auto cost = attempt_cost(request.cost_per_1k_input, request.cost_per_1k_output,
                                   prompt_tokens, generated_tokens);
    request.lines.push_back(
        {request.version, request.attempt->upstream, prompt_tokens, generated_tokens, cost});
}

void chat_requests::on_finished(const attempt_finished& event, time_point now,
                                std::vector<output>& out)
{
    auto* request = find_attempt(event.attempt);
    if (request == nullptr) {
        return;
    }
    const auto it = requests_.find(event.attempt.request);
    if (event.generated_tokens > request->next_index) {
        end_attempt_for_resume(*request, now);
        retry_or_fail(it,
                      make_request_error(error_code::stream_broken, step::stream,
                                         request->broken->upstream.value,
                                         run_state::outcome_unknown,
                                         "The upstream ended its stream before its last token."),
                      now, out);
        return;
    }
    add_bill_line(*request, event.prompt_tokens, event.generated_tokens);
    end_attempt(*request, attempt_result::succeeded, now);
    const auto signal =
        state_.cascade.detect_escalation(event.finish_reason, event.confidence, true);
    const cascade_request query{request->route_name, request->route.quality_target,
                                request->facts.deadline - now, true};
    const auto next = request->answer_started
                          ? std::nullopt
                          : state_.cascade.next_step(query, request->steps, request->step, signal);
    if (next && enter_step(*request, *next, now)) {
        state_.counters.count("escalations_total", {{"signal", std::string{name_of(signal)}}})
            .add();
        dispatch(*request, now, out);
        return;
    }
    complete(it, event, now, out);
}

void chat_requests::complete(requests::iterator it, const attempt_finished& event, time_point now,
                             std::vector<output>& out)
{
    auto& request = it->second;
    if (!request.answer_started) {
        start_answer(request, out);
    }
    if (!request.buffered.empty()) {
        out.emplace_back(answer_chunk{request.facts.caller, request.buffered});
    }
    bill created{request.facts.id, request.facts.team, bill_outcome::answered, request.lines};
    limit_amounts used{1.0, 0.0, static_cast<double>(total_cost(created)) / 1e6};
    for (const auto& line : request.lines) {
        used.tokens += static_cast<double>(line.prompt_tokens + line.generated_tokens);
    }
    state_.limiter.settle(request.facts.team, request.estimate, used, now);
    answer_end end{request.facts.caller, event.finish_reason, event.prompt_tokens,
                   event.generated_tokens, used.money};
    state_.counters.count("answers_total", {{"kind", "chat"}}).add();
    state_.counters.time("answer_seconds", {{"route", request.route_name}})
        .record(std::chrono::duration<double>(now - request.facts.arrived).count());
    gate_.hold(state_, created, std::move(end), now);
    remove(it, now);
    serve_queues(now, out);
}

void chat_requests::fail(requests::iterator it, error reason, time_point now,
                         std::vector<output>& out)
{
    auto& request = it->second;
    cancel_attempt(request, now, out);
    std::uint64_t unbilled_tokens = request.next_index;
    for (const auto& line : request.lines) {
        unbilled_tokens += line.generated_tokens;
    }
    state_.counters.count("unbilled_tokens_total").add(unbilled_tokens);
    state_.limiter.settle(request.facts.team, request.estimate, {}, now);
    refuse(state_, request.facts.caller, std::move(reason), out);
    remove(it, now);
}

chat_requests::requests::iterator chat_requests::remove(requests::iterator it, time_point now)
{
    auto& request = it->second;
    auto& queue = queue_for(request.queue);
    if (request.admitted) {
        queue.finished(*request.admitted, now - request.admitted_at);
    }
    else {
        queue.remove(request.facts.id.sequence);
    }
    by_caller_.erase(request.facts.caller);
    by_sequence_.erase(request.facts.id.sequence);
    return requests_.erase(it);
}

void chat_requests::on_caller_gone(caller_token caller, time_point now, std::vector<output>& out)
{
    const auto known = by_caller_.find(caller);
    if (known == by_caller_.end()) {
        return;
    }
    const auto it = requests_.find(known->second);
    auto& request = it->second;
    if (request.attempt && request.next_index > 0) {
        add_bill_line(request, request.message.prompt_tokens, request.next_index);
    }
    cancel_attempt(request, now, out);
    bill created{request.facts.id, request.facts.team, bill_outcome::cancelled, request.lines};
    state_.limiter.settle(request.facts.team, request.estimate,
                          {1.0, static_cast<double>(request.next_index),
                           static_cast<double>(total_cost(created)) / 1e6},
                          now);
    state_.counters.count("callers_gone_total").add();
    if (!created.lines.empty()) {
        gate_.hold(state_, created, answer_end{caller, "cancelled", 0, request.next_index, 0}, now);
    }
    remove(it, now);
    serve_queues(now, out);
}

void chat_requests::tick(time_point now, std::vector<output>& out)
{
    serve_queues(now, out);
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
        if (now >= request.facts.deadline) {
            const auto run =
                request.attempts_made > 0 ? run_state::outcome_unknown : run_state::not_run;
            fail(it,
                 make_request_error(error_code::upstream_timeout, step::dispatch,
                                    request.attempt ? request.attempt->upstream.value
                                                    : std::string{},
                                    run, "The request was not answered within its deadline."),
                 now, out);
            continue;
        }
        request.retry_at.reset();
        if (request.retry_resumes) {
            dispatch_resume(request, now, out);
        }
        else {
            dispatch(request, now, out);
        }
    }
}

} // namespace wagtailhitch
