#include "proxy/model_cascade.hpp"

#include <gtest/gtest.h>

namespace wagtailhitch {
namespace {

constexpr std::size_t models = 3;

duration always_fast(std::size_t /*model*/)
{
    return 50ms;
}

class model_cascade_test : public testing::Test {
protected:
    model_cascade cascade_{{}};
};

TEST_F(model_cascade_test, small_model_is_asked_first)
{
    EXPECT_EQ(cascade_.first(models, always_fast, 1s, true), 0U);
}

TEST_F(model_cascade_test, confident_answer_is_accepted)
{
    EXPECT_FALSE(cascade_.next(models, 0, 0.9, always_fast, 1s).has_value());
}

TEST_F(model_cascade_test, low_confidence_answer_goes_to_the_largest_model)
{
    EXPECT_EQ(cascade_.next(models, 0, 0.2, always_fast, 1s), 2U);
}

TEST_F(model_cascade_test, low_confidence_answer_of_the_largest_model_is_accepted)
{
    EXPECT_FALSE(cascade_.next(models, 2, 0.2, always_fast, 1s).has_value());
}

TEST_F(model_cascade_test, larger_model_that_would_be_late_is_not_asked)
{
    const auto loaded = [](std::size_t model) -> duration { return model == 2 ? 2s : 100ms; };
    EXPECT_EQ(cascade_.next(models, 0, 0.2, loaded, 1s), 1U);
    EXPECT_FALSE(cascade_.next(models, 0, 0.2, loaded, 10ms).has_value());
}

TEST_F(model_cascade_test, start_at_the_largest_that_is_expected_in_time)
{
    const model_cascade large_first{{.start_small = false}};
    const auto loaded = [](std::size_t model) -> duration { return model * 400ms; };
    EXPECT_EQ(large_first.first(models, loaded, 2s, true), 2U);
    EXPECT_EQ(large_first.first(models, loaded, 1s, true), 1U);
    EXPECT_EQ(large_first.first(models, loaded, 100ms, true), 0U);
}

TEST_F(model_cascade_test, request_that_may_not_escalate_starts_at_the_largest_that_is_in_time)
{
    const auto loaded = [](std::size_t model) -> duration { return model * 400ms; };
    EXPECT_EQ(cascade_.first(models, loaded, 2s, false), 2U);
    EXPECT_EQ(cascade_.first(models, loaded, 1s, false), 1U);
}

} // namespace
} // namespace wagtailhitch
