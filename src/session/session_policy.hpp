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

// Selects the model versions that a request may use.
//
//   session_policy policy{settings, [&](const model_id& m, const version_id& v) {
//       return rollout.exposed_basis_points(m, v);
//   }};
//   auto choice = policy.choose({team, model, token, "", "s-77"}, document, {revision, age});
//   const version_id& used = pick_version(choice->candidates, random());
//   issue_session_token(key, {team, choice->session, model, used, revision, wall_ms});

namespace wagtailhitch {

/// Returns the share of sessions exposed to a rolling version, in 1/10000; 0 before the first step
/// and after a halt.
using exposed_share_function = std::function<std::uint32_t(const model_id&, const version_id&)>;

inline constexpr std::uint32_t session_buckets = 10'000;

struct session_settings {
    /// After this time without confirmation that the configuration is current, versions with
    /// `when_cut_off: stop` are no longer served.
    duration max_unconfirmed_time{9s};
};

/// A request that is authenticated and within its team's limits.
struct session_query {
    team_id team;
    model_id model;
    std::optional<session_token> token; ///< verified
    std::string session_id;             ///< given by the caller; empty if not given
    std::string new_session;            ///< id to use if this request starts a session
};

/// Revision of the VM's configuration and the time since it was known to be current.
struct configuration_age {
    revision in_force{0};
    duration unconfirmed{}; ///< time since the fold was known to have reached the log's end
};

struct version_candidate {
    version_id version;
    std::uint32_t basis_points{0}; ///< the candidates' shares add up to 10000
    friend bool operator==(const version_candidate&, const version_candidate&) = default;
};

struct session_choice {
    model_id model; ///< differs from the query's if the replacement is of another model
    std::vector<version_candidate> candidates; ///< never empty; one if the session decides
    std::string session;                       ///< session id for the answer's token
    std::optional<version_id> changed_from;    ///< previous version, if it was withdrawn
    std::optional<revision> newer_revision;    ///< set if this VM's configuration is outdated
};

class session_policy {
public:
    session_policy(session_settings settings, exposed_share_function share);

    /// Errors, all not_run: unknown_model, unknown_team, model_not_allowed,
    /// session_token_invalid (token of another team), session_version_withdrawn, not_ready (the
    /// token names a version that this VM does not know yet), and log_unavailable (the session's
    /// version, or every remaining version, may not be served while the configuration is
    /// unconfirmed).
    [[nodiscard]] expected<session_choice> choose(const session_query& query, const document& doc,
                                                  const configuration_age& age) const;

private:
    session_settings settings_;
    exposed_share_function share_;
};

/// Returns the hash bucket of a session, 0 to 9999.
std::uint32_t session_bucket(const team_id& team, std::string_view session);

/// Selects a candidate with a probability equal to its share. `random` is uniformly distributed.
const version_id& pick_version(const std::vector<version_candidate>& candidates,
                               std::uint64_t random);

/// Returns the value of the header Wagtailhitch-Version-Changed.
std::string version_changed_header(const version_id& from, const version_id& to);

} // namespace wagtailhitch
