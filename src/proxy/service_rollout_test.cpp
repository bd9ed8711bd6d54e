#include "proxy/service_rollout.hpp"

#include <gtest/gtest.h>

namespace wagtailhitch {
namespace {

constexpr std::uint64_t low_session_hash = 1;
constexpr std::uint64_t high_session_hash = ~0ULL;
constexpr std::uint64_t enough_answers = 1000;

class service_rollout_test : public testing::Test {
protected:
    [[nodiscard]] bool uses_new_version(std::uint64_t session_hash, bool connected = true) const
    {
        return rollout_.uses_new_version(session_hash, connected, clock_.now());
    }
    rollout_state due(std::uint32_t old_in_flight = 0, std::uint64_t answers = enough_answers)
    {
        return rollout_.due(answers, old_in_flight, clock_.now());
    }

    manual_clock clock_;
    service_rollout rollout_{{"engine", "v2", 20s}, clock_.now(), {}};
};

TEST_F(service_rollout_test, trial_gets_a_small_share)
{
    rollout_.note_published(rollout_state::running);
    EXPECT_TRUE(uses_new_version(low_session_hash));
    EXPECT_FALSE(uses_new_version(high_session_hash));
}

TEST_F(service_rollout_test, version_gets_nothing_before_the_stores_state_is_known)
{
    EXPECT_FALSE(uses_new_version(low_session_hash));
}

TEST_F(service_rollout_test, disconnected_vm_sends_no_traffic_to_the_new_version)
{
    rollout_.note_published(rollout_state::running);
    EXPECT_FALSE(uses_new_version(low_session_hash, false));
}

TEST_F(service_rollout_test, good_version_gets_all_traffic_and_completes_in_time)
{
    rollout_.note_published(rollout_state::running);
    clock_.advance(14s);
    EXPECT_EQ(due(3), rollout_state::running);
    EXPECT_TRUE(uses_new_version(high_session_hash));
    clock_.advance(2s);
    EXPECT_EQ(due(3), rollout_state::running) << "Old requests are still in flight.";
    EXPECT_EQ(due(0), rollout_state::complete);
}

TEST_F(service_rollout_test, completion_does_not_wait_for_old_requests_beyond_its_time)
{
    rollout_.note_published(rollout_state::running);
    clock_.advance(18s);
    EXPECT_EQ(due(3), rollout_state::complete);
}

TEST_F(service_rollout_test, version_in_doubt_gets_no_more_than_the_trial_share)
{
    rollout_.note_published(rollout_state::running);
    rollout_.set_in_doubt(true);
    clock_.advance(14s);
    EXPECT_EQ(due(), rollout_state::running);
    EXPECT_TRUE(uses_new_version(low_session_hash));
    EXPECT_FALSE(uses_new_version(high_session_hash));
    rollout_.set_in_doubt(false);
    EXPECT_TRUE(uses_new_version(high_session_hash));
}

TEST_F(service_rollout_test, version_in_doubt_to_the_end_is_rolled_back)
{
    rollout_.note_published(rollout_state::running);
    rollout_.set_in_doubt(true);
    clock_.advance(17s);
    EXPECT_EQ(due(), rollout_state::running);
    clock_.advance(1s);
    EXPECT_EQ(due(), rollout_state::rolled_back);
}

TEST_F(service_rollout_test, doubt_after_the_shift_does_not_take_it_back)
{
    rollout_.note_published(rollout_state::running);
    clock_.advance(14s);
    EXPECT_EQ(due(3), rollout_state::running);
    rollout_.set_in_doubt(true);
    EXPECT_TRUE(uses_new_version(high_session_hash));
    clock_.advance(4s);
    EXPECT_EQ(due(), rollout_state::complete);
}

TEST_F(service_rollout_test, version_without_answers_does_not_complete)
{
    rollout_.note_published(rollout_state::running);
    clock_.advance(18s);
    EXPECT_EQ(due(0, 3), rollout_state::running);
    EXPECT_FALSE(uses_new_version(high_session_hash));
}

// Guards against halting a good version while all its traffic moves to replicas with empty caches.
// The counts are from the day scale-2 of indice-andino.
TEST_F(service_rollout_test, version_that_is_slow_while_its_caches_fill_is_not_halted)
{
    rollout_.note_published(rollout_state::running);
    EXPECT_FALSE(
        rollout_.evaluate({.answers = 517, .slow = 60}, {.answers = 2000, .slow = 60}).halt);
}

TEST_F(service_rollout_test, version_with_a_third_of_its_answers_slow_is_halted_within_50_answers)
{
    rollout_.note_published(rollout_state::running);
    EXPECT_TRUE(rollout_.evaluate({.answers = 50, .slow = 17}, {.answers = 2000, .slow = 60}).halt);
}

TEST_F(service_rollout_test, failing_version_is_halted_for_good)
{
    rollout_.note_published(rollout_state::running);
    const version_counts bad{.answers = 30, .errors = 15};
    const version_counts good{.answers = 500, .errors = 2};
    EXPECT_TRUE(rollout_.evaluate(bad, good).halt);
    EXPECT_FALSE(uses_new_version(low_session_hash));
    clock_.advance(18s);
    EXPECT_EQ(due(), rollout_state::rolled_back);
}

TEST_F(service_rollout_test, failures_that_the_old_version_has_as_well_do_not_halt)
{
    const version_counts candidate{.answers = 60, .errors = 9};
    const version_counts old{.answers = 600, .errors = 90};
    EXPECT_FALSE(rollout_.evaluate(candidate, old).halt);
}

TEST_F(service_rollout_test, halt_of_another_vm_prevails_over_an_own_unpublished_completion)
{
    rollout_.note_published(rollout_state::running);
    clock_.advance(18s);
    ASSERT_EQ(due(), rollout_state::complete);
    rollout_.note_decided(rollout_state::rolled_back, "bad");
    EXPECT_EQ(rollout_.state(), rollout_state::rolled_back);
}

TEST_F(service_rollout_test, published_final_state_overrides_later_decisions)
{
    rollout_.note_published(rollout_state::complete);
    rollout_.note_decided(rollout_state::rolled_back, "bad");
    rollout_.note_published(rollout_state::rolled_back);
    EXPECT_EQ(rollout_.state(), rollout_state::complete);
}

TEST_F(service_rollout_test, older_order_heard_from_a_peer_moves_the_schedule)
{
    rollout_.note_published(rollout_state::running);
    rollout_.note_age(18s, clock_.now());
    EXPECT_EQ(due(), rollout_state::complete);
}

// Guards against too much traffic to a version that becomes bad only once it gets all traffic.
// Counts the requests that it gets from the order to the end of the roll-out.
TEST_F(service_rollout_test, bad_version_found_after_the_shift_stays_below_the_exposure_bound)
{
    constexpr double per_second = 90;
    constexpr double bound_share = 0.15;
    constexpr double bound_slack = 30;
    rollout_.note_published(rollout_state::running);
    version_counts candidate;
    version_counts old;
    double exposed = 0;
    double total = 0;
    for (int step = 0; step < 200; ++step) {
        clock_.advance(100ms);
        const bool all_traffic_shifted = rollout_.all_traffic_shifted(clock_.now());
        const bool halted = rollout_.state() == rollout_state::rolled_back;
        const double share = halted                ? 0
                             : all_traffic_shifted ? 1
                                                   : service_rollout_settings{}.trial_share;
        const double requests = per_second / 10;
        total += requests;
        exposed += requests * share;
        old.answers += static_cast<std::uint64_t>(requests * (1 - share));
        candidate.answers = static_cast<std::uint64_t>(exposed);
        candidate.errors += all_traffic_shifted && !halted ? 4 : 0;
        rollout_.evaluate(candidate, old);
        due(5, candidate.answers);
    }
    EXPECT_EQ(rollout_.state(), rollout_state::rolled_back);
    EXPECT_LE(exposed, bound_share * total + bound_slack);
}

} // namespace
} // namespace wagtailhitch
