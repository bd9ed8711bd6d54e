#include "proxy/test_proxy.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace wagtailhitch {
namespace {

using testing_proxy::make_contents;
using testing_proxy::make_replica;
using testing_proxy::make_settings;
using testing_proxy::proxy_deployment;

class proxy_core_test : public testing::Test {
protected:
    [[nodiscard]] error_code refusal(const proxied_request& request) const
    {
        const auto admitted = deployment_.core.admit(request, deployment_.clock.now());
        EXPECT_FALSE(admitted.has_value()) << "Expected a refusal.";
        return admitted ? error_code::internal : admitted.error().code;
    }
    std::string software_for(const std::string& session)
    {
        auto request = deployment_.request("/report/1", session);
        const auto admitted = deployment_.core.admit(request, deployment_.clock.now());
        const auto placed = deployment_.core.place(*admitted, request, {}, deployment_.clock.now());
        if (!placed) {
            return "none";
        }
        deployment_.core.finish(*placed, {}, deployment_.clock.now());
        return placed->software;
    }
    void order_rollout()
    {
        for (const char* domain : {"a", "b", "c"}) {
            deployment_.announce(
                make_replica(std::string{"new-"} + domain, "engine", domain, "v2"));
        }
        deployment_.core.rollouts().order({"engine", "v2", 20s}, deployment_.clock.now());
        deployment_.core.rollouts().note_published("engine", "v2", rollout_state::running);
        deployment_.core.tick(deployment_.clock.now());
    }
    /// Advances the clock and keeps the configuration confirmed.
    void advance_with_confirmation(duration time)
    {
        deployment_.clock.advance(time);
        deployment_.core.confirm(deployment_.clock.now());
        deployment_.core.tick(deployment_.clock.now());
    }

