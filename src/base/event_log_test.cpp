#include "base/event_log.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <sstream>
#include <string>
#include <vector>

namespace wagtailhitch {
namespace {

class event_log_test : public testing::Test {
protected:
    event_log make(event_log_settings settings)
    {
        return event_log{[this](std::string_view bytes) {
                             const std::size_t n = std::min(bytes.size(), sink_capacity_);
                             output_.append(bytes.substr(0, n));
                             return n;
                         },
                         clock_.source(), settings};
    }
    std::vector<nlohmann::json> lines() const
    {
        std::vector<nlohmann::json> out;
        std::istringstream in{output_};
        for (std::string line; std::getline(in, line);) {
            out.push_back(nlohmann::json::parse(line));
        }
        return out;
    }

    manual_clock clock_;
    std::string output_;
    std::size_t sink_capacity_{1U << 20U};
};

TEST_F(event_log_test, line_with_fields_is_one_json_object)
{
    auto log = make({});
    log.write("request_finished", {{"id", "a\"b\n"}, {"status", 200}, {"late", true}});
    log.flush();
    ASSERT_EQ(lines().size(), 1U);
    EXPECT_EQ(lines()[0]["event"], "request_finished");
    EXPECT_EQ(lines()[0]["id"], "a\"b\n");
    EXPECT_EQ(lines()[0]["status"], 200);
    EXPECT_EQ(lines()[0]["late"], true);
}

TEST_F(event_log_test, lines_beyond_the_rate_are_dropped_and_reported)
{
    auto log = make({.lines_per_second = 10, .burst_lines = 3});
    for (int i = 0; i < 8; ++i) {
        log.write("tick", {{"i", i}});
    }
    clock_.advance(1s);
    log.write("after", {});
    log.flush();
    EXPECT_EQ(log.dropped(), 5U);
    ASSERT_EQ(lines().size(), 5U);
    EXPECT_EQ(lines()[3]["event"], "log_lines_dropped");
    EXPECT_EQ(lines()[3]["count"], 5);
}

TEST_F(event_log_test, sink_that_takes_nothing_bounds_the_buffer)
{
    sink_capacity_ = 0;
    auto log = make({.lines_per_second = 1e6, .burst_lines = 1e6, .buffer_bytes = 2000});
    for (int i = 0; i < 1000; ++i) {
        log.write("tick", {{"text", std::string(100, 'x')}});
    }
    EXPECT_GT(log.dropped(), 900U);
    sink_capacity_ = 1U << 20U;
    log.flush();
    EXPECT_LT(output_.size(), 2400U);
}

TEST_F(event_log_test, rest_of_a_partial_write_follows_with_the_next_flush)
{
    sink_capacity_ = 10;
    auto log = make({});
    log.write("first", {{"n", 1}});
    log.flush();
    sink_capacity_ = 1U << 20U;
    log.flush();
    ASSERT_EQ(lines().size(), 1U);
    EXPECT_EQ(lines()[0]["event"], "first");
}

} // namespace
} // namespace wagtailhitch
