#include "proxy/request_flow.hpp"
#include "proxy/test_proxy.hpp"

#include <gtest/gtest.h>

// What a VM answers under load once admission control is switched on.

namespace wagtailhitch {
namespace {

using namespace testing_proxy;

class load_refusals_test : public ::testing::Test {
protected:
    load_refusals_test() : core_{settings(), counters_, clock_.now()}
    {
        core_.set_catalog(std::make_shared<const proxy_catalog>(make_contents(1)));
        clock_.advance(1s); // past the time for which a starting VM lets requests wait
        core_.confirm(clock_.now());
        core_.replicas().announce(make_replica("app-a", "app", "a"), clock_.now());
        core_.tick(clock_.now());
    }

    static proxy_settings settings()
    {
        auto out = make_settings();
        out.admission.enabled = true;
        return out;
    }

    [[nodiscard]] proxied_request request(duration deadline) const
    {
        proxied_request out;
        out.host = "api.example";
        out.path = "/read/1";
        out.key = "key-1";
        out.session = "s" + std::to_string(deadline.count());
        out.deadline = deadline;
        out.received_at = clock_.now();
        return out;
    }

    expected<placement> place(duration deadline)
    {
        const auto wanted = request(deadline);
        return core_.place(*core_.admit(wanted, clock_.now()), wanted, {}, clock_.now());
    }

    void fill()
    {
        for (int i = 0; i < 6; ++i) {
            ASSERT_TRUE(place(10s).has_value());
        }
    }

    manual_clock clock_;
    metrics counters_;
    proxy_core core_;
};

// With free slots, a request is served whatever was decided before.
TEST_F(load_refusals_test, requests_below_the_slots_of_a_replica_are_admitted)
{
    fill();
    EXPECT_EQ(counters_.render().find("load_refusals_total"), std::string::npos);
}

// A request that would be held until its deadline loses the time in which its caller could act.
TEST_F(load_refusals_test, request_that_cannot_meet_its_deadline_is_refused_with_figures)
{
    fill();
    const auto refused = place(100ms);
    ASSERT_FALSE(refused.has_value());
    EXPECT_EQ(refused.error().code, error_code::deadline_unreachable);
    EXPECT_EQ(refused.error().run, run_state::not_run);
    ASSERT_TRUE(refused.error().retry_after.has_value());
    EXPECT_LE(*refused.error().retry_after, 100ms / 3);
    EXPECT_NE(refused.error().detail.find("(deadline)"), std::string::npos)
        << refused.error().detail;
    const std::string text = counters_.render();
    EXPECT_NE(text.find("load_refusals_total"), std::string::npos) << text;
    EXPECT_NE(text.find("reason=\"deadline\""), std::string::npos) << text;
}

// A refused request must not wait in the VM for a replica that is set aside.
TEST_F(load_refusals_test, refusal_under_load_is_answered_while_another_replica_is_set_aside)
{
    core_.replicas().announce(make_replica("app-b", "app", "b"), clock_.now());
    core_.tick(clock_.now());
    for (int i = 0; i < 12; ++i) {
        const auto placed = place(10s);
        ASSERT_TRUE(placed.has_value());
        if (placed->upstream.value == "app-b") {
            core_.note_quiet(*placed, 40ms, clock_.now());
        }
    }
    request_flow flow{core_, request(100ms)};
    const auto step = flow.begin(clock_.now());
    ASSERT_TRUE(std::holds_alternative<respond_step>(step));
    EXPECT_EQ(std::get<respond_step>(step).status, 503U);
}

// A request that is sent again was admitted before, and its share was granted then.
TEST_F(load_refusals_test, request_that_was_sent_before_keeps_its_admission)
{
    fill();
    const auto wanted = request(10s);
    send_history history;
    history.sends = 1;
    EXPECT_TRUE(core_.place(*core_.admit(wanted, clock_.now()), wanted, history, clock_.now()));
}

} // namespace
} // namespace wagtailhitch