    proxy_deployment deployment_;
};

TEST_F(proxy_core_test, request_with_a_known_key_is_admitted_for_its_team)
{
    const auto admitted =
        deployment_.core.admit(deployment_.request("/report/1"), deployment_.clock.now());
    ASSERT_TRUE(admitted.has_value());
    EXPECT_EQ(admitted->team.value, "bulletins");
    EXPECT_EQ(admitted->service, "engine");
    EXPECT_EQ(admitted->answer_deadline, deployment_.clock.now() + 10s);
}

TEST_F(proxy_core_test, unknown_key_or_path_is_refused_definitively_only_while_confirmed)
{
    auto unknown_key = deployment_.request("/report/1");
    unknown_key.key = "key-2";
    EXPECT_EQ(refusal(unknown_key), error_code::unknown_team);
    EXPECT_EQ(refusal(deployment_.request("/nowhere/1")), error_code::unknown_path);
    deployment_.clock.advance(testing_proxy::make_settings().definitive_refusal_age + 1ms);
    EXPECT_EQ(refusal(unknown_key), error_code::not_ready);
    EXPECT_EQ(refusal(deployment_.request("/nowhere/1")), error_code::not_ready);
}

// Guards against reading an empty list of teams as one that needs no keys.
TEST_F(proxy_core_test, configuration_without_a_team_admits_no_request_that_needs_a_key)
{
    auto contents = make_contents(2);
    contents.teams = std::vector<proxy_team>{};
    contents.routes.push_back(contents.routes.back());
    contents.routes.back().name = "open";
    contents.routes.back().path_prefix = "/open/";
    contents.routes.back().anonymous = true;
    deployment_.core.set_catalog(std::make_shared<const proxy_catalog>(std::move(contents)));
    auto request = deployment_.request("/report/1");
    EXPECT_EQ(refusal(request), error_code::unknown_team);
    request.key.clear();
    EXPECT_EQ(refusal(request), error_code::unknown_team);
    request.path = "/open/1";
    EXPECT_TRUE(deployment_.core.admit(request, deployment_.clock.now()).has_value());
}

TEST_F(proxy_core_test, configuration_that_names_no_teams_admits_requests_without_a_key)
{
    auto contents = make_contents(2);
    contents.teams.reset();
    deployment_.core.set_catalog(std::make_shared<const proxy_catalog>(std::move(contents)));
    auto request = deployment_.request("/report/1");
    request.key.clear();
    const auto admitted = deployment_.core.admit(request, deployment_.clock.now());
    ASSERT_TRUE(admitted.has_value());
    EXPECT_TRUE(admitted->team.empty());
}

// Guards against a withdrawn key that is valid again once a configuration names no teams at all.
TEST_F(proxy_core_test, key_of_no_team_is_refused_also_if_no_key_is_needed)
{
    auto contents = make_contents(2);
    contents.teams.reset();
    deployment_.core.set_catalog(std::make_shared<const proxy_catalog>(std::move(contents)));
    EXPECT_EQ(refusal(deployment_.request("/report/1")), error_code::unknown_team);
    deployment_.clock.advance(testing_proxy::make_settings().definitive_refusal_age + 1ms);
    EXPECT_EQ(refusal(deployment_.request("/report/1")), error_code::not_ready);
}

// Guards against requests without a key that are admitted for a team with an empty key.
TEST_F(proxy_core_test, request_without_a_key_is_admitted_for_no_team)
{
    auto contents = make_contents(2);
    contents.teams->front().keys = {"", "key-1"};
    deployment_.core.set_catalog(std::make_shared<const proxy_catalog>(std::move(contents)));
    auto request = deployment_.request("/report/1");
    EXPECT_TRUE(deployment_.core.admit(request, deployment_.clock.now()).has_value());
    request.key.clear();
    EXPECT_EQ(refusal(request), error_code::unknown_team);
}

// Guards against keys that stay valid without a confirmation because their team's name is empty.
TEST_F(proxy_core_test, key_of_a_team_without_a_name_is_not_used_once_it_may_have_been_revoked)
{
    auto contents = make_contents(2);
    contents.teams->front().name = team_id{};
    deployment_.core.set_catalog(std::make_shared<const proxy_catalog>(std::move(contents)));
    EXPECT_TRUE(deployment_.core.admit(deployment_.request("/report/1"), deployment_.clock.now())
                    .has_value());
    deployment_.clock.advance(testing_proxy::make_settings().key_validity + 1ms);
    EXPECT_EQ(refusal(deployment_.request("/report/1")), error_code::not_ready);
}

TEST_F(proxy_core_test, key_is_not_used_once_it_may_have_been_revoked)
{
    deployment_.clock.advance(testing_proxy::make_settings().key_validity);
    EXPECT_TRUE(deployment_.core.admit(deployment_.request("/report/1"), deployment_.clock.now())
                    .has_value());
    // A suspended VM sees the clock jump ahead when it resumes.
    deployment_.clock.advance(30s);
    EXPECT_EQ(refusal(deployment_.request("/report/1")), error_code::not_ready);
}

TEST_F(proxy_core_test, vm_without_a_configuration_refuses_as_not_ready)
{
    metrics counters;
    proxy_core fresh{testing_proxy::make_settings(), counters, deployment_.clock.now()};
    const auto admitted = fresh.admit(deployment_.request("/report/1"), deployment_.clock.now());
    ASSERT_FALSE(admitted.has_value());
    EXPECT_EQ(admitted.error().code, error_code::not_ready);
    EXPECT_FALSE(fresh.ready(deployment_.clock.now()).ready);
}

TEST_F(proxy_core_test, older_configuration_never_replaces_a_newer_one)
{
    EXPECT_TRUE(
        deployment_.core.set_catalog(std::make_shared<const proxy_catalog>(make_contents(5))));
    EXPECT_FALSE(
        deployment_.core.set_catalog(std::make_shared<const proxy_catalog>(make_contents(4))));
    EXPECT_EQ(deployment_.core.catalog()->version(), 5U);
}

TEST_F(proxy_core_test, stopping_vm_is_not_ready_and_refuses_new_requests_when_told)
{
    deployment_.core.begin_stop(time_point::max());
    EXPECT_FALSE(deployment_.core.ready(deployment_.clock.now()).ready);
    EXPECT_TRUE(deployment_.core.admit(deployment_.request("/report/1"), deployment_.clock.now())
                    .has_value());
    deployment_.core.refuse_new_requests();
    EXPECT_EQ(refusal(deployment_.request("/report/1")), error_code::shutting_down);
}

TEST_F(proxy_core_test, answer_to_a_request_that_comes_during_a_stop_is_due_before_its_end)
{
    const time_point now = deployment_.clock.now();
    deployment_.core.begin_stop(now + 3s);
    const auto admitted = deployment_.core.admit(deployment_.request("/report/1"), now);
    ASSERT_TRUE(admitted.has_value());
    EXPECT_EQ(admitted->answer_deadline, now + 3s);
}

TEST_F(proxy_core_test, replica_of_the_own_region_is_preferred)
{
    for (int i = 0; i < 20; ++i) {
        auto request = deployment_.request("/read/1");
        const auto admitted = deployment_.core.admit(request, deployment_.clock.now());
        const auto placed = deployment_.core.place(*admitted, request, {}, deployment_.clock.now());
        ASSERT_TRUE(placed.has_value());
        EXPECT_NE(placed->distance, locality::remote);
        deployment_.core.finish(*placed, {}, deployment_.clock.now());
    }
}

TEST_F(proxy_core_test, vms_agree_on_the_home_of_a_shared_prefix)
{
    proxy_deployment other{"vm-2"};
    for (std::uint64_t id = 0; id < 20; ++id) {
        auto request = deployment_.request("/report/1");
        request.prompt_tokens = 8000;
        request.parts = {{id, 6000}, {1000 + id, 2000}};
        const auto first =
            deployment_.core.place(*deployment_.core.admit(request, deployment_.clock.now()),
                                   request, {}, deployment_.clock.now());
        const auto second = other.core.place(*other.core.admit(request, other.clock.now()), request,
                                             {}, other.clock.now());
        ASSERT_TRUE(first && second);
        EXPECT_EQ(first->upstream, second->upstream) << "Prefix " << id;
        deployment_.core.finish(*first, {}, deployment_.clock.now());
        other.core.finish(*second, {}, other.clock.now());
    }
}

TEST_F(proxy_core_test, session_keeps_its_version_in_the_first_half_of_a_rollout)
{
    std::set<std::string> sessions;
    for (int i = 0; i < 60; ++i) {
        sessions.insert("s" + std::to_string(i));
    }
    for (const auto& session : sessions) {
        EXPECT_EQ(software_for(session), "v1");
    }
    order_rollout();
    for (int second = 0; second < 9; ++second) {
        advance_with_confirmation(1s);
        for (const auto& session : sessions) {
            EXPECT_EQ(software_for(session), "v1") << "Session " << session;
        }
    }
    int fresh = 0;
    for (int i = 100; i < 400; ++i) {
        fresh += software_for("s" + std::to_string(i)) == "v2" ? 1 : 0;
    }
    EXPECT_GT(fresh, 0);
    EXPECT_LT(fresh, 45) << "The trial share is exceeded.";
}

TEST_F(proxy_core_test, software_that_appears_before_its_order_is_known_gets_no_requests)
{
    deployment_.core.note_position(followed_stream::operators, {{}, 1}, {{}, 1});
    deployment_.core.note_read(followed_stream::operators, deployment_.clock.now());
    deployment_.clock.advance(1s);
    deployment_.announce(make_replica("new-a", "engine", "a", "v2"));
    deployment_.core.tick(deployment_.clock.now());
    EXPECT_TRUE(deployment_.core.has_unverified_software());
    for (int i = 0; i < 50; ++i) {
        EXPECT_EQ(software_for("s" + std::to_string(i)), "v1");
    }
    deployment_.clock.advance(1s);
    deployment_.core.note_position(followed_stream::operators, {{}, 2}, {{}, 2});
    deployment_.core.note_read(followed_stream::operators, deployment_.clock.now());
    EXPECT_FALSE(deployment_.core.has_unverified_software()) << "No roll-out was ordered for it.";
}

// Guards against a VM that stops reading because of confirmations that concern another history.
TEST_F(proxy_core_test, read_by_a_peer_confirms_a_stream_in_the_same_epoch_only)
{
    constexpr auto stream = followed_stream::replicas;
    proxy_deployment other{"vm-0"};
    const auto until_read = [&](log_epoch epoch) {
        const log_position read_to{epoch, 1};
        other.core.note_position(stream, read_to, read_to);
        other.core.note_read(stream, other.clock.now());
        other.core.take_report(
            deployment_.core.make_report(report_scope::vm, deployment_.clock.now()),
            other.clock.now());
        deployment_.core.take_report(other.core.make_report(report_scope::vm, other.clock.now()),
                                     deployment_.clock.now());
        return deployment_.core.until_read(stream, deployment_.clock.now());
    };
    deployment_.core.note_position(stream, {log_epoch{2}, 5}, {log_epoch{2}, 5});
    EXPECT_EQ(until_read(log_epoch{1}), 0s);
    EXPECT_EQ(until_read(log_epoch{3}), 0s);
    EXPECT_GT(until_read(log_epoch{2}), 0s);
}

/// The store has come back from an older copy, in epoch 2, and lost configuration 2.
class lost_configuration_test : public proxy_core_test {
protected:
    void SetUp() override
    {
        deployment_.core.note_position(followed_stream::operators, old_copy, old_copy);
    }
    /// Reports of a VM that knows the configuration, and has read up to `position`.
    void hear_of(revision configuration, log_position position)
    {
        peer_report report;
        report.from = {vm_id{"vm-0"}, 1};
        report.domain = testing_proxy::make_settings().failure_domain;
        report.address = "vm-0:1";
        report.sequence = ++sequence_;
        report.configuration = configuration;
        report.position = position;
        deployment_.core.take_report(report, deployment_.clock.now());
    }
    bool admits() const
    {
        return deployment_.core.admit(deployment_.request("/report/1"), deployment_.clock.now())
            .has_value();
    }

