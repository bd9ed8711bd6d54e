#include "rollout/event_interval_baseline.hpp"

#include <gtest/gtest.h>

namespace wagtailhitch {
namespace {

class event_interval_baseline_test : public testing::Test {
protected:
    void note(std::size_t streams, duration pause)
    {
        for (std::size_t i = 0; i < streams; ++i) {
            baseline_.note(pause);
        }
    }

    event_interval_baseline baseline_;
};

TEST_F(event_interval_baseline_test, few_streams_are_inconclusive)
{
    note(7, 20ms);
    EXPECT_FALSE(baseline_.is_slow_interval(10s));
    note(1, 20ms);
    EXPECT_TRUE(baseline_.is_slow_interval(10s));
}

TEST_F(event_interval_baseline_test, stream_is_slow_beyond_the_factor)
{
    note(100, 40ms);
    EXPECT_FALSE(baseline_.is_slow_interval(55ms));
    EXPECT_TRUE(baseline_.is_slow_interval(57ms));
}

TEST_F(event_interval_baseline_test, usual_pause_follows_the_load)
{
    note(100, 20ms);
    note(100, 60ms);
    EXPECT_FALSE(baseline_.is_slow_interval(83ms));
}

} // namespace
} // namespace wagtailhitch
