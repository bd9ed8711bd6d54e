#include "proxy/request_flow.hpp"
#include "proxy/test_proxy.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace wagtailhitch {
namespace {

using testing_proxy::proxy_deployment;

response_head signed_head(unsigned status)
{
    response_head out;
    out.status = status;
    out.signed_response = true;
    return out;
}

response_head refusing_head(bool by_another)
{
    response_head out;
    out.status = by_another ? 421 : 503;
    out.not_run = true;
    out.answered_by = by_another ? "another" : "";
    return out;
}

response_head head_of_another_request()
{
    response_head out = signed_head(200);
    out.request_id_matches = false;
    return out;
}

const response_head answered = signed_head(200);
const response_head failed = signed_head(500);
const response_head refused = refusing_head(false);
const response_head misdirected = refusing_head(true);
const attempt_failure connection_reset{error_code::upstream_failed, run_state::outcome_unknown,
                                       "reset"};
const attempt_failure connection_refused{error_code::upstream_connect_failed, run_state::not_run,
                                         "refused"};

class request_flow_test : public testing::Test {
protected:
    request_flow& start(const std::string& path)
    {
        flow_ = std::make_unique<request_flow>(deployment_.core, deployment_.request(path));
        step_ = flow_->begin(now());
        return *flow_;
    }
    /// Starts a stream whose connection breaks after the first event.
    void start_stream_that_breaks()
    {
        start("/report/1");
        step_ = flow_->on_head(answered, now());
        flow_->on_event(1, now());
        step_ = flow_->on_failure({error_code::stream_broken, run_state::ran, "reset"}, now());
    }
    /// Makes streams run only once.
    void forbid_resumption()
    {
        auto contents = testing_proxy::make_contents(2);
        contents.routes[0].resumable = false;
        deployment_.core.set_catalog(std::make_shared<const proxy_catalog>(std::move(contents)));
    }
    [[nodiscard]] time_point now() const { return deployment_.clock.now(); }
    [[nodiscard]] std::string replica() const
    {
        const auto* send = std::get_if<send_step>(&step_);
        return send == nullptr ? "none" : send->placed.upstream.value;
    }
    [[nodiscard]] unsigned status() const
    {
        const auto* answer = std::get_if<respond_step>(&step_);
        return answer == nullptr ? 0 : answer->status;
    }
    [[nodiscard]] bool sends() const { return std::holds_alternative<send_step>(step_); }
    [[nodiscard]] bool relays() const { return std::holds_alternative<relay_step>(step_); }

    std::vector<bill> take_bills()
    {
        deployment_.clock.advance(6s);
        std::vector<bill> out;
        for (const auto& step : deployment_.core.take_bill_steps(now())) {
            const auto bills = decode_bill_batch(std::get<bill_append>(step).data);
            EXPECT_TRUE(bills.has_value());
            out.insert(out.end(), bills->begin(), bills->end());
        }
        return out;
    }

