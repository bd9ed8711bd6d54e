#include "cascade/cascade_policy.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace wagtailhitch {
namespace {

const model_id cheap{"clerk"};
const model_id best{"narrator"};
const std::string route{"report"};

process_id process(int i)
{
    return {vm_id{"vm-" + std::to_string(i)}, 1};
}

class cascade_policy_test : public testing::Test {
protected:
    void rate(int sufficient, int insufficient)
    {
        for (int i = 0; i < sufficient + insufficient; ++i) {
            table_.record(route, cheap, i < sufficient);
        }
    }
    expected<std::size_t> first_step()
    {
        return policy_.first_step(table_, request_, steps_, generator_);
    }

    std::mt19937_64 generator_{3};
    sufficiency_table table_{process(0), {}};
    cascade_policy policy_{{.exploration = 0, .insufficient_exploration = 0}};
    cascade_request request_{
        .route = route, .quality_target = 0.8, .time_left = 10s, .idempotent = true};
    std::vector<cascade_step_info> steps_{{cheap, 0.85, 1s, true}, {best, 0.95, 4s, true}};
};

// Guards against using a cheap model that is not good enough, and against not using one that is.
// Ratings are late and sparse, so a few of them must not overrule the declared quality unless they
// show that it is wrong.
TEST_F(cascade_policy_test, ratings_decide_on_the_first_step)
{
    struct rating_case {
        double declared;
        int sufficient;
        int insufficient;
        std::size_t step;
    };
    const std::vector<rating_case> cases{
        {0.85, 0, 0, 0},   {0.75, 0, 0, 1},   {0.85, 1, 0, 0},    {0.85, 0, 1, 0},
        {0.85, 0, 10, 1},  {0.75, 10, 0, 1},  {0.75, 200, 20, 0}, {0.85, 150, 50, 1},
        {0.85, 87, 13, 0}, {0.85, 82, 18, 1},
    };
    for (const auto& item : cases) {
        table_ = sufficiency_table{process(0), {}};
        steps_[0].declared_quality = item.declared;
        rate(item.sufficient, item.insufficient);
        EXPECT_EQ(first_step().value(), item.step)
            << "declared " << item.declared << ", rated " << item.sufficient << " of "
            << item.sufficient + item.insufficient;
    }
}

// Guards against starting a step that cannot answer in time or has no upstream.
TEST_F(cascade_policy_test, deadline_and_availability_limit_the_steps)
{
    request_.time_left = 2s;
    steps_[0].declared_quality = 0.5;
    EXPECT_EQ(first_step().value(), 0U) << "the best model would answer after the deadline";
    request_.time_left = 1s;
    EXPECT_EQ(first_step().error().code, error_code::deadline_unreachable);
    request_.time_left = 10s;
    steps_[1].available = false;
    EXPECT_EQ(first_step().value(), 0U);
    steps_[0].available = false;
    EXPECT_EQ(first_step().error().code, error_code::no_upstream);
}

// Guards against endless or forbidden escalation. A request escalates only on a signal and within
// the deadline, and never when it must not run twice.
TEST_F(cascade_policy_test, answer_escalates_only_on_a_signal_and_when_permitted)
{
    const auto low = policy_.detect_escalation("low_confidence", std::nullopt, true);
    EXPECT_EQ(low, escalation_signal::low_confidence);
    EXPECT_EQ(policy_.detect_escalation("stop", 0.2, true), escalation_signal::low_confidence);
    EXPECT_EQ(policy_.detect_escalation("stop", 0.9, false), escalation_signal::check_failed);
    EXPECT_EQ(policy_.detect_escalation("stop", 0.9, true), escalation_signal::none);
    EXPECT_EQ(policy_.next_step(request_, steps_, 0, low), std::optional<std::size_t>{1});
    EXPECT_EQ(policy_.next_step(request_, steps_, 1, low), std::nullopt);
    EXPECT_EQ(policy_.next_step(request_, steps_, 0, escalation_signal::none), std::nullopt);
    request_.time_left = 3s;
    EXPECT_EQ(policy_.next_step(request_, steps_, 0, low), std::nullopt);
    request_.time_left = 10s;
    request_.idempotent = false;
    EXPECT_EQ(policy_.next_step(request_, steps_, 0, low), std::nullopt);
}

// Guards against a skipped step that gets no more ratings although its model has improved.
TEST_F(cascade_policy_test, undecided_step_is_explored)
{
    policy_ = cascade_policy{{.exploration = 0.1, .insufficient_exploration = 0.01}};
    const auto explored = [this] {
        int count = 0;
        for (int i = 0; i < 1000; ++i) {
            count += first_step().value() == 0 ? 1 : 0;
        }
        return count;
    };
    rate(82, 18);
    EXPECT_NEAR(explored(), 100, 30);
    rate(0, 100);
    EXPECT_NEAR(explored(), 10, 9) << "expected the lower rate for an insufficient step";
}

class sufficiency_table_test : public testing::Test {};

// Guards against counts that depend on the order, loss or repetition of messages: tables that have
// received the latest cells must agree.
RC_GTEST_FIXTURE_PROP(sufficiency_table_test, merged_counts_do_not_depend_on_the_order, ())
{
    sufficiency_table source_a{process(1), {.window = 50}};
    sufficiency_table source_b{process(2), {.window = 50}};
    std::vector<sufficiency_cell> messages;
    const auto count = *rc::gen::inRange(1, 200);
    for (int i = 0; i < count; ++i) {
        auto& source = *rc::gen::arbitrary<bool>() ? source_a : source_b;
        source.record(route, cheap, *rc::gen::arbitrary<bool>());
        for (const auto& cell : source.own_cells()) {
            messages.push_back(cell);
        }
    }
    auto shuffled = messages;
    std::mt19937_64 generator{*rc::gen::arbitrary<std::uint64_t>()};
    std::ranges::shuffle(shuffled, generator);
    shuffled.insert(shuffled.end(), messages.begin(), messages.end());
    sufficiency_table in_order{process(3), {}};
    sufficiency_table out_of_order{process(4), {}};
    for (const auto& cell : messages) {
        (void)in_order.merge(cell);
    }
    for (const auto& cell : shuffled) {
        (void)out_of_order.merge(cell);
    }
    const double expected =
        source_a.counts(route, cheap).total + source_b.counts(route, cheap).total;
    RC_ASSERT(in_order.counts(route, cheap).total == expected);
    RC_ASSERT(out_of_order.counts(route, cheap).total == expected);
    RC_ASSERT(out_of_order.counts(route, cheap).sufficient ==
              in_order.counts(route, cheap).sufficient);
}

// Guards against a table that grows without bound by a peer's cells, and against invalid counts.
TEST_F(sufficiency_table_test, table_is_bounded_and_checks_cells)
{
    sufficiency_table table{process(0), {.maximum_cells = 2}};
    EXPECT_FALSE(table.merge({route, cheap, process(1), 0, 5, 3}));
    EXPECT_TRUE(table.merge({route, cheap, process(1), 0, 3, 5}));
    EXPECT_TRUE(table.merge({route, best, process(1), 0, 3, 5}));
    EXPECT_FALSE(table.merge({route, cheap, process(2), 0, 3, 5}));
    EXPECT_TRUE(table.merge({route, cheap, process(1), 0, 4, 6}));
    EXPECT_EQ(table.cell_count(), 2U);
}

} // namespace
} // namespace wagtailhitch
