#include "proxy/record_cache.hpp"

#include <gtest/gtest.h>

namespace wagtailhitch {
namespace {

log_position at(log_offset offset, std::uint64_t epoch = 0)
{
    return {log_epoch{epoch}, offset};
}

class record_cache_test : public testing::Test {
protected:
    void SetUp() override { cache_.reset({{"a", "1", at(3)}, {"b", "1", at(7)}}, at(10)); }

    record_cache cache_;
};

TEST_F(record_cache_test, vm_that_missed_changes_gets_those_with_dropped_keys)
{
    cache_.update({"a", "2", at(11)});
    cache_.update({"b", "", at(12)});
    const auto missed = cache_.since("s", at(10), at(13));
    EXPECT_FALSE(missed.snapshot);
    EXPECT_EQ(missed.complete_from, at(10));
    EXPECT_EQ(missed.next, at(13));
    EXPECT_EQ(missed.records, (std::vector<relayed_record>{{"a", "2", at(11)}, {"b", "", at(12)}}));
    EXPECT_TRUE(cache_.since("s", at(13), at(13)).records.empty());
}

TEST_F(record_cache_test, vm_that_may_have_missed_dropped_keys_gets_all_keys)
{
    cache_.update({"b", "", at(12)});
    const auto all = cache_.since("s", at(9), at(13));
    EXPECT_TRUE(all.snapshot);
    EXPECT_EQ(all.records, (std::vector<relayed_record>{{"a", "1", at(3)}}));
}

// Guards against a VM that keeps records which the store has lost, as their offsets were assigned
// again.
TEST_F(record_cache_test, vm_that_read_an_earlier_epoch_gets_all_keys)
{
    cache_.reset({{"a", "2", at(3, 2)}}, at(4, 2));
    cache_.update({"a", "3", at(4, 2)});
    const auto all = cache_.since("s", at(13, 1), at(5, 2));
    EXPECT_TRUE(all.snapshot);
    EXPECT_EQ(all.next, at(5, 2));
    EXPECT_EQ(all.records, (std::vector<relayed_record>{{"a", "3", at(4, 2)}}));
}

} // namespace
} // namespace wagtailhitch
