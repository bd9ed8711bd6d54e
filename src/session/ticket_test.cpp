#include "session/ticket.hpp"

#include <gtest/gtest.h>

namespace wagtailhitch {
namespace {

const team_id team{"bulletins"};
constexpr std::uint64_t digest = 77;

class ticket_test : public testing::Test {
protected:
    ticket_decision begin(const ticket& presented, bool owner_gone = false,
                          std::uint64_t request_digest = digest)
    {
        return table_.begin(presented, team, request_digest, owner_gone);
    }

    void expect_refusal(const ticket_decision& decision, error_code code, run_state run)
    {
        ASSERT_EQ(decision.kind, ticket_verdict::refuse);
        EXPECT_EQ(name_of(decision.reason.code), name_of(code));
        EXPECT_EQ(name_of(decision.reason.run), name_of(run));
    }

    process_id self_{vm_id{"a-1"}, 7};
    ticket_settings settings_{4, 16, 400};
    ticket_table table_{self_, settings_};
};

TEST_F(ticket_test, issued_ticket_verifies_and_names_the_process)
{
    const auto issued = table_.issue(team, 1'700'000'000'000);
    const auto read = verify_ticket("key", issue_ticket("key", issued));
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(*read, issued);
    EXPECT_EQ(read->owner, self_);
    EXPECT_EQ(verify_ticket("other", issue_ticket("key", issued)).error().code,
              error_code::ticket_invalid);
}

// Guards invariant 7: a repeated request never runs again, whatever the state of the first run.
TEST_F(ticket_test, ticket_runs_once)
{
    const auto issued = table_.issue(team, 0);
    EXPECT_EQ(begin(issued).kind, ticket_verdict::run);
    expect_refusal(begin(issued), error_code::key_in_use, run_state::outcome_unknown);
    expect_refusal(begin(issued, false, 78), error_code::key_mismatch, run_state::not_run);
    table_.finish(issued.sequence, {200, "text/plain", "done"});
    const auto repeat = begin(issued);
    EXPECT_EQ(repeat.kind, ticket_verdict::repeat);
    EXPECT_EQ(repeat.answer.payload, "done");
}

TEST_F(ticket_test, failed_run_is_repeated_only_when_it_did_not_run)
{
    const auto unknown = table_.issue(team, 0);
    EXPECT_EQ(begin(unknown).kind, ticket_verdict::run);
    table_.fail(unknown.sequence, run_state::outcome_unknown);
    expect_refusal(begin(unknown), error_code::key_in_use, run_state::outcome_unknown);
    const auto not_run = table_.issue(team, 0);
    EXPECT_EQ(begin(not_run).kind, ticket_verdict::run);
    table_.fail(not_run.sequence, run_state::not_run);
    EXPECT_EQ(begin(not_run).kind, ticket_verdict::run);
}

TEST_F(ticket_test, ticket_of_another_process_is_forwarded_while_that_lives)
{
    const ticket other{{vm_id{"a-2"}, 3}, 1, team, 0};
    EXPECT_EQ(begin(other).kind, ticket_verdict::forward);
    expect_refusal(begin(other, true), error_code::ticket_owner_gone, run_state::outcome_unknown);
    const ticket before_restart{{vm_id{"a-1"}, 6}, 1, team, 0};
    expect_refusal(begin(before_restart), error_code::ticket_owner_gone,
                   run_state::outcome_unknown);
}

// Guards against running a ticket again after its entry was removed to limit memory use.
TEST_F(ticket_test, ticket_older_than_the_window_is_never_run)
{
    const auto first = table_.issue(team, 0);
    EXPECT_EQ(begin(first).kind, ticket_verdict::run);
    for (std::size_t i = 0; i < settings_.window; ++i) {
        table_.issue(team, 0);
    }
    EXPECT_EQ(table_.size(), settings_.window);
    expect_refusal(begin(first), error_code::ticket_invalid, run_state::outcome_unknown);
}

TEST_F(ticket_test, answers_beyond_the_bound_are_reported_as_ran)
{
    std::vector<ticket> issued;
    for (int i = 0; i < 4; ++i) {
        issued.push_back(table_.issue(team, 0));
        EXPECT_EQ(begin(issued.back()).kind, ticket_verdict::run);
        table_.finish(issued.back().sequence, {200, "", "0123456789abcdef"});
    }
    EXPECT_LE(table_.answers_bytes(), settings_.answers_bytes);
    expect_refusal(begin(issued.front()), error_code::key_in_use, run_state::ran);
    EXPECT_EQ(begin(issued.back()).kind, ticket_verdict::repeat);
}

TEST_F(ticket_test, ticket_of_another_team_is_refused)
{
    const auto issued = table_.issue(team_id{"other"}, 0);
    expect_refusal(begin(issued), error_code::ticket_invalid, run_state::not_run);
}

} // namespace
} // namespace wagtailhitch
