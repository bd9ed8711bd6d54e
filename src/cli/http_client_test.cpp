#include "cli/http_client.hpp"
#include "net/net_test_support.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <future>

namespace wagtailhitch::cli {
namespace {

class cli_http_client_test : public net_testing::net_fixture {
protected:
    /// Performs an exchange with a server that does `respond` once it has the request.
    expected<http_reply>
    exchange_with(const std::string& method, const std::string& body, duration timeout,
                  const std::function<void(net_testing::scripted_connection&)>& respond)
    {
        listener_.connections.clear();
        auto reply = std::async(std::launch::async, [&] {
            return exchange({listener_.address, method, "/v1/x", body, timeout});
        });
        EXPECT_TRUE(pump_until([&] {
            return !listener_.connections.empty() &&
                   listener_.connections[0]->received.ends_with("\r\n\r\n" + body);
        }));
        respond(*listener_.connections.at(0));
        return reply.get();
    }
    expected<http_reply> exchange_with(const std::string& method, const std::string& body,
                                       const std::string& answer)
    {
        return exchange_with(method, body, non_expiring_timeout, [&](auto& connection) {
            connection.write(answer);
            connection.close();
        });
    }

    net_testing::scripted_listener listener_{io_};
};

TEST_F(cli_http_client_test, answer_is_read_to_its_end)
{
    const auto got =
        exchange_with("POST", "{}", "HTTP/1.1 409 Conflict\r\nContent-Length: 4\r\n\r\nbase");
    ASSERT_TRUE(got.has_value()) << got.error().detail;
    EXPECT_EQ(got->status, 409U);
    EXPECT_EQ(got->body, "base");
    const std::string& request = listener_.connections[0]->received;
    EXPECT_NE(request.find("Content-Type: application/json\r\n"), std::string::npos) << request;
    EXPECT_NE(request.find("Connection: close\r\n"), std::string::npos) << request;
    EXPECT_EQ(exchange_with("GET", "", "HTTP/1.1 200 OK\r\n\r\nwhole")->body, "whole");
}

// Guards against an informational answer that is taken for the answer.
TEST_F(cli_http_client_test, informational_answers_are_skipped)
{
    const auto got = exchange_with("GET", "",
                                   "HTTP/1.1 103 Early Hints\r\n\r\n"
                                   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    ASSERT_TRUE(got.has_value()) << got.error().detail;
    EXPECT_EQ(got->status, 200U);
    EXPECT_EQ(got->body, "ok");
}

// Guards against commands that act on an answer whose head is broken, and against a change that is
// reported as not submitted after the log may have accepted it.
TEST_F(cli_http_client_test, broken_answer_leaves_the_outcome_unknown)
{
    for (const auto& broken : net_testing::unusable_answers("", "{}")) {
        const auto got = exchange_with("POST", "{}", broken.text);
        EXPECT_FALSE(got.has_value()) << broken.name;
        if (!got) {
            EXPECT_EQ(got.error().code, error_code::upstream_failed) << broken.name;
            EXPECT_EQ(got.error().run, run_state::outcome_unknown) << broken.name;
        }
    }
}

TEST_F(cli_http_client_test, refused_connection_is_not_run)
{
    const auto got = exchange({net_testing::refused_address(), "GET", "/v1/x", "", 1s});
    ASSERT_FALSE(got.has_value());
    EXPECT_EQ(got.error().code, error_code::log_unavailable);
    EXPECT_EQ(got.error().run, run_state::not_run);
}

TEST_F(cli_http_client_test, silence_ends_at_the_timeout)
{
    const auto got = exchange_with("GET", "", expiring_timeout, [](auto& /*connection*/) {});
    ASSERT_FALSE(got.has_value());
    EXPECT_EQ(got.error().code, error_code::upstream_timeout);
    EXPECT_EQ(got.error().run, run_state::outcome_unknown);
}

// Guards against a server that keeps a command waiting by sending its answer byte by byte.
TEST_F(cli_http_client_test, slow_answer_ends_at_the_timeout)
{
    const auto got = exchange_with("GET", "", expiring_timeout, [&](auto& connection) {
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
        EXPECT_TRUE(pump_until([&] {
            connection.write("x");
            return connection.closed;
        }));
    });
    ASSERT_FALSE(got.has_value());
    EXPECT_EQ(got.error().code, error_code::upstream_timeout);
}

} // namespace
} // namespace wagtailhitch::cli
