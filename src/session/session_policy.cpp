#include "session/session_policy.hpp"

#include "base/digest.hpp"

#include <algorithm>

namespace wagtailhitch {

namespace {

constexpr std::size_t max_replacement_hops = 8;
constexpr duration outdated_retry_after = 500ms;
constexpr duration unconfirmed_retry_after = 1s;

// A version and the model to which it belongs.
struct located_version {
    model_id model;
    version_id version;
    const version_spec* spec{nullptr};
};

error refusal(error_code code, std::string detail, std::optional<duration> retry_after = {})
{
    return error{code, step::session, {}, run_state::not_run, std::move(detail), retry_after};
}

std::optional<located_version> find_version(const document& doc, const model_id& preferred,
                                            const version_id& version)
{
    const auto in_model = [&](const model_id& id,
                              const model_spec& model) -> std::optional<located_version> {
        const auto it = model.versions.find(version);
        if (it == model.versions.end()) {
            return std::nullopt;
        }
        return located_version{id, version, &it->second};
    };
    const auto own = doc.models.find(preferred);
    if (own != doc.models.end()) {
        if (auto found = in_model(own->first, own->second)) {
            return found;
        }
    }
    for (const auto& [id, model] : doc.models) {
        if (auto found = in_model(id, model)) {
            return found;
        }
    }
    return std::nullopt;
}

bool allowed(const team_spec& team, const model_id& model, const version_id& version)
{
    return std::any_of(team.allowed.begin(), team.allowed.end(), [&](const std::string& name) {
        return name == model.value || name == version.value;
    });
}

// Selects the versions for one query. State of a single query is kept here and not in
// session_policy.
class version_selector {
public:
    version_selector(const session_settings& settings, const exposed_share_function& share,
                     const session_query& query, const document& doc, const configuration_age& age)
        : settings_{settings}, share_{share}, query_{query}, doc_{doc}, age_{age}
    {
    }

    expected<session_choice> run()
    {
        const auto team = doc_.teams.find(query_.team);
        if (team == doc_.teams.end()) {
            return tl::unexpected(refusal(error_code::unknown_team, "The team is not declared."));
        }
        team_ = &team->second;
        if (doc_.models.find(query_.model) == doc_.models.end()) {
            return tl::unexpected(refusal(error_code::unknown_model, "The model is not declared."));
        }
        if (!query_.token) {
            return choose_by_share({});
        }
        if (query_.token->team != query_.team) {
            return tl::unexpected(refusal(error_code::session_token_invalid,
                                          "The session token belongs to another team."));
        }
        if (query_.token->model != query_.model) {
            return choose_by_share({});
        }
        return choose_by_token(*query_.token);
    }

private:
    [[nodiscard]] std::string session() const
    {
        if (query_.token) {
            return query_.token->session;
        }
        return query_.session_id.empty() ? query_.new_session : query_.session_id;
    }

    [[nodiscard]] bool has_session_id() const
    {
        return query_.token.has_value() || !query_.session_id.empty();
    }

    [[nodiscard]] std::optional<revision> newer_revision() const
    {
        if (query_.token && query_.token->issued_at_revision > age_.in_force) {
            return query_.token->issued_at_revision;
        }
        return std::nullopt;
    }

    [[nodiscard]] bool may_serve_unconfirmed(const version_spec& spec) const
    {
        return age_.unconfirmed <= settings_.max_unconfirmed_time ||
               spec.when_cut_off == cut_off_policy::serve;
    }

    [[nodiscard]] bool usable(const located_version& found) const
    {
        return found.spec->state != version_state::withdrawn &&
               may_serve_unconfirmed(*found.spec) && allowed(*team_, found.model, found.version);
    }

    [[nodiscard]] session_choice single(const located_version& found,
                                        std::optional<version_id> changed_from) const
    {
        return session_choice{found.model,
                              {{found.version, session_buckets}},
                              session(),
                              std::move(changed_from),
                              newer_revision()};
    }

