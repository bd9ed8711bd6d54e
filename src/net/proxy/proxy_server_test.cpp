#include "net/net_test_support.hpp"
#include "net/proxy/proxy_server.hpp"
#include "proxy/test_proxy.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
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
            parsed_head.of_other_request = !parsed_head.request_id_matches;
            parsed_head.not_run = parsed_head.not_run || name == "X-Not-Run";
            parsed_head.replica_leaving = parsed_head.replica_leaving || name == "X-Leaving";
            if (name == "X-Quiet-Ms") {
                parsed_head.quiet_for = std::chrono::milliseconds{std::stoi(value)};
            }
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
    explicit proxy_server_test(const proxy_settings& settings = testing_proxy::make_settings())
        : core_{settings, counters_, clock_()}
    {
    }
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
    /// Begins a stream that breaks after `begin`, which has the event "data: a"; returns the
    /// connection on which another replica is asked to continue it.
    scripted_connection_ptr break_stream(const std::string& begin)
    {
        post("/report/x", "p");
        const auto replica = wait_for_request(1);
        replica->write(begin);
        wait_for_caller_text("data: a");
        replica->close();
        return wait_for_request(2);
    }
    void poll()
    {
        io_.restart();
        io_.poll();
    }
    [[nodiscard]] std::size_t requests_received() const
    {
        std::size_t n = 0;
        for (const auto* listener : {&first_, &second_}) {
            for (const auto& it : listener->connections) {
                n += count_of(it->received, " HTTP/1.1\r\n");
            }
        }
        return n;
    }
    bool wait_for_caller_text(const std::string& text)
    {
        const bool got =
            pump_until([&] { return caller_->received.find(text) != std::string::npos; });
        EXPECT_TRUE(got) << "Expected \"" << text << "\" in: " << caller_->received;
        return got;
    }

    duration suspended_{0}; ///< how far the clock has jumped ahead
    clock_source clock_{[this, boot = boot_clock_source()] { return boot() + suspended_; }};
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
    proxy_core core_;
    buffer_budget buffers_{std::size_t{32} * 1024 * 1024};
    proxy_context context_{io_,  core_,     upstreams_, deadlines_, dialect_,
                           log_, counters_, clock_,     buffers_};
    proxy_server server_{context_, {.address = "127.0.0.1:0", .page = {}}};
    scripted_connection_ptr caller_;
    std::map<const void*, std::size_t> returned_requests_;
};

const std::string small_answer = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok";
const std::string event_stream_head =
    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";
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
    const auto other = break_stream(stream_head + chunk("id: 1\ndata: a\n\nid: 2\nda"));
    EXPECT_NE(other->received.find("X-After: 1"), std::string::npos);
    other->write(stream_head + chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") + "0\r\n\r\n");
    ASSERT_TRUE(wait_for_caller_text("0\r\n\r\n"));
    EXPECT_EQ(count_of(caller_->received, "data: a"), 1U) << caller_->received;
    EXPECT_EQ(count_of(caller_->received, "id: 2"), 1U) << caller_->received;
    EXPECT_EQ(count_of(caller_->received, "200 OK"), 1U);
}

/// What a replica answers when a broken stream should go on at it.
struct bad_continuation {
    const char* name;
    std::string answer;
    bool closes{false}; ///< the connection ends with the answer
};

class bad_continuation_test : public proxy_server_test,
                              public testing::WithParamInterface<bad_continuation> {};

// Guards against error pages, or whole answers with their heads, in the middle of a stream, and
// against streams that look complete after an error.
TEST_P(bad_continuation_test, reaches_no_caller_and_the_stream_does_not_look_complete)
{
    const auto replica = break_stream(event_stream_head + chunk("id: 1\ndata: a\n\n"));
    replica->write(GetParam().answer);
    if (GetParam().closes) {
        replica->close();
    }
    ASSERT_TRUE(pump_until([&] { return caller_->closed; })) << caller_->received;
    EXPECT_EQ(caller_->received.find("Oops"), std::string::npos) << caller_->received;
    EXPECT_EQ(count_of(caller_->received, "HTTP/1.1"), 1U) << caller_->received;
    EXPECT_EQ(caller_->received.find("0\r\n\r\n"), std::string::npos) << caller_->received;
}

