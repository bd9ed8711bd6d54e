#include "net/net_test_support.hpp"
#include "net/proxy/proxy_server.hpp"
#include "proxy/test_proxy.hpp"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <sstream>

namespace wagtailhitch {
namespace {

using net_testing::connect_to;
using net_testing::count_of;
using net_testing::scripted_connection_ptr;
using net_testing::scripted_listener;

/// Header names used by these tests only.
proxy_dialect test_dialect()
{
    proxy_dialect out;
    out.read_request = [](const request_head& head) {
        proxied_request request;
        request.id = std::string{head["X-Id"]};
        request.host = "api.example";
        request.path = std::string{head.target()};
        request.key = "key-1";
        request.deadline = 5s;
        return request;
    };
    out.write_request = [](const request_flow&, const send_step& step,
                           detail::header_list& headers) {
        headers.emplace_back("X-Replica", step.placed.upstream.value);
        if (step.resume_after) {
            headers.emplace_back("X-After", std::to_string(*step.resume_after));
        }
    };
    out.withheld = [](std::string_view name) { return name == "X-Secret"; };
    out.read_head = [](const detail::answer_head& head, const proxied_request& request) {
        response_head parsed_head;
        parsed_head.status = head.status;
        parsed_head.signed_response = true;
        for (const auto& [name, value] : head.headers) {
            parsed_head.request_id_matches =
                name == "X-Id" ? value == request.id : parsed_head.request_id_matches;
            parsed_head.not_run = parsed_head.not_run || name == "X-Not-Run";
        }
        return parsed_head;
    };
    out.write_refusal = [](const proxied_request&, const error& reason,
                           detail::header_list& headers) {
        headers.emplace_back("X-Run", std::string{name_of(reason.run)});
    };
    return out;
}

class proxy_server_test : public net_testing::net_fixture {
protected:
    void SetUp() override
    {
        for (const char* domain : {"a", "b"}) {
            for (const char* service : {"app", "engine"}) {
                auto replica = testing_proxy::make_replica(std::string{service} + "-" + domain,
                                                           service, domain);
                replica.address =
                    domain == std::string_view{"a"} ? first_.address : second_.address;
                core_.replicas().announce(replica, now());
            }
        }
        auto contents = testing_proxy::make_contents(1);
        contents.limits.body_bytes = 1000;
        contents.limits.header_bytes = 2000;
        core_.set_catalog(std::make_shared<const proxy_catalog>(std::move(contents)));
        core_.confirm(now());
        core_.tick(now());
        ASSERT_TRUE(server_.start().has_value());
        caller_ = connect_to(io_, server_.address());
    }
    void TearDown() override { caller_->close(); }

