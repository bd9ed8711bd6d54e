#include "request/request_common.hpp"

#include "base/digest.hpp"

#include <algorithm>

namespace wagtailhitch {

error make_request_error(error_code code, step at, std::string peer, run_state run,
                         std::string detail)
{
    return error{code, at, std::move(peer), run, std::move(detail), {}};
}

void refuse(core_state& state, caller_token caller, error reason, std::vector<output>& out)
{
    state.counters
        .count("refusals_total", {{"code", std::string{name_of(reason.code)}},
                                  {"run", std::string{name_of(reason.run)}},
                                  {"step", std::string{name_of(reason.at)}}})
        .add();
    out.emplace_back(answer_error{caller, std::move(reason)});
}

expected<team_id> authenticate(const core_state& state, const std::string& bearer_token)
{
    // The lookup key is a digest, so the comparison reveals nothing about the token.
    const auto it = state.teams_by_token.find(sha256_hex(bearer_token));
    if (bearer_token.empty() || it == state.teams_by_token.end()) {
        return tl::unexpected(error{error_code::unknown_team,
                                    step::authenticate,
                                    {},
                                    run_state::not_run,
                                    "The bearer token does not belong to any team.",
                                    {}});
    }
    return it->second;
}

time_point deadline_of(const caller_request& message, duration max_duration, time_point now)
{
    return now + std::min(message.deadline.value_or(max_duration), max_duration);
}

} // namespace wagtailhitch