INSTANTIATE_TEST_SUITE_P(
    replica, bad_continuation_test,
    testing::Values(
        bad_continuation{"error_with_a_length",
                         "HTTP/1.1 500 Oops\r\nX-Id: 1\r\nContent-Length: 6\r\n\r\nOops\n\n"},
        bad_continuation{"error_in_chunks",
                         "HTTP/1.1 503 Oops\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                             chunk("Oops\n\n") + "0\r\n\r\n"},
        bad_continuation{"error_that_ends_with_the_connection",
                         "HTTP/1.1 404 Oops\r\nX-Id: 1\r\n\r\nOops\n\n", true},
        bad_continuation{"error_as_an_event_stream",
                         "HTTP/1.1 500 Oops\r\nX-Id: 1\r\nContent-Type: text/event-stream\r\n"
                         "Content-Length: 13\r\n\r\ndata: Oops\n\n\n"},
        bad_continuation{"refusal", "HTTP/1.1 503 Oops\r\nX-Id: 1\r\nX-Not-Run: 1\r\n"
                                    "Content-Length: 6\r\n\r\nOops\n\n"},
        bad_continuation{"page_with_status_200",
                         "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Type: text/html\r\n"
                         "Content-Length: 6\r\n\r\nOops\n\n"},
        bad_continuation{"empty_page_with_status_200",
                         "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Type: text/plain\r\n"
                         "Content-Length: 0\r\n\r\n"},
        bad_continuation{"no_content", "HTTP/1.1 204 Oops\r\nX-Id: 1\r\n\r\n"},
        bad_continuation{"bytes_without_a_head", "Oops\n\nOops\n\n", true},
        bad_continuation{"answer_of_another_request",
                         "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Type: text/event-stream\r\n"
                         "Content-Length: 12\r\n\r\ndata: Oops\n\n"}),
    [](const auto& item) { return std::string{item.param.name}; });

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
    replica->reset();
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

/// Requests that replicas answer while their bodies are still being sent.
class early_answer_test : public proxy_server_test {
protected:
    void SetUp() override
    {
        proxy_server_test::SetUp();
        auto contents = testing_proxy::make_contents(2);
        contents.limits.body_bytes = std::size_t{64} * 1024 * 1024;
        core_.set_catalog(std::make_shared<const proxy_catalog>(std::move(contents)));
        caller_ = connect_to(io_, server_.address());
        first_.connections.clear();
    }
    /// Sends a request whose body exceeds the buffers of the sockets. Returns the connection of the
    /// replica, which reads no more of it.
    scripted_connection_ptr upload(const std::string& path)
    {
        caller_->socket().non_blocking(true);
        const std::string body(std::size_t{16} * 1024 * 1024, 'x');
        const std::string request_text =
            "POST " + path +
            " HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body;
        bool written = false;
        boost::asio::async_write(caller_->socket(), boost::asio::buffer(request_text),
                                 [&](boost::system::error_code, std::size_t) { written = true; });
        EXPECT_TRUE(pump_until([&] { return written; }));
        auto replica = wait_for_request(1);
        replica->paused = true;
        return replica;
    }
};

TEST_F(early_answer_test, connection_is_not_used_again)
{
    const auto replica = upload("/publish/x");
    replica->write(small_answer);
    ASSERT_TRUE(wait_for_caller_text("\r\n\r\nok"));
    get();
    const auto next = wait_for_request(2);
    EXPECT_NE(next, replica);
    next->write(small_answer);
    EXPECT_TRUE(pump_until([&] { return count_of(caller_->received, "200 OK") == 2; }));
}

// Guards against the part of an answer that passes as complete: the failed write takes the error of
// the connection, and the read then reports an end like that of an answer without a length.
TEST_F(early_answer_test, without_length_that_ends_in_a_reset_is_not_complete)
{
    const auto replica = upload("/publish/x");
    replica->write("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart");
    replica->reset();
    ASSERT_TRUE(wait_for_caller_text("HTTP/1.1 502"));
    EXPECT_NE(caller_->received.find("X-Run: ran"), std::string::npos) << caller_->received;
    EXPECT_EQ(caller_->received.find("part"), std::string::npos) << caller_->received;
}

TEST_F(early_answer_test, stream_without_length_that_ends_in_a_reset_goes_on_at_another_replica)
{
    const auto replica = upload("/report/x");
    replica->write("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Type: text/event-stream\r\n\r\n"
                   "id: 1\ndata: a\n\n");
    ASSERT_TRUE(wait_for_caller_text("data: a"));
    replica->reset();
    const auto other = wait_for_request(2);
    ASSERT_NE(other, nullptr) << caller_->received;
    other->write(event_stream_head + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    ASSERT_TRUE(wait_for_caller_text("0\r\n\r\n"));
    EXPECT_EQ(count_of(caller_->received, "data: b"), 1U) << caller_->received;
}

// Guards against dropping an answer that its replica has ended in an orderly way.
TEST_F(early_answer_test, without_length_that_ends_in_a_close_is_complete)
{
    const auto replica = upload("/publish/x");
    replica->write("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nwhole");
    replica->socket().shutdown(boost::asio::socket_base::shutdown_send);
    ASSERT_TRUE(wait_for_caller_text("\r\n\r\nwhole"));
}

TEST_F(early_answer_test, with_a_length_is_complete_before_a_reset)
{
    const auto replica = upload("/publish/x");
    replica->write(small_answer);
    replica->reset();
    ASSERT_TRUE(wait_for_caller_text("\r\n\r\nok"));
}

// A late copy of an earlier refusal does not say that the current request was not run.
TEST_F(proxy_server_test, late_refusal_of_an_earlier_request_does_not_make_a_post_run_twice)
{
    post("/publish/x", "p");
    const auto replica = wait_for_request(1);
    replica->write(small_answer);
    ASSERT_TRUE(wait_for_caller_text("\r\n\r\nok"));
    post("/publish/x", "p");
    const auto next = wait_for_request(2);
    next->write("HTTP/1.1 503 Service Unavailable\r\nX-Id: earlier\r\nX-Not-Run: 1\r\n"
                "Content-Length: 0\r\n\r\n");
    ASSERT_TRUE(wait_for_caller_text("HTTP/1.1 502"));
    EXPECT_NE(caller_->received.find("X-Run: outcome_unknown"), std::string::npos);
    EXPECT_EQ(requests_received(), 2U) << "The request may have run and must not be sent again.";
}

/// An answer whose head sets its replica aside.
struct setting_aside {
    const char* name;
    std::string answer;
    const char* reason;
};

class set_aside_test : public proxy_server_test,
                       public testing::WithParamInterface<setting_aside> {};

TEST_P(set_aside_test, replica_gets_no_further_request)
{
    get();
    const auto aside = wait_for_request(1);
    aside->write(GetParam().answer);
    for (std::size_t n = 2; n <= 6; ++n) {
        if (n > 2 || GetParam().answer.starts_with("HTTP/1.1 200")) {
            get();
        }
        const auto other = wait_for_request(n);
        ASSERT_NE(other, nullptr);
        ASSERT_NE(other, aside);
        other->write(small_answer);
        const std::size_t answers = n - (GetParam().answer.starts_with("HTTP/1.1 200") ? 0 : 1);
        ASSERT_TRUE(pump_until([&] { return count_of(caller_->received, "200 OK") == answers; }));
    }
    EXPECT_EQ(count_of(aside->received, " HTTP/1.1\r\n"), 1U);
    log_.flush();
    EXPECT_EQ(count_of(log_output_, "replica_set_aside"), 1U) << log_output_;
    EXPECT_NE(log_output_.find(GetParam().reason), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    kinds, set_aside_test,
    testing::Values(
        setting_aside{"leaving",
                      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Leaving: 1\r\nContent-Length: 2\r\n\r\nok",
                      "\"leaving\""},
        setting_aside{"quiet",
                      "HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nX-Not-Run: 1\r\n"
                      "X-Quiet-Ms: 60000\r\nContent-Length: 0\r\n\r\n",
                      "\"asked_for_quiet\""}),
    [](const auto& it) { return std::string{it.param.name}; });

// Guards against ending the caller's answer with the end of one that was dropped, while the request
// waits for another replica.
TEST_F(proxy_server_test, end_of_a_dropped_answer_does_not_end_a_request_that_waits)
{
    const std::string quiet = "HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nX-Not-Run: 1\r\n"
                              "X-Quiet-Ms: 300\r\nContent-Length: 0\r\n\r\n";
    get();
    const auto dropped = wait_for_request(1);
    const auto other = connect_to(io_, server_.address());
    other->write("GET /read/y HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n");
    wait_for_request(2)->write(quiet);
    wait_for_request(3)->write(quiet);
    ASSERT_TRUE(pump_until([&] { return !other->received.empty(); }));
    other->close();
    dropped->write("HTTP/1.1 500 Internal Server Error\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nbad");
    const auto next = wait_for_request(4);
    ASSERT_NE(next, nullptr);
    EXPECT_EQ(caller_->received, "");
    next->write(small_answer);
    ASSERT_TRUE(wait_for_caller_text("\r\n\r\nok"));
    EXPECT_EQ(caller_->received.find("bad"), std::string::npos);
}

/// Bytes that follow the request without end, until the connection is closed.
struct endless_answer {
    const char* name;
    std::string begin;
    std::string repeated;
};

class endless_answer_test : public proxy_server_test,
                            public testing::WithParamInterface<endless_answer> {
protected:
    /// Writes until this end of the connection is closed or `limit` bytes were taken.
    static std::size_t flood(const scripted_connection_ptr& to, const std::string& bytes,
                             const std::function<bool()>& stop, std::size_t limit,
                             const std::function<void()>& pump)
    {
        to->socket().non_blocking(true);
        std::size_t written = 0;
        while (!stop() && !to->closed && written < limit) {
            boost::system::error_code ec;
            const std::size_t n = to->socket().write_some(boost::asio::buffer(bytes), ec);
            if (ec && ec != boost::asio::error::would_block) {
                break;
            }
            written += n;
            pump();
        }
        return written;
    }
};

// Servers in trouble may send bytes that are no answer until the caller closes.
TEST_P(endless_answer_test, ends_within_bounds_and_the_request_goes_to_another_replica)
{
    constexpr std::size_t limit = std::size_t{32} * 1024 * 1024;
    get();
    const auto replica = wait_for_request(1);
    replica->write(GetParam().begin);
    std::string block;
    while (block.size() < 16384) {
        block += GetParam().repeated;
    }
    const std::size_t taken = flood(
        replica, block, [this] { return requests_received() > 1; }, limit, [this] { poll(); });
    EXPECT_LT(taken, std::size_t{8} * 1024 * 1024)
        << "The connection should have been closed after " << GetParam().name << ".";
    const auto other = wait_for_request(2);
    ASSERT_NE(other, nullptr);
    other->write(small_answer);
    EXPECT_TRUE(wait_for_caller_text("\r\n\r\nok"));
    EXPECT_EQ(count_of(caller_->received, "HTTP/1.1 "), 1U) << caller_->received;
}

INSTANTIATE_TEST_SUITE_P(
    replica, endless_answer_test,
    testing::Values(
        endless_answer{"endless text", "", "xxxxxxxxxxxxxxxx"},
        endless_answer{"an endless head", "HTTP/1.1 200 OK\r\nX-Long: ", "xxxxxxxxxxxxxxxx"},
        endless_answer{"header lines without end", "HTTP/1.1 200 OK\r\n", "X-Line: value\r\n"},
        endless_answer{"informational answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
        endless_answer{"an endless reason phrase", "HTTP/1.1 200 ", "OKOKOKOKOKOKOKOK"},
        endless_answer{"an endless body", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", "xxxxxxxxxxxxxxxx"},
        endless_answer{"an endless chunk size", stream_head, "0000000000000000"},
        endless_answer{"an endless chunk extension", stream_head + "5;", "x=yyyyyyyyyyyyyy"},
        endless_answer{"extensions of small chunks", stream_head,
                       "1;x=yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\nx\r\n"},
        endless_answer{"trailers without end", stream_head + "1\r\nx\r\n0\r\n",
                       "X-Trailer: value\r\n"},
        endless_answer{"an endless trailer",
                       stream_head + "1\r\nx\r\n0\r\nX-Trailer: ", "xxxxxxxxxxxxxxxx"}),
    [](const auto& item) {
        std::string name = item.param.name;
        std::ranges::replace(name, ' ', '_');
        return name;
    });

class broken_answer_test : public proxy_server_test,
                           public testing::WithParamInterface<net_testing::broken_answer> {
protected:
    void answer_broken(std::size_t request)
    {
        const auto replica = wait_for_request(request);
        replica->write(GetParam().text);
        replica->close();
    }
};

// Guards against callers that get what a replica in trouble sends as an answer.
TEST_P(broken_answer_test, reaches_no_caller_and_the_request_goes_to_another_replica)
{
    get();
    answer_broken(1);
    const auto other = wait_for_request(2);
    ASSERT_NE(other, nullptr);
    other->write(small_answer);
    ASSERT_TRUE(wait_for_caller_text("\r\n\r\nok"));
    EXPECT_EQ(caller_->received.find("HTTP/1.1 200 OK\r\nX-Id: 1\r\n"), 0U) << caller_->received;
    EXPECT_EQ(count_of(caller_->received, "HTTP/1.1"), 1U) << caller_->received;
}

// Guards against a second run, and against a refusal that says that the request has not run.
TEST_P(broken_answer_test, leaves_the_outcome_of_a_non_idempotent_request_unknown)
{
    post("/publish/x", "p");
    answer_broken(1);
    ASSERT_TRUE(wait_for_caller_text("HTTP/1.1 502"));
    EXPECT_NE(caller_->received.find("X-Run: outcome_unknown"), std::string::npos);
    EXPECT_EQ(requests_received(), 1U);
}

TEST_P(broken_answer_test, adds_no_event_to_a_stream)
{
    post("/report/x", "p");
    answer_broken(1);
    const auto other = wait_for_request(2);
    ASSERT_NE(other, nullptr);
    other->write(stream_head + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n");
    ASSERT_TRUE(wait_for_caller_text("0\r\n\r\n"));
    EXPECT_EQ(count_of(caller_->received, "data:"), 1U) << caller_->received;
}

INSTANTIATE_TEST_SUITE_P(replica, broken_answer_test,
                         testing::ValuesIn(net_testing::broken_answers("X-Id: 1\r\n",
                                                                       "id: 9\ndata: broken\n\n")),
                         [](const auto& item) { return item.param.name; });

class oversized_answer_test : public proxy_server_test,
                              public testing::WithParamInterface<net_testing::broken_answer> {};

// Guards against a VM that ends, with all of its requests, at the length in one answer's head
// (review/12).
TEST_P(oversized_answer_test, ends_its_own_attempt_only)
{
    const auto other_caller = connect_to(io_, server_.address());
    other_caller->write("GET /read/x HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n");
    const auto sound = wait_for_request(1);
    ASSERT_NE(sound, nullptr);
    post("/publish/x", "p");
    const auto replica = wait_for_request(2);
    ASSERT_NE(replica, nullptr);
    replica->write(GetParam().text);
    replica->close();
    ASSERT_TRUE(wait_for_caller_text("HTTP/1.1 502"));
    EXPECT_EQ(caller_->received.find("X-Run: not_run"), std::string::npos);
    sound->write(small_answer);
    EXPECT_TRUE(
        pump_until([&] { return other_caller->received.find("\r\n\r\nok") != std::string::npos; }));
    EXPECT_EQ(requests_received(), 2U) << "The request may have run and must not be sent again.";
}

INSTANTIATE_TEST_SUITE_P(replica, oversized_answer_test,
                         testing::ValuesIn(net_testing::oversized_answers("X-Id: 1\r\n")),
                         [](const auto& item) { return item.param.name; });

// Guards against buffering an answer that cannot be passed on, up to the limit or the deadline.
TEST_F(proxy_server_test, answer_that_announces_more_than_a_vm_buffers_fails_at_its_head)
{
    post("/publish/x", "p");
    wait_for_request(1)->write("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4194305\r\n\r\n");
    ASSERT_TRUE(wait_for_caller_text("HTTP/1.1 502"));
    EXPECT_NE(caller_->received.find("X-Run: ran"), std::string::npos);
}

// Guards against holding back a stream because of a length in its head.
TEST_F(proxy_server_test, stream_with_any_length_is_passed_on_as_it_arrives)
{
    post("/report/x", "p");
    const auto replica = wait_for_request(1);
    replica->write("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 90000000000000000\r\n\r\n"
                   "id: 1\ndata: a\n\n");
    ASSERT_TRUE(wait_for_caller_text("data: a"));
    replica->close();
    wait_for_request(2)->write(stream_head + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    ASSERT_TRUE(wait_for_caller_text("data: b"));
}

TEST_F(proxy_server_test, informational_answers_are_skipped)
{
    get();
    wait_for_request(1)->write("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + small_answer);
    ASSERT_TRUE(wait_for_caller_text("\r\n\r\nok"));
    EXPECT_EQ(caller_->received.find("HTTP/1.1 200"), 0U) << caller_->received;
}

TEST_F(proxy_server_test, body_of_single_byte_chunks_is_within_the_framing_limit)
{
    get();
    std::string answer = stream_head;
    for (int i = 0; i < 50000; ++i) {
        answer += "1\r\nx\r\n";
    }
    wait_for_request(1)->write(answer + "0\r\n\r\n");
    ASSERT_TRUE(wait_for_caller_text("Content-Length: 50000"));
}

TEST_F(proxy_server_test, endless_event_ends_within_bounds_and_the_stream_goes_on_elsewhere)
{
    post("/report/x", "p");
    const auto replica = wait_for_request(1);
    replica->write(stream_head + chunk("id: 1\ndata: a\n\n"));
    ASSERT_TRUE(wait_for_caller_text("data: a"));
    const std::string part = chunk(std::string(8192, 'x'));
    for (int i = 0; i < 200 && requests_received() < 2; ++i) {
        replica->write(part);
        poll();
    }
    wait_for_request(2)->write(stream_head + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    ASSERT_TRUE(wait_for_caller_text("0\r\n\r\n"));
    EXPECT_EQ(caller_->received.find("xxxx"), std::string::npos);
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
    ASSERT_TRUE(pump_until([&] { return server_.connections() == 2; }));
    suspended_ = 1s;
    server_.close_idle();
    ASSERT_TRUE(pump_until([&] { return idle->closed; }));
    EXPECT_FALSE(server_.quiet());
    replica->write(small_answer);
    EXPECT_TRUE(wait_for_caller_text("\r\n\r\nok"));
    EXPECT_TRUE(pump_until([&] { return server_.quiet(); }));
}

// A stop closes idle connections. A request may have arrived on one without having been read.
TEST_F(proxy_server_test, unread_request_on_an_idle_connection_is_answered_during_a_stop)
{
    ASSERT_TRUE(pump_until([&] { return server_.connections() == 1; }));
    suspended_ = 1s;
    get();
    server_.close_idle();
    EXPECT_FALSE(server_.quiet());
    wait_for_request(1)->write(small_answer);
    EXPECT_TRUE(wait_for_caller_text("\r\n\r\nok"));
    EXPECT_TRUE(pump_until([&] { return server_.quiet() && server_.connections() == 0; }));
}

TEST_F(proxy_server_test, new_connection_without_a_request_is_not_closed_as_idle_at_once)
{
    ASSERT_TRUE(pump_until([&] { return server_.connections() == 1; }));
    server_.close_idle();
    poll();
    EXPECT_FALSE(server_.quiet());
    get();
    wait_for_request(1)->write(small_answer);
    EXPECT_TRUE(wait_for_caller_text("\r\n\r\nok"));
}

TEST_F(proxy_server_test, request_that_is_arriving_during_a_stop_is_answered)
{
    send("GET /read/x HTTP/1.1\r\nHo");
    ASSERT_TRUE(pump_until([&] { return server_.connections() == 1 && !server_.quiet(); }));
    server_.close_idle();
    send("st: h\r\nX-Id: 1\r\n\r\n");
    wait_for_request(1)->write(small_answer);
    EXPECT_TRUE(wait_for_caller_text("\r\n\r\nok"));
}

TEST_F(proxy_server_test, connection_that_waits_to_be_accepted_is_served_before_the_listener_closes)
{
    ASSERT_TRUE(pump_until([&] { return server_.connections() == 1; }));
    const auto late = connect_to(io_, server_.address());
    late->write("GET /read/x HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n");
    server_.stop_accepting();
    poll();
    EXPECT_FALSE(server_.quiet());
    wait_for_request(1)->write(small_answer);
    EXPECT_TRUE(pump_until([&] { return late->received.find("\r\n\r\nok") != std::string::npos; }));
}

// Guards against resetting a connection that completes while the listening socket closes.
TEST_F(proxy_server_test, no_connection_completes_once_new_ones_are_ignored)
{
    ASSERT_TRUE(pump_until([&] { return server_.connections() == 1; }));
    const auto waiting = connect_to(io_, server_.address());
    server_.ignore_new_connections();
    detail::tcp_socket late{io_.get_executor()};
    bool connected = false;
    late.async_connect(*detail::parse_endpoint(server_.address()),
                       [&](boost::system::error_code ec) { connected = !ec; });
    ASSERT_TRUE(pump_until([&] { return server_.connections() == 2; }));
    waiting->write("GET /read/x HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n");
    wait_for_request(1)->write(small_answer);
    EXPECT_TRUE(
        pump_until([&] { return waiting->received.find("\r\n\r\nok") != std::string::npos; }));
    EXPECT_FALSE(connected);
    server_.stop_accepting();
    EXPECT_EQ(server_.connections(), 2U);
    late.close();
}

// The VM was suspended after it had decided to send and before the connection was open.
TEST_F(proxy_server_test, request_is_not_sent_once_its_key_may_have_been_revoked_meanwhile)
{
    get();
    ASSERT_TRUE(pump_until([&] { return upstreams_.connections_opened() == 1; }));
    suspended_ = 30s;
    ASSERT_TRUE(wait_for_caller_text("HTTP/1.1 503"));
    EXPECT_NE(caller_->received.find("X-Run: not_run"), std::string::npos);
    EXPECT_EQ(requests_received(), 0U);
}

TEST_F(proxy_server_test, stream_whose_replica_sends_only_comments_goes_on_at_another_replica)
{
    post("/report/x", "p");
    const auto replica = wait_for_request(1);
    replica->write(stream_head + chunk("id: 1\ndata: a\n\n"));
    ASSERT_TRUE(wait_for_caller_text("data: a"));
    ASSERT_TRUE(pump_until([&, sent = 0]() mutable {
        if (sent++ % 5 == 0) {
            replica->write(chunk(":\n\n"));
            replica->write(chunk("x"));
        }
        return requests_received() == 2;
    }));
    const auto other = wait_for_request(2);
    EXPECT_NE(other->received.find("X-After: 1"), std::string::npos);
    other->write(stream_head + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    ASSERT_TRUE(wait_for_caller_text("0\r\n\r\n"));
    EXPECT_EQ(count_of(caller_->received, "data: a"), 1U) << caller_->received;
}

// A stream is slow but sound while events keep arriving, however long it lasts.
TEST_F(proxy_server_test, slow_stream_is_not_cut)
{
    post("/report/x", "p");
    const auto replica = wait_for_request(1);
    replica->write(stream_head);
    for (int i = 1; i <= 3; ++i) {
        const std::string id = "id: " + std::to_string(i);
        replica->write(chunk(id + "\ndata: x\n\n"));
        ASSERT_TRUE(wait_for_caller_text(id));
        const auto until = std::chrono::steady_clock::now() + 1200ms;
        ASSERT_TRUE(pump_until([&] { return std::chrono::steady_clock::now() > until; }));
    }
    replica->write("0\r\n\r\n");
    ASSERT_TRUE(wait_for_caller_text("0\r\n\r\n"));
    EXPECT_EQ(requests_received(), 1U);
}

TEST_F(proxy_server_test, stream_that_may_not_be_resumed_waits_for_a_stalled_replica)
{
    auto contents = testing_proxy::make_contents(2);
    contents.routes[0].resumable = false;
    core_.set_catalog(std::make_shared<const proxy_catalog>(std::move(contents)));
    post("/report/x", "p");
    const auto replica = wait_for_request(1);
    replica->write(stream_head + chunk("id: 1\ndata: a\n\n"));
    const auto until = std::chrono::steady_clock::now() + 2500ms;
    ASSERT_TRUE(pump_until([&] { return std::chrono::steady_clock::now() > until; }));
    replica->write(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    ASSERT_TRUE(wait_for_caller_text("0\r\n\r\n"));
    EXPECT_EQ(requests_received(), 1U);
}

// Connections to replicas that have left would otherwise use up the descriptors of the VM.
TEST_F(proxy_server_test, idle_connections_to_replicas_close_after_their_time)
{
    get();
    const auto replica = wait_for_request(1);
    replica->write("HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=1\r\n"
                   "Content-Length: 2\r\n\r\nok");
    ASSERT_TRUE(wait_for_caller_text("\r\n\r\nok"));
    ASSERT_FALSE(replica->closed);
    EXPECT_TRUE(pump_until([&] { return replica->closed; }));
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

/// Requests that are known to take 10 ms and rarely five seconds.
class hedged_exchange_test : public proxy_server_test {
protected:
    hedged_exchange_test() : proxy_server_test{settings()} {}

    static proxy_settings settings()
    {
        auto out = testing_proxy::make_settings();
        out.hedging.percent = 100;
        return out;
    }
    void SetUp() override
    {
        proxy_server_test::SetUp();
        for (int i = 0; i < 200; ++i) {
            for (const char* route : {"read", "report"}) {
                core_.hedging().count_request({route, 0});
                core_.hedging().record_first_token({route, 0}, i % 25 == 0 ? 5s : 10ms);
            }
        }
    }
    /// Sends a request that two replicas receive.
    void start_hedged()
    {
        get();
        late_ = wait_for_request(1);
        second_ = wait_for_request(2);
        ASSERT_NE(late_, second_);
    }
    [[nodiscard]] std::size_t log_lines(const std::string& event)
    {
        log_.flush();
        return count_of(log_output_, "\"event\":\"" + event + "\"");
    }

    scripted_connection_ptr late_;
    scripted_connection_ptr second_;
};

TEST_F(hedged_exchange_test, second_replica_answers_and_the_first_call_is_cancelled)
{
    start_hedged();
    second_->write(small_answer);
    ASSERT_TRUE(wait_for_caller_text("\r\n\r\nok"));
    EXPECT_TRUE(pump_until([&] { return late_->closed; }));
    EXPECT_FALSE(second_->closed);
    EXPECT_EQ(log_lines("request_hedged"), 1U) << log_output_;
    EXPECT_EQ(log_lines("hedge_cancelled"), 1U) << log_output_;
    EXPECT_EQ(log_lines("request_finished"), 1U) << log_output_;
}

TEST_F(hedged_exchange_test, first_replica_answers_after_all_and_the_second_call_is_cancelled)
{
    start_hedged();
    late_->write(small_answer);
    ASSERT_TRUE(wait_for_caller_text("\r\n\r\nok"));
    EXPECT_TRUE(pump_until([&] { return second_->closed; }));
    EXPECT_FALSE(late_->closed);
    EXPECT_EQ(count_of(caller_->received, "HTTP/1.1"), 1U);
}

// Guards against a third send, and against an error, while another replica is working.
TEST_F(hedged_exchange_test, replica_that_fails_does_not_end_the_other_attempt)
{
    const std::vector<std::string> failures{
        "", "HTTP/1.1 500 Oops\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nOops",
        "HTTP/1.1 503 Oops\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"};
    std::size_t requests = 0;
    for (const auto& failure : failures) {
        caller_ = connect_to(io_, server_.address());
        get();
        late_ = wait_for_request(requests + 1);
        requests += 2;
        second_ = wait_for_request(requests);
        if (!failure.empty()) {
            second_->write(failure);
        }
        second_->close();
        ASSERT_TRUE(pump_until([&] {
            return 2 * (log_lines("attempt_failed") + log_lines("answer_dropped")) == requests;
        })) << log_output_;
        poll();
        EXPECT_EQ(requests_received(), requests) << failure;
        EXPECT_EQ(caller_->received, "");
        late_->write(small_answer);
        ASSERT_TRUE(wait_for_caller_text("\r\n\r\nok"));
    }
}

// Guards against the events of two replicas in one stream.
TEST_F(hedged_exchange_test, stream_has_the_events_of_one_replica_only)
{
    post("/report/x", "p");
    late_ = wait_for_request(1);
    second_ = wait_for_request(2);
    ASSERT_NE(late_, second_);
    second_->write(event_stream_head + chunk("id: 1\ndata: second\n\n"));
    late_->write(event_stream_head + chunk("id: 1\ndata: late\n\nid: 2\ndata: late\n\n"));
    ASSERT_TRUE(pump_until([&] { return late_->closed || second_->closed; }));
    const auto& winner = late_->closed ? second_ : late_;
    const std::string other_text = late_->closed ? "data: late" : "data: second";
    winner->write(chunk("id: 3\ndata: end\n\n") + "0\r\n\r\n");
    ASSERT_TRUE(wait_for_caller_text("0\r\n\r\n"));
    EXPECT_EQ(count_of(caller_->received, other_text), 0U) << caller_->received;
    EXPECT_EQ(count_of(caller_->received, "200 OK"), 1U);
}

TEST_F(hedged_exchange_test, caller_that_goes_ends_both_calls)
{
    start_hedged();
    caller_->close();
    EXPECT_TRUE(pump_until([&] { return late_->closed && second_->closed; }));
}

} // namespace
} // namespace wagtailhitch
