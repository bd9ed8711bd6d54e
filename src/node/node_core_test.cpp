#include "billing/bill_ledger.hpp"
#include "node/test_deployment.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace wagtailhitch {
namespace {

class node_core_test : public testing::Test {
protected:
    node_core_test()
    {
        net_.submit(test_document());
        net_.run_for(8s);
    }

    bill_ledger ledger()
    {
        bill_ledger out;
        for (const auto& record : net_.stream("bills")) {
            out.apply(record.offset, *decode_bill_batch(*base64url_decode(record.data)));
        }
        return out;
    }
    caller_request keyed(const std::string& key, const std::string& payload = "revision 7")
    {
        auto out = test_call("post", payload);
        out.idempotency_key = key;
        return out;
    }
    /// Exposed share of a version on each VM, in basis points.
    std::vector<int> exposed_shares(const std::string& version)
    {
        std::vector<int> out;
        for (const std::string vm : {"a1", "a2", "a3", "b1", "b2"}) {
            for (const auto& entry : (*net_.state(vm).status)["versions"]) {
                if (entry["version"] == version) {
                    out.push_back(entry["exposed_basis_points"]);
                }
            }
        }
        return out;
    }
    std::size_t runs() const { return net_.executions().size(); }
    /// Sends requests through a1 until all engines have refused one.
    void ask_all_for_quiet(duration time)
    {
        for (const char* engine : {"engine-a1", "engine-a2", "engine-b1", "engine-b2"}) {
            net_.quiet[upstream_id{engine}] = time;
        }
        for (int i = 0; i < 4; ++i) {
            net_.call("a1", test_chat("report"));
            net_.run_for(100ms);
        }
        EXPECT_EQ(net_.refused_while_quiet.size(), net_.quiet.size());
        net_.refused_while_quiet.clear();
    }

