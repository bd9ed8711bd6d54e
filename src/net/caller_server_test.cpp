#include "net/caller_server.hpp"
#include "net/net_test_support.hpp"

#include <nlohmann/json.hpp>

namespace wagtailhitch {
namespace {

using json = nlohmann::json;
using net_testing::count_of;
using net_testing::scripted_connection_ptr;

const request_id request{vm_id{"sierra-a-1"}, 7, 42};
const std::string chat_body =
    R"({"model":"narrator","stream":true,"messages":[{"role":"user","content":"Cuenca?"}]})";

std::string http_request(const std::string& line, const std::string& headers,
                         const std::string& body)
{
    return line + " HTTP/1.1\r\nHost: node\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chat_request(const std::string& body = chat_body)
{
    return http_request("POST /v1/chat/completions", "Authorization: Bearer t-1\r\n", body);
}

class net_caller_server_test : public net_testing::net_fixture {
protected:
    void SetUp() override { restart({}); }

    void restart(caller_server_settings settings)
    {
        settings.sweep_interval = 5ms;
        server_ = std::make_unique<caller_server>(io_, settings, sink(), metrics_);
        ASSERT_TRUE(server_->start().has_value());
    }

    scripted_connection_ptr caller() { return net_testing::connect_to(io_, server_->address()); }

    caller_token submit_request(const scripted_connection_ptr& from, const std::string& text)
    {
        const std::size_t before = inputs_of<caller_request>().size();
        from->write(text);
        EXPECT_TRUE(pump_until([&] { return inputs_of<caller_request>().size() == before + 1; }));
        return inputs_of<caller_request>().back().caller;
    }

    void answer(caller_token caller, const std::string& text)
    {
        server_->handle(answer_start{caller, request, version_id{"n-3"}, {}});
        server_->handle(answer_chunk{caller, text});
        server_->handle(answer_end{caller, "stop", 2, 1, 0.5});
    }

    bool receives(const scripted_connection_ptr& from, const std::string& part)
    {
        return pump_until([&] { return from->received.find(part) != std::string::npos; });
    }

    std::uint64_t metric_value(const std::string& name, const metric_labels& labels = {})
    {
        return metrics_.count(name, labels).value();
    }

    std::unique_ptr<caller_server> server_;
};

// Guards against a request that loses fields on its way to the decision thread.
TEST_F(net_caller_server_test, chat_request_becomes_an_input_with_all_fields)
{
    auto from = caller();
    const std::string body =
        R"({"model":"narrator","max_tokens":9,"messages":[{"role":"user","content":")" +
        std::string(2100, 'x') + R"("}]})";
    submit_request(from,
                   http_request("POST /v1/chat/completions",
                                "Authorization: Bearer t-1\r\nWagtailhitch-Session: s\r\n"
                                "Wagtailhitch-Session-Id: id\r\nWagtailhitch-Deadline-Ms: 1500\r\n",
                                body));
    const caller_request got = inputs_of<caller_request>().front();
    EXPECT_EQ(got.bearer_token, "t-1");
    EXPECT_EQ(got.model, "narrator");
    EXPECT_FALSE(got.stream);
    EXPECT_EQ(got.max_tokens, 9U);
    EXPECT_EQ(got.prompt_tokens, 525U);
    EXPECT_EQ(got.prefix_hashes.size(), 2U);
    EXPECT_EQ(got.session_token, "s");
    EXPECT_EQ(got.session_id, "id");
    EXPECT_EQ(got.deadline, duration{1500ms});
}

// Guards against a service call whose body or keys are altered.
TEST_F(net_caller_server_test, service_call_becomes_an_input_with_all_fields)
{
    auto from = caller();
    submit_request(from, http_request("PUT /v1/services/index/revise?x=1",
                                      "Idempotency-Key: k\r\nWagtailhitch-Ticket: t\r\n"
                                      "Wagtailhitch-First-Use: true\r\nContent-Type: text/csv\r\n",
                                      "1;2"));
    const caller_request got = inputs_of<caller_request>().front();
    EXPECT_EQ(got.kind, caller_request_kind::service_call);
    EXPECT_EQ(got.service, "index");
    EXPECT_EQ(got.call, "revise");
    EXPECT_EQ(got.payload, "1;2");
    EXPECT_EQ(got.content_type, "text/csv");
    EXPECT_EQ(got.idempotency_key, "k");
    EXPECT_EQ(got.ticket, "t");
    EXPECT_TRUE(got.first_use);
}