    proxy_deployment deployment_;
    std::unique_ptr<request_flow> flow_;
    flow_step step_;
};

TEST_F(request_flow_test, answer_of_the_first_replica_is_relayed)
{
    start("/read/1");
    ASSERT_TRUE(sends());
    step_ = flow_->on_head(answered, now());
    EXPECT_TRUE(relays());
    flow_->on_end(now());
    EXPECT_EQ(flow_->sends(), 1U);
}

TEST_F(request_flow_test, idempotent_request_goes_to_another_replica_after_a_failure)
{
    for (const auto& failure : {connection_reset, connection_refused}) {
        start("/read/1");
        const std::string first = replica();
        step_ = flow_->on_failure(failure, now());
        ASSERT_TRUE(sends()) << failure.detail;
        EXPECT_NE(replica(), first);
    }
}

// Guards against crashing one more replica with a retry while the evidence on a part is collected.
TEST_F(request_flow_test, request_whose_part_is_suspected_is_not_sent_to_another_replica)
{
    const auto start_with_part = [this] {
        auto request = deployment_.request("/read/1");
        request.parts = {{66, 10}, {5, 10}};
        flow_ = std::make_unique<request_flow>(deployment_.core, std::move(request));
        step_ = flow_->begin(now());
        return proxy_core::part_keys(*flow_->admitted(), flow_->request()).front();
    };
    attempt_failure lost = connection_reset;
    lost.connection_lost = true;
    const part_key part = start_with_part();
    step_ = flow_->on_failure(lost, now());
    EXPECT_TRUE(sends()) << "One lost replica proves nothing.";
    deployment_.core.quarantine().take("vm-2", {{part, 0, {}, {{1, 0ms}, {2, 0ms}}}}, now());
    step_ = flow_->on_failure(lost, now());
    EXPECT_EQ(status(), 502U);
}

// Guards against crashing a third replica with a larger model or another caller's repeat.
TEST_F(request_flow_test, request_under_which_two_replicas_ended_is_not_sent_to_a_third)
{
    const auto start_request = [this](const std::string& id) {
        auto request = deployment_.request("/report/1");
        request.id = id;
        request.parts = {{66, 10}, {5, 10}};
        flow_ = std::make_unique<request_flow>(deployment_.core, std::move(request));
        step_ = flow_->begin(now());
    };
    attempt_failure lost = connection_reset;
    lost.connection_lost = true;
    start_request("first");
    step_ = flow_->on_failure(lost, now());
    ASSERT_TRUE(sends());
    step_ = flow_->on_failure(lost, now());
    EXPECT_EQ(status(), 502U);
    start_request("repeat");
    EXPECT_TRUE(std::holds_alternative<wait_step>(step_)) << "Other VMs' evidence may be due.";
    deployment_.clock.advance(2s);
    step_ = flow_->begin(now());
    ASSERT_TRUE(sends());
    response_head low_confidence_head = answered;
    low_confidence_head.confidence = 0.1;
    step_ = flow_->on_head(low_confidence_head, now());
    EXPECT_TRUE(relays()) << "A larger model would be another send.";
}

TEST_F(request_flow_test, request_waits_while_the_evidence_on_its_part_settles)
{
    auto request = deployment_.request("/read/1");
    request.parts = {{66, 10}, {5, 10}};
    const auto admitted = deployment_.core.admit(request, now());
    const part_key part = proxy_core::part_keys(*admitted, request).front();
    deployment_.core.quarantine().take("vm-2", {{part, 0, {}, {{1, 3s}, {2, 2s}, {3, 900ms}}}},
                                       now());
    flow_ = std::make_unique<request_flow>(deployment_.core, std::move(request));
    step_ = flow_->begin(now());
    const auto* wait = std::get_if<wait_step>(&step_);
    ASSERT_NE(wait, nullptr);
    deployment_.clock.advance(wait->pause);
    step_ = flow_->begin(now());
    EXPECT_TRUE(sends());
}

TEST_F(request_flow_test, answer_counts_for_its_parts_as_soon_as_it_is_past_its_beginning)
{
    auto request = deployment_.request("/report/1");
    request.parts = {{66, 10}, {5, 10}};
    flow_ = std::make_unique<request_flow>(deployment_.core, std::move(request));
    step_ = flow_->begin(now());
    const auto part = proxy_core::part_keys(*flow_->admitted(), flow_->request()).front();
    auto& quarantine = deployment_.core.quarantine();
    quarantine.adopt({part, 60s, 1}, now());
    flow_->on_head(answered, now());
    flow_->on_event(1, now());
    EXPECT_TRUE(quarantine.find(std::vector{part}, now()));
    flow_->on_event(2, now());
    EXPECT_FALSE(quarantine.find(std::vector{part}, now())) << "It crashed nothing.";
}

TEST_F(request_flow_test, non_idempotent_request_with_unknown_outcome_ends_with_502_at_once)
{
    start("/publish/1");
    step_ = flow_->on_failure(connection_reset, now());
    EXPECT_EQ(status(), 502U);
}

TEST_F(request_flow_test, non_idempotent_request_that_reached_nobody_is_sent_elsewhere)
{
    start("/publish/1");
    step_ = flow_->on_failure(connection_refused, now());
    EXPECT_TRUE(sends());
}

TEST_F(request_flow_test, non_idempotent_request_refused_by_its_replica_is_reported_as_not_run)
{
    start("/publish/1");
    step_ = flow_->on_head(refused, now());
    ASSERT_EQ(status(), 503U) << "The route allows sending to one replica only.";
    EXPECT_TRUE(std::get<respond_step>(step_).reason.retry_after.has_value());
}

TEST_F(request_flow_test, reused_address_leads_to_another_replica)
{
    start("/read/1");
    const std::string first = replica();
    step_ = flow_->on_head(misdirected, now());
    ASSERT_TRUE(sends());
    EXPECT_NE(replica(), first);
}

// Guards against sending a request again that the other replica may have run.
TEST_F(request_flow_test, unsigned_answer_of_another_replica_promises_nothing)
{
    response_head head = answered;
    head.signed_response = false;
    head.answered_by = "another";
    start("/publish/1");
    step_ = flow_->on_head(head, now());
    EXPECT_EQ(status(), 502U);
}

TEST_F(request_flow_test, replica_whose_address_was_reused_gets_no_more_requests)
{
    std::set<std::string> asked;
    for (int i = 0; i < 3; ++i) {
        start("/publish/1");
        asked.insert(replica());
        step_ = flow_->on_head(misdirected, now());
        if (i < 2) {
            EXPECT_TRUE(sends()) << "The intended replica has not received the request.";
            step_ = flow_->on_head(answered, now());
        }
        deployment_.clock.advance(100ms);
    }
    EXPECT_EQ(asked.size(), 3U);
}

TEST_F(request_flow_test, failure_of_the_replica_is_relayed_when_nothing_is_left_to_try)
{
    start("/publish/1");
    step_ = flow_->on_head(failed, now());
    EXPECT_TRUE(relays());
}

TEST_F(request_flow_test, answer_to_another_request_reaches_no_caller)
{
    start("/publish/1");
    step_ = flow_->on_head(head_of_another_request(), now());
    EXPECT_EQ(status(), 502U);
    start("/read/1");
    step_ = flow_->on_head(head_of_another_request(), now());
    EXPECT_TRUE(sends());
}

TEST_F(request_flow_test, broken_stream_resumes_after_the_last_event_that_the_caller_has)
{
    start("/report/1");
    step_ = flow_->on_head(answered, now());
    flow_->on_event(1, now());
    flow_->on_event(2, now());
    step_ = flow_->on_failure({error_code::stream_broken, run_state::ran, "reset"}, now());
    ASSERT_TRUE(sends());
    EXPECT_EQ(std::get<send_step>(step_).resume_after, 2U);
    EXPECT_FALSE(flow_->is_new(2));
    EXPECT_TRUE(flow_->is_new(3));
}

TEST_F(request_flow_test, stream_that_cannot_resume_is_aborted_instead_of_completed)
{
    start("/report/1");
    for (int i = 0; i < 3; ++i) {
        step_ = flow_->on_head(answered, now());
        flow_->on_event(i + 1, now());
        step_ = flow_->on_failure({error_code::stream_broken, run_state::ran, "reset"}, now());
    }
    EXPECT_TRUE(std::holds_alternative<abort_step>(step_));
}

TEST_F(request_flow_test, error_response_is_never_appended_to_a_partly_sent_stream)
{
    start_stream_that_breaks();
    ASSERT_TRUE(sends());
    step_ = flow_->on_head(signed_head(409), now());
    EXPECT_FALSE(relays()) << "The caller already has part of another response.";
}

// Guards against passing on an error page, which servers may send with status 200, as events.
TEST_F(request_flow_test, answer_of_another_content_type_does_not_continue_a_stream)
{
    start_stream_that_breaks();
    ASSERT_TRUE(sends());
    response_head page = answered;
    page.other_content_type = true;
    step_ = flow_->on_head(page, now());
    EXPECT_FALSE(relays());
}

// A refusal without an id may be a late copy of an earlier one if the connection has served before.
TEST_F(request_flow_test, refusal_without_an_id_on_a_reused_connection_promises_nothing)
{
    response_head head = refused;
    head.request_id_matches = false;
    start("/publish/1");
    step_ = flow_->on_head(head, now());
    EXPECT_EQ(status(), 503U) << "Nothing preceded it on this connection.";
    head.on_reused_connection = true;
    start("/publish/1");
    step_ = flow_->on_head(head, now());
    EXPECT_EQ(status(), 502U);
}

TEST_F(request_flow_test, answer_of_low_confidence_is_escalated_to_a_larger_model)
{
    start("/report/1");
    EXPECT_EQ(std::get<send_step>(step_).model, "small");
    response_head low_confidence_head = answered;
    low_confidence_head.confidence = 0.1;
    step_ = flow_->on_head(low_confidence_head, now());
    ASSERT_TRUE(sends());
    EXPECT_EQ(std::get<send_step>(step_).model, "large");
    step_ = flow_->on_head(low_confidence_head, now());
    EXPECT_TRUE(relays()) << "No larger model is left.";
}

// Guards against running a stream that may not be resumed once more with a larger model.
TEST_F(request_flow_test, answer_of_low_confidence_is_delivered_when_its_request_may_run_only_once)
{
    forbid_resumption();
    for (const double confidence : {0.0, 0.1, 0.9}) {
        start("/report/1");
        ASSERT_TRUE(sends());
        response_head head = answered;
        head.confidence = confidence;
        step_ = flow_->on_head(head, now());
        EXPECT_TRUE(relays()) << "confidence " << confidence;
        EXPECT_EQ(flow_->sends(), 1U);
    }
}

TEST_F(request_flow_test, request_that_may_run_only_once_is_not_sent_to_the_smallest_model)
{
    forbid_resumption();
    start("/report/1");
    ASSERT_TRUE(sends());
    EXPECT_EQ(std::get<send_step>(step_).model, "large");
}

// A key that may have been revoked meanwhile sends nothing further, but what is ready is delivered.
TEST_F(request_flow_test, ready_answer_is_delivered_when_its_key_is_no_longer_confirmed)
{
    response_head low_confidence_head = answered;
    low_confidence_head.confidence = 0.1;
    for (const auto& [path, head] :
         {std::pair{"/report/1", low_confidence_head}, std::pair{"/read/1", failed}}) {
        start(path);
        ASSERT_TRUE(sends()) << path;
        deployment_.clock.advance(testing_proxy::make_settings().key_validity + 1ms);
        step_ = flow_->on_head(head, now());
        EXPECT_TRUE(relays()) << path;
        deployment_.core.confirm(now());
    }
}

TEST_F(request_flow_test, nothing_is_sent_again_with_a_key_that_is_no_longer_confirmed)
{
    start("/read/1");
    deployment_.clock.advance(testing_proxy::make_settings().key_validity + 1ms);
    EXPECT_FALSE(flow_->may_send(now()));
    step_ = flow_->on_failure(connection_refused, now());
    EXPECT_EQ(status(), 503U);
    EXPECT_EQ(flow_->run(), run_state::not_run);
}

TEST_F(request_flow_test, stream_that_has_begun_keeps_its_model)
{
    start("/report/1");
    response_head high_confidence_head = answered;
    high_confidence_head.confidence = 0.9;
    step_ = flow_->on_head(high_confidence_head, now());
    flow_->on_event(1, now());
    step_ = flow_->on_failure({error_code::stream_broken, run_state::ran, "reset"}, now());
    ASSERT_TRUE(sends());
    response_head low_confidence_head = answered;
    low_confidence_head.confidence = 0.1;
    step_ = flow_->on_head(low_confidence_head, now());
    EXPECT_TRUE(relays());
}

TEST_F(request_flow_test, final_answer_is_due_at_the_callers_deadline)
{
    start("/read/1");
    deployment_.clock.advance(10s);
    step_ = flow_->on_deadline(now());
    EXPECT_EQ(status(), 504U) << "The replica may have run the request.";
}

TEST_F(request_flow_test, request_in_progress_when_the_vm_ends_is_answered_by_what_is_known_of_it)
{
    start("/publish/1");
    step_ = flow_->on_stop(now());
    EXPECT_EQ(status(), 502U) << "The replica may run it.";
    start("/report/1");
    step_ = flow_->on_head(answered, now());
    flow_->on_event(1, now());
    step_ = flow_->on_stop(now());
    EXPECT_TRUE(std::holds_alternative<abort_step>(step_))
        << "A stream that is not complete must not look so.";
}

TEST_F(request_flow_test, answered_request_has_one_bill_with_a_line_for_each_model_that_ran)
{
    start("/report/1");
    response_head low_confidence_head = answered;
    low_confidence_head.confidence = 0.1;
    step_ = flow_->on_head(low_confidence_head, now());
    step_ = flow_->on_head(answered, now());
    flow_->on_event(1, now());
    flow_->on_end(now());
    const auto bills = take_bills();
    ASSERT_EQ(bills.size(), 1U);
    EXPECT_EQ(bills[0].team.value, "bulletins");
    EXPECT_EQ(bills[0].outcome, bill_outcome::answered);
    ASSERT_EQ(bills[0].lines.size(), 2U);
    EXPECT_EQ(bills[0].lines[0].version.value, "engine@v1/small");
    EXPECT_EQ(bills[0].lines[1].version.value, "engine@v1/large");
    EXPECT_EQ(bills[0].lines[1].generated_tokens, 1U);
}

TEST_F(request_flow_test, request_that_nobody_ran_has_no_bill)
{
    start("/publish/1");
    step_ = flow_->on_head(refused, now());
    EXPECT_EQ(status(), 503U);
    EXPECT_TRUE(take_bills().empty());
}

TEST_F(request_flow_test, work_for_a_caller_that_left_is_billed_as_cancelled)
{
    start("/report/1");
    step_ = flow_->on_head(answered, now());
    flow_->on_caller_gone(now());
    const auto bills = take_bills();
    ASSERT_EQ(bills.size(), 1U);
    EXPECT_EQ(bills[0].outcome, bill_outcome::cancelled);
}

TEST_F(request_flow_test, bills_whose_append_failed_are_appended_again)
{
    start("/read/1");
    step_ = flow_->on_head(answered, now());
    flow_->on_end(now());
    deployment_.clock.advance(6s);
    const auto first = deployment_.core.take_bill_steps(now());
    ASSERT_EQ(first.size(), 1U);
    deployment_.core.bills().on_appended(std::get<bill_append>(first[0]).id, false, now());
    deployment_.clock.advance(6s);
    const auto second = deployment_.core.take_bill_steps(now());
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(std::get<bill_append>(second[0]).data, std::get<bill_append>(first[0]).data);
    deployment_.core.bills().on_appended(std::get<bill_append>(second[0]).id, true, now());
    EXPECT_TRUE(deployment_.core.bills().drained());
}

TEST_F(request_flow_test, retry_budget_bounds_what_a_failing_service_receives)
{
    int sends_made = 0;
    constexpr int requests = 100;
    for (int i = 0; i < requests; ++i) {
        start("/read/1");
        while (sends()) {
            ++sends_made;
            step_ = flow_->on_failure(connection_reset, now());
        }
        deployment_.clock.advance(50ms);
        deployment_.core.confirm(now());
    }
    EXPECT_LE(sends_made - requests, 0.8 * requests + 5);
}

TEST_F(request_flow_test, replica_that_cannot_be_reached_is_no_evidence_against_its_software)
{
    deployment_.core.rollouts().order({"engine", "v2", 20s}, now());
    const auto errors = [this] {
        std::uint64_t out = 0;
        for (const auto& it : deployment_.core.make_report(report_scope::vm, now()).evidence) {
            out += it.group.value.ends_with("#") ? it.counts.errors : 0;
        }
        return out;
    };
    start("/report/1");
    step_ = flow_->on_failure(connection_refused, now());
    EXPECT_EQ(errors(), 0U) << "A crashed replica is handled by membership.";
    ASSERT_TRUE(sends());
    step_ = flow_->on_failure(connection_reset, now());
    EXPECT_EQ(errors(), 1U) << "A reset connection may be the fault of the software.";
}

TEST_F(request_flow_test, replica_that_exceeds_the_head_timeout_counts_as_slow_and_not_as_failed)
{
    deployment_.core.rollouts().order({"engine", "v2", 20s}, now());
    start("/report/1");
    step_ =
        flow_->on_failure({error_code::upstream_timeout, run_state::outcome_unknown, ""}, now());
    version_counts counts;
    for (const auto& it : deployment_.core.make_report(report_scope::vm, now()).evidence) {
        counts = it.group.value.ends_with("#") ? it.counts : counts;
    }
    EXPECT_EQ(counts.errors, 0U)
        << "The head timeout is set by this VM and shorter than the deadline.";
    EXPECT_EQ(counts.slow, 1U);
}

/// A VM that has just started and has read neither the configuration nor the replicas.
class starting_vm_test : public testing::Test {
protected:
    void load_initial_state()
    {
        core_.set_catalog(std::make_shared<const proxy_catalog>(testing_proxy::make_contents(1)));
        core_.confirm(clock_.now());
        core_.replicas().announce(testing_proxy::make_replica("engine-a", "engine", "a"),
                                  clock_.now());
        core_.replicas().announce(testing_proxy::make_replica("app-a", "app", "a"), clock_.now());
        core_.tick(clock_.now());
    }

