#include "routing/outlier_detector.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace wagtailhitch {
namespace {

class outlier_detector_test : public testing::Test {
protected:
    static constexpr pool_ejections pool_of_ten{10, 0};

    bool fail(int times, pool_ejections pool_counts = pool_of_ten)
    {
        bool ejected = false;
        for (int i = 0; i < times; ++i) {
            ejected = detector_.record(0, false, pool_counts, clock_.now()) || ejected;
        }
        return ejected;
    }

    manual_clock clock_;
    outlier_detector detector_{{}};
};

// Guards against ejecting a replica after too few failures, and against keeping a failing one in
// service. `history` has one letter per attempt: s for success, f for failure.
TEST_F(outlier_detector_test, ejection_follows_the_history_of_outcomes)
{
    struct fault_case {
        const char* history;
        pool_ejections pool_counts;
        bool ejected;
    };
    const std::vector<fault_case> cases{
        {"ffff", {10, 0}, false},   {"fffff", {10, 0}, true},        {"ffffsf", {10, 0}, true},
        {"sfsfsf", {10, 0}, false}, {"ssssfsfsfsf", {10, 0}, false}, {"fsffsff", {10, 0}, true},
        {"fffff", {10, 3}, false},  {"fffff", {10, 2}, true},        {"fffff", {1, 0}, false},
        {"fffff", {2, 0}, true},    {"fffff", {2, 1}, false},        {"fffff", {3, 1}, false},
    };
    for (const auto& item : cases) {
        outlier_detector detector{{}};
        bool ejected = false;
        for (const char letter : std::string{item.history}) {
            ejected = detector.record(0, letter == 's', item.pool_counts, clock_.now()) || ejected;
        }
        EXPECT_EQ(ejected, item.ejected)
            << "history " << item.history << ", pool of " << item.pool_counts.size << " with "
            << item.pool_counts.ejected << " ejected";
    }
}

// Guards against a replica that never returns to service, and against a burst of requests on its
// return.
TEST_F(outlier_detector_test, ejected_replica_returns_through_one_trial_at_a_time)
{
    ASSERT_TRUE(fail(5));
    EXPECT_FALSE(detector_.admits(0, clock_.now()));
    clock_.advance(10s);
    ASSERT_EQ(detector_.state(0, clock_.now()), outlier_state::trial);
    EXPECT_TRUE(detector_.admits(0, clock_.now()));
    detector_.begin_trial(0, clock_.now());
    EXPECT_FALSE(detector_.admits(0, clock_.now())) << "a second trial was admitted";
    EXPECT_FALSE(detector_.record_trial(0, true, clock_.now()));
    EXPECT_EQ(detector_.state(0, clock_.now()), outlier_state::trial);
    detector_.begin_trial(0, clock_.now());
    EXPECT_FALSE(detector_.record_trial(0, true, clock_.now()));
    EXPECT_EQ(detector_.state(0, clock_.now()), outlier_state::in_service);
}

// Guards against a replica that stays blocked because the outcome of a trial is never reported.
TEST_F(outlier_detector_test, lost_trial_no_longer_blocks_after_its_timeout)
{
    ASSERT_TRUE(fail(5));
    clock_.advance(10s);
    detector_.begin_trial(0, clock_.now());
    clock_.advance(30s);
    EXPECT_TRUE(detector_.admits(0, clock_.now()));
}

// Guards against testing a failing replica at a constant rate.
TEST_F(outlier_detector_test, failed_trial_doubles_the_ejection)
{
    ASSERT_TRUE(fail(5));
    clock_.advance(10s);
    detector_.begin_trial(0, clock_.now());
    EXPECT_TRUE(detector_.record_trial(0, false, clock_.now()));
    clock_.advance(19s);
    EXPECT_EQ(detector_.state(0, clock_.now()), outlier_state::ejected);
    clock_.advance(1s);
    EXPECT_EQ(detector_.state(0, clock_.now()), outlier_state::trial);
}

// Guards against a replica that is ejected only after each VM has seen five failures itself.
TEST_F(outlier_detector_test, failures_of_other_vms_count)
{
    EXPECT_FALSE(fail(2));
    EXPECT_TRUE(detector_.merge(0, {.successes = 0, .failures = 3}, pool_of_ten, clock_.now()));
    const outcome_counts own = detector_.take_counts(0);
    EXPECT_EQ(own.failures, 2U) << "counts of other VMs must not be passed on again";
    EXPECT_EQ(detector_.take_counts(0).failures, 0U);
}

} // namespace
} // namespace wagtailhitch