    static constexpr log_position old_copy{log_epoch{2}, 1};
    std::uint64_t sequence_{0};
};

// Guards against a withdrawn key that works at a VM which knows the copy only (review/14).
TEST_F(lost_configuration_test, read_confirms_nothing_while_a_peer_knows_a_later_configuration)
{
    const duration validity = testing_proxy::make_settings().key_validity;
    hear_of(2, {log_epoch{1}, 2});
    EXPECT_TRUE(admits()) << "The confirmation from before the store's return holds for its time.";
    advance_with_confirmation(validity + 1ms);
    hear_of(2, {log_epoch{2}, 1});
    EXPECT_FALSE(admits());
    EXPECT_FALSE(deployment_.core.ready(deployment_.clock.now()).ready);
    deployment_.core.set_catalog(
        std::make_shared<const proxy_catalog>(testing_proxy::make_contents(2)));
    advance_with_confirmation(1ms);
    EXPECT_TRUE(admits()) << "The operators have written it again.";
}

TEST_F(lost_configuration_test, confirmation_from_after_the_return_is_taken_back)
{
    const duration validity = testing_proxy::make_settings().key_validity;
    advance_with_confirmation(validity + 1ms);
    ASSERT_TRUE(admits());
    hear_of(2, {log_epoch{2}, 1});
    EXPECT_FALSE(admits());
}

TEST_F(lost_configuration_test, configuration_that_is_still_to_be_read_takes_nothing_back)
{
    const duration validity = testing_proxy::make_settings().key_validity;
    advance_with_confirmation(validity + 1ms);
    hear_of(2, {log_epoch{2}, 2});
    EXPECT_TRUE(admits());
}

// Guards against a VM that lets a withdrawn key run before it has heard from those that know of it.
TEST_F(lost_configuration_test, started_vm_confirms_nothing_before_the_first_report)
{
    auto settings = testing_proxy::make_settings("vm-3");
    proxy_core started{settings, deployment_.counters, deployment_.clock.now()};
    started.peers().add_address("vm-0:1", settings.failure_domain);
    started.note_vms_known();
    started.set_catalog(std::make_shared<const proxy_catalog>(testing_proxy::make_contents(1)));
    started.note_position(followed_stream::operators, old_copy, old_copy);
    started.confirm(deployment_.clock.now());
    const auto age = [&] { return started.configuration_age(deployment_.clock.now()); };
    EXPECT_GT(age(), settings.key_validity);
    deployment_.clock.advance(1s);
    started.tick(deployment_.clock.now());
    EXPECT_EQ(age(), 1s) << "None of the VMs that were registered lives.";
}

TEST_F(proxy_core_test, session_keeps_its_version_when_it_moves_to_another_vm)
{
    proxy_deployment other{"vm-2"};
    std::vector<std::string> sessions;
    for (int i = 0; i < 300; ++i) {
        sessions.push_back("s" + std::to_string(i));
        software_for(sessions.back());
    }
    order_rollout();
    for (const char* domain : {"a", "b", "c"}) {
        other.announce(make_replica(std::string{"new-"} + domain, "engine", domain, "v2"));
    }
    other.core.rollouts().order({"engine", "v2", 20s}, other.clock.now());
    other.core.rollouts().note_published("engine", "v2", rollout_state::running);
    other.core.take_report(deployment_.core.make_report(report_scope::vm, deployment_.clock.now()),
                           other.clock.now());
    for (const auto& session : sessions) {
        auto request = other.request("/report/1", session);
        const auto admitted = other.core.admit(request, other.clock.now());
        const auto placed = other.core.place(*admitted, request, {}, other.clock.now());
        ASSERT_TRUE(placed.has_value());
        EXPECT_EQ(placed->software, "v1") << session;
        other.core.finish(*placed, {}, other.clock.now());
    }
}

TEST_F(proxy_core_test, sessions_that_a_trial_leaves_on_the_old_software_are_reported_at_once)
{
    int urgent = 0;
    deployment_.core.on_urgent_report([&urgent] { ++urgent; });
    std::vector<std::string> sessions;
    for (int i = 0; i < 300; ++i) {
        sessions.push_back("s" + std::to_string(i));
        software_for(sessions.back());
    }
    EXPECT_EQ(urgent, 0) << "Without a roll-out nothing is urgent.";
    order_rollout();
    for (const auto& session : sessions) {
        EXPECT_EQ(software_for(session), "v1");
    }
    EXPECT_GT(urgent, 0);
    EXPECT_LT(urgent, 45) << "Only sessions that the trial would expose are urgent.";
    const int before = urgent;
    for (int i = 0; i < 300; ++i) {
        software_for("new" + std::to_string(i));
    }
    EXPECT_EQ(urgent, before) << "All VMs choose the same software for a new session.";
}

TEST_F(proxy_core_test, halted_version_gets_no_requests_on_vms_that_received_the_halt)
{
    order_rollout();
    auto report =
        proxy_deployment{"vm-2"}.core.make_report(report_scope::vm, deployment_.clock.now());
    report.rollouts = {
        {{"engine", "v2", 20s}, 1s, rollout_state::rolled_back, std::nullopt, "bad"}};
    ASSERT_TRUE(deployment_.core.take_report(report, deployment_.clock.now()));
    for (int i = 0; i < 100; ++i) {
        EXPECT_EQ(software_for("n" + std::to_string(i)), "v1");
    }
}

// Guards against counting a rolled-back version as established software at the next order, which
// gave it half of the traffic (review/5).
class superseded_rollout_test : public proxy_core_test {
protected:
    void SetUp() override { order_rollout(); }