    manual_clock clock_;
    metrics counters_;
    proxy_core core_{testing_proxy::make_settings(), counters_, clock_.now()};
    request_flow flow_{core_,
                       {.id = "id-1",
                        .host = "api.example",
                        .path = "/publish/1",
                        .key = "key-1",
                        .session = {},
                        .model = {},
                        .parts = {},
                        .deadline = 4s,
                        .resume_after = {},
                        .received_at = clock_.now()}};
};

TEST_F(starting_vm_test, request_waits_for_the_first_reads)
{
    ASSERT_TRUE(std::holds_alternative<wait_step>(flow_.begin(clock_.now())));
    clock_.advance(200ms);
    load_initial_state();
    EXPECT_TRUE(std::holds_alternative<send_step>(flow_.begin(clock_.now())));
}

TEST_F(starting_vm_test, request_is_refused_as_not_run_when_the_reads_take_long)
{
    clock_.advance(499ms);
    ASSERT_TRUE(std::holds_alternative<wait_step>(flow_.begin(clock_.now())));
    clock_.advance(1ms);
    const auto step = flow_.begin(clock_.now());
    const auto* refusal = std::get_if<respond_step>(&step);
    ASSERT_NE(refusal, nullptr) << "While the store is unavailable, the wait has no known end.";
    EXPECT_EQ(refusal->status, 503U);
    EXPECT_TRUE(refusal->reason.retry_after.has_value());
}

TEST_F(starting_vm_test, request_that_waits_when_the_vm_ends_is_refused_as_not_run)
{
    ASSERT_TRUE(std::holds_alternative<wait_step>(flow_.begin(clock_.now())));
    const auto step = flow_.on_stop(clock_.now());
    const auto* refusal = std::get_if<respond_step>(&step);
    ASSERT_NE(refusal, nullptr);
    EXPECT_EQ(refusal->status, 503U);
    EXPECT_TRUE(refusal->reason.retry_after.has_value());
}

TEST_F(starting_vm_test, request_whose_deadline_passes_meanwhile_is_refused_and_sent_to_nobody)
{
    proxied_request urgent = flow_.request();
    urgent.deadline = 100ms;
    request_flow flow{core_, urgent};
    ASSERT_TRUE(std::holds_alternative<wait_step>(flow.begin(clock_.now())));
    clock_.advance(100ms);
    const auto step = flow.begin(clock_.now());
    const auto* refusal = std::get_if<respond_step>(&step);
    ASSERT_NE(refusal, nullptr) << "The final response is due at the caller's deadline.";
    EXPECT_EQ(refusal->status, 503U) << "The request has not run.";
    load_initial_state();
    request_flow late{core_, urgent};
    EXPECT_TRUE(std::holds_alternative<respond_step>(late.begin(clock_.now())))
        << "A request whose deadline has passed must not be sent to a replica.";
}

TEST_F(starting_vm_test, stopping_vm_refuses_requests_without_a_wait)
{
    core_.begin_stop(time_point::max());
    EXPECT_TRUE(std::holds_alternative<respond_step>(flow_.begin(clock_.now())));
}

/// For random failures of the replicas: at most one replica may run a non-idempotent request, no
/// replica gets a request twice, and status 503 ("not run") is sent only if no replica may have run
/// the request.
RC_GTEST_PROP(request_flow_property, delivery_guarantees_hold_for_random_failures, ())
{
    proxy_deployment at;
    const bool idempotent = *rc::gen::arbitrary<bool>();
    request_flow flow{at.core, at.request(idempotent ? "/read/1" : "/publish/1")};
    flow_step step = flow.begin(at.clock.now());
    std::multiset<std::string> sent;
    int may_have_run = 0;
    for (int i = 0; i < 20; ++i) {
        const auto* send = std::get_if<send_step>(&step);
        if (send == nullptr) {
            break;
        }
        sent.insert(send->placed.upstream.value);
        at.clock.advance(std::chrono::milliseconds{*rc::gen::inRange(0, 400)});
        const time_point now = at.clock.now();
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            step = flow.on_failure(connection_refused, now);
            break;
        case 1:
            ++may_have_run;
            step = flow.on_failure(connection_reset, now);
            break;
        case 2:
            step = flow.on_head(refused, now);
            break;
        case 3:
            step = flow.on_head(misdirected, now);
            break;
        case 4:
            ++may_have_run;
            step = flow.on_head(failed, now);
            break;
        default:
            ++may_have_run;
            step = flow.on_deadline(now);
            break;
        }
    }
    for (const auto& id : sent) {
        RC_ASSERT(sent.count(id) == 1U);
    }
    RC_ASSERT(idempotent || may_have_run <= 1);
    if (const auto* answer = std::get_if<respond_step>(&step); answer && answer->status == 503) {
        RC_ASSERT(may_have_run == 0);
    }
}

