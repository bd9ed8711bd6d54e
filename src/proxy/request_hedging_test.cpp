#include "proxy/request_flow.hpp"
#include "proxy/test_proxy.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>

// Second attempts of late requests.

namespace wagtailhitch {
namespace {

using namespace testing_proxy;

response_head signed_head(unsigned status)
{
    response_head out;
    out.status = status;
    out.signed_response = true;
    return out;
}

response_head refusing_head()
{
    response_head out;
    out.status = 503;
    out.not_run = true;
    return out;
}

const response_head answered = signed_head(200);
const response_head failed = signed_head(500);
const response_head refused = refusing_head();
const attempt_failure connection_reset{error_code::upstream_failed, run_state::outcome_unknown,
                                       "reset"};
const attempt_failure connection_refused{error_code::upstream_connect_failed, run_state::not_run,
                                         "refused"};

constexpr std::size_t read_route = 2;

proxy_settings hedging_deployment_settings(double percent)
{
    auto out = make_settings();
    out.hedging.percent = percent;
    out.hedging.least_gain = 50ms;
    return out;
}

/// Makes requests for "/read/" known to take `usual`, and one in 25 to take `slow`.
void teach(proxy_core& core, const std::string& route, duration usual, duration slow)
{
    for (int i = 0; i < 200; ++i) {
        core.hedging().count_request({route, 0});
        core.hedging().record_first_token({route, 0}, i % 25 == 0 ? slow : usual);
    }
}

class request_hedging_test : public testing::Test {
protected:
    void SetUp() override { deploy(hedging_deployment_settings(100), make_contents(1)); }

    void deploy(const proxy_settings& settings, catalog_contents contents)
    {
        flow_.reset();
        deployment_ = std::make_unique<proxy_deployment>(settings, std::move(contents));
        teach(core(), "read", 100ms, 5s);
        teach(core(), "publish", 100ms, 5s);
    }
    void start(proxied_request request)
    {
        flow_ = std::make_unique<request_flow>(core(), std::move(request));
        step_ = flow_->begin(now());
        ASSERT_TRUE(std::holds_alternative<send_step>(step_));
        first_ = std::get<send_step>(step_);
    }
    void start(const std::string& path = "/read/1") { start(deployment_->request(path)); }
    /// Starts a request and lets it run until it is time for a second attempt.
    void start_late()
    {
        start();
        pass_until_due();
    }
    void pass_until_due()
    {
        const auto due = flow_->hedge_time();
        ASSERT_TRUE(due.has_value());
        deployment_->clock.advance(*due - now());
    }
    /// Starts a request and its second attempt; both are written.
    void start_hedged()
    {
        start_late();
        ASSERT_TRUE(flow_->may_send(now()));
        hedge();
        ASSERT_TRUE(second_.has_value()) << name_of(refusal_);
        flow_->select(second_->attempt);
        ASSERT_TRUE(flow_->may_send(now()));
    }
    void hedge()
    {
        const auto decision = flow_->on_hedge_time(now());
        second_ = decision.send;
        refusal_ = decision.refusal;
    }
    void expect_refusal(hedge_refusal reason)
    {
        hedge();
        EXPECT_FALSE(second_.has_value());
        EXPECT_EQ(name_of(refusal_), name_of(reason));
    }
    [[nodiscard]] std::uint32_t running() const
    {
        std::uint32_t out = 0;
        for (const char* domain : {"a", "b", "c"}) {
            out += deployment_->core.requests_running_in(failure_domain_id{domain});
        }
        return out;
    }
    /// Applies `action` to the replicas of the application other than that of the first attempt.
    void for_other_replicas(const std::function<void(const placement&)>& action) const
    {
        for (const char* id : {"app-a", "app-b", "app-c"}) {
            if (first_.placed.upstream.value != id) {
                placement other;
                other.upstream = upstream_id{id};
                action(other);
            }
        }
    }
    std::size_t billed_lines()
    {
        deployment_->clock.advance(6s);
        std::size_t n = 0;
        for (const auto& step : core().take_bill_steps(now())) {
            const auto bills = decode_bill_batch(std::get<bill_append>(step).data);
            for (const auto& bill : bills.value()) {
                n += bill.lines.size();
            }
        }
        return n;
    }
    proxy_core& core() { return deployment_->core; }
    [[nodiscard]] time_point now() const { return deployment_->clock.now(); }
    [[nodiscard]] bool relays() const { return std::holds_alternative<relay_step>(step_); }
    [[nodiscard]] bool goes_on() const { return std::holds_alternative<continue_step>(step_); }
    [[nodiscard]] unsigned status() const
    {
        const auto* answer = std::get_if<respond_step>(&step_);
        return answer == nullptr ? 0 : answer->status;
    }

