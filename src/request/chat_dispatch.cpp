#include "request/chat_requests.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

// Attempts of chat requests: replica selection, retries, resumes and cancellation.

namespace wagtailhitch {

namespace {

// Estimated request bytes per prompt token (JSON) and answer bytes per generated token
// (server-sent events), for the budget of the paid link.
constexpr double bytes_per_prompt_token = 4.0;
constexpr double bytes_per_generated_token = 40.0;
constexpr double assumed_answer_tokens = 512.0;
// Minimum delay before selecting again when all replicas are temporarily unavailable.
constexpr duration min_choice_delay = 20ms;

std::string generation_name(const request_id& request, std::uint32_t attempt)
{
    return to_string(attempt_id{request, attempt});
}

bool is_usable_version(const document& doc, const model_id& model, const version_id& version)
{
    const auto spec = doc.models.find(model);
    if (spec == doc.models.end()) {
        return false;
    }
    const auto found = spec->second.versions.find(version);
    return found != spec->second.versions.end() && found->second.state != version_state::withdrawn;
}

bool has_fixed_sampling(const nlohmann::json& body)
{
    const auto temperature = body.find("temperature");
    const bool greedy = temperature != body.end() && temperature->is_number() && *temperature == 0;
    return greedy || body.contains("seed");
}

} // namespace

void chat_requests::dispatch(chat_request& request, time_point now, std::vector<output>& out)
{
    const bool version_is_usable =
        is_usable_version(*state_.doc, request.choice.model, request.version);
    if (!version_is_usable) {
        // The version was withdrawn while the request waited, so another one is selected.
        if (auto entered = enter_step(request, request.step, now); !entered) {
            fail(requests_.find(request.facts.id), entered.error(), now, out);
            return;
        }
    }
    choice_request query;
    query.version = &request.version;
    query.excluded = request.tried_replicas;
    query.prefix_hashes = request.message.prefix_hashes;
    query.prompt_tokens = request.message.prompt_tokens;
    query.request_bytes = bytes_per_prompt_token * request.message.prompt_tokens;
    query.answer_bytes =
        bytes_per_generated_token * (request.message.max_tokens > 0
                                         ? static_cast<double>(request.message.max_tokens)
                                         : assumed_answer_tokens);
    query.cost_per_1k_input = request.cost_per_1k_input;
    auto target = state_.chooser.choose(state_.pool, state_.prefixes, state_.link, query, now,
                                        state_.generator);
    if (!target && !request.tried_replicas.empty()) {
        // All other replicas are unavailable, so those that failed before are tried again.
        query.excluded = {};
        target = state_.chooser.choose(state_.pool, state_.prefixes, state_.link, query, now,
                                       state_.generator);
    }
    if (target) {
        send_attempt(request, *target, now, out);
        return;
    }
    auto [reason, set_aside] = describe_unavailability(state_, target.error(), query, now);
    if (is_worth_waiting(reason, set_aside, request.facts.deadline, now)) {
        request.retry_at = now + std::max(*reason.retry_after, min_choice_delay);
        request.retry_resumes = false;
        return;
    }
    if (request.attempts_made > 0 && reason.run == run_state::not_run) {
        reason.run = run_state::outcome_unknown;
    }
    fail(requests_.find(request.facts.id), std::move(reason), now, out);
}

void chat_requests::send_attempt(chat_request& request, const choice& target, time_point now,
                                 std::vector<output>& out)
{
    const auto& replica = state_.pool.view(target.replica);
    state_.link.spend(target.link_bytes, now);
    chat_attempt attempt;
    attempt.id = {request.facts.id, ++request.attempts_made};
    attempt.generation = attempt.id.number;
    attempt.upstream = replica.id;
    attempt.version = request.version;
    attempt.ticket = state_.pool.begin(target.replica, now);
    attempt.sent = now;
    attempt.predicted = target.predicted;
    state_.prefixes.stored(target.replica, request.message.prefix_hashes);

    attempt_start start;
    start.attempt = attempt.id;
    start.kind = attempt_kind::chat;
    start.upstream = replica.id;
    start.address = replica.spec.address;
    start.upstream_generation = replica.generation;
    start.version = request.version;
    start.body = request.message.body;
    start.generation = generation_name(request.facts.id, attempt.generation);
    start.priority = request.route.kind == request_class::short_request ? 0 : 1;
    start.first_byte_timeout = state_.settings.first_byte_timeout;
    start.progress_timeout = state_.settings.progress_timeout;
    out.emplace_back(std::move(start));
    request.tried_replicas.push_back(target.replica);
    request.attempt = std::move(attempt);
    state_.counters.count("attempts_total", {{"distance", std::string{name_of(target.distance)}}})
        .add();
}

void chat_requests::dispatch_resume(chat_request& request, time_point now, std::vector<output>& out)
{
    const auto index = state_.pool.find(request.broken->upstream);
    // The generation is at this upstream only; while it wants no requests, the resume waits.
    const auto held = index ? state_.pool.until_released(*index, now) : std::nullopt;
    if (held && now + *held < request.facts.deadline) {
        request.retry_at = now + std::max(*held, min_choice_delay);
        request.retry_resumes = true;
        return;
    }
    if (!index || held) {
        request.resume_failed = true;
        retry_or_fail(requests_.find(request.facts.id),
                      error{error_code::stream_broken,
                            step::stream,
                            request.broken->upstream.value,
                            run_state::outcome_unknown,
                            "The upstream of the broken stream is no longer available.",
                            {}},
                      now, out);
        return;
    }
    chat_attempt attempt = *request.broken;
    attempt.id.number = ++request.attempts_made;
    attempt.ticket = state_.pool.begin(*index, now);
    attempt.sent = now;
    attempt.first_token.reset();
    attempt_start start;
    start.attempt = attempt.id;
    start.kind = attempt_kind::resume;
    start.upstream = attempt.upstream;
    start.address = state_.pool.view(*index).spec.address;
    start.upstream_generation = state_.pool.view(*index).generation;
    start.version = attempt.version;
    start.generation = generation_name(request.facts.id, attempt.generation);
    start.resume_from = request.next_index;
    start.first_byte_timeout = state_.settings.first_byte_timeout;
    start.progress_timeout = state_.settings.progress_timeout;
    out.emplace_back(std::move(start));
    request.attempt = std::move(attempt);
    state_.counters.count("resumes_total").add();
}

void chat_requests::end_attempt(chat_request& request, attempt_result result, time_point now)
{
    if (!request.attempt) {
        return;
    }
    const auto& attempt = *request.attempt;
    attempt_outcome outcome;
    outcome.result = result;
    outcome.first_token = attempt.first_token.value_or(now) - attempt.sent;
    outcome.total = now - attempt.sent;
    outcome.predicted = attempt.predicted;
    if (result != attempt_result::cancelled) {
        auto& counts = state_.own_evidence[attempt.version];
        ++counts.answers;
        counts.errors += result == attempt_result::failed ? 1 : 0;
        const auto target = request.route.first_token;
        counts.slow += target > duration::zero() && outcome.first_token > target ? 1 : 0;
    }
    if (state_.pool.finish(attempt.ticket, outcome, now)) {
        state_.counters.count("ejections_total").add();
    }
    request.attempt.reset();
}

void chat_requests::end_attempt_for_resume(chat_request& request, time_point now)
{
    request.broken = request.attempt;
    end_attempt(request, attempt_result::failed, now);
}

void chat_requests::cancel_attempt(chat_request& request, time_point now, std::vector<output>& out)
{
    if (!request.attempt) {
        return;
    }
    const auto& spec = state_.pool.view(request.attempt->ticket.replica).spec;
    out.emplace_back(
        attempt_cancel{request.attempt->id, spec.address,
                       generation_name(request.facts.id, request.attempt->generation)});
    end_attempt(request, attempt_result::cancelled, now);
}

void chat_requests::on_failed(const attempt_failed& event, time_point now, std::vector<output>& out)
{
    auto* request = find_attempt(event.attempt);
    if (request == nullptr) {
        return;
    }
    const auto attempt = *request->attempt;
    const bool resumed = attempt.id.number != attempt.generation;
    if (event.withdrawn) {
        end_attempt(*request, attempt_result::cancelled, now);
        request->retry_at = now;
        request->retry_resumes = resumed;
        if (!resumed) {
            request->tried_replicas.pop_back();
        }
        return;
    }
    state_.upstreams.on_attempt_failure(attempt.upstream, now);
    request->resume_failed = request->resume_failed || resumed;
    end_attempt_for_resume(*request, now);
    retry_or_fail(requests_.find(event.attempt.request), event.reason, now, out);
}

void chat_requests::retry_or_fail(requests::iterator it, const error& reason, time_point now,
                                  std::vector<output>& out)
{
    auto& request = it->second;
    failed_attempt failure;
    failure.code = reason.code;
    failure.at = reason.at;
    failure.run = reason.run;
    failure.idempotent = true;
    failure.resumable =
        request.broken && reason.run == run_state::outcome_unknown && request.next_index > 0;
    failure.tokens_sent = request.next_index > 0;
    failure.resume_failed = request.resume_failed;
    failure.repeatable_answer =
        !request.answer_started || has_fixed_sampling(*request.message.body);
    failure.retries = request.retries;
    failure.deadline = request.facts.deadline;
    const auto decision =
        state_.retries.decide(failure, state_.retry_credit, now, state_.generator);
    if (decision.action == retry_action::stop) {
        state_.counters
            .count("retries_refused_total", {{"reason", std::string{name_of(decision.refusal)}}})
            .add();
        auto final_reason = reason;
        if (request.answer_started || request.next_index > 0) {
            final_reason.run = run_state::outcome_unknown;
        }
        fail(it, std::move(final_reason), now, out);
        return;
    }
    state_.counters.count("retries_total", {{"reason", std::string{name_of(reason.code)}}}).add();
    state_.retry_credit.spend(now);
    ++request.retries;
    request.retry_resumes = decision.action == retry_action::resume;
    if (!request.retry_resumes && !request.answer_started) {
        // Nothing was sent to the caller yet, so a restart can discard the tokens received so far.
        request.buffered.clear();
        request.next_index = 0;
    }
    request.retry_at = now + decision.wait;
}

} // namespace wagtailhitch