    expected<session_choice> choose_by_token(const session_token& token)
    {
        const auto found = find_version(doc_, query_.model, token.version);
        if (!found && newer_revision()) {
            return tl::unexpected(refusal(error_code::not_ready,
                                          "The session's version is newer than this "
                                          "configuration.",
                                          outdated_retry_after));
        }
        if (!found || found->spec->state == version_state::withdrawn) {
            return choose_after_withdrawal(token.version, found);
        }
        if (!allowed(*team_, found->model, found->version)) {
            return tl::unexpected(refusal(error_code::model_not_allowed,
                                          "The team may not use the session's version."));
        }
        if (!may_serve_unconfirmed(*found->spec)) {
            return tl::unexpected(unconfirmed());
        }
        return single(*found, std::nullopt);
    }

    expected<session_choice> choose_after_withdrawal(const version_id& version,
                                                     const std::optional<located_version>& found)
    {
        if (team_->on_withdrawn == withdrawn_policy::refuse) {
            return tl::unexpected(
                refusal(error_code::session_version_withdrawn,
                        "The session's version " + version.value + " was withdrawn."));
        }
        if (found) {
            auto next = replacement(*found);
            if (next && usable(*next)) {
                return single(*next, version);
            }
        }
        return choose_by_share(version);
    }

    // Follows the chain of declared replacements to the first version that is not withdrawn.
    [[nodiscard]] std::optional<located_version> replacement(located_version from) const
    {
        for (std::size_t n = 0; n < max_replacement_hops; ++n) {
            if (!from.spec->replacement) {
                return std::nullopt;
            }
            auto next = find_version(doc_, from.model, *from.spec->replacement);
            if (!next) {
                return std::nullopt;
            }
            if (next->spec->state != version_state::withdrawn) {
                return next;
            }
            from = *next;
        }
        return std::nullopt;
    }

    expected<session_choice> choose_by_share(std::optional<version_id> changed_from)
    {
        collect_versions();
        if (settled_.empty() && rolling_usable_ == 0) {
            return choose_without_usable_version(changed_from);
        }
        session_choice choice{
            query_.model, {}, session(), std::move(changed_from), newer_revision()};
        choice.candidates = has_session_id() ? std::vector{candidate_for_bucket(choice.session)}
                                             : candidates_by_share();
        return choice;
    }

    void collect_versions()
    {
        const auto& model = doc_.models.at(query_.model);
        for (const auto& [id, spec] : model.versions) {
            const located_version version{query_.model, id, &spec};
            if (spec.state == version_state::rolling) {
                add_rolling(version);
            }
            if (spec.state == version_state::settled && usable(version)) {
                settled_.push_back(id);
            }
            any_allowed_ = any_allowed_ || allowed(*team_, query_.model, id);
            any_in_force_ = any_in_force_ || spec.state != version_state::withdrawn;
        }
    }

    // Unusable versions keep their range of buckets, so that the ranges of the other versions do
    // not move.
    void add_rolling(const located_version& version)
    {
        const auto free = session_buckets - exposed_;
        const auto share = std::min(share_(version.model, version.version), free);
        exposed_ += share;
        rolling_.push_back({version.version, share, usable(version)});
        rolling_usable_ += usable(version) ? 1 : 0;
    }

    [[nodiscard]] version_candidate candidate_for_bucket(const std::string& session) const
    {
        const auto bucket = session_bucket(query_.team, session);
        std::uint32_t end = 0;
        for (const auto& version : rolling_) {
            end += version.basis_points;
            if (bucket < end && version.usable) {
                return {version.version, session_buckets};
            }
            if (bucket < end) {
                break;
            }
        }
        return {rendezvous_version(session), session_buckets};
    }

    // Rendezvous hashing keeps most sessions on their version when a settled version is added.
    [[nodiscard]] version_id rendezvous_version(const std::string& session) const
    {
        const auto key = query_.team.value + '\0' + session;
        const auto weight = [&](const version_id& id) { return rendezvous_weight(key, id.value); };
        const auto fallback = usable_rolling();
        const auto& from = settled_.empty() ? fallback : settled_;
        return *std::max_element(from.begin(), from.end(), [&](const auto& a, const auto& b) {
            return weight(a) < weight(b);
        });
    }

