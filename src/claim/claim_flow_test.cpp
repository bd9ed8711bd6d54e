#include "claim/claim_flow.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace wagtailhitch {
namespace {

constexpr std::int64_t wall = 1'700'000'000'000;
constexpr std::uint64_t digest = 5;

class claim_flow_test : public testing::Test {
protected:
    claim_flow make(bool first_use = false, const std::string& key = "order-1")
    {
        return claim_flow{
            {team_id{"cafes"}, key, digest, own_, first_use, clock_.now(), clock_.now() + 10s}, {}};
    }

    claim_action start(claim_flow& flow) { return flow.start(table_, log_, clock_.now(), wall); }

    claim_action advance(claim_flow& flow, duration by = 0s, bool confirmed = true)
    {
        clock_.advance(by);
        if (confirmed) {
            log_.confirmed_at = clock_.now();
        }
        return flow.advance(table_, log_, clock_.now());
    }

    void append(claim_item item)
    {
        table_.apply(table_.next_offset(), {1, {std::move(item)}}, wall);
    }

    void append_claim(const request_id& by, std::uint64_t request_digest = digest)
    {
        append(claim_record{key_, request_digest, by, wall});
    }

    static void expect_refusal(const claim_action& action, error_code code, run_state run)
    {
        ASSERT_EQ(action.kind, claim_action_kind::refuse);
        EXPECT_EQ(name_of(action.reason.code), name_of(code));
        EXPECT_EQ(name_of(action.reason.run), name_of(run));
    }

