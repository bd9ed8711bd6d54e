#include "retry/hedge_policy.hpp"
#include "retry/retry_policy.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace wagtailhitch {
namespace {

class retry_policy_test : public testing::Test {
protected:
    // Returns a failure that is restarted unless the test case changes it.
    failed_attempt failure() const
    {
        failed_attempt result;
        result.code = error_code::upstream_failed;
        result.at = step::dispatch;
        result.idempotent = true;
        result.deadline = clock_.now() + 10s;
        return result;
    }
    retry_decision decide(const failed_attempt& failure)
    {
        return policy_.decide(failure, budget_, clock_.now(), generator_);
    }

    manual_clock clock_;
    std::mt19937_64 generator_{3};
    retry_settings settings_;
    retry_policy policy_{settings_};
    retry_budget budget_{settings_, clock_.now()};
};

// Guards against retrying work that must not run twice, and against not retrying work that may.
TEST_F(retry_policy_test, decision_follows_the_kind_of_failure)
{
    using change = void (*)(failed_attempt&);
    struct fault_case {
        const char* name;
        change apply;
        retry_action action;
        retry_refusal refusal;
    };
    const std::vector<fault_case> cases{
        {"failed before any token", [](failed_attempt&) {}, retry_action::restart,
         retry_refusal::none},
        {"stream broken, generation held",
         [](failed_attempt& f) { f.at = step::stream, f.resumable = f.tokens_sent = true; },
         retry_action::resume, retry_refusal::none},
        {"resume failed before",
         [](failed_attempt& f) { f.resumable = f.tokens_sent = f.resume_failed = true; },
         retry_action::restart, retry_refusal::none},
        {"tokens sent without indexes",
         [](failed_attempt& f) { f.tokens_sent = true, f.repeatable_answer = false; },
         retry_action::stop, retry_refusal::already_sent},
        {"non-idempotent, outcome unknown", [](failed_attempt& f) { f.idempotent = false; },
         retry_action::stop, retry_refusal::may_have_run},
        {"non-idempotent, resumable",
         [](failed_attempt& f) { f.idempotent = false, f.resumable = true; }, retry_action::stop,
         retry_refusal::may_have_run},
        {"refused for its content",
         [](failed_attempt& f) { f.code = error_code::malformed_request; }, retry_action::stop,
         retry_refusal::not_retryable},
        {"refused at admission", [](failed_attempt& f) { f.at = step::admit; }, retry_action::stop,
         retry_refusal::not_retryable},
        {"two retries made", [](failed_attempt& f) { f.retries = 2; }, retry_action::stop,
         retry_refusal::attempts_used},
        {"no time left", [](failed_attempt& f) { f.expected_time = 11s; }, retry_action::stop,
         retry_refusal::deadline},
    };
    for (const auto& item : cases) {
        failed_attempt fault = failure();
        item.apply(fault);
        const auto decision = decide(fault);
        EXPECT_EQ(decision.action, item.action) << item.name;
        EXPECT_EQ(decision.refusal, item.refusal) << item.name << ": " << name_of(decision.refusal);
    }
}

// Guards against a retry storm: when every attempt fails, retries are limited to 10% of the
// requests or 1/s.
TEST_F(retry_policy_test, budget_bounds_the_retries_of_a_failing_pool)
{
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        clock_.advance(1ms);
        budget_.count_request(clock_.now());
        if (decide(failure()).action != retry_action::stop) {
            budget_.spend(clock_.now());
            ++retries;
        }
    }
    EXPECT_GE(retries, 95);
    EXPECT_LE(retries, 102);
    clock_.advance(3s);
    EXPECT_EQ(decide(failure()).action, retry_action::restart)
        << "the minimum rate of 1/s is not applied";
}

// Guards against synchronized retries, and against delays above the bound of the backoff.
TEST_F(retry_policy_test, backoff_is_jittered_below_a_doubling_bound)
{
    policy_ = retry_policy{{.max_retries = 10}};
    for (std::uint32_t retries = 0; retries < 9; ++retries) {
        failed_attempt fault = failure();
        fault.retries = retries;
        const duration bound = std::min<duration>(25ms * (1 << retries), 1s);
        duration longest{0};
        duration shortest = bound;
        for (int i = 0; i < 200; ++i) {
            const duration wait = decide(fault).wait;
            longest = std::max(longest, wait);
            shortest = std::min(shortest, wait);
        }
        EXPECT_LE(longest, bound);
        EXPECT_GT(longest, bound / 2);
        EXPECT_LT(shortest, bound / 4);
    }
}

// Guards against running a non-idempotent request twice, for every combination of failure
// properties.
RC_GTEST_FIXTURE_PROP(retry_policy_test, non_idempotent_request_is_never_sent_again, ())
{
    failed_attempt fault;
    fault.code = static_cast<error_code>(*rc::gen::inRange(0, 38));
    fault.at = static_cast<step>(*rc::gen::inRange(0, 14));
    fault.run = static_cast<run_state>(*rc::gen::inRange(0, 3));
    fault.resumable = *rc::gen::arbitrary<bool>();
    fault.tokens_sent = *rc::gen::arbitrary<bool>();
    fault.retries = *rc::gen::inRange(0U, 3U);
    fault.deadline = clock_.now() + 10s;
    RC_ASSERT(decide(fault).action == retry_action::stop);
    policy_ = retry_policy{{.restart_unsent = true}};
    if (decide(fault).action != retry_action::stop) {
        RC_ASSERT(fault.run == run_state::not_run);
        RC_ASSERT(fault.code == error_code::upstream_connect_failed);
    }
}

