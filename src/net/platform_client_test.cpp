#include "net/net_test_support.hpp"
#include "net/platform_client.hpp"

#include <nlohmann/json.hpp>

namespace wagtailhitch {
namespace {

using json = nlohmann::json;
using net_testing::scripted_connection;
using net_testing::scripted_listener;

std::string make_response(const std::string& body, const std::string& status = "200 OK")
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

class net_platform_client_test : public net_testing::net_fixture {
protected:
    void SetUp() override
    {
        settings_.log_address = listener_.address;
        settings_.append_timeout = non_expiring_timeout;
        settings_.poll_wait = non_expiring_timeout;
        settings_.response_margin = non_expiring_timeout;
        settings_.poll_interval = 1ms;
        settings_.backoff_first = 1ms;
        settings_.backoff_limit = 4ms;
        settings_.sweep_interval = 5ms;
    }

    void start()
    {
        client_ = std::make_unique<platform_client>(io_, settings_, sink(), metrics_);
        client_->start();
    }

    /// Waits until connection `n`, from 0, has received a request that contains `part`.
    scripted_connection& receive(std::size_t n, const std::string& part)
    {
        EXPECT_TRUE(pump_until([&] {
            return listener_.connections.size() > n &&
                   listener_.connections[n]->received.find(part) != std::string::npos;
        })) << part;
        return *listener_.connections.at(n);
    }

    append_result append(const std::string& answer, bool close)
    {
        inputs_.clear();
        listener_.connections.clear();
        start();
        client_->handle(log_append{7, "bills", {"a", "b"}});
        scripted_connection& log = receive(0, R"({"records":["a","b"]})");
        EXPECT_TRUE(log.received.starts_with("POST /v1/streams/bills/records HTTP/1.1\r\n"));
        log.write(answer);
        if (close) {
            log.close();
        }
        EXPECT_TRUE(pump_until_input<append_result>());
        return inputs_of<append_result>().front();
    }

