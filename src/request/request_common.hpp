#pragma once

#include "node/core_state.hpp"
#include "node/messages.hpp"

#include <string>
#include <vector>

// What every kind of request has in common: identity, refusals and counters.

namespace wagtailhitch {

/// Facts that hold from the arrival of a request to its end.
struct request_facts {
    request_id id;
    caller_token caller{0};
    team_id team;
    time_point arrived;
    time_point deadline;
    bool caller_gone{false};
};

/// An error of a request's path, without retry_after.
error request_error(error_code code, step at, std::string peer, run_state run, std::string detail);

/// Refuses or fails a request towards its caller and counts the reason.
void refuse(core_state& state, caller_token caller, error reason, std::vector<output>& out);

/// The team of a bearer token. Errors: unknown_team at step authenticate.
expected<team_id> authenticate(const core_state& state, const std::string& bearer_token);

/// When the request must have been answered: the caller's wish, bounded by `longest`.
time_point deadline_of(const caller_request& message, duration longest, time_point now);

} // namespace wagtailhitch