    void order(const std::string& software, revision number)
    {
        for (const char* domain : {"a", "b", "c"}) {
            deployment_.announce(make_replica(software + "-" + domain, "engine", domain, software));
        }
        deployment_.core.rollouts().order({"engine", software, 20s, number},
                                          deployment_.clock.now());
        deployment_.core.tick(deployment_.clock.now());
    }
    void publish(const std::string& software, rollout_state state)
    {
        deployment_.core.rollouts().note_published("engine", software, state);
    }
    /// Versions that serve new sessions.
    std::set<std::string> versions_in_use()
    {
        std::set<std::string> out;
        for (int i = 0; i < 200; ++i) {
            out.insert(software_for("u" + std::to_string(next_session_++)));
        }
        return out;
    }
    void remove_replicas_of(const std::string& software)
    {
        std::vector<upstream_id> ids;
        for (const auto& [id, entry] : deployment_.core.replicas().entries()) {
            if (entry.announcement.service == "engine" && entry.announcement.software == software) {
                ids.push_back(id);
            }
        }
        for (const auto& id : ids) {
            deployment_.core.replicas().withdraw(id, deployment_.clock.now());
        }
        advance_with_confirmation(5s);
    }

    using versions = std::set<std::string>;
    int next_session_{0};
};

TEST_F(superseded_rollout_test, rolled_back_version_gets_nothing_at_later_orders)
{
    publish("v2", rollout_state::rolled_back);
    deployment_.core.rollouts().order({"engine", "v3", 20s, 2}, deployment_.clock.now());
    EXPECT_EQ(versions_in_use(), versions{"v1"}) << "No replica of v3 is known yet.";
    order("v3", 2);
    publish("v3", rollout_state::running);
    EXPECT_EQ(versions_in_use(), (versions{"v1", "v3"}));
    publish("v3", rollout_state::rolled_back);
    EXPECT_EQ(versions_in_use(), versions{"v1"});
    order("v4", 3);
    publish("v4", rollout_state::running);
    EXPECT_EQ(versions_in_use(), (versions{"v1", "v4"}));
}

TEST_F(superseded_rollout_test, unpublished_halt_outlasts_the_next_order)
{
    auto report =
        proxy_deployment{"vm-2"}.core.make_report(report_scope::vm, deployment_.clock.now());
    report.rollouts = {
        {{"engine", "v2", 20s}, 1s, rollout_state::rolled_back, std::nullopt, "bad"}};
    ASSERT_TRUE(deployment_.core.take_report(report, deployment_.clock.now()));
    order("v3", 2);
    EXPECT_EQ(versions_in_use(), versions{"v1"});
}

// A VM may learn of an order before it learns how the one before ended, or that one may never end.
TEST_F(superseded_rollout_test, version_whose_outcome_is_unknown_gets_nothing_until_it_is_known)
{
    order("v3", 2);
    EXPECT_EQ(versions_in_use(), versions{"v1"});
    proxy_deployment other{"vm-2"};
    auto report = other.core.make_report(report_scope::vm, deployment_.clock.now());
    report.outcomes = {{"engine", "v2", 1, rollout_state::complete}};
    ASSERT_TRUE(deployment_.core.take_report(report, deployment_.clock.now()));
    EXPECT_EQ(versions_in_use(), (versions{"v1", "v2"}));
}

TEST_F(superseded_rollout_test,
       outcome_of_an_earlier_order_is_taken_from_the_store_and_from_reports)
{
    for (const bool by_report : {false, true}) {
        // A VM that starts late knows neither the earlier order nor its outcome.
        proxy_deployment other{"vm-2"};
        for (const char* version : {"v2", "v3"}) {
            other.announce(make_replica(std::string{"x-"} + version, "engine", "a", version));
        }
        other.core.rollouts().order({"engine", "v3", 20s, 2}, other.clock.now());
        if (by_report) {
            publish("v2", rollout_state::rolled_back);
            order("v3", 2);
            const auto report =
                deployment_.core.make_report(report_scope::vm, deployment_.clock.now());
            ASSERT_TRUE(other.core.take_report(report, other.clock.now()));
        }
        else {
            other.core.rollouts().note_published("engine", "v2", rollout_state::rolled_back);
        }
        other.core.tick(other.clock.now());
        EXPECT_TRUE(other.core.rollouts().is_rolled_back("engine", "v2"));
        EXPECT_FALSE(other.core.rollouts().is_established("engine", "v2"));
        EXPECT_TRUE(other.core.rollouts().is_established("engine", "v1"));
    }
}

TEST_F(superseded_rollout_test, rolled_back_version_is_excluded_while_no_order_is_known)
{
    proxy_deployment other{"vm-2"};
    other.announce(make_replica("x", "engine", "a", "v2"));
    other.core.rollouts().note_outcome({"engine", "v2", 1, rollout_state::rolled_back});
    other.core.tick(other.clock.now());
    for (int i = 0; i < 50; ++i) {
        auto request = other.request("/report/1", "s" + std::to_string(i));
        const auto admitted = other.core.admit(request, other.clock.now());
        const auto placed = other.core.place(*admitted, request, {}, other.clock.now());
        ASSERT_TRUE(placed.has_value());
        EXPECT_EQ(placed->software, "v1");
        other.core.finish(*placed, {}, other.clock.now());
    }
}

TEST_F(superseded_rollout_test, rolled_back_version_serves_only_if_no_other_has_replicas)
{
    publish("v2", rollout_state::rolled_back);
    order("v3", 2);
    remove_replicas_of("v1");
    EXPECT_EQ(versions_in_use(), versions{"v3"});
    remove_replicas_of("v3");
    EXPECT_EQ(versions_in_use(), versions{"v2"});
}

TEST_F(superseded_rollout_test, retry_does_not_stay_at_a_version_that_was_rolled_back)
{
    publish("v2", rollout_state::rolled_back);
    order("v3", 2);
    publish("v3", rollout_state::running);
    send_history history;
    history.software = "v2";
    auto request = deployment_.request("/report/1", "s");
    const auto admitted = deployment_.core.admit(request, deployment_.clock.now());
    const auto placed =
        deployment_.core.place(*admitted, request, history, deployment_.clock.now());
    ASSERT_TRUE(placed.has_value());
    EXPECT_NE(placed->software, "v2");
}

TEST_F(superseded_rollout_test, exclusion_ends_some_time_after_the_last_replica_has_gone)
{
    publish("v2", rollout_state::rolled_back);
    order("v3", 2);
    for (int i = 0; i < 20; ++i) {
        advance_with_confirmation(60s);
    }
    EXPECT_TRUE(deployment_.core.rollouts().is_rolled_back("engine", "v2"))
        << "Replicas of the version are still there.";
    remove_replicas_of("v2");
    advance_with_confirmation(10s);
    EXPECT_TRUE(
        deployment_.core.make_report(report_scope::vm, deployment_.clock.now()).outcomes.empty());
    advance_with_confirmation(600s);
    EXPECT_FALSE(deployment_.core.rollouts().is_rolled_back("engine", "v2"));
}

// A version several times slower than the established one may still answer within the target.
TEST_F(proxy_core_test, answer_is_slow_when_it_takes_several_times_as_long_as_established_software)
{
    auto request = deployment_.request("/report/1");
    request.prompt_tokens = 1000;
    const auto admitted = deployment_.core.admit(request, deployment_.clock.now());
    const auto answer = [&](duration first_token) {
        const auto placed = deployment_.core.place(*admitted, request, {}, deployment_.clock.now());
        deployment_.core.note_first_token(*placed, first_token, deployment_.clock.now());
        deployment_.core.finish(*placed, {}, deployment_.clock.now());
        deployment_.clock.advance(20ms);
        return *placed;
    };
    placement trial = answer(100ms);
    EXPECT_FALSE(deployment_.core.is_slow_first_token(trial, 1000, 400ms, deployment_.clock.now()))
        << "Too little is known of the established software.";
    for (int i = 0; i < 60; ++i) {
        trial = answer(100ms);
    }
    order_rollout();
    trial.software = "v2";
    trial.engine.software = "v2";
    trial.on_trial = true;
    const auto slow = [&](duration first_token) {
        return deployment_.core.is_slow_first_token(trial, 1000, first_token,
                                                    deployment_.clock.now());
    };
    EXPECT_TRUE(slow(400ms));
    EXPECT_FALSE(slow(150ms));
    trial.waits = true;
    EXPECT_FALSE(slow(400ms)) << "A request that waited for a slot says nothing of the software.";
}

TEST_F(proxy_core_test, combined_evidence_of_several_vms_halts_a_rollout)
{
    order_rollout();
    const version_id group{"engine@v2#"};
    for (int vm = 2; vm <= 6; ++vm) {
        auto report = proxy_deployment{"vm-" + std::to_string(vm)}.core.make_report(
            report_scope::vm, deployment_.clock.now());
        report.evidence = {{group, {.answers = 6, .errors = 3}}};
        deployment_.core.take_report(report, deployment_.clock.now());
    }
    const auto due = deployment_.core.tick(deployment_.clock.now());
    ASSERT_EQ(due.size(), 1U);
    EXPECT_EQ(due[0].state, rollout_state::rolled_back);
}

TEST_F(proxy_core_test, peer_report_confirms_only_up_to_the_start_of_its_read)
{
    proxy_deployment peer{"vm-2"};
    peer.core.confirm(peer.clock.now());
    const auto own = deployment_.core.make_report(report_scope::vm, deployment_.clock.now());
    deployment_.clock.advance(3s);
    peer.clock.advance(3s);
    peer.core.take_report(own, peer.clock.now());
    peer.core.confirm(peer.clock.now() - 500ms);
    deployment_.core.take_report(peer.core.make_report(report_scope::vm, peer.clock.now()),
                                 deployment_.clock.now());
    // The peer's report was sent after this VM's report of three seconds ago, and the peer's read
    // began half a second before it was sent.
    EXPECT_EQ(deployment_.core.configuration_age(deployment_.clock.now()), 3s)
        << "This VM's own confirmation of three seconds ago is later.";
    const auto later = deployment_.core.make_report(report_scope::vm, deployment_.clock.now());
    peer.core.take_report(later, peer.clock.now());
    deployment_.core.take_report(peer.core.make_report(report_scope::vm, peer.clock.now()),
                                 deployment_.clock.now());
    EXPECT_EQ(deployment_.core.configuration_age(deployment_.clock.now()), 500ms);
}

TEST_F(proxy_core_test, peer_with_another_configuration_confirms_nothing)
{
    proxy_deployment peer{"vm-2"};
    peer.core.set_catalog(std::make_shared<const proxy_catalog>(make_contents(2)));
    deployment_.clock.advance(2s);
    peer.core.take_report(deployment_.core.make_report(report_scope::vm, deployment_.clock.now()),
                          peer.clock.now());
    peer.core.confirm(peer.clock.now());
    deployment_.core.take_report(peer.core.make_report(report_scope::vm, peer.clock.now()),
                                 deployment_.clock.now());
    EXPECT_EQ(deployment_.core.configuration_age(deployment_.clock.now()), 2s);
}

/// A VM whose machine has just booted, so that its clock is near its epoch, knows the configuration
/// from another VM and has not read the store.
class booted_vm_test : public ::testing::Test {
protected:
    booted_vm_test()
    {
        booted_.set_catalog(std::make_shared<const proxy_catalog>(make_contents(1)));
    }