class replica_signals_test : public request_flow_test {
protected:
    static response_head leaving(response_head head)
    {
        head.replica_leaving = true;
        return head;
    }
    static response_head quiet(duration time)
    {
        response_head head = refused;
        head.quiet_for = time;
        return head;
    }
    [[nodiscard]] bool usable(const std::string& id) const
    {
        return deployment_.core.replicas().upstreams().contains(upstream_id{id});
    }
    /// Sends requests until each replica of the application has asked for quiet.
    void set_all_aside(duration time)
    {
        for (int i = 0; i < 9; ++i) {
            start("/read/" + std::to_string(i));
            while (sends()) {
                step_ = flow_->on_head(quiet(time), now());
            }
        }
    }
};

TEST_F(replica_signals_test, replica_that_leaves_is_marked_by_any_answer)
{
    for (const response_head& head : {answered, failed, refused}) {
        start("/publish/1");
        ASSERT_TRUE(sends()) << head.status;
        const std::string marked = replica();
        step_ = flow_->on_head(leaving(head), now());
        EXPECT_EQ(flow_->take_set_aside(), "leaving");
        EXPECT_FALSE(usable(marked)) << head.status;
    }
    deployment_.clock.advance(1s);
    start("/publish/1");
    EXPECT_FALSE(sends()) << "Not even as a last resort.";
    EXPECT_EQ(status(), 503U);
}

