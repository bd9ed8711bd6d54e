#pragma once

#include "base/clock.hpp"
#include "base/error.hpp"
#include "claim/claim_record.hpp"
#include "claim/claim_table.hpp"

#include <cstdint>
#include <optional>
#include <string>

// State machine of one request with an idempotency key: claims the key, then sends the request, or
// answers it from the stored outcome, or refuses it.
//
//   claim_flow flow{request, settings};
//   claim_action action = flow.start(table, log, now, wall_ms);
//   // submit: outbox.add(action.claim); then, after every read of the stream and at every tick:
//   action = flow.advance(table, log, now);
//   // send: dispatch the request now; when it ends, one of
//   outbox.add(flow.answered(status, content_type, payload));
//   outbox.add(flow.failed(run_state::outcome_unknown));

namespace wagtailhitch {

struct claim_flow_settings {
    /// The log counts as unavailable after this time without a confirmed read.
    duration log_unavailable_after{3s};
};

/// A request with an idempotency key whose caller is authenticated. No wait exceeds the deadline.
struct keyed_request {
    team_id team;
    std::string idempotency_key;
    std::uint64_t request_digest{0};
    request_id request;
    bool first_use{false}; ///< the caller states that the key was not used before
    time_point arrived;
    time_point deadline;
};

/// How current this VM's claim_table is.
struct claims_confirmation {
    time_point confirmed_at{}; ///< send time of the latest read that reached the log's head
};

/// wait: nothing to do yet. submit: append `claim`. send: dispatch the request, exactly once.
/// answer: return the stored answer. refuse: return `reason`. With `withdraw`, a claim was
/// submitted and must be withdrawn from the outbox. With `release`, the request holds the key and
/// must free it by claim_outbox::release().
enum class claim_action_kind { wait, submit, send, answer, refuse };

struct claim_action {
    claim_action_kind kind{claim_action_kind::wait};
    claim_record claim;
    unsigned status{0};
    std::string content_type;
    std::string payload;
    error reason;
    bool withdraw{false};
    bool release{false};
};

class claim_flow {
public:
    claim_flow(keyed_request request, claim_flow_settings settings);

    /// Makes the first decision. `wall_ms`: Unix milliseconds.
    /// Refusals: key_expired (outcome_unknown), key_mismatch (not_run), claim_unavailable and
    /// key_in_use as in advance().
    claim_action start(const claim_table& table, const claims_confirmation& log, time_point now,
                       std::int64_t wall_ms);

    /// Makes the next decision. Call it after each change of the table and at each tick. After
    /// send, answer or refuse it returns wait.
    /// Refusals: claim_unavailable (the log is unavailable, or the claim was not read back before
    /// the deadline; not_run if that is certain, else outcome_unknown), key_in_use (another request
    /// with the key still runs at the deadline, or its owner is gone; outcome_unknown).
    claim_action advance(const claim_table& table, const claims_confirmation& log, time_point now);

    /// Refuses the request because the outbox is full and its claim could not be submitted. The
    /// refusal is claim_unavailable; not_run if that is certain, else outcome_unknown.
    claim_action not_submitted(const claims_confirmation& log);

    /// Ends the flow because the caller disconnected before the request was sent. Returns whether a
    /// claim was submitted and must be withdrawn from the outbox.
    bool abandon();

    /// Returns the outcome to append after the sent request was answered.
    outcome_record answered(unsigned status, std::string content_type, std::string payload);
    /// Returns the outcome to append after the sent request failed; not_run frees the key.
    outcome_record failed(run_state run);

    [[nodiscard]] const claim_key& key() const { return key_; }
    [[nodiscard]] const keyed_request& request() const { return request_; }
    [[nodiscard]] bool sent() const { return phase_ == flow_phase::sent; }
    [[nodiscard]] bool over() const { return phase_ == flow_phase::over; }

private:
    // watching: another request holds the key, or held it at the last lookup.
    enum class flow_phase { idle, submitted, watching, sent, over };

    claim_action held_by_other(const claim_state& state, time_point now);
    claim_action not_held(const claims_confirmation& log, time_point now);
    claim_action held_here(const claim_state& state, time_point now);
    claim_action submit();
    claim_action refuse(error_code code, run_state run, std::string detail);
    [[nodiscard]] bool log_is_unavailable(const claims_confirmation& log, time_point now) const;
    [[nodiscard]] bool not_run_is_certain(const claims_confirmation& log) const;
    outcome_record outcome(run_state run) const;

    keyed_request request_;
    claim_flow_settings settings_;
    claim_key key_;
    flow_phase phase_{flow_phase::idle};
    bool submitted_{false};
    std::int64_t claimed_ms_{0};
};

} // namespace wagtailhitch
