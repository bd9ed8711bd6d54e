#include "base/metrics.hpp"
#include "node/runtime/output_router.hpp"

#include <gtest/gtest.h>

namespace wagtailhitch {
namespace {

/// Rings of two entries that only the test empties.
class runtime_output_router_test : public testing::Test {
protected:
    void fill(ring<output>& to)
    {
        while (to.push(stopped{})) {
        }
    }

    void empty(ring<output>& from)
    {
        while (from.pop()) {
        }
    }

    template<typename Message> std::optional<Message> refusal()
    {
        auto in = router_.take_refusal();
        if (!in || !std::holds_alternative<Message>(*in)) {
            return std::nullopt;
        }
        return std::get<Message>(*in);
    }

    template<typename Message> std::optional<Message> next(ring<output>& from)
    {
        auto out = from.pop();
        if (!out || !std::holds_alternative<Message>(*out)) {
            return std::nullopt;
        }
        return std::get<Message>(*out);
    }

    ring<output> callers_{2, nullptr};
    ring<output> upstreams_{2, nullptr};
    ring<output> platform_{2, nullptr};
    ring<output> peers_{2, nullptr};
    metrics metrics_;
    output_router router_{{&callers_, &upstreams_, &platform_, &peers_}, metrics_};
};

// Guards against an answer that continues after one of its chunks was lost.
TEST_F(runtime_output_router_test, answer_that_lost_a_chunk_ends_with_an_error)
{
    fill(callers_);
    router_.route(answer_chunk{5, "lost"});
    EXPECT_EQ(refusal<caller_gone>()->caller, 5U);
    empty(callers_);
    router_.route(answer_chunk{5, "later chunk"});
    EXPECT_FALSE(callers_.pop().has_value());
    router_.retry();
    const auto failed = next<answer_error>(callers_);
    ASSERT_TRUE(failed.has_value());
    EXPECT_EQ(failed->caller, 5U);
    EXPECT_EQ(metrics_.count("ring_full_total", {{"to", "callers"}}).value(), 1U);
}

// Guards against a request that waits for an attempt which never reached its I/O thread.
TEST_F(runtime_output_router_test, attempt_and_append_that_do_not_fit_fail_as_not_run)
{
    fill(upstreams_);
    fill(platform_);
    attempt_start attempt;
    attempt.attempt = attempt_id{request_id{vm_id{"vm-1"}, 1, 1}, 2};
    router_.route(std::move(attempt));
    const auto failed = refusal<attempt_failed>();
    ASSERT_TRUE(failed.has_value());
    EXPECT_EQ(failed->attempt.number, 2U);
    EXPECT_EQ(failed->reason.code, error_code::ring_full);
    EXPECT_EQ(failed->reason.run, run_state::not_run);
    router_.route(log_append{9, "bills", {"a"}});
    const auto refused = refusal<append_result>();
    ASSERT_TRUE(refused.has_value());
    EXPECT_EQ(refused->append, 9U);
    EXPECT_EQ(refused->first_offset.error().run, run_state::not_run);
}

// Guards against a cancellation or a follow that is lost under load.
TEST_F(runtime_output_router_test, cancellation_and_follow_are_retried)
{
    fill(upstreams_);
    fill(platform_);
    router_.route(attempt_cancel{});
    router_.route(log_follow{"config", 4, true});
    router_.retry();
    empty(upstreams_);
    empty(platform_);
    router_.retry();
    EXPECT_TRUE(next<attempt_cancel>(upstreams_).has_value());
    EXPECT_EQ(next<log_follow>(platform_)->from, 4U);
}

// Guards against an old state that overwrites a newer one.
TEST_F(runtime_output_router_test, only_the_newest_published_state_is_kept)
{
    fill(callers_);
    published_state state;
    state.not_ready_reason = "older";
    router_.route(published_state{state});
    state.not_ready_reason = "newer";
    router_.route(published_state{state});
    empty(callers_);
    router_.retry();
    EXPECT_EQ(next<published_state>(callers_)->not_ready_reason, "newer");
    EXPECT_FALSE(callers_.pop().has_value());
}

} // namespace
} // namespace wagtailhitch
