#include "proxy/test_proxy.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

// Regions in which requests must stay, and failure domains that are being evacuated.

namespace wagtailhitch {
namespace {

using namespace testing_proxy;

const region_id south{"south"};
const region_id north{"north"};

class allowed_domains_test : public ::testing::Test {
protected:
    void configure(revision version, const std::vector<region_id>& by_route,
                   std::vector<region_id> by_team = {})
    {
        auto contents = make_contents(version);
        for (auto& route : contents.routes) {
            route.allowed_regions = by_route;
        }
        contents.teams->front().allowed_regions = std::move(by_team);
        vm_.core.set_catalog(std::make_shared<const proxy_catalog>(std::move(contents)));
        vm_.core.confirm(vm_.clock.now());
    }

    void evacuate(const std::string& domain, bool evacuated = true)
    {
        vm_.core.set_evacuated(failure_domain_id{domain}, evacuated, vm_.clock.now());
    }

    /// Places a request and ends it, so that no replica reaches its limit.
    expected<placement> place(const std::string& path = "/read/1")
    {
        const auto request = vm_.request(path);
        const auto admitted = vm_.core.admit(request, vm_.clock.now());
        EXPECT_TRUE(admitted.has_value());
        auto placed = vm_.core.place(*admitted, request, {}, vm_.clock.now());
        if (placed) {
            vm_.core.finish(*placed, {.result = attempt_result::cancelled}, vm_.clock.now());
        }
        return placed;
    }