    const time_point now_{2s};
    metrics counters_;
    proxy_core booted_{make_settings("vm-2"), counters_, now_};
};

// Guards against taking the time since the boot for the age of a confirmation.
TEST_F(booted_vm_test, key_is_refused_as_not_run_before_the_first_confirmation)
{
    proxied_request request = proxy_deployment{}.request("/publish/1");
    const auto refused = booted_.admit(request, now_);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().code, error_code::not_ready);
    request.key = "unknown";
    const auto unknown = booted_.admit(request, now_);
    ASSERT_FALSE(unknown);
    EXPECT_EQ(unknown.error().code, error_code::not_ready);
    EXPECT_FALSE(booted_.ready(now_).ready);
    booted_.confirm(now_);
    EXPECT_TRUE(booted_.admit(proxy_deployment{}.request("/publish/1"), now_));
}

// Guards against a report that confirms a configuration which its sender has never confirmed.
TEST_F(booted_vm_test, report_before_the_first_confirmation_confirms_nothing_elsewhere)
{
    proxy_deployment other;
    other.clock.advance(10s);
    booted_.take_report(other.core.make_report(report_scope::vm, other.clock.now()), now_);
    const auto report =
        decode_peer_report(encode_peer_report(booted_.make_report(report_scope::vm, now_)));
    ASSERT_TRUE(report);
    ASSERT_TRUE(other.core.take_report(*report, other.clock.now()));
    EXPECT_EQ(other.core.configuration_age(other.clock.now()), 10s);
    EXPECT_FALSE(other.core.admit(other.request("/publish/1"), other.clock.now()))
        << "The key may have been revoked.";
}