    [[nodiscard]] std::vector<version_id> usable_rolling() const
    {
        std::vector<version_id> out;
        for (const auto& version : rolling_) {
            if (version.usable) {
                out.push_back(version.version);
            }
        }
        return out;
    }

    [[nodiscard]] std::vector<version_candidate> candidates_by_share() const
    {
        std::vector<version_candidate> out;
        auto remaining_share = session_buckets;
        for (const auto& version : rolling_) {
            if (version.usable && version.basis_points > 0) {
                out.push_back({version.version, version.basis_points});
                remaining_share -= version.basis_points;
            }
        }
        // Without a settled version, the rolling versions must take all of the traffic.
        distribute_evenly(remaining_share, settled_.empty() ? usable_rolling() : settled_, out);
        return out;
    }

    static void distribute_evenly(std::uint32_t remaining_share,
                                  const std::vector<version_id>& recipients,
                                  std::vector<version_candidate>& out)
    {
        for (std::size_t n = recipients.size(); n > 0 && remaining_share > 0; --n) {
            const auto share = remaining_share / static_cast<std::uint32_t>(n);
            remaining_share -= share;
            const auto it = std::find_if(out.begin(), out.end(), [&](const auto& candidate) {
                return candidate.version == recipients[n - 1];
            });
            if (it == out.end()) {
                out.push_back({recipients[n - 1], share});
            }
            else {
                it->basis_points += share;
            }
        }
    }

    // Called when every version is withdrawn, not allowed, or may not be served because the
    // configuration is unconfirmed.
    expected<session_choice>
    choose_without_usable_version(const std::optional<version_id>& changed_from)
    {
        for (const auto& [id, spec] : doc_.models.at(query_.model).versions) {
            if (spec.state != version_state::withdrawn) {
                continue;
            }
            const auto next = replacement({query_.model, id, &spec});
            if (next && usable(*next)) {
                return single(*next, changed_from ? changed_from : std::optional{id});
            }
        }
        if (!any_in_force_) {
            return tl::unexpected(
                refusal(error_code::unknown_model, "Every version of the model was withdrawn."));
        }
        if (!any_allowed_) {
            return tl::unexpected(
                refusal(error_code::model_not_allowed, "The team may not use the model."));
        }
        return tl::unexpected(unconfirmed());
    }

    [[nodiscard]] static error unconfirmed()
    {
        return refusal(error_code::log_unavailable,
                       "The configuration is unconfirmed and the version is declared to stop "
                       "in that case.",
                       unconfirmed_retry_after);
    }

    struct rolling_version {
        version_id version;
        std::uint32_t basis_points{0};
        bool usable{false};
    };

    const session_settings& settings_;
    const exposed_share_function& share_;
    const session_query& query_;
    const document& doc_;
    const configuration_age& age_;
    const team_spec* team_{nullptr};
    std::vector<rolling_version> rolling_;
    std::vector<version_id> settled_;
    std::uint32_t exposed_{0};
    std::size_t rolling_usable_{0};
    bool any_allowed_{false};
    bool any_in_force_{false};
};

} // namespace

session_policy::session_policy(session_settings settings, exposed_share_function share)
    : settings_{settings}, share_{std::move(share)}
{
}

expected<session_choice> session_policy::choose(const session_query& query, const document& doc,
                                                const configuration_age& age) const
{
    return version_selector{settings_, share_, query, doc, age}.run();
}

std::uint32_t session_bucket(const team_id& team, std::string_view session)
{
    const auto hash = hash64(team.value + '\0' + std::string{session});
    return static_cast<std::uint32_t>(hash % session_buckets);
}

const version_id& pick_version(const std::vector<version_candidate>& candidates,
                               std::uint64_t random)
{
    auto position = static_cast<std::uint32_t>(random % session_buckets);
    for (const auto& candidate : candidates) {
        if (position < candidate.basis_points) {
            return candidate.version;
        }
        position -= candidate.basis_points;
    }
    return candidates.back().version;
}

std::string version_changed_header(const version_id& from, const version_id& to)
{
    return from.value + " " + to.value + " withdrawn";
}

} // namespace wagtailhitch
