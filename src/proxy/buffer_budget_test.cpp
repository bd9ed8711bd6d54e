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
