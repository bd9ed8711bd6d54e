#include "proxy/request_flow.hpp"
#include "proxy/test_proxy.hpp"

#include <gtest/gtest.h>

// When a VM takes a replica for cold, and what it does with requests meanwhile.

namespace wagtailhitch {
namespace {

using namespace testing_proxy;

class cold_replicas_test : public ::testing::Test {
protected:
    cold_replicas_test() : core_{settings(), counters_, clock_.now()}
    {
        auto contents = make_contents(1);
        proxy_service app;
        app.name = "app";
        app.cold_period = 3s;
        app.cold_rate = 4;
        contents.services = {app};
        core_.set_catalog(std::make_shared<const proxy_catalog>(std::move(contents)));
        core_.note_vms_known();
        announce("app-a", 100, 0ms);
        pass(5s);
    }

    static proxy_settings settings()
    {
        auto out = make_settings();
        out.cold.self = out.report_address;
        out.cold_overshoot = 1.5;
        out.cold_slack = 2;
        return out;
    }

    void announce(const std::string& id, std::uint64_t started_ms, duration cold_left)
    {
        auto replica = make_replica(id, "app", "a");
        replica.started_ms = started_ms;
        replica.cold_left = cold_left;
        replica.slots = 64;
        core_.replicas().announce(replica, clock_.now());
        pass(0ms);
    }

    void pass(duration time)
    {
        clock_.advance(time);
        core_.confirm(clock_.now());
        core_.tick(clock_.now());
    }

    [[nodiscard]] bool cold() const { return core_.is_cold(upstream_id{"app-a"}, clock_.now()); }

    [[nodiscard]] proxied_request read_request() const
    {
        proxied_request request;
        request.id = "1";
        request.host = "api.example";
        request.path = "/read/1";
        request.key = "key-1";
        request.received_at = clock_.now();
        return request;
    }

    expected<placement> place()
    {
        const auto request = read_request();
        const auto admitted = core_.admit(request, clock_.now());
        return core_.place(*admitted, request, {}, clock_.now());
    }

    int place_all()
    {
        int n = 0;
        while (n < 50 && place()) {
            ++n;
        }
        return n;
    }

