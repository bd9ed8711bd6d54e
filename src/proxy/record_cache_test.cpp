#include "proxy/record_cache.hpp"

#include <gtest/gtest.h>

namespace wagtailhitch {
namespace {

class record_cache_test : public testing::Test {
protected:
    void SetUp() override { cache_.reset({{"a", "1", 3}, {"b", "1", 7}}, 10); }

    record_cache cache_;
};

TEST_F(record_cache_test, vm_that_missed_changes_gets_those_with_dropped_keys)
{
    cache_.update({"a", "2", 11});
    cache_.update({"b", "", 12});
    const auto missed = cache_.since("s", 10, 13);
    EXPECT_FALSE(missed.snapshot);
    EXPECT_EQ(missed.complete_from, 10U);
    EXPECT_EQ(missed.next, 13U);
    EXPECT_EQ(missed.records, (std::vector<relayed_record>{{"a", "2", 11}, {"b", "", 12}}));
    EXPECT_TRUE(cache_.since("s", 13, 13).records.empty());
}

TEST_F(record_cache_test, vm_that_may_have_missed_dropped_keys_gets_all_keys)
{
    cache_.update({"b", "", 12});
    const auto all = cache_.since("s", 9, 13);
    EXPECT_TRUE(all.snapshot);
    EXPECT_EQ(all.records, (std::vector<relayed_record>{{"a", "1", 3}}));
}

} // namespace
} // namespace wagtailhitch
