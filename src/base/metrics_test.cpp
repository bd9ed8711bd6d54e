#include "base/metrics.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace wagtailhitch {
namespace {

using testing::HasSubstr;

class metrics_test : public testing::Test {
protected:
    metrics metrics_;
};

// Guards against a label value that breaks the exposition format.
TEST_F(metrics_test, label_with_quote_is_escaped)
{
    metrics_.count("refusals_total", {{"code", "a\"b"}}).add(3);
    EXPECT_THAT(metrics_.render(), HasSubstr("wagtailhitch_refusals_total{code=\"a\\\"b\"} 3\n"));
}

TEST_F(metrics_test, counter_asked_for_twice_is_the_same)
{
    metrics_.count("x_total").add();
    metrics_.count("x_total").add();
    EXPECT_EQ(metrics_.count("x_total").value(), 2U);
}

// Guards against samples outside the bins being lost from the total.
TEST_F(metrics_test, histogram_counts_samples_outside_its_bins)
{
    auto& time = metrics_.time("first_token_seconds");
    time.record(0.000001);
    time.record(0.5);
    time.record(1000.0);
    EXPECT_EQ(time.count(), 3U);
    EXPECT_THAT(metrics_.render(),
                HasSubstr("wagtailhitch_first_token_seconds_bucket{le=\"+Inf\"} 3\n"));
    EXPECT_GT(time.quantile(0.5), 0.4);
    EXPECT_LT(time.quantile(0.5), 0.8);
}

} // namespace
} // namespace wagtailhitch
