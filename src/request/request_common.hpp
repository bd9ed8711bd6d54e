#pragma once

#include "node/core_state.hpp"
#include "node/messages.hpp"

#include <string>
#include <vector>

// Functions and data shared by all kinds of requests: identity, refusals and counters.

namespace wagtailhitch {

/// Data that does not change during a request, except `caller_gone`.
struct request_facts {
    request_id id;
    caller_token caller{0};
    team_id team;
    time_point arrived;
    time_point deadline;
    bool caller_gone{false};
};

/// Builds an error without retry_after.
error make_request_error(error_code code, step at, std::string peer, run_state run,
                         std::string detail);

/// Sends an error to the caller and counts its reason.
void refuse(core_state& state, caller_token caller, error reason, std::vector<output>& out);

/// Returns the team of a bearer token. Errors: unknown_team at step authenticate.
expected<team_id> authenticate(const core_state& state, const std::string& bearer_token);

/// Deadline of the answer: the one the caller requested, at most `max_duration` from now.
time_point deadline_of(const caller_request& message, duration max_duration, time_point now);

struct unavailability {
    error reason;          ///< `retry_after`: when an upstream can take the request
    bool set_aside{false}; ///< all upstreams have asked for no requests
};

/// Completes the reason why no upstream can take a request now. If all of them are set aside,
/// `retry_after` is when the first one is free, plus a random part, so that callers that come back
/// do so one after the other.
unavailability describe_unavailability(core_state& state, error reason, const choice_request& query,
                                       time_point now);

/// Whether a request should wait for that time. An upstream that is set aside must leave half of
/// the time to the deadline for the answer.
bool is_worth_waiting(const error& reason, bool set_aside, time_point deadline, time_point now);

} // namespace wagtailhitch
