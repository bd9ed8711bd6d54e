#include "proxy/rollout_tracker.hpp"

#include <gtest/gtest.h>

namespace wagtailhitch {
namespace {

class rollout_tracker_test : public testing::Test {
protected:
    rollout_tracker_test()
    {
        tracker_.order({"engine", "v2", 20s}, clock_.now());
        tracker_.note_published("engine", "v2", rollout_state::running);
    }

    void answer(const std::string& software, int count, const answer_quality& quality)
    {
        for (int i = 0; i < count; ++i) {
            tracker_.note_answer({"engine", software, "reports", quality});
        }
    }

    /// Records streams of good software, whose event intervals vary with the load of the replicas.
    void answer_normal_streams(const std::string& software, int count)
    {
        for (int i = 0; i < count; ++i) {
            answer(software, 1, {.mean_event_interval = 30ms + 4ms * (i % 10)});
        }
    }

    /// Records streams of loaded replicas, of which six in ten are three times slower.
    void answer_streams_of_troubled_replicas(const std::string& software, int count)
    {
        for (int i = 0; i < count; ++i) {
            const duration at_load = 19ms + 2ms * (i % 10);
            const double load = 0.05 + 0.04 * (i % 10);
            answer(software, 1,
                   {.mean_event_interval = i / 10 % 10 < 6 ? 3 * at_load : at_load, .load = load});
        }
    }

    rollout_state evaluate_rollout()
    {
        const auto context = [](const std::string&, const std::string&) {
            return rollout_context{{"v1"}, 0};
        };
        tracker_.evaluate({"reports"}, context, clock_.now());
        return tracker_.find("engine")->state();
    }