    proxy_deployment vm_;
};

TEST_F(allowed_domains_test, request_of_a_route_with_regions_runs_only_there)
{
    configure(2, {north});
    for (int i = 0; i < 20; ++i) {
        const auto placed = place();
        ASSERT_TRUE(placed.has_value());
        EXPECT_EQ(placed->upstream.value, "app-c");
    }
}

// A team's regions must not widen those of the route.
TEST_F(allowed_domains_test, regions_of_route_and_team_without_a_common_one_refuse_the_request)
{
    configure(2, {north}, {south});
    const auto placed = place();
    ASSERT_FALSE(placed.has_value());
    EXPECT_EQ(placed.error().run, run_state::not_run);
    EXPECT_NE(placed.error().detail.find("no allowed region in common"), std::string::npos);
}

// A replica of an unknown failure domain must not count as one of the allowed regions.
TEST_F(allowed_domains_test, replica_of_an_unknown_domain_serves_only_unrestricted_requests)
{
    for (const char* domain : {"a", "b", "c"}) {
        vm_.core.replicas().retire(upstream_id{std::string{"app-"} + domain});
    }
    vm_.announce(make_replica("app-x", "app", "x"));
    vm_.core.tick(vm_.clock.now());
    ASSERT_TRUE(place().has_value());
    configure(2, {south, north});
    const auto placed = place();
    ASSERT_FALSE(placed.has_value());
    EXPECT_NE(placed.error().detail.find("in a region"), std::string::npos);
}

// The bytes of a request that was placed under an older configuration must not leave the regions of
// the one in force.
TEST_F(allowed_domains_test, regions_that_change_before_the_first_byte_withdraw_the_request)
{
    configure(2, {south});
    const auto request = vm_.request("/read/1");
    const auto admitted = vm_.core.admit(request, vm_.clock.now());
    const auto placed = vm_.core.place(*admitted, request, {}, vm_.clock.now());
    ASSERT_TRUE(placed.has_value());
    EXPECT_TRUE(vm_.core.may_use(*admitted, *placed, vm_.clock.now()));
    configure(3, {north});
    EXPECT_FALSE(vm_.core.may_use(*admitted, *placed, vm_.clock.now()));
}

// Guards against requests that lose the regions of their team because its name is empty.
TEST_F(allowed_domains_test, regions_of_a_team_without_a_name_hold_when_the_team_is_gone)
{
    auto contents = make_contents(2);
    contents.teams->front().name = team_id{};
    contents.teams->front().allowed_regions = {south};
    vm_.core.set_catalog(std::make_shared<const proxy_catalog>(contents));
    const auto request = vm_.request("/read/1");
    const auto admitted = vm_.core.admit(request, vm_.clock.now());
    ASSERT_TRUE(admitted.has_value());
    contents.version = 3;
    contents.teams->clear();
    vm_.core.set_catalog(std::make_shared<const proxy_catalog>(std::move(contents)));
    for (const char* replica : {"app-a", "app-b"}) {
        vm_.core.replicas().retire(upstream_id{replica});
    }
    vm_.core.tick(vm_.clock.now());
    const auto placed = vm_.core.place(*admitted, request, {}, vm_.clock.now());
    EXPECT_FALSE(placed.has_value()) << "The request was placed on a replica of another region.";
}

// The budget of the link limits optional remote sends only.
TEST_F(allowed_domains_test, request_that_must_leave_the_region_is_not_held_back_by_the_link_budget)
{
    configure(2, {north});
    for (int i = 0; i < 2000; ++i) {
        const auto placed = place();
        ASSERT_TRUE(placed.has_value()) << "request " << i;
    }
}

TEST_F(allowed_domains_test, replicas_of_an_evacuated_domain_get_nothing_until_it_is_withdrawn)
{
    evacuate("a");
    for (int i = 0; i < 20; ++i) {
        const auto placed = place();
        ASSERT_TRUE(placed.has_value());
        EXPECT_NE(placed->upstream.value, "app-a");
    }
    evacuate("b");
    EXPECT_EQ(place()->upstream.value, "app-c");
    evacuate("c");
    evacuate("a", false);
    EXPECT_EQ(place()->upstream.value, "app-a");
}

// A figure that stays after the withdrawal would tell the operator of requests that have ended.
TEST_F(allowed_domains_test, metric_of_requests_in_an_evacuated_domain_ends_with_the_order)
{
    const auto request = vm_.request("/read/1");
    const auto admitted = vm_.core.admit(request, vm_.clock.now());
    const auto placed = vm_.core.place(*admitted, request, {}, vm_.clock.now());
    ASSERT_TRUE(placed.has_value());
    const auto domain = vm_.core.replicas().find(placed->upstream)->announcement.failure_domain;
    auto& running =
        vm_.counters.level("evacuated_requests_running", {{"failure_domain", domain.value}});
    evacuate(domain.value);
    vm_.core.tick(vm_.clock.now());
    EXPECT_EQ(running.value(), 1);
    evacuate(domain.value, false);
    vm_.core.tick(vm_.clock.now());
    EXPECT_EQ(running.value(), 0);
}

// A request that was placed before the order was read must not reach the domain after it.
TEST_F(allowed_domains_test, evacuation_before_the_first_byte_withdraws_the_request)
{
    const auto request = vm_.request("/read/1");
    const auto admitted = vm_.core.admit(request, vm_.clock.now());
    const auto placed = vm_.core.place(*admitted, request, {}, vm_.clock.now());
    ASSERT_TRUE(placed.has_value());
    for (const char* domain : {"a", "b", "c"}) {
        evacuate(domain);
    }
    EXPECT_FALSE(vm_.core.may_use(*admitted, *placed, vm_.clock.now()));
}

TEST_F(allowed_domains_test, evacuation_of_all_domains_refuses_with_that_reason)
{
    for (const char* domain : {"a", "b", "c"}) {
        evacuate(domain);
    }
    const auto placed = place();
    ASSERT_FALSE(placed.has_value());
    EXPECT_EQ(placed.error().run, run_state::not_run);
    EXPECT_TRUE(placed.error().retry_after.has_value());
    EXPECT_NE(placed.error().detail.find("evacuated"), std::string::npos);
}

TEST_F(allowed_domains_test, order_that_is_missing_after_a_dropped_history_was_withdrawn)
{
    evacuate("a");
    evacuate("b");
    const auto changed = vm_.core.replace_evacuations(
        {failure_domain_id{"b"}, failure_domain_id{"unknown"}}, vm_.clock.now());
    EXPECT_EQ(changed.size(), 2U);
    EXPECT_FALSE(vm_.core.evacuated_domains().contains(failure_domain_id{"a"}));
    EXPECT_TRUE(vm_.core.evacuated_domains().contains(failure_domain_id{"b"}));
    EXPECT_TRUE(place().has_value());
}

// A version that only replicas outside the allowed domains run must not be chosen: the request
// would find no replica.
TEST_F(allowed_domains_test, rollout_chooses_no_version_without_an_allowed_replica)
{
    vm_.announce(make_replica("app-new", "app", "c", "v2"));
    vm_.core.rollouts().order({"app", "v2", 10s}, vm_.clock.now());
    vm_.core.note_read(followed_stream::operators, vm_.clock.now());
    configure(2, {south});
    for (int i = 0; i < 200; ++i) {
        const auto placed = place("/read/" + std::to_string(i));
        ASSERT_TRUE(placed.has_value());
        EXPECT_EQ(placed->software, "v1");
    }
}

RC_GTEST_FIXTURE_PROP(allowed_domains_test, no_send_lies_outside_over_random_changes, ())
{
    const std::vector<std::string> domains{"a", "b", "c"};
    const std::vector<std::vector<region_id>> lists{{}, {south}, {north}, {south, north}};
    revision version = 2;
    std::vector<region_id> by_route;
    std::vector<region_id> by_team;
    std::set<std::string> closed;
    const auto may_run_in = [&](const std::string& domain) {
        const region_id region = domain == "c" ? north : south;
        const auto in = [&](const auto& list) {
            return list.empty() || std::ranges::find(list, region) != list.end();
        };
        return !closed.contains(domain) && in(by_route) && in(by_team);
    };
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            by_route = *rc::gen::elementOf(lists);
            by_team = *rc::gen::elementOf(lists);
            configure(version++, by_route, by_team);
            break;
        case 1: {
            const std::string domain = *rc::gen::elementOf(domains);
            const bool on = *rc::gen::arbitrary<bool>();
            evacuate(domain, on);
            on ? (void)closed.insert(domain) : (void)closed.erase(domain);
            break;
        }
        case 2: {
            std::set<failure_domain_id> in_force;
            closed.clear();
            for (const auto& domain : domains) {
                if (*rc::gen::arbitrary<bool>()) {
                    in_force.insert(failure_domain_id{domain});
                    closed.insert(domain);
                }
            }
            vm_.core.replace_evacuations(in_force, vm_.clock.now());
            break;
        }
        default: {
            const auto placed = place("/report/" + std::to_string(i));
            const bool possible = std::ranges::any_of(domains, may_run_in);
            RC_ASSERT(placed.has_value() == possible);
            if (placed) {
                RC_ASSERT(may_run_in(placed->upstream.value.substr(7)));
            }
            break;
        }
        }
    }
}

} // namespace
} // namespace wagtailhitch