TEST_F(replica_signals_test, answer_whose_replica_is_not_certain_marks_nobody)
{
    response_head without_id = refused;
    without_id.request_id_matches = false;
    for (const response_head& head : {head_of_another_request(), misdirected, without_id}) {
        start("/read/1");
        const std::string kept = replica();
        step_ = flow_->on_head(leaving(head), now());
        EXPECT_EQ(flow_->take_set_aside(), "");
        EXPECT_FALSE(deployment_.core.replicas().leaving_runs().contains(upstream_id{kept}));
    }
}

TEST_F(replica_signals_test, request_that_had_chosen_a_replica_that_leaves_is_not_written)
{
    start("/read/1");
    const std::string chosen = replica();
    request_flow other{deployment_.core, deployment_.request("/read/2")};
    flow_step next = other.begin(now());
    while (std::get<send_step>(next).placed.upstream.value != chosen) {
        next = other.on_head(refused, now());
        ASSERT_TRUE(std::holds_alternative<send_step>(next));
    }
    EXPECT_TRUE(flow_->may_send(now()));
    (void)other.on_head(leaving(answered), now());
    EXPECT_FALSE(flow_->may_send(now()));
}

TEST_F(replica_signals_test, other_vms_hear_that_a_replica_leaves)
{
    proxy_deployment other{"vm-2"};
    start("/read/1");
    const std::string marked = replica();
    step_ = flow_->on_head(leaving(answered), now());
    other.core.take_report(deployment_.core.make_report(report_scope::vm, now()),
                           other.clock.now());
    EXPECT_FALSE(other.core.replicas().upstreams().contains(upstream_id{marked}));
}