/// All VMs together share one repeat slack, however many there are.
TEST_F(proxy_core_test, repeats_of_many_vms_stay_within_their_common_slack)
{
    constexpr int vms = 90;
    for (int i = 0; i < vms - 1; ++i) {
        deployment_.core.peers().add_address("10.0.0." + std::to_string(i) + ":1",
                                             failure_domain_id{i % 2 == 0 ? "a" : "b"});
    }
    auto request = deployment_.request("/read/1");
    const auto admitted = deployment_.core.admit(request, deployment_.clock.now());
    double repeats = 0;
    while (deployment_.core.repeats_left(*admitted, deployment_.clock.now())) {
        deployment_.core.spend_repeat(*admitted, deployment_.clock.now());
        ++repeats;
    }
    EXPECT_LE(repeats * vms, testing_proxy::make_settings().repeat_slack);
}

TEST_F(proxy_core_test, reordered_report_is_ignored)
{
    proxy_deployment peer{"vm-2"};
    const auto first = peer.core.make_report(report_scope::vm, peer.clock.now());
    const auto second = peer.core.make_report(report_scope::vm, peer.clock.now());
    EXPECT_TRUE(deployment_.core.take_report(second, deployment_.clock.now()));
    EXPECT_FALSE(deployment_.core.take_report(first, deployment_.clock.now()));
    EXPECT_FALSE(deployment_.core.take_report(second, deployment_.clock.now()));
}

