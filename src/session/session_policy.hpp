#pragma once

#include "base/clock.hpp"
#include "base/error.hpp"
#include "base/ids.hpp"
#include "config/document.hpp"
#include "session/session_token.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

// Which version of a model a request may use.
//
//   session_policy policy{settings, [&](const model_id& m, const version_id& v) {
//       return rollout.exposed_basis_points(m, v);
//   }};
//   auto choice = policy.choose({team, model, token, "", "s-77"}, document, {revision, age});
//   const version_id& used = pick_version(choice->candidates, random());
//   issue_session_token(key, {team, choice->session, model, used, revision, wall_ms});

namespace wagtailhitch {

/// Share of sessions exposed to a rolling version, in 1/10000; 0 before the first step and after a
/// halt.
using exposed_share = std::function<std::uint32_t(const model_id&, const version_id&)>;

inline constexpr std::uint32_t session_buckets = 10'000;

struct session_settings {
    /// After this time without confirmation, versions with `when_cut_off: stop` get no work.
    duration maximum_unconfirmed{9s};
};

/// One request, authenticated and allowed by its team's limits.
struct session_query {
    team_id team;
    model_id model;
    std::optional<session_token> token; ///< verified
    std::string session_id;             ///< named by the caller; empty when it named none
    std::string new_session;            ///< id for a session that begins with this request
};

/// How current the VM's configuration is.
struct configuration_age {
    revision in_force{0};
    duration unconfirmed{}; ///< time since the fold was known to have reached the log's head
};

struct version_candidate {
    version_id version;
    std::uint32_t basis_points{0}; ///< the candidates' shares add up to 10000
    friend bool operator==(const version_candidate&, const version_candidate&) = default;
};

struct session_choice {
    model_id model; ///< differs from the query's when a replacement belongs to another model
    std::vector<version_candidate> candidates; ///< never empty; one when the session decides
    std::string session;                       ///< id to put into the answer's token
    std::optional<version_id> changed_from;    ///< the session's version was withdrawn
    std::optional<revision> newer_revision;    ///< the token shows that this VM is behind
};

class session_policy {
public:
    session_policy(session_settings settings, exposed_share share);

    /// Errors, all not_run: unknown_model, unknown_team, model_not_allowed,
    /// session_token_invalid (token of another team), session_version_withdrawn, not_ready (the
    /// token names a version that this VM does not know yet), and log_unavailable when the
    /// session's version, or every version left, may not be served unconfirmed.
    [[nodiscard]] expected<session_choice> choose(const session_query& query, const document& doc,
                                                  const configuration_age& age) const;

private:
    session_settings settings_;
    exposed_share share_;
};

/// Bucket of a session named by the caller, 0 to 9999.
std::uint32_t session_bucket(const team_id& team, std::string_view session);

/// The candidate that a uniformly distributed `random` selects by share.
const version_id& pick_version(const std::vector<version_candidate>& candidates,
                               std::uint64_t random);

/// Value of the header Wagtailhitch-Version-Changed.
std::string version_changed_header(const version_id& from, const version_id& to);

} // namespace wagtailhitch
