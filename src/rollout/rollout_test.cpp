#include "rollout/rollout.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailhitch {
namespace {

const version_id version{"good-2"};

std::string encoded_step(std::uint32_t step, log_offset fencing)
{
    return encode_rollout_record(
        {rollout_record_kind::step, version, step, fencing, "", vm_id{"a1"}});
}

std::string encoded_halt(std::uint32_t step)
{
    return encode_rollout_record(
        {rollout_record_kind::halt, version, step, 0, "ratings", vm_id{"a2"}});
}

version_spec rolling_spec()
{
    version_spec spec;
    spec.state = version_state::rolling;
    spec.rollout = {{100, 10, 1s}, {1000, 10, 1s}, {10000, 10, 1s}};
    return spec;
}

class rollout_fold_test : public testing::Test {
protected:
    std::uint32_t share() { return fold_.exposed_basis_points(version, rolling_spec()); }

    rollout_fold fold_;
};

TEST_F(rollout_fold_test, version_without_a_step_is_not_exposed)
{
    EXPECT_EQ(share(), 0U);
}

TEST_F(rollout_fold_test, each_step_exposes_the_share_of_its_stage)
{
    fold_.apply(0, encoded_step(1, 5));
    EXPECT_EQ(share(), 100U);
    fold_.apply(1, encoded_step(2, 5));
    EXPECT_EQ(share(), 1000U);
    fold_.apply(2, encoded_step(9, 5));
    EXPECT_EQ(share(), 10000U);
}

// Guards against a paused lease holder that resumes and advances the roll-out after another VM has
// acquired the lease.
TEST_F(rollout_fold_test, step_with_an_old_fencing_number_is_ignored)
{
    fold_.apply(0, encoded_step(1, 9));
    EXPECT_EQ(fold_.apply(1, encoded_step(3, 5)), rollout_effect::ignored_stale_holder);
    EXPECT_EQ(share(), 100U);
}

TEST_F(rollout_fold_test, malformed_record_changes_nothing)
{
    fold_.apply(0, encoded_step(1, 5));
    EXPECT_EQ(fold_.apply(1, "{"), rollout_effect::ignored);
    EXPECT_EQ(share(), 100U);
    EXPECT_EQ(fold_.next_offset(), 2U);
}

// Guards against any sequence of records that exposes a version again after it was halted.
RC_GTEST_PROP(rollout_fold_property, no_history_raises_the_share_after_a_halt, ())
{
    rollout_fold fold;
    bool halted = false;
    const auto length = *rc::gen::inRange<log_offset>(1, 40);
    for (log_offset offset = 0; offset < length; ++offset) {
        const auto step = *rc::gen::inRange<std::uint32_t>(0, 5);
        if (*rc::gen::inRange(0, 8) == 0) {
            fold.apply(offset, encoded_halt(step));
            halted = true;
        }
        else {
            fold.apply(offset, encoded_step(step, *rc::gen::inRange<log_offset>(1, 6)));
        }
        RC_ASSERT(!halted || fold.exposed_basis_points(version, rolling_spec()) == 0);
    }
}

// Guards against a result that depends on the order in which a halt and a step reached the log.
RC_GTEST_PROP(rollout_fold_property, halt_takes_precedence_in_any_order, ())
{
    const auto step = *rc::gen::inRange<std::uint32_t>(1, 4);
    rollout_fold halt_first;
    halt_first.apply(0, encoded_halt(step));
    halt_first.apply(1, encoded_step(step, 5));
    rollout_fold step_first;
    step_first.apply(0, encoded_step(step, 5));
    step_first.apply(1, encoded_halt(step));
    RC_ASSERT(halt_first.exposed_basis_points(version, rolling_spec()) == 0);
    RC_ASSERT(step_first.exposed_basis_points(version, rolling_spec()) == 0);
}

} // namespace
} // namespace wagtailhitch
