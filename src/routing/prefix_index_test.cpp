#include "routing/prefix_index.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <set>
#include <vector>

namespace wagtailhitch {
namespace {

class prefix_index_test : public testing::Test {
protected:
    const std::vector<std::uint64_t> prompt_{11, 22, 33, 44, 55, 66};
    std::array<prefix_match, 4> out_{};
    prefix_index index_{1024};

    std::span<const std::uint64_t> first(std::size_t n) const
    {
        return std::span{prompt_}.first(n);
    }
};

// Guards against routing a prompt to a replica that holds less of its prefix than another.
TEST_F(prefix_index_test, holders_are_found_longest_first)
{
    index_.stored(7, first(4));
    index_.stored(3, first(3));
    ASSERT_EQ(index_.find(prompt_, out_), 2U);
    EXPECT_EQ(out_[0].replica, 7U);
    EXPECT_EQ(out_[0].blocks, 4U);
    EXPECT_EQ(out_[1].replica, 3U);
    EXPECT_EQ(out_[1].blocks, 3U);
    EXPECT_EQ(index_.match(prompt_, 3).blocks, 3U);
}

// Guards against trusting entries whose eviction may have been reported in a lost event.
TEST_F(prefix_index_test, entries_before_a_gap_are_doubtful_until_stored_again)
{
    index_.stored(7, first(4));
    index_.gap(7);
    ASSERT_EQ(index_.find(prompt_, out_), 1U);
    EXPECT_TRUE(out_[0].doubtful);
    index_.stored(7, first(4));
    ASSERT_EQ(index_.find(prompt_, out_), 1U);
    EXPECT_FALSE(out_[0].doubtful);
}

// Guards against routing by the cache contents of a process that has ended.
TEST_F(prefix_index_test, cleared_replica_no_longer_matches)
{
    index_.stored(7, prompt_);
    index_.stored(8, first(1));
    index_.clear(7);
    ASSERT_EQ(index_.find(prompt_, out_), 1U);
    EXPECT_EQ(out_[0].replica, 8U);
    EXPECT_EQ(index_.match(prompt_, 7).blocks, 0U);
}

// Guards against an epoch counter that wraps around and makes old entries valid again.
TEST_F(prefix_index_test, many_gaps_leave_no_certain_entry)
{
    index_.stored(7, prompt_);
    for (int i = 0; i < 70000; ++i) {
        index_.gap(7);
    }
    const std::size_t found = index_.find(prompt_, out_);
    EXPECT_TRUE(found == 0 || out_[0].doubtful);
}

// Guards against matches without a stored block: one that was never stored, or was evicted since.
RC_GTEST_FIXTURE_PROP(prefix_index_test, match_is_never_longer_than_what_was_stored, ())
{
    prefix_index index{64};
    std::set<std::pair<replica_index, std::uint64_t>> held;
    const auto steps = *rc::gen::inRange(1, 300);
    for (int i = 0; i < steps; ++i) {
        const auto replica = *rc::gen::inRange<replica_index>(0, 20);
        const auto length = *rc::gen::inRange<std::size_t>(1, 7);
        const bool store = *rc::gen::inRange(0, 3) > 0;
        const auto part = first(length);
        store ? index.stored(replica, part) : index.evicted(replica, part);
        for (const auto hash : part) {
            store ? void(held.emplace(replica, hash)) : void(held.erase({replica, hash}));
        }
        std::array<prefix_match, 8> out{};
        const std::size_t found = index.find(prompt_, out);
        for (std::size_t n = 0; n < found; ++n) {
            RC_ASSERT(out[n].blocks >= 1U);
            RC_ASSERT(held.contains({out[n].replica, prompt_[out[n].blocks - 1]}));
        }
    }
}

} // namespace
} // namespace wagtailhitch
