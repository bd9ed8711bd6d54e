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

namespace {

/// Time until the first upstream that the query allows is released from its hold; nothing if one
/// cannot be used for another reason.
std::optional<duration> until_released(const replica_pool& pool, const choice_request& query,
                                       time_point now)
{
    std::optional<duration> first;
    for (const locality distance : {locality::domain, locality::region, locality::remote}) {
        const auto members = query.version ? pool.members(*query.version, distance)
                                           : pool.service_members(query.service, distance);
        for (const replica_index replica : members) {
            const auto wait = pool.until_released(replica, now);
            if (!wait) {
                return std::nullopt;
            }
            first = std::min(first.value_or(*wait), *wait);
        }
    }
    return first;
}

} // namespace

unavailability describe_unavailability(core_state& state, error reason, const choice_request& query,
                                       time_point now)
{
    const auto held = until_released(state.pool, query, now);
    if (held) {
        std::uniform_int_distribution<duration::rep> extra{0, (*held / 2).count()};
        reason.retry_after = *held + duration{extra(state.generator)};
        reason.detail = "Every upstream of this pool has asked for no requests.";
    }
    return {std::move(reason), held.has_value()};
}

bool is_worth_waiting(const error& reason, bool set_aside, time_point deadline, time_point now)
{
    return reason.retry_after && now + *reason.retry_after * (set_aside ? 2 : 1) < deadline;
}

time_point deadline_of(const caller_request& message, duration max_duration, time_point now)
{
    return now + std::min(message.deadline.value_or(max_duration), max_duration);
}

} // namespace wagtailhitch