    scripted_listener listener_{io_};
    platform_client_settings settings_;
    std::unique_ptr<platform_client> client_;
};

struct append_case {
    std::string name;
    std::string answer;
    run_state run;
};

// Guards against an append that took effect and is reported as not_run, or is repeated.
TEST_F(net_platform_client_test, append_without_a_usable_reply_is_reported_by_what_may_have_run)
{
    const std::vector<append_case> cases{
        {"reply lost", "", run_state::outcome_unknown},
        {"reply truncated", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"fir",
         run_state::outcome_unknown},
        {"reply without an offset", make_response("{}"), run_state::outcome_unknown},
        {"log failed", make_response("{}", "500 Failed"), run_state::outcome_unknown},
        {"log refused", make_response("{}", "503 Busy"), run_state::not_run},
        {"too many appends", make_response("{}", "429 Slow"), run_state::not_run},
    };
    for (const append_case& it : cases) {
        const append_result got = append(it.answer, true);
        EXPECT_EQ(got.append, 7U);
        ASSERT_FALSE(got.first_offset.has_value()) << it.name;
        EXPECT_EQ(got.first_offset.error().code, error_code::log_unavailable) << it.name;
        EXPECT_EQ(name_of(got.first_offset.error().run), name_of(it.run)) << it.name;
        EXPECT_EQ(listener_.connections.size(), 1U) << it.name;
    }
}

// Guards against an offset that is parsed incorrectly.
TEST_F(net_platform_client_test, append_reports_its_first_offset)
{
    EXPECT_EQ(append(make_response(R"({"first_offset":41})"), false).first_offset, 41U);
}

// Guards against a log that accepts an append and never answers.
TEST_F(net_platform_client_test, unanswered_append_is_unknown_after_its_deadline)
{
    settings_.append_timeout = expiring_timeout;
    const append_result got = append("", false);
    ASSERT_FALSE(got.first_offset.has_value());
    EXPECT_EQ(got.first_offset.error().run, run_state::outcome_unknown);
}

// Guards against appends reported as outcome_unknown in an outage although nothing was sent.
TEST_F(net_platform_client_test, append_during_an_outage_is_not_run)
{
    settings_.log_address = net_testing::refused_address();
    start();
    client_->handle(log_append{7, "bills", {"a"}});
    ASSERT_TRUE(pump_until_input<append_result>());
    const append_result got = inputs_of<append_result>().front();
    ASSERT_FALSE(got.first_offset.has_value());
    EXPECT_EQ(got.first_offset.error().run, run_state::not_run);
}

// Guards against a crash on bytes that JSON cannot represent.
TEST_F(net_platform_client_test, record_that_is_not_text_is_refused)
{
    start();
    client_->handle(log_append{7, "bills", {"\xff\xfe"}});
    ASSERT_EQ(inputs_of<append_result>().size(), 1U);
    EXPECT_EQ(inputs_of<append_result>()[0].first_offset.error().run, run_state::not_run);
}

// Guards against records that are skipped or read twice, and against a head that is taken to be
// newer than the request for it.
TEST_F(net_platform_client_test, follow_continues_after_the_last_record)
{
    start();
    client_->handle(log_follow{"config", 5, true});
    scripted_connection& log = receive(0, "GET /v1/streams/config/records?from=5&");
    const time_point answered{std::chrono::steady_clock::now()};
    log.write(make_response(R"({"oldest":2,"head":9,"records":[{"offset":5,"data":"x"},)"
                            R"({"offset":6,"data":"y"}]})"));
    receive(0, "records?from=7&");
    const log_batch got = inputs_of<log_batch>().front();
    EXPECT_EQ(got.stream, "config");
    EXPECT_EQ(got.from, 5U);
    EXPECT_EQ(got.oldest, 2U);
    EXPECT_EQ(got.head, 9U);
    ASSERT_EQ(got.records.size(), 2U);
    EXPECT_EQ(got.records[1].data, "y");
    EXPECT_LE(got.asked_at, answered);
}

// Guards against a reader that waits forever for records that have expired.
TEST_F(net_platform_client_test, follow_goes_on_at_the_oldest_record_after_a_gap)
{
    start();
    client_->handle(log_follow{"config", 0, true});
    receive(0, "records?from=0&").write(make_response(R"({"oldest":30,"head":30,"records":[]})"));
    receive(0, "records?from=30&");
    EXPECT_EQ(inputs_of<log_batch>().front().oldest, 30U);
}

// Guards against unordered or malformed batches that are passed on.
TEST_F(net_platform_client_test, unusable_batches_are_failures_and_are_read_again)
{
    const std::vector<std::string> bodies{
        "no JSON",
        R"({"oldest":0,"records":[]})",
        R"({"oldest":0,"head":9,"records":[{"offset":2,"data":"x"},{"offset":1,"data":"y"}]})",
        R"({"oldest":0,"head":1,"records":[{"offset":1,"data":"x"}]})",
        R"({"oldest":0,"head":9,"records":[{"data":"x"}]})",
    };
    start();
    client_->handle(log_follow{"config", 0, true});
    std::size_t failures = 0;
    for (const std::string& it : bodies) {
        receive(0, "records?from=0&").received.clear();
        listener_.connections[0]->write(make_response(it));
        ++failures;
        ASSERT_TRUE(pump_until([&] { return inputs_of<log_read_failed>().size() == failures; }))
            << it;
    }
    EXPECT_TRUE(inputs_of<log_batch>().empty());
}

// Guards against a poll that waits on a dead connection while new connections work.
TEST_F(net_platform_client_test, unanswered_poll_is_repeated_on_a_new_connection)
{
    settings_.poll_wait = expiring_timeout;
    settings_.response_margin = expiring_timeout;
    start();
    client_->handle(log_follow{"config", 3, true});
    receive(0, "records?from=3&");
    scripted_connection& new_connection = receive(1, "records?from=3&");
    EXPECT_EQ(inputs_of<log_read_failed>().size(), 1U);
    new_connection.write(
        make_response(R"({"oldest":0,"head":4,"records":[{"offset":3,"data":"x"}]})"));
    EXPECT_TRUE(pump_until_input<log_batch>());
}

// Guards against two polls of one stream, and against polls that continue after the follow ended.
TEST_F(net_platform_client_test, newer_follow_replaces_the_older_and_an_inactive_one_ends_it)
{
    start();
    client_->handle(log_follow{"config", 3, true});
    const scripted_connection& first = receive(0, "records?from=3&");
    client_->handle(log_follow{"config", 8, true});
    receive(1, "records?from=8&");
    EXPECT_TRUE(pump_until([&] { return first.closed; }));
    client_->handle(log_follow{"config", 0, false});
    EXPECT_TRUE(pump_until([&] { return listener_.connections[1]->closed; }));
    EXPECT_TRUE(inputs_.empty());
}

// Guards against a VM list or ratings that stop after one failed poll, or that lose fields.
TEST_F(net_platform_client_test, vm_list_and_ratings_are_polled_again_after_a_failure)
{
    scripted_listener ratings{io_};
    settings_.vm_list_address = listener_.address;
    settings_.rating_address = ratings.address;
    start();
    receive(0, "GET /v1/vms").close();
    receive(1, "GET /v1/vms")
        .write(make_response(R"({"vms":[{"id":"a","address":"127.0.0.1:1","failure_domain":"s",)"
                             R"("state":"leaving"},{"id":"b","state":"unheard"}]})"));
    ASSERT_TRUE(pump_until_input<vm_list>());
    const vm_list list = inputs_of<vm_list>().front();
    ASSERT_EQ(list.entries.size(), 1U);
    EXPECT_EQ(list.entries[0].vm, vm_id{"a"});
    EXPECT_EQ(list.entries[0].state, vm_list_state::leaving);

    ASSERT_TRUE(pump_until([&] { return !ratings.connections.empty(); }));
    ratings.connections[0]->write(make_response(
        R"({"next":3,"items":[{"request":"r","version":"n-3","route":"q","score":0.25}]})"));
    ASSERT_TRUE(pump_until(
        [&] { return ratings.connections[0]->received.find("from=3") != std::string::npos; }));
    const auto got = inputs_of<struct ratings>().front();
    ASSERT_EQ(got.items.size(), 1U);
    EXPECT_EQ(got.items[0].score, 0.25);
}

} // namespace
} // namespace wagtailhitch
