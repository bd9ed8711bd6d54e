#include "standin_fixture.hpp"

#include <future>

namespace wagtailhitch::testing {

namespace {

const std::string chat = "/v1/chat/completions";

json chat_body(const std::string& version, const std::string& prompt, bool stream)
{
    return {{"model", version},
            {"stream", stream},
            {"messages", {{{"role", "user"}, {"content", prompt}}}}};
}

class engine_standin_test : public standin_test {
protected:
    void start_engine(std::vector<std::string> extra_arguments = {})
    {
        extra_arguments.insert(extra_arguments.begin(),
                               {"engine", "--versions", "n-3,n-4", "--token-us", "200",
                                "--prompt-us", "1", "--load-lag-ms", "0", "--cache-event-lag-ms",
                                "0", "--weights-ms", "0"});
        start(extra_arguments);
    }

    http_reply stream(const std::string& id, const std::string& version = "n-3") const
    {
        return post(chat, chat_body(version, "How did prices move?", true), {{"X-Request-Id", id}});
    }
};

// Guards against answers that depend on anything but the request.
TEST_F(engine_standin_test, answer_is_the_same_streamed_whole_and_on_another_engine)
{
    start_engine();
    const http_reply streamed = stream("vm/1/1");
    const auto whole = post(chat, chat_body("n-3", "How did prices move?", false)).body();
    EXPECT_EQ(streamed.content(), whole.at("content").get<std::string>());
    EXPECT_TRUE(streamed.content().starts_with("[n-3] ")) << streamed.content();
    EXPECT_EQ(streamed.events().back(), "[DONE]");
    start_engine({"--slots", "1"});
    EXPECT_EQ(stream("vm/1/2").content(), streamed.content());
    EXPECT_NE(stream("vm/1/3", "n-4").content(), streamed.content());
}

// Guards against a resumed stream that repeats or skips tokens.
TEST_F(engine_standin_test, resume_continues_at_the_requested_index)
{
    start_engine();
    const auto all = stream("vm/1/1").events();
    for (std::size_t from = 0; from < all.size() - 2; ++from) {
        const auto rest = get("/v1/generations/vm/1/1?from=" + std::to_string(from)).events();
        const std::vector<std::string> expected{all.begin() + static_cast<std::ptrdiff_t>(from),
                                                all.end()};
        EXPECT_EQ(rest, expected) << "resumed from " << from;
    }
    EXPECT_EQ(get("/v1/generations/vm/1/9?from=0").status, 404U);
}

// Guards against a broken stream that loses its generation without lose_generation being set.
TEST_F(engine_standin_test, broken_stream_resumes_unless_the_generation_is_lost)
{
    for (const bool lost : {false, true}) {
        start_engine();
        const auto all = stream("vm/1/1").events();
        control({{"break_streams", {{"after", 3}, {"lose_generation", lost}}}});
        const http_reply broken = stream("vm/1/2");
        EXPECT_FALSE(broken.complete);
        EXPECT_EQ(broken.events().size(), 3U);
        const http_reply rest = get("/v1/generations/vm/1/2?from=3");
        EXPECT_EQ(rest.status, lost ? 404U : 200U);
        if (!lost) {
            EXPECT_EQ(rest.events().size(), all.size() - 3);
        }
    }
}

// Guards against a retry that generates, and would bill, the same answer twice.
TEST_F(engine_standin_test, repeated_request_id_joins_the_first_generation)
{
    start_engine();
    const auto first = stream("vm/1/1").events();
    EXPECT_EQ(stream("vm/1/1").events(), first);
    EXPECT_EQ(state().at("started"), 1);
}

// Guards against cancelled work that keeps its slot.
TEST_F(engine_standin_test, cancelled_generation_frees_its_slot)
{
    start_engine({"--slots", "1"});
    control({{"slow_factor", 100'000}}); // a token takes 20 s, so the cancellation comes first
    auto first = std::async(std::launch::async, [this] { return stream("vm/1/1"); });
    await_state("running", 1);
    const auto reply = http_call(port_, "DELETE", "/v1/generations/vm/1/1");
    EXPECT_EQ(reply.body().at("cancelled"), true);
    EXPECT_FALSE(first.get().complete);
    EXPECT_EQ(state().at("running"), 0);
}

// Guards against an engine that runs a version that is not loaded.
TEST_F(engine_standin_test, unloaded_version_is_refused_until_loaded)
{
    start_engine();
    EXPECT_EQ(stream("vm/1/1", "n-9").status, 409U);
    post("/v1/orders", {{"order", 1}, {"action", "load"}, {"version", "n-9"}, {"fencing", 1}});
    await_state("loaded", {"n-3", "n-4", "n-9"});
    EXPECT_EQ(stream("vm/1/2", "n-9").status, 200U);
    post("/v1/orders", {{"order", 2}, {"action", "withdraw"}, {"version", "n-9"}, {"fencing", 1}});
    EXPECT_EQ(stream("vm/1/3", "n-9").status, 409U);
}

// Guards against confusing engines that check the fencing number with engines that ignore it.
TEST_F(engine_standin_test, old_fencing_number_is_refused_only_by_engines_that_check)
{
    struct fencing_case {
        bool checks;
        std::uint64_t first;
        std::uint64_t second;
        unsigned status;
    };
    const std::vector<fencing_case> cases{
        {true, 7, 8, 200}, {true, 7, 7, 200}, {true, 7, 6, 409}, {false, 7, 6, 200}};
    for (const auto& it : cases) {
        start_engine(it.checks ? std::vector<std::string>{"--check-fencing"}
                               : std::vector<std::string>{});
        const json load{{"action", "load"}, {"version", "n-9"}, {"fencing", it.first}};
        const json withdraw{{"action", "withdraw"}, {"version", "n-3"}, {"fencing", it.second}};
        EXPECT_EQ(post("/v1/orders", load).status, 200U);
        EXPECT_EQ(post("/v1/orders", withdraw).status, it.status)
            << it.first << " then " << it.second;
    }
}

// Guards against cache events whose hashes or gaps the router cannot interpret.
TEST_F(engine_standin_test, cache_events_follow_the_limited_prefix_cache)
{
    start_engine({"--cache-blocks", "2", "--cache-event-gap", "0"});
    const std::string block(1024, 'a');
    post(chat, chat_body("n-3", block + block, false));
    post(chat, chat_body("n-3", block + block, false));
    EXPECT_EQ(state().at("cached_blocks"), 2);
    const json first = get("/v1/cache-events?from=0").body();
    EXPECT_EQ(first.at("stored").size(), 2U);
    post(chat, chat_body("n-3", std::string(1024, 'b'), false));
    const json rest = get("/v1/cache-events?from=2").body();
    EXPECT_EQ(rest.at("stored").size(), 1U);
    EXPECT_EQ(rest.at("evicted"), json::array({first.at("stored").front()}));
    EXPECT_EQ(rest.at("gap"), false);
}

// Guards against lost cache events that go unnoticed.
TEST_F(engine_standin_test, lost_cache_event_is_reported_as_a_gap)
{
    start_engine({"--cache-event-gap", "2"});
    post(chat, chat_body("n-3", std::string(3072, 'a'), false));
    const json page = get("/v1/cache-events?from=0").body();
    EXPECT_EQ(page.at("gap"), true);
    EXPECT_EQ(page.at("stored").size(), 2U);
    EXPECT_EQ(page.at("next"), 3);
}

// Guards against a bad version whose answers look like those of a good one.
TEST_F(engine_standin_test, bad_version_answers_with_low_confidence_or_fails)
{
    start_engine();
    control({{"bad_versions", {"n-4"}}});
    const auto reply = post(chat, chat_body("n-4", "How did prices move?", false)).body();
    EXPECT_EQ(reply.at("finish_reason"), "low_confidence");
    EXPECT_LT(reply.at("confidence").get<double>(), 0.3);
    control({{"bad_error_rate", 1.0}});
    EXPECT_EQ(stream("vm/1/1", "n-4").status, 500U);
    EXPECT_EQ(stream("vm/1/2", "n-3").status, 200U);
}

// Guards against a stand-in that leaves, or asks for quiet, without saying so.
TEST_F(engine_standin_test, marks_of_leaving_and_quiet_are_in_the_answers)
{
    start_engine();
    EXPECT_FALSE(stream("vm/1/1").headers.contains("x-leaving"));
    control({{"leaving", true}, {"quiet_ms", 60'000}});
    const http_reply refused = stream("vm/1/2");
    EXPECT_EQ(refused.status, 503U);
    EXPECT_NEAR(std::stod(refused.headers.at("retry-after")), 60, 20);
    const auto run = std::to_string(get("/v1/load").body().at("run").get<std::uint64_t>());
    EXPECT_EQ(refused.headers.at("x-leaving"), run);
    control({{"quiet_ms", 0}});
    const http_reply streamed = stream("vm/1/3");
    EXPECT_EQ(streamed.status, 200U);
    EXPECT_EQ(streamed.headers.at("x-leaving"), run);
    EXPECT_EQ(state().at("refused_while_quiet"), 1);
}

class service_standin_test : public standin_test {};

// Guards against a second execution that is missing from the count.
TEST_F(service_standin_test, executions_are_counted_by_key_even_when_the_reply_is_lost)
{
    start({"service", "--service-ms", "0"});
    const std::map<std::string, std::string> key{{"Idempotency-Key", "k1"}};
    control({{"fail_after_run", 1}});
    EXPECT_EQ(post("/revisions", {{"value", 1}}, key).status, 0U);
    EXPECT_EQ(post("/revisions", {{"value", 1}}, key).body().at("execution"), 2);
    const json items = get("/v1/executions").body().at("items");
    ASSERT_EQ(items.size(), 1U);
    EXPECT_EQ(items.front().at("key"), "k1");
    EXPECT_EQ(items.front().at("count"), 2);
}

} // namespace

} // namespace wagtailhitch::testing
