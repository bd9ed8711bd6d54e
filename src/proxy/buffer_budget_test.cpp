#include "proxy/buffer_budget.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <vector>

namespace wagtailhitch {
namespace {

constexpr std::size_t limit = 8'000'000;

TEST(buffer_budget_test, single_buffer_may_hold_a_part_of_the_limit)
{
    buffer_budget budget{limit};
    buffered_bytes held{budget};
    held.set(limit / 10);
    EXPECT_FALSE(held.exceeds_share());
    held.set(limit / 8);
    EXPECT_TRUE(held.exceeds_share());
}

TEST(buffer_budget_test, bytes_of_a_buffer_are_free_again_when_it_ends)
{
    buffer_budget budget{limit};
    {
        buffered_bytes held{budget};
        held.set(1000);
        held.set(500);
        EXPECT_EQ(budget.used(), 500U);
    }
    EXPECT_EQ(budget.used(), 0U);
}

TEST(buffer_budget_test, small_buffer_is_allowed_when_the_limit_is_used)
{
    buffer_budget budget{limit};
    buffered_bytes large{budget};
    large.set(2 * limit);
    buffered_bytes small{budget};
    small.set(buffer_budget::minimum_share);
    EXPECT_TRUE(large.exceeds_share());
    EXPECT_FALSE(small.exceeds_share());
}

class caller_bytes_test : public ::testing::Test {
protected:
    /// A caller that notes that it was asked to release its bytes.
    struct caller {
        explicit caller(buffer_budget& budget) : held{budget, [this] { ++asked; }} {}
        int asked{0};
        caller_bytes held;
    };

    buffer_budget budget_{limit};
    manual_clock clock_;
};

// Guards against closing whoever arrives last instead of whoever causes the shortage.
TEST_F(caller_bytes_test, caller_with_the_most_bytes_for_the_longest_releases_first)
{
    caller early{budget_};
    caller large{budget_};
    caller small{budget_};
    early.held.set(2'000'000, clock_.now());
    clock_.advance(10s);
    large.held.set(3'500'000, clock_.now());
    clock_.advance(1s);
    small.held.set(600'000, clock_.now());
    EXPECT_EQ(early.asked, 1);
    EXPECT_EQ(large.asked, 0);
    EXPECT_EQ(small.asked, 0);
}

// Guards against refusing small requests while a few large bodies hold the memory.
TEST_F(caller_bytes_test, small_request_finds_room_when_the_limit_is_used)
{
    caller large{budget_};
    large.held.set(limit, clock_.now());
    caller small{budget_};
    small.held.set(1000, clock_.now());
    EXPECT_EQ(large.asked, 1) << "It is asked once until it has released bytes.";
    EXPECT_EQ(small.asked, 0);
}

TEST_F(caller_bytes_test, callers_leave_a_part_of_the_limit_to_answers)
{
    std::vector<std::unique_ptr<caller>> all;
    for (int i = 0; i < 100; ++i) {
        all.push_back(std::make_unique<caller>(budget_));
        all.back()->held.set(limit / 20, clock_.now());
        for (auto& it : all) {
            if (it->asked > 0) {
                it->held.clear();
            }
        }
        EXPECT_LE(budget_.used_by_callers(), limit * 3 / 4);
    }
    EXPECT_GE(budget_.share(), limit / 4 / 8);
}

TEST_F(caller_bytes_test, bytes_that_were_released_in_part_count_again)
{
    caller first{budget_};
    first.held.set(limit, clock_.now());
    first.held.set(limit / 2, clock_.now());
    EXPECT_EQ(budget_.used_by_callers(), limit / 2);
    first.held.set(limit, clock_.now());
    EXPECT_EQ(first.asked, 2);
    first.held.clear();
    EXPECT_EQ(budget_.used(), 0U);
}

// Guards against buffers that are bounded one by one and together exceed the VM's memory.
RC_GTEST_PROP(buffer_budget_property, large_buffers_within_their_shares_stay_below_the_limit, ())
{
    buffer_budget budget{limit};
    constexpr int buffers = 100;
    std::vector<std::unique_ptr<buffered_bytes>> all;
    all.reserve(buffers);
    for (int i = 0; i < buffers; ++i) {
        all.push_back(std::make_unique<buffered_bytes>(budget));
    }
    const auto steps = *rc::gen::container<std::vector<std::pair<std::size_t, std::size_t>>>(
        rc::gen::pair(rc::gen::inRange<std::size_t>(0, all.size()),
                      rc::gen::inRange<std::size_t>(1, limit / 4)));
    for (const auto& [which, bytes] : steps) {
        all[which]->set(all[which]->size() + bytes);
        if (all[which]->exceeds_share()) {
            all[which]->set(0);
        }
        RC_ASSERT(budget.used() <= limit + all.size() * buffer_budget::minimum_share);
    }
}

} // namespace
} // namespace wagtailhitch