    manual_clock clock_;
    rollout_tracker tracker_{{vm_id{"vm-1"}, 1}, {}};
};

// Guards against missing a slow version whose replicas are lightly loaded. The version is eight
// times slower for half of its requests; its event intervals are compared with those of the old
// version on loaded replicas.
TEST_F(rollout_tracker_test, version_whose_streams_are_slow_is_halted_within_20_answers)
{
    answer_normal_streams("v1", 200);
    answer("v2", 20, {.mean_event_interval = 80ms});
    EXPECT_EQ(evaluate_rollout(), rollout_state::rolled_back);
}

// Guards against halting a slow version too late. The counts are from the day bad-slow-version of
// indice-andino, seed 595013795675, which exceeded the bound EXPOSURE: the 50th bad answer came
// after about 90 answers of the version.
TEST_F(rollout_tracker_test,
       version_with_a_third_of_its_streams_dragged_is_halted_within_100_answers)
{
    answer_normal_streams("v1", 200);
    for (int i = 0; i < 100; ++i) {
        answer("v2", 1, {.mean_event_interval = i % 10 < 3 ? 90ms : 30ms});
    }
    EXPECT_EQ(evaluate_rollout(), rollout_state::rolled_back);
}

TEST_F(rollout_tracker_test, version_whose_streams_vary_as_usual_goes_on)
{
    answer_normal_streams("v1", 200);
    answer_normal_streams("v2", 500);
    EXPECT_EQ(evaluate_rollout(), rollout_state::running);
}

TEST_F(rollout_tracker_test, streams_of_the_version_on_trial_do_not_become_usual)
{
    answer_normal_streams("v1", 100);
    answer("v2", 200, {.mean_event_interval = 80ms});
    answer_normal_streams("v1", 10);
    answer("v2", 20, {.mean_event_interval = 80ms});
    EXPECT_EQ(evaluate_rollout(), rollout_state::rolled_back);
}

// Guards against missing a version that is slower by less, on few replicas and while established
// ones are slow too. The intervals are those of days on both small deployments: 18 ms on an idle
// replica, more under load, three times as much on six replicas of ten.
TEST_F(rollout_tracker_test, version_slower_by_half_is_halted_while_established_replicas_are_slow)
{
    answer_streams_of_troubled_replicas("v1", 300);
    answer("v2", 30, {.mean_event_interval = 27ms, .load = 0.01});
    EXPECT_EQ(evaluate_rollout(), rollout_state::rolled_back);
}

TEST_F(rollout_tracker_test, version_as_fast_as_the_fastest_goes_on_beside_slow_replicas)
{
    answer_streams_of_troubled_replicas("v1", 300);
    for (int i = 0; i < 100; ++i) {
        answer("v2", 1, {.mean_event_interval = i % 5 == 0 ? 40ms : 18ms, .load = 0.01});
        EXPECT_EQ(evaluate_rollout(), rollout_state::running);
    }
}

TEST_F(rollout_tracker_test, version_on_loaded_replicas_is_not_compared_with_the_fastest_streams)
{
    answer_streams_of_troubled_replicas("v1", 300);
    answer("v2", 100, {.mean_event_interval = 35ms, .load = 0.3});
    EXPECT_EQ(evaluate_rollout(), rollout_state::running);
}

TEST_F(rollout_tracker_test, vm_without_established_streams_uses_the_intervals_of_others)
{
    for (const char* vm : {"vm-2", "vm-3", "vm-4"}) {
        peer_report report;
        report.from = {vm_id{vm}, 1};
        report.paces = {{"engine", 18ms}};
        tracker_.take(report, clock_.now());
    }
    answer("v1", 8, {.mean_event_interval = 60ms, .load = 0.3});
    answer("v2", 30, {.mean_event_interval = 27ms, .load = 0.01});
    EXPECT_EQ(evaluate_rollout(), rollout_state::rolled_back);
}

TEST_F(rollout_tracker_test, fastest_interval_is_reported_while_a_rollout_runs)
{
    answer_normal_streams("v1", 100);
    for (const auto scope : {report_scope::vm, report_scope::domain}) {
        peer_report report;
        report.scope = scope;
        tracker_.fill(report, clock_.now());
        ASSERT_EQ(report.paces.size(), 1U);
        EXPECT_EQ(report.paces.front(), (reported_pace{"engine", 30ms}));
    }
    tracker_.note_published("engine", "v2", rollout_state::complete);
    peer_report report;
    tracker_.fill(report, clock_.now());
    EXPECT_TRUE(report.paces.empty());
}

// Guards against an order of a version that was rolled back before having no effect: its record,
// its state in the store and the evidence of its earlier trial equal those of the earlier order.
TEST_F(rollout_tracker_test, version_ordered_again_after_it_was_rolled_back_is_tried_again)
{
    for (const bool other_order_between : {false, true}) {
        rollout_tracker tracker{{vm_id{"vm-1"}, 1}, {}};
        tracker.order({"engine", "v2", 20s, 1}, clock_.now());
        tracker.note_published("engine", "v2", rollout_state::running);
        const auto evaluate = [&] {
            const auto context = [](const std::string&, const std::string&) {
                return rollout_context{{"v1"}, 0};
            };
            tracker.evaluate({"reports"}, context, clock_.now());
            return tracker.find("engine")->state();
        };
        for (int i = 0; i < 200; ++i) {
            tracker.note_answer({"engine", "v1", "reports", {}});
        }
        for (int i = 0; i < 10; ++i) {
            tracker.note_answer({"engine", "v2", "reports", {.failed = true}});
        }
        ASSERT_EQ(evaluate(), rollout_state::rolled_back);
        tracker.note_published("engine", "v2", rollout_state::rolled_back);
        tracker.order({"engine", "v2", 20s, 1}, clock_.now());
        EXPECT_EQ(evaluate(), rollout_state::rolled_back) << "The same record was read again.";
        if (other_order_between) {
            tracker.order({"engine", "v3", 20s, 2}, clock_.now());
        }
        tracker.order({"engine", "v2", 20s, 3}, clock_.now());
        EXPECT_FALSE(tracker.is_rolled_back("engine", "v2"));
        EXPECT_TRUE(tracker.is_earlier_state("engine", "v2", rollout_state::rolled_back));
        tracker.note_published("engine", "v2", rollout_state::rolled_back);
        EXPECT_EQ(evaluate(), rollout_state::running) << "The state is that of the first order.";
        EXPECT_EQ(tracker.publications(0, clock_.now()).size(), 1U);
        tracker.note_published("engine", "v2", rollout_state::running);
        EXPECT_EQ(evaluate(), rollout_state::running) << "The evidence is that of the first trial.";
        tracker.note_published("engine", "v2", rollout_state::rolled_back);
        EXPECT_TRUE(tracker.is_rolled_back("engine", "v2"));
    }
}

TEST_F(rollout_tracker_test, state_of_a_started_repeated_order_is_not_taken_for_the_earlier_one)
{
    rollout_tracker tracker{{vm_id{"vm-1"}, 1}, {}};
    tracker.note_outcome({"engine", "v2", 1, rollout_state::rolled_back});
    tracker.order({"engine", "v2", 20s, 3}, clock_.now());
    tracker.note_started("engine", 3);
    tracker.note_published("engine", "v2", rollout_state::rolled_back);
    EXPECT_TRUE(tracker.is_rolled_back("engine", "v2"));
}

// Guards against a VM that was paused over a newer order writing the outcome of the older one.
// Guards against a bad version that gets traffic once more because the store, back from an older
// copy, holds its order at another offset.
TEST_F(rollout_tracker_test, order_written_again_in_a_later_epoch_is_not_a_repeat)
{
    const rollout_order bad{"engine", "v2", 20s, 6, log_epoch{1}};
    tracker_.order(bad, clock_.now());
    tracker_.note_outcome({"engine", "v2", 6, rollout_state::rolled_back});
    ASSERT_TRUE(tracker_.is_rolled_back("engine", "v2"));
    tracker_.order({"engine", "v2", 20s, 8, log_epoch{2}}, clock_.now());
    EXPECT_TRUE(tracker_.is_rolled_back("engine", "v2"));
    EXPECT_EQ(tracker_.find("engine")->order().number, 8U);
    tracker_.order({"engine", "v2", 20s, 9, log_epoch{2}}, clock_.now());
    EXPECT_FALSE(tracker_.is_rolled_back("engine", "v2")) << "The operators ordered it once more.";
}

// Guards against a roll-out that is replaced by the one before it, which the store's copy holds.
TEST_F(rollout_tracker_test, earlier_order_in_the_copy_of_the_store_does_not_replace_the_newest)
{
    tracker_.order({"engine", "v2", 20s, 3, log_epoch{1}}, clock_.now());
    tracker_.note_outcome({"engine", "v2", 3, rollout_state::complete});
    tracker_.order({"engine", "v3", 20s, 6, log_epoch{1}}, clock_.now());
    tracker_.note_outcome({"engine", "v3", 6, rollout_state::rolled_back});
    tracker_.order({"engine", "v2", 20s, 3, log_epoch{2}}, clock_.now());
    EXPECT_EQ(tracker_.find("engine")->order().target, "v3");
    tracker_.order({"engine", "v3", 20s, 4, log_epoch{2}}, clock_.now());
    EXPECT_TRUE(tracker_.is_rolled_back("engine", "v3"));
    EXPECT_EQ(tracker_.find("engine")->order().number, 4U);
    tracker_.order({"engine", "v2", 20s, 5, log_epoch{2}}, clock_.now());
    EXPECT_EQ(tracker_.find("engine")->order().target, "v2");
}

// Guards against operators that never learn how a roll-out ended, as the store has lost its state.
TEST_F(rollout_tracker_test, state_that_the_store_may_have_lost_is_published_again)
{
    tracker_.order({"engine", "v2", 20s, 3, log_epoch{1}}, clock_.now());
    tracker_.note_outcome({"engine", "v2", 3, rollout_state::rolled_back});
    ASSERT_EQ(tracker_.publications(0, clock_.now()).size(), 1U);
    tracker_.note_published("engine", "v2", rollout_state::rolled_back);
    clock_.advance(10s);
    ASSERT_TRUE(tracker_.publications(0, clock_.now()).empty());
    peer_report earlier;
    tracker_.fill(earlier, clock_.now());
    earlier.from = {vm_id{"other"}, 1};
    earlier.position = {log_epoch{1}, 9};
    tracker_.begin_epoch(log_epoch{2});
    tracker_.take(earlier, clock_.now());
    const auto due = tracker_.publications(0, clock_.now());
    ASSERT_EQ(due.size(), 1U);
    EXPECT_EQ(due[0].state, rollout_state::rolled_back);
}

TEST_F(rollout_tracker_test, publication_of_an_earlier_order_is_told_from_the_newest)
{
    rollout_tracker tracker{{vm_id{"vm-1"}, 1}, {}};
    tracker.order({"engine", "v2", 20s, 1}, clock_.now());
    const auto due = tracker.publications(0, clock_.now());
    ASSERT_EQ(due.size(), 1U);
    EXPECT_TRUE(tracker.is_newest(due[0]));
    tracker.order({"engine", "v3", 20s, 2}, clock_.now());
    EXPECT_FALSE(tracker.is_newest(due[0]));
    tracker.note_outcome({"engine", "v3", 2, rollout_state::rolled_back});
    EXPECT_TRUE(tracker.is_rolled_back("engine", "v3"));
    tracker.order({"engine", "v2", 20s, 3}, clock_.now());
    EXPECT_FALSE(tracker.is_newest(due[0])) << "The same target, but another order.";
}

// A restarted VM may read the outcome of an order before the order.
TEST_F(rollout_tracker_test, outcome_read_before_its_order_applies_to_it)
{
    rollout_tracker tracker{{vm_id{"vm-1"}, 1}, {}};
    tracker.note_outcome({"engine", "v2", 4, rollout_state::rolled_back});
    tracker.order({"engine", "v2", 20s, 4}, clock_.now());
    EXPECT_TRUE(tracker.is_rolled_back("engine", "v2"));
    const auto outcomes = tracker.rolled_back();
    EXPECT_EQ(outcomes.front(), (rollout_outcome{"engine", "v2", 4, rollout_state::rolled_back}));
}

TEST_F(rollout_tracker_test, failing_version_is_halted)
{
    answer("v1", 200, {});
    answer("v2", 10, {.failed = true});
    EXPECT_EQ(evaluate_rollout(), rollout_state::rolled_back);
}

} // namespace
} // namespace wagtailhitch