// Guards against a stream that clients of the usual chat format cannot parse.
TEST_F(net_caller_server_test, streamed_answer_ends_with_usage_and_done)
{
    auto from = caller();
    answer(submit_request(from, chat_request()), "say \"hi\"\n");
    ASSERT_TRUE(receives(from, "0\r\n\r\n"));
    const std::string& text = from->received;
    EXPECT_NE(text.find("Wagtailhitch-Version: n-3\r\n"), std::string::npos) << text;
    EXPECT_NE(text.find("Wagtailhitch-Request-Id: sierra-a-1/7/42\r\n"), std::string::npos);
    EXPECT_NE(text.find(R"({"id":"sierra-a-1/7/42","object":"chat.completion.chunk",)"
                        R"("model":"n-3","choices":[{"index":0,"delta":)"
                        R"({"content":"say \"hi\"\n"},"finish_reason":null}]})"),
              std::string::npos)
        << text;
    EXPECT_NE(text.find(R"("completion_tokens":1)"), std::string::npos) << text;
    EXPECT_EQ(count_of(text, "data: [DONE]\n\n"), 1U) << text;
}

// Guards against a non-streamed answer that lacks its cost or leaves its connection unusable.
TEST_F(net_caller_server_test, whole_answer_carries_cost_and_keeps_the_connection)
{
    auto from = caller();
    const std::string body =
        R"({"model":"narrator","messages":[{"role":"user","content":[{"text":"a"}]}]})";
    answer(submit_request(from, chat_request(body)), "yes");
    ASSERT_TRUE(receives(from, "\"usage\""));
    EXPECT_NE(from->received.find("Wagtailhitch-Cost: 0.5\r\n"), std::string::npos);
    EXPECT_NE(from->received.find(R"("content":"yes")"), std::string::npos);
    answer(submit_request(from, chat_request(body)), "again");
    EXPECT_TRUE(receives(from, R"("content":"again")"));
}

struct refusal_case {
    std::string name;
    std::string text;
    std::string status;
    std::string code;
};

