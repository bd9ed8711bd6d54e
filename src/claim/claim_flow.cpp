#include "claim/claim_flow.hpp"

#include <utility>

namespace wagtailhitch {

namespace {

constexpr auto ticket_hint = " Tickets (POST /v1/tickets) work without the log.";

} // namespace

claim_flow::claim_flow(keyed_request request, claim_flow_settings settings)
    : request_{std::move(request)}, settings_{settings}, key_{make_claim_key(
                                                             request_.team,
                                                             request_.idempotency_key)}
{
}

claim_action claim_flow::start(const claim_table& table, const claims_confirmation& log,
                               time_point now, std::int64_t wall_ms)
{
    claimed_ms_ = wall_ms;
    const auto created = embedded_key_time(request_.idempotency_key);
    if (created && *created < table.horizon_ms(wall_ms)) {
        return refuse(error_code::key_expired, run_state::outcome_unknown,
                      "The key is older than the time for which claims are kept.");
    }
    const auto state = table.find(key_);
    phase_ = flow_phase::watching;
    return state.phase == claim_phase::absent ? not_held(log, now) : held_by_other(state, now);
}

claim_action claim_flow::advance(const claim_table& table, const claims_confirmation& log,
                                 time_point now)
{
    if (phase_ != flow_phase::submitted && phase_ != flow_phase::watching) {
        return {};
    }
    const auto state = table.find(key_);
    if (state.phase == claim_phase::absent) {
        return not_held(log, now);
    }
    return state.owner == request_.request ? held_here(state, now) : held_by_other(state, now);
}

claim_action claim_flow::not_submitted(const claims_confirmation& log)
{
    const auto run = not_run_is_certain(log) ? run_state::not_run : run_state::outcome_unknown;
    return refuse(error_code::claim_unavailable, run,
                  std::string{"Too many claims wait for the log."} + ticket_hint);
}

bool claim_flow::abandon()
{
    if (phase_ == flow_phase::sent) {
        return false;
    }
    phase_ = flow_phase::over;
    return submitted_;
}

outcome_record claim_flow::answered(unsigned status, std::string content_type, std::string payload)
{
    auto record = outcome(run_state::ran);
    record.status = status;
    record.content_type = std::move(content_type);
    record.payload_kept = payload.size() <= outcome_max_bytes;
    if (record.payload_kept) {
        record.payload = std::move(payload);
    }
    phase_ = flow_phase::over;
    return record;
}

outcome_record claim_flow::failed(run_state run)
{
    phase_ = flow_phase::over;
    auto record = outcome(run);
    record.payload_kept = false;
    return record;
}

claim_action claim_flow::held_by_other(const claim_state& state, time_point now)
{
    if (state.request_digest != request_.request_digest) {
        return refuse(error_code::key_mismatch, run_state::not_run,
                      "The key was used for a different request.");
    }
    if (state.phase == claim_phase::unknown) {
        return refuse(error_code::key_in_use, run_state::outcome_unknown,
                      "The outcome of the request with this key is unknown.");
    }
    if (state.phase == claim_phase::finished && !state.outcome.payload_kept) {
        return refuse(error_code::key_in_use, run_state::ran,
                      "The request with this key ran with status " +
                          std::to_string(state.outcome.status) + "; its answer is not kept.");
    }
    if (state.phase == claim_phase::finished) {
        claim_action action;
        action.kind = claim_action_kind::answer;
        action.status = state.outcome.status;
        action.content_type = state.outcome.content_type;
        action.payload = state.outcome.payload;
        action.withdraw = submitted_;
        phase_ = flow_phase::over;
        return action;
    }
    if (now >= request_.deadline) {
        return refuse(error_code::key_in_use, run_state::outcome_unknown,
                      "The request with this key is still running.");
    }
    phase_ = flow_phase::watching;
    return {};
}

claim_action claim_flow::not_held(const claims_confirmation& log, time_point now)
{
    const bool is_unavailable = log_is_unavailable(log, now);
    if (is_unavailable || now >= request_.deadline) {
        const auto run = not_run_is_certain(log) ? run_state::not_run : run_state::outcome_unknown;
        const std::string reason = is_unavailable
                                       ? "The log is unavailable."
                                       : "The claim was not confirmed before the deadline.";
        return refuse(error_code::claim_unavailable, run, reason + ticket_hint);
    }
    return phase_ == flow_phase::submitted ? claim_action{} : submit();
}

claim_action claim_flow::held_here(const claim_state& state, time_point now)
{
    // A phase other than running means that this process counts as gone; other VMs may already have
    // answered outcome_unknown for it.
    if (now >= request_.deadline || state.phase != claim_phase::running) {
        auto action = refuse(error_code::claim_unavailable, run_state::not_run,
                             "The claim was confirmed after the deadline.");
        action.release = true;
        return action;
    }
    phase_ = flow_phase::sent;
    claim_action action;
    action.kind = claim_action_kind::send;
    return action;
}

claim_action claim_flow::submit()
{
    phase_ = flow_phase::submitted;
    submitted_ = true;
    claim_action action;
    action.kind = claim_action_kind::submit;
    action.claim = {key_, request_.request_digest, request_.request, claimed_ms_};
    return action;
}

claim_action claim_flow::refuse(error_code code, run_state run, std::string detail)
{
    phase_ = flow_phase::over;
    claim_action action;
    action.kind = claim_action_kind::refuse;
    action.reason = error{code, step::claim, {}, run, std::move(detail), {}};
    action.withdraw = submitted_;
    return action;
}

bool claim_flow::log_is_unavailable(const claims_confirmation& log, time_point now) const
{
    return now - log.confirmed_at > settings_.log_unavailable_after;
}

// A request is sent only after its claim was read back. So a read that was sent after this request
// arrived, reached the log's head and contained no claim proves that no request with the key was
// sent before.
bool claim_flow::not_run_is_certain(const claims_confirmation& log) const
{
    return request_.first_use || log.confirmed_at > request_.arrived;
}

outcome_record claim_flow::outcome(run_state run) const
{
    outcome_record record;
    record.key = key_;
    record.request = request_.request;
    record.run = run;
    return record;
}

} // namespace wagtailhitch
