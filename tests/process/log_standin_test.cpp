#include "standin_fixture.hpp"

#include <csignal>
#include <future>

namespace wagtailhitch::testing {

namespace {

const std::string records = "/v1/streams/config/records";

class log_standin_test : public standin_test {
protected:
    void SetUp() override { start({"log"}); }

    [[nodiscard]] json read(std::uint64_t from) const
    {
        return get(records + "?from=" + std::to_string(from)).body();
    }

    [[nodiscard]] std::uint64_t head() const { return read(0).at("head").get<std::uint64_t>(); }
};

// Guards against offsets that are shared between streams or skip a record.
TEST_F(log_standin_test, appends_get_consecutive_offsets_per_stream)
{
    EXPECT_EQ(post(records, {{"records", {"a", "b"}}}).body(), json({{"first_offset", 0}}));
    EXPECT_EQ(post("/v1/streams/bills/records", {{"records", {"x"}}}).body(),
              json({{"first_offset", 0}}));
    EXPECT_EQ(post(records, {{"records", {"c"}}}).body(), json({{"first_offset", 2}}));
    const json page = read(1);
    EXPECT_EQ(page.at("head"), 3);
    EXPECT_EQ(page.at("records"),
              json::array({{{"offset", 1}, {"data", "b"}}, {{"offset", 2}, {"data", "c"}}}));
}

// Guards against a long poll that does not return when a record is appended.
TEST_F(log_standin_test, long_poll_ends_with_the_next_append)
{
    auto poll = std::async(std::launch::async,
                           [this] { return get(records + "?from=0&wait_ms=15000").body(); });
    while (state().at("streams").value("config", json::object()).value("waiting", 0) != 1) {
        std::this_thread::yield();
    }
    post(records, {{"records", {"a"}}});
    EXPECT_EQ(poll.get().at("records").size(), 1U);
}

// Guards against a reader that takes a page after expiry for a complete one.
TEST_F(log_standin_test, expired_records_move_the_oldest_offset)
{
    control({{"retain_records", 2}});
    post(records, {{"records", {"a", "b", "c", "d", "e"}}});
    const json page = read(0);
    EXPECT_EQ(page.at("oldest"), 3);
    EXPECT_EQ(page.at("head"), 5);
    EXPECT_EQ(page.at("records").front(), json({{"offset", 3}, {"data", "d"}}));
}

// Guards against a stand-in whose faults differ from what the platform's clients must survive.
TEST_F(log_standin_test, append_under_fault_has_stated_reply_and_effect)
{
    struct fault_case {
        json fault;
        unsigned status; ///< 0: closed without a reply
        std::uint64_t appended;
    };
    const std::vector<fault_case> cases{
        {{{"outage", true}}, 503, 0},     {{{"lose_append_replies", 1}}, 0, 1},
        {{{"lose_replies", 1}}, 0, 1},    {{{"fail_next", 1}}, 503, 0},
        {{{"fail_status", 500}}, 500, 0}, {{{"appends_per_second", 0}}, 429, 0},
        {{{"slow_ms", 1}}, 200, 1},
    };
    for (const auto& it : cases) {
        start({"log"});
        control(it.fault);
        EXPECT_EQ(post(records, {{"records", {"a"}}}).status, it.status) << it.fault;
        control({{"outage", false}, {"fail_status", 0}});
        EXPECT_EQ(head(), it.appended) << it.fault;
    }
}

// Guards against records that exceed the router's own size limit.
TEST_F(log_standin_test, record_over_64_kib_is_refused)
{
    const std::string longest(65'536, 'x');
    EXPECT_EQ(post(records, {{"records", {longest}}}).status, 200U);
    EXPECT_EQ(post(records, {{"records", {longest + "x"}}}).status, 413U);
    EXPECT_EQ(head(), 1U);
}

// Guards against silence that also affects new connections, or that ends by itself.
TEST_F(log_standin_test, silenced_connection_handles_nothing_while_a_new_one_works)
{
    http_connection silenced{port_};
    silenced.send("GET", records + "?from=0");
    EXPECT_EQ(silenced.receive().status, 200U);
    control({{"silence_open", true}});
    silenced.send("POST", records, json{{"records", {"lost"}}}.dump());
    await_state("swallowed", 1);
    EXPECT_EQ(head(), 0U);
    EXPECT_EQ(post(records, {{"records", {"kept"}}}).status, 200U);
    EXPECT_EQ(head(), 1U);
}

// Guards against stand-ins that keep running after a demo or a test.
TEST_F(log_standin_test, sigterm_ends_the_program_with_code_0)
{
    standin_->send_signal(SIGTERM);
    EXPECT_EQ(standin_->wait(), 0);
}

} // namespace

} // namespace wagtailhitch::testing