    manual_clock clock_;
    claim_table table_{{}};
    claims_confirmation log_{clock_.now()};
    claim_key key_{make_claim_key(team_id{"cafes"}, "order-1")};
    request_id own_{vm_id{"a-1"}, 1, 1};
    request_id other_{vm_id{"b-1"}, 1, 1};
};

// Guards invariant 7: a request with an idempotency key is sent at most once.
TEST_F(claim_flow_test, winner_sends_once_and_only_after_read_back)
{
    auto flow = make();
    const auto submitted = start(flow);
    ASSERT_EQ(submitted.kind, claim_action_kind::submit);
    EXPECT_EQ(advance(flow).kind, claim_action_kind::wait);
    append(submitted.claim);
    EXPECT_EQ(advance(flow).kind, claim_action_kind::send);
    EXPECT_EQ(advance(flow).kind, claim_action_kind::wait);
    append(submitted.claim);
    EXPECT_EQ(advance(flow).kind, claim_action_kind::wait);
    EXPECT_TRUE(flow.sent());
}

TEST_F(claim_flow_test, loser_waits_and_gets_the_stored_answer)
{
    auto flow = make();
    const auto submitted = start(flow);
    append_claim(other_);
    append(submitted.claim);
    EXPECT_EQ(advance(flow, 1s).kind, claim_action_kind::wait);
    append(outcome_record{key_, other_, run_state::ran, 201, "text/plain", "credited", true});
    const auto action = advance(flow, 1s);
    ASSERT_EQ(action.kind, claim_action_kind::answer);
    EXPECT_EQ(action.status, 201U);
    EXPECT_EQ(action.payload, "credited");
    EXPECT_TRUE(flow.over());
}

struct held_case {
    std::string name;
    std::function<void()> trigger;
    error_code code;
    run_state run;
};

TEST_F(claim_flow_test, refusal_of_a_held_key_reports_what_is_known_of_its_request)
{
    const std::vector<held_case> cases{
        {"The owner runs until the deadline.", [&] { clock_.advance(10s); }, error_code::key_in_use,
         run_state::outcome_unknown},
        {"The owner's incarnation is gone.",
         [&] {
             table_.on_process_ended({other_.vm, other_.run});
         },
         error_code::key_in_use, run_state::outcome_unknown},
        {"The owner does not know the outcome.",
         [&] {
             append(outcome_record{key_, other_, run_state::outcome_unknown, 0, "", "", false});
         },
         error_code::key_in_use, run_state::outcome_unknown},
        {"The answer is too large to keep.",
         [&] {
             append(outcome_record{key_, other_, run_state::ran, 200, "", "", false});
         },
         error_code::key_in_use, run_state::ran},
    };
    for (const auto& it : cases) {
        SCOPED_TRACE(it.name);
        table_ = claim_table{{}};
        log_.confirmed_at = clock_.now();
        append_claim(other_);
        auto flow = make();
        EXPECT_EQ(start(flow).kind, claim_action_kind::wait);
        it.trigger();
        expect_refusal(advance(flow), it.code, it.run);
        EXPECT_EQ(advance(flow).kind, claim_action_kind::wait);
    }
}

TEST_F(claim_flow_test, key_of_a_different_request_is_a_mismatch)
{
    append_claim(other_, digest + 1);
    auto flow = make();
    expect_refusal(start(flow), error_code::key_mismatch, run_state::not_run);
}

struct unavailable_log_case {
    std::string name;
    bool first_use;
    bool confirmed_after_arrival;
    run_state run;
};

// Guards invariant 6: an earlier request with the key may have run on another VM whose claim this
// VM has not read, so not_run needs a proof or the caller's statement.
TEST_F(claim_flow_test, refusal_while_the_log_is_unavailable_is_not_run_only_when_that_is_certain)
{
    const std::vector<unavailable_log_case> cases{
        {"Nothing is known about the key.", false, false, run_state::outcome_unknown},
        {"The caller states the first use.", true, false, run_state::not_run},
        {"The head was read after the arrival.", false, true, run_state::not_run},
    };
    for (const auto& it : cases) {
        SCOPED_TRACE(it.name);
        log_.confirmed_at = clock_.now();
        auto flow = make(it.first_use);
        ASSERT_EQ(start(flow).kind, claim_action_kind::submit);
        EXPECT_EQ(advance(flow, 1s, it.confirmed_after_arrival).kind, claim_action_kind::wait);
        const auto action = advance(flow, 3001ms, false);
        expect_refusal(action, error_code::claim_unavailable, it.run);
        EXPECT_TRUE(action.withdraw);
        // The withdrawn claim still reaches the log.
        append_claim(own_);
        EXPECT_EQ(advance(flow).kind, claim_action_kind::wait);
        table_ = claim_table{{}};
    }
}

TEST_F(claim_flow_test, request_that_arrives_while_the_log_is_unavailable_is_refused_at_once)
{
    clock_.advance(4s);
    auto flow = make();
    const auto action = start(flow);
    expect_refusal(action, error_code::claim_unavailable, run_state::outcome_unknown);
    EXPECT_FALSE(action.withdraw);
    EXPECT_NE(action.reason.detail.find("/v1/tickets"), std::string::npos);
    auto first = make(true);
    expect_refusal(start(first), error_code::claim_unavailable, run_state::not_run);
}

// Guards invariant 6: an earlier request with the key may have run, so a full outbox alone does not
// justify not_run.
TEST_F(claim_flow_test, claim_that_does_not_fit_the_outbox_is_not_run_only_when_that_is_certain)
{
    auto flow = make();
    start(flow);
    expect_refusal(flow.not_submitted(log_), error_code::claim_unavailable,
                   run_state::outcome_unknown);
    EXPECT_TRUE(flow.over());
    auto first = make(true);
    start(first);
    expect_refusal(first.not_submitted(log_), error_code::claim_unavailable, run_state::not_run);
}

// Guards against a VM that was paused between its claim and the read-back, and sends the request
// after its deadline.
TEST_F(claim_flow_test, winner_past_its_deadline_releases_the_key_instead_of_sending)
{
    auto flow = make();
    const auto submitted = start(flow);
    append(submitted.claim);
    const auto action = advance(flow, 11s);
    expect_refusal(action, error_code::claim_unavailable, run_state::not_run);
    EXPECT_TRUE(action.release);
    EXPECT_FALSE(flow.sent());
}

// Guards against sending after other VMs have answered outcome_unknown for this process.
TEST_F(claim_flow_test, winner_that_counts_as_gone_releases_the_key)
{
    auto flow = make();
    append(start(flow).claim);
    table_.on_process_ended({own_.vm, own_.run});
    EXPECT_TRUE(advance(flow).release);
    EXPECT_FALSE(flow.sent());
}

TEST_F(claim_flow_test, claim_that_is_not_read_back_is_refused_at_the_deadline)
{
    auto flow = make();
    start(flow);
    expect_refusal(advance(flow, 10s), error_code::claim_unavailable, run_state::not_run);
}

TEST_F(claim_flow_test, waiting_request_claims_the_key_when_its_owner_frees_it)
{
    append_claim(other_);
    auto flow = make();
    EXPECT_EQ(start(flow).kind, claim_action_kind::wait);
    append(outcome_record{key_, other_, run_state::not_run, 0, "", "", false});
    const auto action = advance(flow, 1s);
    ASSERT_EQ(action.kind, claim_action_kind::submit);
    append(action.claim);
    EXPECT_EQ(advance(flow).kind, claim_action_kind::send);
}

struct expiry_case {
    std::string key;
    bool expired;
};

// Guards against running a request again after its claim has expired with the retention of 24 h.
TEST_F(claim_flow_test, key_created_before_the_horizon_is_expired)
{
    // 1'700'000'000'000 ms is 018bcfe56800; one day is 5265c00 in hexadecimal.
    const std::vector<expiry_case> cases{
        {"018bcfe5-6800-7abc-8def-0123456789ab", false},
        {"018bcabf-0c00-7abc-8def-0123456789ab", false},
        {"018bcabf-0bff-7abc-8def-0123456789ab", true},
        {"018bcabf-0bff-4abc-8def-0123456789ab", false},
    };
    for (const auto& it : cases) {
        SCOPED_TRACE(it.key);
        auto flow = make(true, it.key);
        const auto action = start(flow);
        EXPECT_EQ(action.kind == claim_action_kind::refuse, it.expired);
        if (it.expired) {
            expect_refusal(action, error_code::key_expired, run_state::outcome_unknown);
        }
    }
}

TEST_F(claim_flow_test, outcome_above_the_bound_is_recorded_without_its_body)
{
    auto flow = make();
    append(start(flow).claim);
    ASSERT_EQ(advance(flow).kind, claim_action_kind::send);
    const auto record = flow.answered(200, "text/plain", std::string(outcome_max_bytes + 1, 'x'));
    EXPECT_FALSE(record.payload_kept);
    EXPECT_TRUE(record.payload.empty());
    EXPECT_EQ(record.status, 200U);
    EXPECT_TRUE(flow.over());
}

} // namespace
} // namespace wagtailhitch
