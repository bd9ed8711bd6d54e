#include "rollout/answer_pace.hpp"

#include <gtest/gtest.h>

namespace wagtailhitch {
namespace {

class answer_pace_test : public testing::Test {
protected:
    void note(std::size_t streams, duration pause)
    {
        for (std::size_t i = 0; i < streams; ++i) {
            baseline_.note(pause);
        }
    }

    answer_pace baseline_;
};

TEST_F(answer_pace_test, few_streams_say_nothing)
{
    note(7, 20ms);
    EXPECT_FALSE(baseline_.exceeded_by(10s));
    note(1, 20ms);
    EXPECT_TRUE(baseline_.exceeded_by(10s));
}

TEST_F(answer_pace_test, stream_is_slow_beyond_the_factor)
{
    note(100, 40ms);
    EXPECT_FALSE(baseline_.exceeded_by(55ms));
    EXPECT_TRUE(baseline_.exceeded_by(57ms));
}

TEST_F(answer_pace_test, usual_pause_follows_the_load)
{
    note(100, 20ms);
    note(100, 60ms);
    EXPECT_FALSE(baseline_.exceeded_by(83ms));
}

} // namespace
} // namespace wagtailhitch
