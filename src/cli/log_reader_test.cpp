#include "cli/log_reader.hpp"
#include "net/net_test_support.hpp"

#include <gtest/gtest.h>

#include <future>

namespace wagtailhitch::cli {
namespace {

class log_reader_test : public net_testing::net_fixture {
protected:
    /// Reads up to the head of a log that answers every read with the page. Nothing if the read
    /// goes on after `most_reads`.
    std::optional<expected<void>> catch_up(const std::string& page, std::size_t most_reads)
    {
        const std::string answer =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(page.size()) + "\r\n\r\n" + page;
        config_fold fold{{}};
        const log_reader log{listener_.address};
        auto result = std::async(std::launch::async,
                                 [&] { return log.catch_up(fold, [](const config_output&) {}); });
        const auto ended = [&] { return result.wait_for(0ms) == std::future_status::ready; };
        std::size_t answered = 0;
        EXPECT_TRUE(pump_until([&] {
            auto& connections = listener_.connections;
            if (answered < connections.size() &&
                connections[answered]->received.ends_with("\r\n\r\n")) {
                connections[answered]->write(answered < most_reads ? answer : std::string{});
                connections[answered]->close();
                ++answered;
            }
            return ended();
        }));
        return answered <= most_reads ? std::optional{result.get()} : std::nullopt;
    }

    net_testing::scripted_listener listener_{io_};
};

// Guards against `submit` reading without end from a log whose head it never reaches.
TEST_F(log_reader_test, page_without_a_record_before_the_head_is_a_failure)
{
    const auto read = catch_up(R"({"oldest":0,"head":7,"records":[]})", 1);
    ASSERT_TRUE(read.has_value()) << "The page was asked for again.";
    ASSERT_FALSE(read->has_value());
    EXPECT_EQ(read->error().code, error_code::log_unavailable);
    EXPECT_EQ(read->error().run, run_state::not_run);
}

TEST_F(log_reader_test, page_without_a_record_at_the_head_ends_the_read)
{
    const auto read = catch_up(R"({"oldest":0,"head":0,"records":[]})", 1);
    ASSERT_TRUE(read.has_value());
    EXPECT_TRUE(read->has_value()) << read->error().detail;
}

} // namespace
} // namespace wagtailhitch::cli