/// Random sequences of reads, reports, losses and suspensions on three VMs: no VM uses a revoked
/// key later than the bound, measured from the acknowledgement of the change.
RC_GTEST_PROP(proxy_core_property, revoked_key_is_used_nowhere_after_its_bound, ())
{
    constexpr duration bound = 5s;
    std::vector<std::unique_ptr<proxy_deployment>> vms;
    for (int i = 0; i < 3; ++i) {
        vms.push_back(std::make_unique<proxy_deployment>("vm-" + std::to_string(i)));
        vms.back()->core.set_configuration_age_limits(bound - 500ms, 2s);
    }
    auto revoked = make_contents(2);
    revoked.teams->front().keys = {"key-9"};
    const auto next = std::make_shared<const proxy_catalog>(std::move(revoked));
    std::optional<time_point> acknowledged_at;
    const auto n = *rc::gen::inRange(20, 120);
    for (int step = 0; step < n; ++step) {
        const auto passed = std::chrono::milliseconds{*rc::gen::inRange(0, 700)};
        for (const auto& vm : vms) {
            vm->clock.advance(passed);
        }
        auto& vm = *vms[*rc::gen::inRange<std::size_t>(0, vms.size())];
        const time_point now = vm.clock.now();
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            acknowledged_at = acknowledged_at.value_or(now);
            break;
        case 1: // A read reaches the store.
            if (acknowledged_at) {
                vm.core.set_catalog(next);
            }
            vm.core.confirm(now);
            break;
        case 2: { // A report arrives.
            auto& other = *vms[*rc::gen::inRange<std::size_t>(0, vms.size())];
            other.core.take_report(vm.core.make_report(report_scope::vm, now), now);
            break;
        }
        default: // Reports and reads are lost.
            (void)vm.core.make_report(report_scope::vm, now);
            break;
        }
        for (const auto& it : vms) {
            const bool used = it->core.admit(it->request("/report/1"), now).has_value();
            RC_ASSERT(!used || !acknowledged_at || now <= *acknowledged_at + bound);
        }
    }
}

} // namespace
} // namespace wagtailhitch
