#pragma once

#include "base/clock.hpp"
#include "base/names.hpp"

#include <tl/expected.hpp>

#include <optional>
#include <string>

// The error type of all modules: what went wrong, at which step and peer, and whether the request
// was run.
//
//   return tl::unexpected(error{error_code::team_rate_limited, step::admit, "team bulletins",
//                               run_state::not_run, "The team's request limit is used up.",
//                               200ms});

namespace wagtailhitch {

/// Whether the upstream ran the request that failed.
enum class run_state { not_run, outcome_unknown, ran };

template<>
inline constexpr auto enum_names<run_state> = name_table<run_state, 3>{{
    {run_state::not_run, "not_run"},
    {run_state::outcome_unknown, "outcome_unknown"},
    {run_state::ran, "ran"},
}};

/// The step of request processing at which an error occurred.
enum class step {
    parse,
    authenticate,
    authorize,
    session,
    admit,
    route,
    claim,
    dispatch,
    stream,
    bill,
    configure,
    platform,
    peer,
    shutdown,
};

template<>
inline constexpr auto enum_names<step> = name_table<step, 14>{{
    {step::parse, "parse"},
    {step::authenticate, "authenticate"},
    {step::authorize, "authorize"},
    {step::session, "session"},
    {step::admit, "admit"},
    {step::route, "route"},
    {step::claim, "claim"},
    {step::dispatch, "dispatch"},
    {step::stream, "stream"},
    {step::bill, "bill"},
    {step::configure, "configure"},
    {step::platform, "platform"},
    {step::peer, "peer"},
    {step::shutdown, "shutdown"},
}};

/// Stable codes of refusals and failures; the names are part of the caller interface.
enum class error_code {
    malformed_request,
    body_too_large,
    unknown_path,
    unknown_team,
    model_not_allowed,
    unknown_model,
    unknown_service,
    session_token_invalid,
    session_version_withdrawn,
    not_ready,
    shutting_down,
    team_rate_limited,
    team_spend_limited,
    queue_full,
    deadline_unreachable,
    no_upstream,
    prompt_quarantined,
    ring_full,
    bill_buffer_full,
    claim_unavailable,
    key_in_use,
    key_expired,
    key_mismatch,
    ticket_invalid,
    ticket_owner_gone,
    upstream_connect_failed,
    upstream_refused,
    upstream_failed,
    upstream_timeout,
    stream_broken,
    caller_gone,
    config_invalid,
    config_conflict,
    signature_invalid,
    log_unavailable,
    log_gap,
    peer_unavailable,
    authority_lost,
    internal,
};

template<>
inline constexpr auto enum_names<error_code> = name_table<error_code, 39>{{
    {error_code::malformed_request, "malformed_request"},
    {error_code::body_too_large, "body_too_large"},
    {error_code::unknown_path, "unknown_path"},
    {error_code::unknown_team, "unknown_team"},
    {error_code::model_not_allowed, "model_not_allowed"},
    {error_code::unknown_model, "unknown_model"},
    {error_code::unknown_service, "unknown_service"},
    {error_code::session_token_invalid, "session_token_invalid"},
    {error_code::session_version_withdrawn, "session_version_withdrawn"},
    {error_code::not_ready, "not_ready"},
    {error_code::shutting_down, "shutting_down"},
    {error_code::team_rate_limited, "team_rate_limited"},
    {error_code::team_spend_limited, "team_spend_limited"},
    {error_code::queue_full, "queue_full"},
    {error_code::deadline_unreachable, "deadline_unreachable"},
    {error_code::no_upstream, "no_upstream"},
    {error_code::prompt_quarantined, "prompt_quarantined"},
    {error_code::ring_full, "ring_full"},
    {error_code::bill_buffer_full, "bill_buffer_full"},
    {error_code::claim_unavailable, "claim_unavailable"},
    {error_code::key_in_use, "key_in_use"},
    {error_code::key_expired, "key_expired"},
    {error_code::key_mismatch, "key_mismatch"},
    {error_code::ticket_invalid, "ticket_invalid"},
    {error_code::ticket_owner_gone, "ticket_owner_gone"},
    {error_code::upstream_connect_failed, "upstream_connect_failed"},
    {error_code::upstream_refused, "upstream_refused"},
    {error_code::upstream_failed, "upstream_failed"},
    {error_code::upstream_timeout, "upstream_timeout"},
    {error_code::stream_broken, "stream_broken"},
    {error_code::caller_gone, "caller_gone"},
    {error_code::config_invalid, "config_invalid"},
    {error_code::config_conflict, "config_conflict"},
    {error_code::signature_invalid, "signature_invalid"},
    {error_code::log_unavailable, "log_unavailable"},
    {error_code::log_gap, "log_gap"},
    {error_code::peer_unavailable, "peer_unavailable"},
    {error_code::authority_lost, "authority_lost"},
    {error_code::internal, "internal"},
}};

/// A failure with its step and peer. `peer` is a name or an address, never a secret.
struct error {
    error_code code{error_code::internal};
    wagtailhitch::step at{wagtailhitch::step::parse};
    std::string peer;
    run_state run{run_state::not_run};
    std::string detail;
    std::optional<duration> retry_after;

    friend bool operator==(const error&, const error&) = default;
};

template<typename T> using expected = tl::expected<T, error>;

} // namespace wagtailhitch