    manual_clock clock_;
    metrics counters_;
    proxy_core core_;
};

TEST_F(cold_replicas_test, warm_replica_has_no_bound)
{
    EXPECT_FALSE(cold());
    EXPECT_EQ(place_all(), 50);
}

TEST_F(cold_replicas_test, replica_is_cold_for_the_time_that_its_record_states)
{
    announce("app-a", 100, 2s);
    EXPECT_TRUE(cold());
    EXPECT_LE(place_all(), 8);
    pass(1999ms);
    EXPECT_TRUE(cold());
    pass(1ms);
    EXPECT_FALSE(cold());
}

// The record of a new start may have been written before the replica counts the time.
TEST_F(cold_replicas_test, replica_that_started_again_is_cold_whatever_its_record_states)
{
    announce("app-a", 200, 0ms);
    EXPECT_TRUE(cold());
    pass(3s);
    EXPECT_FALSE(cold());
}

TEST_F(cold_replicas_test, replicas_are_cold_after_the_evacuation_of_their_domain)
{
    core_.set_evacuated(failure_domain_id{"a"}, true, clock_.now());
    pass(20s);
    EXPECT_FALSE(cold());
    core_.set_evacuated(failure_domain_id{"a"}, false, clock_.now());
    EXPECT_TRUE(cold());
    pass(3s);
    EXPECT_FALSE(cold());
}

// The replica may start again under its id before its record tells so.
TEST_F(cold_replicas_test, replica_that_could_not_be_reached_is_cold_until_its_record_would_tell)
{
    const auto placed = place();
    core_.note_unreachable(*placed, clock_.now());
    EXPECT_TRUE(cold());
    pass(6s);
    EXPECT_TRUE(cold());
    pass(1s);
    EXPECT_FALSE(cold());
}

// A replica that crashes closes the connections of its requests, and may accept new ones before any
// VM was refused.
TEST_F(cold_replicas_test, replica_that_lost_the_connection_of_a_request_is_cold)
{
    request_flow flow{core_, read_request()};
    ASSERT_TRUE(std::holds_alternative<send_step>(flow.begin(clock_.now())));
    (void)flow.on_failure({.code = error_code::upstream_failed,
                           .run = run_state::outcome_unknown,
                           .detail = "reset",
                           .connection_lost = true},
                          clock_.now());
    EXPECT_TRUE(cold());
}

TEST_F(cold_replicas_test, failed_connection_of_another_vm_counts)
{
    peer_report report;
    report.from = {vm_id{"vm-2"}, 1};
    report.domain = failure_domain_id{"a"};
    report.address = "127.0.0.1:2";
    report.sequence = 1;
    report.unreachable_replicas = {{upstream_id{"app-a"}, 500ms}};
    core_.take_report(report, clock_.now());
    EXPECT_TRUE(cold());
}

// Without these an operator cannot tell why a request waited.
TEST_F(cold_replicas_test, changes_and_deferred_requests_are_told)
{
    auto& deferred = counters_.count("cold_requests_deferred_total", {{"reason", "all_cold"}});
    EXPECT_TRUE(core_.take_cold_changes().empty());
    announce("app-a", 100, 2s);
    const auto turned_cold = core_.take_cold_changes();
    ASSERT_EQ(turned_cold.size(), 1U);
    EXPECT_EQ(turned_cold.front().replica.value, "app-a");
    EXPECT_TRUE(turned_cold.front().cold);
    place_all();
    EXPECT_EQ(deferred.value(), 1U);
    pass(2s);
    const auto turned_warm = core_.take_cold_changes();
    ASSERT_EQ(turned_warm.size(), 1U);
    EXPECT_FALSE(turned_warm.front().cold);
    EXPECT_TRUE(core_.take_cold_changes().empty());
}

TEST_F(cold_replicas_test, request_waits_for_the_share_instead_of_being_refused)
{
    announce("app-a", 100, 5s);
    place_all();
    const auto admitted = core_.admit(read_request(), clock_.now());
    const auto wait = core_.until_released(*admitted, {}, clock_.now());
    ASSERT_TRUE(wait.has_value());
    EXPECT_LE(*wait, 1100ms);
    pass(*wait);
    EXPECT_TRUE(place().has_value());
}

// A wait of no time would be repeated without end while the replica cannot be used.
TEST_F(cold_replicas_test, cold_replica_with_a_free_share_makes_no_request_wait)
{
    announce("app-a", 100, 5s);
    const auto placed = place();
    const auto admitted = core_.admit(read_request(), clock_.now());
    for (int i = 0; i < 3; ++i) {
        core_.finish(*placed, {.result = attempt_result::failed}, clock_.now());
    }
    const auto wait = core_.until_released(*admitted, {}, clock_.now());
    EXPECT_TRUE(!wait || *wait > duration{0});
}

// Refusing it would lose a request that the share of the next second can serve.
TEST_F(cold_replicas_test, request_that_was_withdrawn_for_the_share_waits_for_the_replica)
{
    request_flow flow{core_, read_request()};
    ASSERT_TRUE(std::holds_alternative<send_step>(flow.begin(clock_.now())));
    ASSERT_TRUE(place().has_value());
    for (int i = 0; i < 20; ++i) {
        core_.begin_send(*place(), clock_.now());
    }
    announce("app-a", 100, 5s);
    ASSERT_FALSE(flow.may_send(clock_.now()));
    const auto step = flow.on_failure({.code = error_code::upstream_connect_failed,
                                       .run = run_state::not_run,
                                       .detail = "withdrawn",
                                       .withdrawn = true},
                                      clock_.now());
    ASSERT_TRUE(std::holds_alternative<wait_step>(step));
    EXPECT_GT(std::get<wait_step>(step).pause, duration{0});
}

// A request that waited for its connection must not reach a replica that has turned cold meanwhile
// beyond the share of this VM.
TEST_F(cold_replicas_test, request_is_withdrawn_when_its_replica_has_turned_cold_before_the_write)
{
    std::vector<placement> placed;
    placed.reserve(20);
    for (int i = 0; i < 20; ++i) {
        placed.push_back(*place());
    }
    announce("app-a", 100, 2s);
    pass(1100ms);
    int sent = 0;
    for (const auto& it : placed) {
        sent += core_.begin_send(it, clock_.now()) ? 1 : 0;
    }
    EXPECT_LE(sent, 8);
    EXPECT_GE(sent, 1);
}

} // namespace
} // namespace wagtailhitch