    [[nodiscard]] time_point now() const { return clock_(); }
    void send(const std::string& text) { caller_->write(text); }
    void get(const std::string& id = "1")
    {
        send("GET /read/x HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\n\r\n");
    }
    void post(const std::string& path, const std::string& body)
    {
        send("POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nContent-Length: " +
             std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    /// Waits for `total` requests in all; returns a connection with a request not yet returned.
    scripted_connection_ptr wait_for_request(std::size_t total)
    {
        scripted_connection_ptr found;
        const bool all_received = pump_until([&] {
            std::size_t n = 0;
            for (auto* listener : {&first_, &second_}) {
                for (const auto& it : listener->connections) {
                    const std::size_t received_requests = count_of(it->received, " HTTP/1.1\r\n");
                    if (received_requests > returned_requests_[it.get()]) {
                        found = it;
                    }
                    n += received_requests;
                }
            }
            return n >= total;
        });
        EXPECT_TRUE(all_received) << "Expected " << total << " requests at the replicas.";
        if (found) {
            returned_requests_[found.get()] = count_of(found->received, " HTTP/1.1\r\n");
        }
        return found;
    }
    bool wait_for_caller_text(const std::string& text)
    {
        const bool got =
            pump_until([&] { return caller_->received.find(text) != std::string::npos; });
        EXPECT_TRUE(got) << "Expected \"" << text << "\" in: " << caller_->received;
        return got;
    }

    clock_source clock_{boot_clock_source()};
    scripted_listener first_{io_};
    scripted_listener second_{io_};
    std::string log_output_;
    event_log log_{[this](std::string_view bytes) {
                       log_output_.append(bytes);
                       return bytes.size();
                   },
                   steady_clock_source(),
                   {}};
    metrics counters_;
    deadline_queue deadlines_{io_};
    detail::http_client upstreams_{io_, {}};
    proxy_dialect dialect_{test_dialect()};
    proxy_core core_{testing_proxy::make_settings(), counters_, clock_()};
    proxy_context context_{io_, core_, upstreams_, deadlines_, dialect_, log_, counters_, clock_};
    proxy_server server_{context_, {.address = "127.0.0.1:0", .page = {}}};
    scripted_connection_ptr caller_;
    std::map<const void*, std::size_t> returned_requests_;
};

const std::string small_answer = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok";
const std::string stream_head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string& text)
{
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

TEST_F(proxy_server_test, answer_reaches_the_caller_and_the_connection_is_kept)
{
    get();
    wait_for_request(1)->write(small_answer);
    ASSERT_TRUE(wait_for_caller_text("\r\n\r\nok"));
    get();
    wait_for_request(2)->write(small_answer);
    EXPECT_TRUE(pump_until([&] { return count_of(caller_->received, "200 OK") == 2; }));
}

TEST_F(proxy_server_test, body_and_headers_pass_unchanged_except_those_of_the_connection)
{
    send("POST /publish/x?y=1 HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Secret: s\r\nX-Own: v\r\n"
         "Connection: X-Hop\r\nX-Hop: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
         chunk("ab") + chunk("cd") + "0\r\n\r\n");
    const auto replica = wait_for_request(1);
    ASSERT_TRUE(
        pump_until([&] { return replica->received.find("\r\n\r\nabcd") != std::string::npos; }));
    EXPECT_NE(replica->received.find("POST /publish/x?y=1 HTTP/1.1"), std::string::npos);
    EXPECT_NE(replica->received.find("X-Own: v"), std::string::npos);
    EXPECT_NE(replica->received.find("Content-Length: 4"), std::string::npos);
    for (const char* hidden : {"X-Secret", "X-Hop", "Transfer-Encoding"}) {
        EXPECT_EQ(replica->received.find(hidden), std::string::npos) << hidden;
    }
    replica->write(small_answer);
    wait_for_caller_text("200 OK");
}

TEST_F(proxy_server_test, ambiguous_framing_is_rejected_and_reaches_no_replica)
{
    const std::vector<std::string> heads{
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
    };
    for (const auto& head : heads) {
        const auto caller = connect_to(io_, server_.address());
        caller->write("POST /publish/x HTTP/1.1\r\nHost: h\r\n" + head + "\r\nabc");
        ASSERT_TRUE(pump_until([&] { return caller->closed; })) << head;
        EXPECT_EQ(caller->received.find("HTTP/1.1 400"), 0U) << head << caller->received;
    }
    EXPECT_TRUE(first_.connections.empty() && second_.connections.empty());
}

TEST_F(proxy_server_test, requests_above_the_limits_are_rejected)
{
    send("POST /publish/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n");
    wait_for_caller_text("HTTP/1.1 413");
    caller_ = connect_to(io_, server_.address());
    send("GET /read/x HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(3000, 'x') + "\r\n\r\n");
    wait_for_caller_text("HTTP/1.1 431");
}

TEST_F(proxy_server_test, pipelined_requests_are_answered_in_order)
{
    get();
    get("2");
    const auto replica = wait_for_request(1);
    replica->write(small_answer);
    wait_for_request(2)->write("HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 6\r\n\r\nsecond");
    ASSERT_TRUE(wait_for_caller_text("second"));
    EXPECT_LT(caller_->received.find("\r\n\r\nok"), caller_->received.find("second"));
}

TEST_F(proxy_server_test, caller_disconnect_closes_the_replica_connection)
{
    get();
    const auto replica = wait_for_request(1);
    caller_->close();
    EXPECT_TRUE(pump_until([&] { return replica->closed; }));
}

TEST_F(proxy_server_test, events_pass_as_they_arrive_and_the_stream_ends_complete)
{
    post("/report/x", "p");
    const auto replica = wait_for_request(1);
    replica->write(stream_head + chunk("id: 1\ndata: a\n\n"));
    ASSERT_TRUE(wait_for_caller_text("data: a"));
    replica->write(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    ASSERT_TRUE(wait_for_caller_text("data: b"));
    EXPECT_TRUE(wait_for_caller_text("0\r\n\r\n"));
}

TEST_F(proxy_server_test, stream_broken_within_an_event_goes_on_at_another_replica)
{
    post("/report/x", "p");
    const auto replica = wait_for_request(1);
    replica->write(stream_head + chunk("id: 1\ndata: a\n\nid: 2\nda"));
    ASSERT_TRUE(wait_for_caller_text("data: a"));
    replica->close();
    const auto other = wait_for_request(2);
    EXPECT_NE(other->received.find("X-After: 1"), std::string::npos);
    other->write(stream_head + chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") + "0\r\n\r\n");
    ASSERT_TRUE(wait_for_caller_text("0\r\n\r\n"));
    EXPECT_EQ(count_of(caller_->received, "data: a"), 1U) << caller_->received;
    EXPECT_EQ(count_of(caller_->received, "id: 2"), 1U) << caller_->received;
    EXPECT_EQ(count_of(caller_->received, "200 OK"), 1U);
}

TEST_F(proxy_server_test, stream_that_cannot_go_on_does_not_look_complete)
{
    post("/report/x", "p");
    for (std::size_t i = 1; i <= 2; ++i) {
        const auto replica = wait_for_request(i);
        replica->write(stream_head + chunk("id: " + std::to_string(i) + "\ndata: x\n\n"));
        ASSERT_TRUE(wait_for_caller_text("id: " + std::to_string(i)));
        replica->close();
    }
    ASSERT_TRUE(pump_until([&] { return caller_->closed; }));
    EXPECT_EQ(caller_->received.find("0\r\n\r\n"), std::string::npos);
}

TEST_F(proxy_server_test, bytes_after_a_complete_answer_reach_no_caller)
{
    get();
    wait_for_request(1)->write(small_answer + small_answer);
    ASSERT_TRUE(wait_for_caller_text("\r\n\r\nok"));
    get("2");
    const auto next = wait_for_request(2);
    EXPECT_EQ(count_of(next->received, " HTTP/1.1\r\n"), 1U)
        << "The connection with the extra answer must not be used again.";
    next->write("HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 6\r\n\r\nsecond");
    ASSERT_TRUE(wait_for_caller_text("second"));
    EXPECT_EQ(count_of(caller_->received, "200 OK"), 2U);
}

TEST_F(proxy_server_test, answer_without_length_that_ends_in_a_reset_is_not_complete)
{
    get();
    const auto replica = wait_for_request(1);
    replica->write("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart");
    ASSERT_TRUE(pump_until([&] { return log_output_.size() < 100000; }));
    replica->socket().set_option(boost::asio::socket_base::linger{true, 0});
    replica->close();
    wait_for_request(2)->write(small_answer);
    ASSERT_TRUE(wait_for_caller_text("\r\n\r\nok"));
    EXPECT_EQ(caller_->received.find("part"), std::string::npos);
}

TEST_F(proxy_server_test, non_idempotent_request_in_doubt_fails_without_being_sent_again)
{
    post("/publish/x", "p");
    wait_for_request(1)->close();
    ASSERT_TRUE(wait_for_caller_text("HTTP/1.1 502"));
    EXPECT_NE(caller_->received.find("X-Run: outcome_unknown"), std::string::npos);
    EXPECT_EQ(first_.connections.size() + second_.connections.size(), 1U);
}

TEST_F(proxy_server_test, connection_with_an_early_answer_is_not_used_again)
{
    // The body exceeds the socket's buffers, so that its end is still unsent.
    auto contents = testing_proxy::make_contents(2);
    contents.limits.body_bytes = std::size_t{64} * 1024 * 1024;
    core_.set_catalog(std::make_shared<const proxy_catalog>(std::move(contents)));
    caller_ = connect_to(io_, server_.address());
    first_.connections.clear();
    caller_->socket().non_blocking(true);
    const std::string body(std::size_t{16} * 1024 * 1024, 'x');
    const std::string head = "POST /publish/x HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n";
    const std::string request_text = head + body;
    bool written = false;
    boost::asio::async_write(caller_->socket(), boost::asio::buffer(request_text),
                             [&](boost::system::error_code, std::size_t) { written = true; });
    ASSERT_TRUE(pump_until([&] { return written; }));
    const auto replica = wait_for_request(1);
    replica->paused = true;
    replica->write(small_answer);
    ASSERT_TRUE(wait_for_caller_text("\r\n\r\nok"));
    get();
    const auto next = wait_for_request(2);
    EXPECT_NE(next, replica);
    next->write(small_answer);
    EXPECT_TRUE(pump_until([&] { return count_of(caller_->received, "200 OK") == 2; }));
}

TEST_F(proxy_server_test, draining_server_says_that_the_connection_closes)
{
    get();
    const auto replica = wait_for_request(1);
    server_.drain();
    replica->write(small_answer);
    ASSERT_TRUE(pump_until([&] { return caller_->closed; }));
    EXPECT_NE(caller_->received.find("\r\n\r\nok"), std::string::npos);
    get("2");
}

TEST_F(proxy_server_test, idle_connections_close_while_busy_ones_finish)
{
    const auto idle = connect_to(io_, server_.address());
    get();
    const auto replica = wait_for_request(1);
    server_.close_idle();
    ASSERT_TRUE(pump_until([&] { return idle->closed; }));
    EXPECT_FALSE(server_.quiet());
    replica->write(small_answer);
    EXPECT_TRUE(wait_for_caller_text("\r\n\r\nok"));
    EXPECT_TRUE(pump_until([&] { return server_.quiet(); }));
}

TEST_F(proxy_server_test, each_decision_leaves_a_line_with_the_requests_id)
{
    get("abc");
    wait_for_request(1)->write("HTTP/1.1 200 OK\r\nX-Id: abc\r\nContent-Length: 2\r\n\r\nok");
    ASSERT_TRUE(wait_for_caller_text("\r\n\r\nok"));
    log_.flush();
    EXPECT_NE(log_output_.find(R"("event":"request_sent","id":"abc")"), std::string::npos);
    EXPECT_NE(log_output_.find(R"("event":"request_finished","id":"abc")"), std::string::npos);
}

} // namespace
} // namespace wagtailhitch