// Guards against malformed or oversized requests that reach the decision thread or hang a
// connection.
TEST_F(net_caller_server_test, unusable_requests_are_refused_with_code_and_not_run)
{
    const std::string deep(200, '[');
    const std::string large_prompt(600'000, 'x');
    const std::vector<refusal_case> cases{
        {"not HTTP", "hello\r\n\r\n", "400", "malformed_request"},
        {"not JSON", chat_request("{"), "400", "malformed_request"},
        {"not an object", chat_request("[]"), "400", "malformed_request"},
        {"nested too deeply", chat_request(R"({"model":)" + deep), "400", "malformed_request"},
        {"no model", chat_request(R"({"messages":[{"content":"a"}]})"), "400", "malformed_request"},
        {"no messages", chat_request(R"({"model":"m"})"), "400", "malformed_request"},
        {"negative max_tokens",
         chat_request(R"({"model":"m","max_tokens":-1,"messages":[{"content":"a"}]})"), "400",
         "malformed_request"},
        {"bad deadline",
         http_request("POST /v1/chat/completions", "Wagtailhitch-Deadline-Ms: soon\r\n", chat_body),
         "400", "malformed_request"},
        {"bad service path", http_request("POST /v1/services/a%2Fb/c", "", ""), "400",
         "malformed_request"},
        {"unknown path", http_request("GET /v2/nothing", "", ""), "404", "unknown_path"},
        {"prompt too large",
         chat_request(R"({"model":"m","messages":[{"content":")" + large_prompt + R"("}]})"), "413",
         "body_too_large"},
        {"body too large", "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 2000000\r\n\r\n{",
         "413", "body_too_large"},
        {"header too large", "GET /healthz HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n",
         "413", "body_too_large"},
    };
    for (const refusal_case& it : cases) {
        auto from = caller();
        from->write(it.text);
        ASSERT_TRUE(receives(from, "\"run\":\"not_run\"")) << it.name << ": " << from->received;
        EXPECT_EQ(from->received.substr(9, 3), it.status) << it.name;
        EXPECT_NE(from->received.find("\"code\":\"" + it.code + "\""), std::string::npos)
            << it.name << ": " << from->received;
    }
    EXPECT_TRUE(inputs_of<caller_request>().empty());
}

// Guards against an overloaded node that queues requests without limit instead of refusing them.
TEST_F(net_caller_server_test, full_ring_refuses_with_ring_full_and_retry_after)
{
    ring_full_ = true;
    auto from = caller();
    from->write(chat_request());
    ASSERT_TRUE(receives(from, "\"ring_full\""));
    EXPECT_EQ(from->received.substr(9, 3), "503");
    EXPECT_NE(from->received.find("Retry-After: 1\r\n"), std::string::npos);
    EXPECT_EQ(metric_value("caller_refusals_total", {{"code", "ring_full"}}), 1U);
}

// Guards against answers that are sent for another request or out of order.
TEST_F(net_caller_server_test, pipelined_requests_are_answered_in_order)
{
    auto from = caller();
    const caller_token first = submit_request(from, chat_request() + chat_request() +
                                                        http_request("GET /healthz", "", ""));
    answer(first, "one");
    ASSERT_TRUE(pump_until([&] { return inputs_of<caller_request>().size() == 2; }));
    const caller_token second = inputs_of<caller_request>().back().caller;
    EXPECT_NE(first, second);
    answer(first, "late");
    answer(second, "two");
    ASSERT_TRUE(receives(from, "ok\n"));
    EXPECT_EQ(from->received.find("late"), std::string::npos);
    EXPECT_LT(from->received.find("one"), from->received.find("two"));
    EXPECT_EQ(metric_value("caller_outputs_dropped_total"), 3U);
}

// Guards against work that continues for a caller that has disconnected.
TEST_F(net_caller_server_test, disconnect_before_the_end_reports_caller_gone)
{
    auto from = caller();
    const caller_token token = submit_request(from, chat_request());
    from->close();
    ASSERT_TRUE(pump_until_input<caller_gone>());
    EXPECT_EQ(inputs_of<caller_gone>().front().caller, token);
    answer(token, "late");
    EXPECT_EQ(metric_value("caller_outputs_dropped_total"), 3U);
}

// Guards against an incomplete stream that looks complete to the caller.
TEST_F(net_caller_server_test, error_within_a_stream_closes_without_done)
{
    auto from = caller();
    const caller_token token = submit_request(from, chat_request());
    server_->handle(answer_start{token, request, version_id{"n-3"}, {}});
    server_->handle(answer_chunk{token, "half"});
    server_->handle(answer_error{
        token, error{error_code::stream_broken, step::stream, "e-1", run_state::ran, "Gone.", {}}});
    ASSERT_TRUE(pump_until([&] { return from->closed; }));
    EXPECT_NE(from->received.find("event: error\ndata: {\"error\""), std::string::npos);
    EXPECT_EQ(from->received.find("[DONE]"), std::string::npos);
    EXPECT_EQ(from->received.find("0\r\n\r\n"), std::string::npos);
}

// Guards against callers that occupy connections by sending or reading slowly.
TEST_F(net_caller_server_test, slow_callers_are_disconnected)
{
    caller_server_settings settings;
    settings.header_timeout = expiring_timeout;
    settings.write_limit = 65'536;
    restart(settings);
    auto half = caller();
    half->write("POST /v1/chat/completions HTTP/1.1\r\n");
    ASSERT_TRUE(receives(half, "400 Bad Request"));
    ASSERT_TRUE(pump_until([&] { return half->closed; }));

    auto reader = caller();
    reader->paused = true;
    const caller_token token = submit_request(reader, chat_request());
    server_->handle(answer_start{token, request, version_id{"n-3"}, {}});
    const std::string piece(32'768, 'x');
    ASSERT_TRUE(pump_until([&] {
        server_->handle(answer_chunk{token, piece});
        return !inputs_of<caller_gone>().empty();
    }));
    EXPECT_EQ(metric_value("callers_slow_total"), 2U);
}

// Guards against callers that connect and send nothing.
TEST_F(net_caller_server_test, idle_connection_is_closed_after_its_deadline)
{
    caller_server_settings settings;
    settings.idle_timeout = expiring_timeout;
    restart(settings);
    auto from = caller();
    EXPECT_TRUE(pump_until([&] { return from->closed; }));
    EXPECT_TRUE(from->received.empty());
}

// Guards against a load balancer that sends traffic to a node which is not ready.
TEST_F(net_caller_server_test, pages_follow_the_published_state)
{
    auto from = caller();
    from->write(http_request("GET /readyz", "", ""));
    ASSERT_TRUE(receives(from, "not started"));
    published_state state;
    state.ready = true;
    state.in_force = std::make_shared<json>(json{{"revision", 4}});
    server_->handle(std::move(state));
    from->write(http_request("GET /readyz", "", "") + http_request("GET /v1/in-force", "", "") +
                http_request("GET /metrics", "", ""));
    ASSERT_TRUE(receives(from, "wagtailhitch_caller_requests_total"));
    EXPECT_NE(from->received.find("ready\n"), std::string::npos);
    EXPECT_NE(from->received.find(R"({"revision":4})"), std::string::npos);
    server_->drain();
    from->write(http_request("GET /readyz", "", ""));
    ASSERT_TRUE(receives(from, "shutting down"));
    EXPECT_TRUE(pump_until([&] { return from->closed; }));
}

} // namespace
} // namespace wagtailhitch