TEST_F(replica_signals_test, replica_that_asks_for_quiet_gets_no_request_until_the_end_of_it)
{
    start("/read/1");
    const std::string quiet_replica = replica();
    step_ = flow_->on_head(quiet(2s), now());
    EXPECT_EQ(flow_->take_set_aside(), "asked_for_quiet");
    for (int i = 0; i < 100; ++i) {
        deployment_.clock.advance(19ms);
        start("/read/" + std::to_string(i));
        ASSERT_TRUE(sends());
        EXPECT_NE(replica(), quiet_replica);
        step_ = flow_->on_head(refused, now());
        EXPECT_NE(replica(), quiet_replica);
    }
}

TEST_F(replica_signals_test, request_waits_when_all_replicas_ask_for_quiet_for_a_short_time)
{
    set_all_aside(1s);
    start("/read/x");
    ASSERT_TRUE(std::holds_alternative<wait_step>(step_));
    EXPECT_LE(std::get<wait_step>(step_).pause, 1s);
    deployment_.clock.advance(1s);
    step_ = flow_->begin(now());
    ASSERT_TRUE(sends());
    const std::string tested = replica();
    request_flow second{deployment_.core, deployment_.request("/read/y")};
    const auto next = second.begin(now());
    ASSERT_TRUE(std::holds_alternative<send_step>(next));
    EXPECT_NE(std::get<send_step>(next).placed.upstream.value, tested)
        << "The first request after the time goes alone.";
}

TEST_F(replica_signals_test, request_that_cannot_wait_is_rejected_at_once_with_the_time)
{
    set_all_aside(20s);
    std::set<duration> advised;
    for (int i = 0; i < 20; ++i) {
        start("/read/x" + std::to_string(i));
        ASSERT_EQ(status(), 503U);
        const auto& reason = std::get<respond_step>(step_).reason;
        EXPECT_EQ(reason.run, run_state::not_run);
        ASSERT_TRUE(reason.retry_after.has_value());
        EXPECT_GE(*reason.retry_after, 20s);
        EXPECT_LE(*reason.retry_after, 30s);
        advised.insert(*reason.retry_after);
    }
    EXPECT_GT(advised.size(), 10U) << "Callers do not all return at once.";
}

} // namespace
} // namespace wagtailhitch