// Guards against a retry budget that exceeds the rule of the deployment. The rule compares the
// retries within any window with the requests of one of three windows, whichever has the most: the
// same window, the one before it, and the one that starts half a window earlier.
RC_GTEST_PROP(retry_budget_window, retries_stay_within_the_bound_of_any_window, ())
{
    constexpr double share = 0.9;
    constexpr double slack = 5;
    retry_settings settings;
    settings.budget_window = 10s;
    settings.budget_share = share * 0.9;
    settings.budget_capacity = slack;
    manual_clock clock;
    retry_budget budget{settings, clock.now()};
    std::vector<time_point> requests;
    std::vector<time_point> retries;
    const auto n = *rc::gen::inRange(10, 300);
    for (int i = 0; i < n; ++i) {
        clock.advance(std::chrono::milliseconds{*rc::gen::inRange(0, 200)});
        if (*rc::gen::inRange(0, 3) == 0) {
            budget.count_request(clock.now());
            requests.push_back(clock.now());
        }
        else if (budget.available(clock.now())) {
            budget.spend(clock.now());
            retries.push_back(clock.now());
        }
    }
    const auto count = [](const std::vector<time_point>& all, time_point from) {
        return static_cast<double>(std::ranges::count_if(
            all, [from](time_point at) { return at > from && at <= from + 10s; }));
    };
    for (const time_point last : retries) {
        const time_point from = last - 10s;
        const double highest_request_count = std::max(
            {count(requests, from), count(requests, from - 5s), count(requests, from - 10s)});
        RC_ASSERT(count(retries, from) <= share * highest_request_count + slack + 1);
    }
}

class hedge_policy_test : public testing::Test {
protected:
    void record(int samples)
    {
        for (int i = 0; i < samples; ++i) {
            policy_.record_first_token(i % 10 == 0 ? 400ms : 100ms);
        }
    }

    manual_clock clock_;
    hedge_policy policy_{{}};
};

// Guards against hedging requests that must not run twice, or whose response has started.
TEST_F(hedge_policy_test, only_late_idempotent_requests_without_an_answer_are_hedged)
{
    const time_point deadline = clock_.now() + 10s;
    EXPECT_FALSE(policy_.hedge_time({.idempotent = true, .deadline = deadline}, clock_.now()))
        << "hedged without enough samples";
    record(200);
    const auto at = policy_.hedge_time({.idempotent = true, .deadline = deadline}, clock_.now());
    ASSERT_TRUE(at.has_value());
    EXPECT_GE(*at - clock_.now(), 400ms);
    EXPECT_LE(*at - clock_.now(), 440ms);
    const std::vector<hedge_context> refused{
        {.idempotent = false, .deadline = deadline},
        {.idempotent = true, .stream_started = true, .deadline = deadline},
        {.idempotent = true, .already_hedged = true, .deadline = deadline},
        {.idempotent = true, .deadline = clock_.now() + 300ms},
    };
    for (const auto& context : refused) {
        EXPECT_FALSE(policy_.hedge_time(context, clock_.now()));
    }
}

// Guards against hedging that doubles the load of a pool that has become slow.
TEST_F(hedge_policy_test, hedges_stay_within_their_budget)
{
    int taken = 0;
    for (int i = 0; i < 1000; ++i) {
        policy_.count_request();
        taken += policy_.try_consume() ? 1 : 0;
    }
    EXPECT_GE(taken, 49);
    EXPECT_LE(taken, 50);
}

// Guards against hedging less and less because slow attempts are ended early.
TEST_F(hedge_policy_test, attempts_that_are_ended_early_do_not_look_short)
{
    record(200);
    for (int i = 0; i < 20; ++i) {
        policy_.record_unanswered(150ms);
    }
    EXPECT_GE(policy_.expected_remaining(150ms), 230ms);
    EXPECT_LE(policy_.expected_remaining(150ms), 270ms);
}

// Guards against a gain computed from the usual time of a request that has long exceeded it.
TEST_F(hedge_policy_test, remaining_time_is_that_of_attempts_that_took_longer)
{
    record(200);
    EXPECT_LE(policy_.expected_remaining(0ms), 150ms) << "One in ten takes 400 ms, others 100 ms.";
    EXPECT_GE(policy_.expected_remaining(0ms), 110ms);
    EXPECT_GE(policy_.expected_remaining(150ms), 230ms);
    EXPECT_LE(policy_.expected_remaining(150ms), 270ms);
    EXPECT_EQ(policy_.expected_remaining(2s), 2s) << "No attempt took that long.";
}

} // namespace
} // namespace wagtailhitch
