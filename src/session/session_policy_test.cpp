#include "session/session_policy.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailhitch {
namespace {

const team_id team{"bulletins"};
const model_id narrator{"narrator"};
const version_id settled{"narrator-3"};
const version_id rolling{"narrator-4"};

class session_policy_test : public testing::Test {
protected:
    session_policy_test()
    {
        auto& model = doc_.models[narrator];
        model.versions[settled].state = version_state::settled;
        model.versions[rolling].state = version_state::rolling;
        model.versions[rolling].when_cut_off = cut_off_policy::stop;
        doc_.teams[team].allowed = {"narrator"};
    }

    [[nodiscard]] expected<session_choice> choose(const session_query& query) const
    {
        const session_policy policy{
            {}, [this](const model_id&, const version_id&) { return exposed_; }};
        return policy.choose(query, doc_, age_);
    }

    [[nodiscard]] static session_query with_token(const version_id& version, revision issued = 5)
    {
        return {team, narrator, session_token{team, "s-1", narrator, version, issued, 0}, "",
                "new"};
    }

    [[nodiscard]] static session_query named(const std::string& id)
    {
        return {team, narrator, std::nullopt, id, "new"};
    }

    version_spec& version(const version_id& id) { return doc_.models[narrator].versions[id]; }

    void expect_refusal(const session_query& query, error_code code) const
    {
        const auto choice = choose(query);
        ASSERT_FALSE(choice.has_value()) << "Expected a refusal, but a version was chosen.";
        EXPECT_EQ(name_of(choice.error().code), name_of(code));
        EXPECT_EQ(choice.error().run, run_state::not_run);
    }

    void expect_only(const session_query& query, const version_id& id) const
    {
        const auto choice = choose(query);
        ASSERT_TRUE(choice.has_value()) << choice.error().detail;
        EXPECT_EQ(choice->candidates, (std::vector<version_candidate>{{id, session_buckets}}));
    }