    std::unique_ptr<proxy_deployment> deployment_;
    std::unique_ptr<request_flow> flow_;
    flow_step step_;
    send_step first_;
    std::optional<send_step> second_;
    hedge_refusal refusal_{hedge_refusal::none};
};

// Guards against extra work that no operator has allowed.
TEST_F(request_hedging_test, nothing_is_sent_twice_by_default)
{
    deploy(make_settings(), make_contents(1));
    start();
    EXPECT_FALSE(flow_->hedge_time().has_value());
    deployment_->clock.advance(1s);
    expect_refusal(hedge_refusal::not_waiting);
}

TEST_F(request_hedging_test, late_request_is_sent_to_another_replica_whose_answer_wins)
{
    start_hedged();
    EXPECT_NE(second_->placed.upstream, first_.placed.upstream);
    EXPECT_EQ(flow_->sends(), 2U);
    EXPECT_EQ(running(), 2U);
    deployment_->clock.advance(50ms);
    flow_->select(second_->attempt);
    step_ = flow_->on_head(answered, now());
    ASSERT_TRUE(relays());
    const auto overtaken = flow_->take_overtaken();
    ASSERT_TRUE(overtaken.has_value());
    EXPECT_EQ(overtaken->attempt, first_.attempt);
    EXPECT_FALSE(overtaken->hedge);
    EXPECT_EQ(running(), 1U) << "The first attempt is over at once.";
    flow_->on_end(now());
    EXPECT_EQ(running(), 0U);
    EXPECT_EQ(deployment_->counters.count("hedges_won_total", {{"route", "read"}}).value(), 1U);
    EXPECT_EQ(billed_lines(), 2U) << "The work of the cancelled attempt is billed.";
}

TEST_F(request_hedging_test, answer_of_the_first_replica_ends_the_second_attempt)
{
    start_hedged();
    flow_->select(first_.attempt);
    step_ = flow_->on_head(answered, now());
    ASSERT_TRUE(relays());
    const auto overtaken = flow_->take_overtaken();
    ASSERT_TRUE(overtaken.has_value());
    EXPECT_EQ(overtaken->attempt, second_->attempt);
    EXPECT_TRUE(overtaken->hedge);
    EXPECT_EQ(deployment_->counters.count("hedges_won_total", {{"route", "read"}}).value(), 0U);
}

// Guards against ending, or sending a third time, a request that another replica is working on.
TEST_F(request_hedging_test, failure_of_one_attempt_leaves_the_other_running)
{
    using event_action = std::function<flow_step(request_flow&, time_point)>;
    const std::vector<event_action> events{
        [](auto& flow, time_point at) { return flow.on_failure(connection_reset, at); },
        [](auto& flow, time_point at) { return flow.on_failure(connection_refused, at); },
        [](auto& flow, time_point at) { return flow.on_head(refused, at); },
        [](auto& flow, time_point at) { return flow.on_head(failed, at); },
    };
    for (const bool first_fails : {true, false}) {
        for (const auto& event : events) {
            start_hedged();
            const auto failing = first_fails ? first_.attempt : second_->attempt;
            const auto other = first_fails ? second_->attempt : first_.attempt;
            flow_->select(failing);
            step_ = event(*flow_, now());
            ASSERT_TRUE(goes_on());
            EXPECT_EQ(running(), 1U);
            flow_->select(other);
            step_ = flow_->on_head(answered, now());
            EXPECT_TRUE(relays());
            flow_->on_end(now());
        }
    }
}

// Guards against the promise "not run" while one of two attempts may have run.
TEST_F(request_hedging_test, request_whose_first_attempt_may_have_run_is_not_reported_as_not_run)
{
    auto contents = make_contents(1);
    contents.routes[read_route].maximum_sends = 2;
    deploy(hedging_deployment_settings(100), std::move(contents));
    start_hedged();
    flow_->select(first_.attempt);
    step_ = flow_->on_failure(connection_reset, now());
    ASSERT_TRUE(goes_on());
    step_ = flow_->on_head(refused, now());
    EXPECT_EQ(status(), 502U);
}

TEST_F(request_hedging_test, deadline_and_stop_end_both_attempts)
{
    start_hedged();
    step_ = flow_->on_deadline(now());
    EXPECT_EQ(status(), 504U);
    EXPECT_EQ(running(), 0U);
    start_hedged();
    step_ = flow_->on_stop(now());
    EXPECT_EQ(status(), 502U);
    EXPECT_EQ(running(), 0U);
    start_hedged();
    flow_->on_caller_gone(now());
    EXPECT_EQ(running(), 0U);
    start_hedged();
    flow_.reset();
    EXPECT_EQ(running(), 0U);
}

TEST_F(request_hedging_test, request_that_may_run_only_once_is_never_hedged)
{
    start("/publish/1");
    EXPECT_FALSE(flow_->hedge_time().has_value());
    deployment_->clock.advance(1s);
    expect_refusal(hedge_refusal::not_waiting);
}

TEST_F(request_hedging_test, request_whose_answer_has_begun_is_not_hedged)
{
    start();
    step_ = flow_->on_head(answered, now());
    deployment_->clock.advance(1s);
    expect_refusal(hedge_refusal::not_waiting);
}

TEST_F(request_hedging_test, request_is_hedged_once)
{
    start_hedged();
    EXPECT_FALSE(flow_->hedge_time().has_value());
    flow_->select(first_.attempt);
    step_ = flow_->on_failure(connection_reset, now());
    EXPECT_FALSE(flow_->hedge_time().has_value());
}

// Guards against extra work for requests that are late but will be in time for their target.
TEST_F(request_hedging_test, second_send_waits_until_the_target_is_in_danger)
{
    core().hedging() = hedge_control{hedging_deployment_settings(100).hedging};
    teach(core(), "read", 100ms, 400ms);
    start_late();
    const auto decision = flow_->on_hedge_time(now());
    EXPECT_EQ(decision.refusal, hedge_refusal::not_in_danger);
    ASSERT_TRUE(decision.ask_again.has_value());
    const duration wait = *decision.ask_again - flow_->request().received_at;
    EXPECT_GT(wait, 1500ms);
    EXPECT_LT(wait, 2s) << "The target is two seconds.";
    deployment_->clock.advance(*decision.ask_again - now());
    hedge();
    EXPECT_TRUE(second_.has_value()) << name_of(refusal_);
}

TEST_F(request_hedging_test, expected_gain_must_reach_the_operators_least_gain)
{
    auto settings = hedging_deployment_settings(100);
    settings.hedging.least_gain = 20s;
    deploy(settings, make_contents(1));
    start_late();
    expect_refusal(hedge_refusal::gain_too_small);
    EXPECT_EQ(running(), 1U) << "A refused attempt counts nowhere.";
}

TEST_F(request_hedging_test, maximum_sends_of_the_route_forbids_it)
{
    auto contents = make_contents(1);
    contents.routes[read_route].maximum_sends = 1;
    deploy(hedging_deployment_settings(100), std::move(contents));
    start_late();
    expect_refusal(hedge_refusal::sends_used);
}

TEST_F(request_hedging_test, exhausted_retry_budget_forbids_it)
{
    auto settings = hedging_deployment_settings(100);
    settings.retry.budget_share = 0;
    settings.repeat_slack = 0;
    deploy(settings, make_contents(1));
    start_late();
    expect_refusal(hedge_refusal::budget_used);
}

// Guards against repeats beyond the budget that retries and second sends share.
TEST_F(request_hedging_test, second_sends_count_as_repeats)
{
    auto settings = hedging_deployment_settings(100);
    settings.retry.budget_share = 0;
    settings.repeat_slack = settings.minimum_vm_count;
    deploy(settings, make_contents(1));
    start_hedged();
    flow_->on_caller_gone(now());
    start_late();
    expect_refusal(hedge_refusal::budget_used);
}

TEST_F(request_hedging_test, key_that_is_no_longer_confirmed_forbids_it)
{
    start_late();
    deployment_->clock.advance(make_settings().key_validity);
    expect_refusal(hedge_refusal::unconfirmed);
}

TEST_F(request_hedging_test, suspected_prompt_part_forbids_it_until_the_first_byte)
{
    const auto suspect = [this] {
        const part_key part = proxy_core::part_keys(*flow_->admitted(), flow_->request()).front();
        core().quarantine().take("vm-2", {{part, 0, {}, {{1, 0ms}, {2, 0ms}, {3, 0ms}}}}, now());
    };
    auto request = deployment_->request("/read/1");
    request.parts = {{66, 10}, {5, 10}};
    start(request);
    pass_until_due();
    hedge();
    ASSERT_TRUE(second_.has_value()) << name_of(refusal_);
    suspect();
    flow_->select(second_->attempt);
    EXPECT_FALSE(flow_->may_send(now())) << "The part became suspect while connecting.";
    flow_->on_caller_gone(now());
    request.parts = {{67, 10}, {6, 10}};
    request.received_at = now();
    start(request);
    suspect();
    pass_until_due();
    expect_refusal(hedge_refusal::part_suspected);
}

TEST_F(request_hedging_test, evacuations_forbid_it)
{
    start_late();
    for (const char* domain : {"a", "b", "c"}) {
        core().set_evacuated(failure_domain_id{domain}, true, now());
    }
    expect_refusal(hedge_refusal::no_replica);
}

TEST_F(request_hedging_test, replicas_outside_the_allowed_regions_get_no_second_send)
{
    auto contents = make_contents(1);
    contents.routes[read_route].allowed_regions = {region_id{"south"}};
    deploy(hedging_deployment_settings(100), std::move(contents));
    start_late();
    for (const char* domain_of_south : {"a", "b"}) {
        core().set_evacuated(failure_domain_id{domain_of_south}, true, now());
    }
    expect_refusal(hedge_refusal::no_replica);
}

TEST_F(request_hedging_test, replicas_that_asked_for_quiet_get_no_second_send)
{
    start_late();
    for_other_replicas(
        [this](const placement& other) { EXPECT_TRUE(core().note_quiet(other, 10s, now())); });
    expect_refusal(hedge_refusal::no_replica);
}

TEST_F(request_hedging_test, cold_bound_forbids_it)
{
    auto contents = make_contents(1);
    proxy_service app;
    app.name = "app";
    app.cold_rate = 4;
    contents.services = {app};
    deploy(hedging_deployment_settings(100), std::move(contents));
    start_late();
    for_other_replicas([this](const placement& other) { core().note_cold(other, 10s, now()); });
    expect_refusal(hedge_refusal::no_replica);
}

// Guards against delaying requests by work that may turn out to be unnecessary.
TEST_F(request_hedging_test, replicas_without_a_free_slot_get_no_second_send)
{
    start();
    std::vector<std::unique_ptr<request_flow>> others;
    for (int i = 0; i < 23; ++i) {
        others.push_back(std::make_unique<request_flow>(
            core(), deployment_->request("/read/" + std::to_string(i))));
        (void)others.back()->begin(now());
    }
    pass_until_due();
    expect_refusal(hedge_refusal::no_free_slot);
}

// Guards against sending more requests to new software than its roll-out allows.
TEST_F(request_hedging_test, requests_on_trial_are_not_hedged)
{
    deployment_->announce(make_replica("app-new", "app", "a", "v2"));
    core().rollouts().order({"app", "v2", 20s}, now());
    core().rollouts().note_published("app", "v2", rollout_state::running);
    core().tick(now());
    bool found = false;
    for (int i = 0; i < 1000 && !found; ++i) {
        start("/read/" + std::to_string(i));
        found = first_.placed.on_trial;
    }
    ASSERT_TRUE(found);
    pass_until_due();
    expect_refusal(hedge_refusal::on_trial);
}

// Guards against exceeding the operators' limit, also while all answers are late.
TEST_F(request_hedging_test, second_sends_stay_within_the_operators_limit)
{
    auto settings = hedging_deployment_settings(3);
    deploy(settings, make_contents(1));
    core().hedging() = hedge_control{settings.hedging};
    for (int i = 0; i < 200; ++i) {
        core().hedging().record_first_token({"read", 0}, i % 25 == 0 ? 5s : 100ms);
    }
    int hedges = 0;
    for (int i = 1; i <= 1000; ++i) {
        core().confirm(now());
        start("/read/" + std::to_string(i));
        pass_until_due();
        hedge();
        hedges += second_ ? 1 : 0;
        ASSERT_LE(hedges, i * 3 / 100) << "after " << i << " requests";
        flow_->on_caller_gone(now());
    }
    EXPECT_EQ(hedges, 30);
}

// Guards against a slow replica that looks fast since others answer its slow requests.
TEST_F(request_hedging_test, replica_that_is_overtaken_is_learned_to_be_slow)
{
    std::map<std::string, int> chosen;
    for (int i = 0; i < 40; ++i) {
        core().confirm(now());
        start("/read/" + std::to_string(i));
        ++chosen[first_.placed.upstream.value];
        if (first_.placed.upstream.value == "app-a") {
            pass_until_due();
            hedge();
            ASSERT_TRUE(second_.has_value()) << name_of(refusal_);
            deployment_->clock.advance(900ms);
            flow_->select(second_->attempt);
        }
        else {
            deployment_->clock.advance(50ms);
        }
        step_ = flow_->on_head(answered, now());
        flow_->on_end(now());
    }
    EXPECT_LT(chosen["app-a"], 15) << "The nearest replica answers none of its requests.";
}

/// For random failures and answers of two attempts at once: at most one replica runs a
/// non-idempotent request, no replica gets a request twice, `maximum_sends` holds, status 503 ("not
/// run") is sent only if no replica may have run the request, one answer wins, and nothing is left
/// running.
RC_GTEST_PROP(request_hedging_property, delivery_guarantees_hold_with_two_attempts, ())
{
    proxy_deployment at{hedging_deployment_settings(100), make_contents(1)};
    teach(at.core, "read", 20ms, 5s);
    teach(at.core, "publish", 20ms, 5s);
    const bool idempotent = *rc::gen::arbitrary<bool>();
    std::multiset<std::string> sent;
    std::set<std::uint32_t> live;
    int may_have_run = 0;
    bool answer_relayed = false;
    flow_step step;
    {
        request_flow flow{at.core, at.request(idempotent ? "/read/1" : "/publish/1")};
        const auto note_send = [&](const send_step& send) {
            sent.insert(send.placed.upstream.value);
            live.insert(send.attempt);
        };
        step = flow.begin(at.clock.now());
        note_send(std::get<send_step>(step));
        for (int i = 0; i < 30 && !live.empty(); ++i) {
            at.clock.advance(std::chrono::milliseconds{*rc::gen::inRange(0, 400)});
            const time_point now = at.clock.now();
            if (*rc::gen::arbitrary<bool>()) {
                if (const auto hedge = flow.on_hedge_time(now); hedge.send) {
                    note_send(*hedge.send);
                }
            }
            RC_ASSERT(live.size() <= (idempotent ? 2U : 1U));
            const std::uint32_t attempt = *rc::gen::elementOf(live);
            flow.select(attempt);
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
                ++may_have_run;
                step = flow.on_head(failed, now);
                break;
            case 4:
                ++may_have_run;
                step = flow.on_head(answered, now);
                break;
            default:
                may_have_run += static_cast<int>(live.size());
                step = flow.on_deadline(now);
                break;
            }
            live.erase(attempt);
            if (const auto* send = std::get_if<send_step>(&step)) {
                RC_ASSERT(live.empty());
                note_send(*send);
            }
            else if (std::holds_alternative<continue_step>(step)) {
                RC_ASSERT(live.size() == 1U);
            }
            else {
                answer_relayed = std::holds_alternative<relay_step>(step);
                const auto overtaken = flow.take_overtaken();
                RC_ASSERT(!answer_relayed || live.size() == (overtaken ? 1U : 0U));
                RC_ASSERT(!overtaken || live.contains(overtaken->attempt));
                live.clear();
            }
            RC_ASSERT(flow.sends() <= 3U);
        }
        if (answer_relayed) {
            flow.on_end(at.clock.now());
        }
    }
    for (const auto& id : sent) {
        RC_ASSERT(sent.count(id) == 1U);
    }
    RC_ASSERT(idempotent || may_have_run <= 1);
    if (const auto* answer = std::get_if<respond_step>(&step); answer && answer->status == 503) {
        RC_ASSERT(may_have_run == 0);
    }
    for (const char* domain : {"a", "b", "c"}) {
        RC_ASSERT(at.core.requests_running_in(failure_domain_id{domain}) == 0U);
    }
}

} // namespace
} // namespace wagtailhitch