    test_deployment net_{{"a1", "a2", "a3", "b1", "b2"}};
    static constexpr auto whole_answer =
        "good-1:0 good-1:1 good-1:2 good-1:3 good-1:4 good-1:5 good-1:6 good-1:7 ";
};

TEST_F(node_core_test, configuration_of_the_log_is_in_force_on_every_vm)
{
    for (const std::string vm : {"a1", "a2", "a3", "b1", "b2"}) {
        EXPECT_TRUE(net_.state(vm).ready)
            << vm << " is not ready: " << net_.state(vm).not_ready_reason;
        EXPECT_EQ((*net_.state(vm).in_force)["revision"], net_.submitted_revision()) << "on " << vm;
    }
}

// Guards against an incomplete answer, and against a missing or repeated bill.
TEST_F(node_core_test, chat_is_answered_whole_and_billed_once)
{
    auto& answer = net_.call("a1", test_chat("report", true));
    net_.run_for(4s);
    ASSERT_FALSE(answer.failure) << answer.failure->detail;
    EXPECT_EQ(answer.content, whole_answer);
    EXPECT_TRUE(answer.ended);
    EXPECT_EQ(ledger().bill_ids(), 1U);
    EXPECT_EQ(ledger().total().generated_tokens, 8U);
}

// Guards against missing or repeated tokens after an interrupted stream.
TEST_F(node_core_test, broken_stream_is_resumed_without_losing_or_repeating_tokens)
{
    net_.break_stream_after = 5;
    auto& answer = net_.call("a1", test_chat("report", true));
    net_.run_for(4s);
    ASSERT_FALSE(answer.failure) << answer.failure->detail;
    EXPECT_EQ(answer.content, whole_answer);
    EXPECT_EQ(ledger().bill_ids(), 1U);
    EXPECT_EQ(ledger().total().generated_tokens, 8U);
}

TEST_F(node_core_test, unreachable_engine_is_replaced_by_another)
{
    net_.unreachable = {upstream_id{"engine-a1"}};
    for (int i = 0; i < 4; ++i) {
        auto& answer = net_.call("a1", test_chat("report"));
        net_.run_for(2s);
        ASSERT_FALSE(answer.failure) << answer.failure->detail;
        EXPECT_EQ(answer.content, whole_answer);
    }
}

// Guards against sending requests to an upstream that has asked for none.
TEST_F(node_core_test, upstream_that_asks_for_quiet_gets_no_request_until_then)
{
    net_.quiet = {{upstream_id{"engine-a1"}, 5s}};
    for (int i = 0; i < 20; ++i) {
        auto& answer = net_.call("a1", test_chat("report"));
        net_.run_for(200ms);
        ASSERT_FALSE(answer.failure) << answer.failure->detail;
    }
    EXPECT_EQ(net_.refused_while_quiet.size(), 1U);
    net_.run_for(2s);
    for (int i = 0; i < 20; ++i) {
        net_.call("a1", test_chat("report"));
    }
    net_.run_for(1s);
    EXPECT_LE(net_.refused_while_quiet.size(), 2U) << "One request tests it afterwards.";
}

TEST_F(node_core_test, request_waits_while_all_upstreams_are_quiet_for_a_short_time)
{
    ask_all_for_quiet(2s);
    net_.quiet.clear();
    auto& answer = net_.call("a1", test_chat("report"));
    net_.run_for(100ms);
    EXPECT_FALSE(answer.started);
    EXPECT_FALSE(answer.failure);
    net_.run_for(5s);
    ASSERT_FALSE(answer.failure) << answer.failure->detail;
    EXPECT_EQ(answer.content, whole_answer);
}

// Guards against an upstream that gets one request at a time for good after it was quiet.
TEST_F(node_core_test, upstreams_take_many_requests_again_after_their_quiet)
{
    const auto sent_at_once = [this] {
        const std::size_t before = runs();
        for (int i = 0; i < 16; ++i) {
            net_.call("a1", test_chat("report"));
        }
        net_.run_for(15ms);
        return runs() - before;
    };
    const auto usual = sent_at_once();
    net_.run_for(5s);
    ask_all_for_quiet(1s);
    net_.quiet.clear();
    net_.run_for(2s);
    for (int i = 0; i < 8; ++i) {
        net_.call("a1", test_chat("report"));
        net_.run_for(500ms);
    }
    EXPECT_EQ(sent_at_once(), usual);
}

TEST_F(node_core_test, request_is_refused_at_once_while_all_upstreams_are_quiet_beyond_its_time)
{
    ask_all_for_quiet(50s);
    auto& answer = net_.call("a1", test_chat("report"));
    net_.run_for(100ms);
    ASSERT_TRUE(answer.failure);
    EXPECT_EQ(answer.failure->run, run_state::not_run);
    EXPECT_GE(answer.failure->retry_after.value_or(0s), 40s) << "When an upstream is free.";
    EXPECT_TRUE(net_.refused_while_quiet.empty());
}

// Guards against new work for an upstream that has said in an answer that it is about to stop.
TEST_F(node_core_test, upstream_that_says_that_it_leaves_gets_no_work_from_any_vm_of_its_domain)
{
    net_.leaving = {upstream_id{"engine-a1"}};
    for (int i = 0; i < 10; ++i) {
        net_.call("a1", test_chat("report"));
        net_.run_for(200ms);
    }
    net_.run_for(3s);
    const auto sent_to_leaving = [this] {
        return std::ranges::count(net_.executions(), upstream_id{"engine-a1"},
                                  &test_execution::upstream);
    };
    const auto before = sent_to_leaving();
    EXPECT_GT(before, 0) << "It was never used, so the test shows nothing.";
    for (int i = 0; i < 10; ++i) {
        for (const char* vm : {"a1", "a2", "a3"}) {
            net_.call(vm, test_chat("report"));
        }
        net_.run_for(200ms);
    }
    EXPECT_EQ(sent_to_leaving(), before);
}

// Guards against a model outside the team's list being served.
TEST_F(node_core_test, model_outside_the_teams_list_is_refused_as_not_run)
{
    auto doc = test_document();
    doc.teams.at(team_id{"test"}).allowed = {"cheap"};
    net_.submit(doc);
    net_.run_for(3s);
    auto& answer = net_.call("a1", test_chat("good"));
    ASSERT_TRUE(answer.failure);
    EXPECT_EQ(answer.failure->code, error_code::model_not_allowed);
    EXPECT_EQ(answer.failure->run, run_state::not_run);
    EXPECT_EQ(runs(), 0U);
}

// Guards against a key that is run twice when it is sent through two VMs at the same time.
TEST_F(node_core_test, key_sent_through_three_vms_at_once_runs_once)
{
    auto& first = net_.call("a1", keyed("k-1"));
    auto& second = net_.call("a2", keyed("k-1"));
    auto& third = net_.call("b1", keyed("k-1"));
    net_.run_for(5s);
    EXPECT_EQ(runs(), 1U);
    for (const auto* answer : {&first, &second, &third}) {
        ASSERT_FALSE(answer->failure) << answer->failure->detail;
        EXPECT_EQ(answer->content, "done revision 7");
    }
    EXPECT_EQ(ledger().bill_ids(), 1U);
}

TEST_F(node_core_test, key_reused_for_another_request_is_refused)
{
    net_.call("a1", keyed("k-1"));
    net_.run_for(3s);
    auto& other = net_.call("a2", keyed("k-1", "revision 8"));
    net_.run_for(3s);
    ASSERT_TRUE(other.failure);
    EXPECT_EQ(other.failure->code, error_code::key_mismatch);
    EXPECT_EQ(runs(), 1U);
}

// Guards against a repeat through another VM running the call again after its owner was killed.
TEST_F(node_core_test, key_whose_owner_was_killed_is_outcome_unknown_and_not_run_again)
{
    net_.service_time = 20s;
    net_.call("a1", keyed("k-1"));
    net_.run_for(2s);
    ASSERT_EQ(runs(), 1U);
    net_.kill("a1");
    net_.run_for(15s);
    auto& repeat = net_.call("a2", keyed("k-1"));
    net_.run_for(65s);
    ASSERT_TRUE(repeat.failure);
    EXPECT_EQ(repeat.failure->run, run_state::outcome_unknown);
    EXPECT_EQ(runs(), 1U);
}

// Guards against a second run when the log stored the claim but its reply was lost.
TEST_F(node_core_test, lost_log_replies_do_not_run_a_key_twice)
{
    net_.lose_log_replies = true;
    auto& answer = net_.call("a1", keyed("k-1"));
    net_.run_for(10s);
    net_.lose_log_replies = false;
    net_.run_for(10s);
    ASSERT_FALSE(answer.failure) << answer.failure->detail;
    EXPECT_EQ(runs(), 1U);
    EXPECT_EQ(ledger().bill_ids(), 1U) << "Repeated bill records must be merged into one bill.";
}

// Guards against "not_run" for a key that may have been used before, while the log is unreachable.
TEST_F(node_core_test, key_while_the_log_is_unreachable_is_not_run_only_on_first_use)
{
    net_.log_unreachable = true;
    net_.run_for(10s);
    auto& possible_repeat = net_.call("a1", keyed("k-1"));
    auto first_use = keyed("k-2");
    first_use.first_use = true;
    auto& declared_first_use = net_.call("a1", first_use);
    net_.run_for(70s);
    ASSERT_TRUE(possible_repeat.failure);
    EXPECT_EQ(possible_repeat.failure->run, run_state::outcome_unknown);
    ASSERT_TRUE(declared_first_use.failure);
    EXPECT_EQ(declared_first_use.failure->run, run_state::not_run);
    net_.log_unreachable = false;
    net_.run_for(30s);
    EXPECT_EQ(runs(), 0U) << "A refused call must not run when the log is reachable again.";
}

// Guards against tickets that depend on the log or on peers of other domains.
TEST_F(node_core_test, ticket_runs_once_while_the_log_is_unreachable)
{
    net_.log_unreachable = true;
    net_.run_for(3s);
    caller_request ticket_request;
    ticket_request.kind = caller_request_kind::issue_ticket;
    auto& issued = net_.call("a1", ticket_request);
    auto call = test_call("post", "credit 3");
    call.ticket = nlohmann::json::parse(issued.content)["ticket"];
    auto& first = net_.call("a1", call);
    net_.run_for(1s);
    auto& through_other = net_.call("a2", call);
    net_.run_for(1s);
    EXPECT_EQ(first.content, "done credit 3");
    EXPECT_EQ(through_other.content, "done credit 3");
    EXPECT_EQ(runs(), 1U);
}

TEST_F(node_core_test, ticket_of_a_killed_process_stays_outcome_unknown)
{
    caller_request ticket_request;
    ticket_request.kind = caller_request_kind::issue_ticket;
    auto& issued = net_.call("a1", ticket_request);
    auto call = test_call("post", "credit 3");
    call.ticket = nlohmann::json::parse(issued.content)["ticket"];
    net_.kill("a1");
    net_.run_for(15s);
    net_.restart("a1");
    net_.run_for(10s);
    for (const std::string vm : {"a1", "a2"}) {
        auto& answer = net_.call(vm, call);
        net_.run_for(70s);
        ASSERT_TRUE(answer.failure) << "through " << vm;
        EXPECT_EQ(answer.failure->run, run_state::outcome_unknown) << "through " << vm;
    }
    EXPECT_EQ(runs(), 0U);
}

// Guards against a call without a key being retried after it may have begun.
TEST_F(node_core_test, call_without_key_is_sent_once_to_a_silent_service)
{
    net_.silent = {upstream_id{"service-a"}, upstream_id{"service-b"}};
    auto& answer = net_.call("a1", test_call("post", "credit"));
    net_.run_for(70s);
    ASSERT_TRUE(answer.failure);
    EXPECT_EQ(answer.failure->run, run_state::outcome_unknown);
    EXPECT_EQ(runs(), 1U);
}

// Guards against bills that are lost with the VM that answered.
TEST_F(node_core_test, bills_of_a_killed_vm_are_appended_by_its_peers)
{
    net_.log_unreachable = true;
    for (int i = 0; i < 5; ++i) {
        net_.call("a1", test_chat("report"));
    }
    net_.run_for(2s);
    net_.kill("a1");
    net_.run_for(20s);
    net_.log_unreachable = false;
    net_.run_for(20s);
    EXPECT_EQ(ledger().bill_ids(), 5U);
    EXPECT_TRUE(ledger().balanced());
}

TEST_F(node_core_test, refused_request_has_no_bill)
{
    net_.unreachable = {upstream_id{"engine-a1"}, upstream_id{"engine-a2"},
                        upstream_id{"engine-b1"}, upstream_id{"engine-b2"}};
    auto& answer = net_.call("a1", test_chat("report"));
    net_.run_for(40s);
    ASSERT_TRUE(answer.failure);
    EXPECT_EQ(ledger().bill_ids(), 0U);
}

// Guards against new work for a withdrawn version, also from a session pinned to it.
TEST_F(node_core_test, session_of_a_withdrawn_version_moves_and_reports_the_change)
{
    auto doc = test_document();
    auto& versions = doc.models.at(model_id{"good"}).versions;
    versions[version_id{"good-2"}].cost_per_1k_output = 9;
    for (auto& [id, upstream] : doc.upstreams) {
        if (upstream.kind == upstream_kind::engine) {
            upstream.versions.push_back(version_id{"good-2"});
        }
    }
    net_.submit(doc);
    net_.run_for(3s);
    auto& before = net_.call("a1", test_chat("report"));
    net_.run_for(1s);
    const auto held = version_id{before.version};
    const auto other = version_id{held.value == "good-1" ? "good-2" : "good-1"};
    auto follow = test_chat("report");
    follow.session_token = before.headers.at("Wagtailhitch-Session");
    auto& kept = net_.call("b1", follow);
    net_.run_for(1s);
    EXPECT_EQ(kept.version, held.value) << "A session must keep its version on every VM.";
    versions.at(held).state = version_state::withdrawn;
    versions.at(held).replacement = other;
    net_.submit(doc);
    net_.run_for(5s);
    auto& moved = net_.call("a2", follow);
    net_.run_for(1s);
    ASSERT_FALSE(moved.failure) << moved.failure->detail;
    EXPECT_EQ(moved.version, other.value);
    EXPECT_EQ(moved.headers.at("Wagtailhitch-Version-Changed"),
              held.value + " " + other.value + " withdrawn");
}

// A document in which "good-2" rolls out in two stages.
document rolling_document(cut_off_policy when_cut_off)
{
    auto doc = test_document();
    auto& version = doc.models.at(model_id{"good"}).versions[version_id{"good-2"}];
    version.state = version_state::rolling;
    version.when_cut_off = when_cut_off;
    version.rollout = {{2000, 0, 2s}, {10000, 0, 1h}};
    for (auto& [id, upstream] : doc.upstreams) {
        if (upstream.kind == upstream_kind::engine) {
            upstream.versions.push_back(version_id{"good-2"});
        }
    }
    return doc;
}

// Guards against a roll-out that no VM advances, or that each VM advances independently.
TEST_F(node_core_test, rolling_version_is_exposed_in_the_same_steps_on_every_vm)
{
    net_.submit(rolling_document(cut_off_policy::stop));
    net_.run_for(4s);
    const auto first = exposed_shares("good-2");
    EXPECT_EQ(first, std::vector<int>(5, 2000));
    for (int i = 0; i < 40; ++i) {
        net_.call("a1", test_chat("report"));
        net_.run_for(100ms);
    }
    net_.run_for(10s);
    EXPECT_EQ(exposed_shares("good-2"), std::vector<int>(5, 10000));
}

// Guards against a bad version that keeps its exposure.
TEST_F(node_core_test, failing_version_is_halted_everywhere)
{
    net_.failing = {version_id{"good-2"}};
    net_.submit(rolling_document(cut_off_policy::stop));
    net_.run_for(4s);
    int failed = 0;
    for (int i = 0; i < 150; ++i) {
        auto& answer = net_.call(i % 2 == 0 ? "a1" : "a2", test_chat("report"));
        net_.run_for(100ms);
        failed += answer.failure ? 1 : 0;
    }
    net_.run_for(5s);
    EXPECT_EQ(exposed_shares("good-2"), std::vector<int>(5, 0)) << failed << " requests failed.";
}

// Guards against exposure to a version whose halt or withdrawal can no longer be received.
TEST_F(node_core_test, cut_off_vm_stops_rolling_versions_and_serves_settled_ones)
{
    net_.submit(rolling_document(cut_off_policy::stop));
    net_.run_for(20s);
    net_.log_unreachable = true;
    net_.run_for(10s);
    for (int i = 0; i < 20; ++i) {
        auto& answer = net_.call("a1", test_chat("report"));
        net_.run_for(100ms);
        ASSERT_FALSE(answer.failure) << answer.failure->detail;
        EXPECT_EQ(answer.version, "good-1");
    }
}

// Guards against a planned stop that cuts off requests or loses their bills.
TEST_F(node_core_test, planned_stop_finishes_requests_and_hands_bills_over)
{
    net_.service_time = 3s;
    auto& answer = net_.call("a1", test_chat("report", true));
    auto& call = net_.call("a1", test_call("post", "credit"));
    net_.run_for(100ms);
    net_.stop("a1");
    net_.run_for(1s);
    EXPECT_FALSE(net_.state("a1").ready);
    auto& late = net_.call("a1", test_chat("report"));
    net_.run_for(12s);
    EXPECT_EQ(answer.content, whole_answer);
    EXPECT_EQ(call.content, "done credit");
    EXPECT_EQ(late.content, whole_answer) << "The balancer may still send requests for a moment.";
    EXPECT_TRUE(net_.has_stopped("a1"));
    EXPECT_EQ(ledger().bill_ids(), 3U);
}

// Guards against requests that are admitted after the grace period and cut off by the end of the
// process: the time limit of the handover was once used as that of the grace period.
TEST_F(node_core_test, request_after_the_grace_period_of_a_stop_is_refused_as_not_run)
{
    net_.log_unreachable = true;
    net_.call("a1", test_chat("report"));
    net_.run_for(100ms);
    net_.stop("a1");
    for (int i = 0; i < 60; ++i) {
        net_.run_for(100ms);
        auto& answer = net_.call("a1", test_chat("report", true));
        net_.run_for(200ms);
        const bool refused = answer.failure && answer.failure->run == run_state::not_run;
        if (!net_.has_stopped("a1")) {
            EXPECT_TRUE(refused || answer.ended)
                << "The answer was cut off " << i * 300 << " ms after the stop.";
        }
    }
    EXPECT_TRUE(net_.has_stopped("a1"))
        << "New requests must not prevent a stopping VM from ending.";
}

// Guards against an isolated VM serving an empty or outdated configuration after its start.
TEST_F(node_core_test, vm_that_boots_alone_without_the_log_is_not_ready)
{
    net_.log_unreachable = true;
    net_.cut_off = {"a1"};
    net_.kill("a1");
    net_.restart("a1");
    net_.run_for(20s);
    EXPECT_FALSE(net_.state("a1").ready);
    auto& answer = net_.call("a1", test_chat("report"));
    ASSERT_TRUE(answer.failure);
    EXPECT_EQ(answer.failure->code, error_code::not_ready);
    EXPECT_EQ(answer.failure->run, run_state::not_run);
}

TEST_F(node_core_test, vm_that_boots_while_the_log_is_unreachable_gets_the_configuration_from_peers)
{
    net_.log_unreachable = true;
    net_.kill("a1");
    net_.run_for(12s);
    net_.restart("a1");
    net_.run_for(20s);
    EXPECT_TRUE(net_.state("a1").ready) << net_.state("a1").not_ready_reason;
    EXPECT_EQ((*net_.state("a1").in_force)["revision"], net_.submitted_revision());
}

// Guards against a change that does not reach a failure domain when the VM that reads the log for
// it fails.
TEST_F(node_core_test, change_reaches_all_vms_within_nine_seconds_of_a_readers_death)
{
    net_.kill("a1");
    net_.kill("b1");
    auto doc = test_document();
    doc.models.at(model_id{"good"}).quality = 0.9;
    net_.submit(doc);
    net_.run_for(9s);
    for (const std::string vm : {"a2", "a3", "b2"}) {
        EXPECT_EQ((*net_.state(vm).in_force)["revision"], net_.submitted_revision()) << "on " << vm;
    }
}

} // namespace
} // namespace wagtailhitch