    document doc_;
    std::uint32_t exposed_{2'500};
    configuration_age age_{10, 0s};
};

// Guards invariant 3: a roll-out that stops or is rolled back must not move a session with a token.
TEST_F(session_policy_test, token_keeps_its_version_whatever_the_exposed_share)
{
    for (const std::uint32_t share : {0U, 2'500U, 10'000U}) {
        exposed_ = share;
        expect_only(with_token(settled), settled);
        expect_only(with_token(rolling), rolling);
    }
}

// Guards invariant 2, which takes precedence over invariant 3.
TEST_F(session_policy_test, withdrawn_version_moves_the_session_to_its_replacement_with_a_note)
{
    version(rolling).state = version_state::withdrawn;
    version(rolling).replacement = settled;
    const auto choice = choose(with_token(rolling));
    ASSERT_TRUE(choice.has_value()) << choice.error().detail;
    EXPECT_EQ(choice->candidates.front().version, settled);
    EXPECT_EQ(choice->changed_from, rolling);
    EXPECT_EQ(choice->session, "s-1");
    EXPECT_EQ(version_changed_header(rolling, settled), "narrator-4 narrator-3 withdrawn");
}

TEST_F(session_policy_test, withdrawn_version_is_refused_when_the_team_asks_for_that)
{
    version(rolling).state = version_state::withdrawn;
    version(rolling).replacement = settled;
    doc_.teams[team].on_withdrawn = withdrawn_policy::refuse;
    expect_refusal(with_token(rolling), error_code::session_version_withdrawn);
}

TEST_F(session_policy_test, replacement_that_was_withdrawn_in_turn_is_skipped)
{
    const version_id next{"narrator-5"};
    version(rolling) = {version_state::withdrawn, 0, 0, settled, cut_off_policy::serve, {}};
    version(settled) = {version_state::withdrawn, 0, 0, next, cut_off_policy::serve, {}};
    version(next).state = version_state::settled;
    expect_only(with_token(rolling), next);
}

// Guards against an endless loop over circular replacements that validation did not reject.
TEST_F(session_policy_test, circular_replacements_are_refused)
{
    version(rolling) = {version_state::withdrawn, 0, 0, settled, cut_off_policy::serve, {}};
    version(settled) = {version_state::withdrawn, 0, 0, rolling, cut_off_policy::serve, {}};
    expect_refusal(with_token(rolling), error_code::unknown_model);
}

// Guards against a session that alternates between two models after its version was replaced by a
// version of the other model.
TEST_F(session_policy_test, replacement_in_another_model_is_kept_by_the_next_request)
{
    const version_id other{"writer-1"};
    doc_.models[model_id{"writer"}].versions[other].state = version_state::settled;
    doc_.teams[team].allowed.emplace_back("writer");
    version(rolling) = {version_state::withdrawn, 0, 0, other, cut_off_policy::serve, {}};
    expect_only(with_token(rolling), other);
    expect_only(with_token(other), other);
    EXPECT_EQ(choose(with_token(other))->model, model_id{"writer"});
}

struct age_case {
    duration unconfirmed;
    cut_off_policy when_cut_off;
    bool served;
};

// Guards against serving a bad version while withdrawals cannot reach this VM (design 3.3).
TEST_F(session_policy_test, rolling_version_stops_when_the_configuration_is_unconfirmed)
{
    const std::vector<age_case> cases{{9s, cut_off_policy::stop, true},
                                      {9s + 1ns, cut_off_policy::stop, false},
                                      {1h, cut_off_policy::serve, true}};
    for (const auto& it : cases) {
        age_.unconfirmed = it.unconfirmed;
        version(rolling).when_cut_off = it.when_cut_off;
        EXPECT_EQ(choose(with_token(rolling)).has_value(), it.served)
            << "The configuration is unconfirmed for " << to_milliseconds(it.unconfirmed) << " ms.";
        const auto fresh = choose({team, narrator, std::nullopt, "", "new"});
        ASSERT_TRUE(fresh.has_value());
        EXPECT_EQ(fresh->candidates.size(), it.served ? 2U : 1U);
    }
    version(settled).when_cut_off = cut_off_policy::stop;
    version(rolling).when_cut_off = cut_off_policy::stop;
    expect_refusal(with_token(settled), error_code::log_unavailable);
    expect_refusal(named("x"), error_code::log_unavailable);
}

TEST_F(session_policy_test, token_with_a_higher_revision_reports_that_the_vm_is_behind)
{
    EXPECT_EQ(choose(with_token(settled, 11))->newer_revision, revision{11});
    EXPECT_EQ(choose(with_token(settled, 10))->newer_revision, std::nullopt);
    // The version may be declared in a revision that this VM has not received yet.
    expect_refusal(with_token(version_id{"narrator-9"}, 11), error_code::not_ready);
}

// Guards invariant 1: a team is only served versions that it may use.
TEST_F(session_policy_test, version_that_the_team_may_not_use_is_never_chosen)
{
    doc_.teams[team].allowed = {"narrator-3"};
    exposed_ = session_buckets;
    expect_refusal(with_token(rolling), error_code::model_not_allowed);
    expect_only(named("any"), settled);
    doc_.teams[team].allowed = {};
    expect_refusal(named("any"), error_code::model_not_allowed);
}

TEST_F(session_policy_test, token_of_another_team_is_refused)
{
    auto query = with_token(settled);
    query.token->team = team_id{"other"};
    expect_refusal(query, error_code::session_token_invalid);
}

TEST_F(session_policy_test, request_without_session_gets_candidates_by_share)
{
    const auto choice = choose({team, narrator, std::nullopt, "", "new"});
    ASSERT_TRUE(choice.has_value());
    EXPECT_EQ(choice->candidates,
              (std::vector<version_candidate>{{rolling, 2'500}, {settled, 7'500}}));
    EXPECT_EQ(choice->session, "new");
    EXPECT_EQ(pick_version(choice->candidates, 2'499), rolling);
    EXPECT_EQ(pick_version(choice->candidates, 2'500), settled);
}

// Guards against a session that leaves the rolling version although the roll-out only advances.
RC_GTEST_FIXTURE_PROP(session_policy_test,
                      named_session_changes_version_only_when_its_bucket_is_passed,
                      (const std::string& id))
{
    const auto query = named("s" + id);
    const auto bucket = session_bucket(team, "s" + id);
    for (exposed_ = 0; exposed_ <= session_buckets; exposed_ += 500) {
        const auto choice = choose(query);
        RC_ASSERT(choice.has_value());
        const auto& expected_version = bucket < exposed_ ? rolling : settled;
        RC_ASSERT(choice->candidates.front().version == expected_version);
    }
}

// Checks for any set of versions that candidates may be served and that their shares add up.
RC_GTEST_FIXTURE_PROP(session_policy_test, candidates_are_usable_and_their_shares_add_up,
                      (const std::vector<std::uint8_t>& states, std::uint16_t share, bool cut_off))
{
    doc_.models[narrator].versions.clear();
    for (std::size_t i = 0; i < states.size(); ++i) {
        auto& spec = doc_.models[narrator].versions[version_id{"v" + std::to_string(i)}];
        spec.state = static_cast<version_state>(states[i] % 3);
        spec.when_cut_off = (states[i] & 64U) != 0 ? cut_off_policy::stop : cut_off_policy::serve;
    }
    exposed_ = share % (session_buckets + 1);
    age_.unconfirmed = cut_off ? 1h : 0s;
    const auto choice = choose({team, narrator, std::nullopt, "", "new"});
    if (!choice) {
        return;
    }
    std::uint32_t sum = 0;
    for (const auto& candidate : choice->candidates) {
        const auto& spec = doc_.models[narrator].versions.at(candidate.version);
        sum += candidate.basis_points;
        RC_ASSERT(spec.state != version_state::withdrawn);
        RC_ASSERT(!cut_off || spec.when_cut_off == cut_off_policy::serve);
    }
    RC_ASSERT(sum == session_buckets);
}

} // namespace
} // namespace wagtailhitch
