#include "claim/claim_table.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailhitch {
namespace {

constexpr std::int64_t wall = 1'700'000'000'000;
constexpr std::int64_t hour = 3'600'000;
constexpr std::int64_t clock_skew = 300'000;

class claim_table_test : public testing::Test {
protected:
    static claim_key key(std::uint64_t n) { return {n, n * 0x9e3779b97f4a7c15ULL}; }
    // Keys whose hashes in the index collide.
    static claim_key colliding(std::uint64_t n) { return {n, n % 3}; }
    static request_id request(const std::string& vm, std::uint64_t sequence)
    {
        return {vm_id{vm}, 1, sequence};
    }
    static claim_record claim(std::uint64_t n, const request_id& by, std::int64_t at = wall)
    {
        return {key(n), n, by, at};
    }
    static outcome_record outcome(std::uint64_t n, const request_id& by, run_state run,
                                  std::string payload = "ok")
    {
        return {key(n), by, run, 200, "text/plain", std::move(payload), run == run_state::ran};
    }

    std::vector<claim_event> apply(std::vector<claim_item> items, std::int64_t at = wall)
    {
        return table_.apply(table_.next_offset(), {0, std::move(items)}, at);
    }

    claim_table table_{{24 * hour, clock_skew, 65'536}};
    request_id first_{request("a-1", 1)};
    request_id second_{request("b-1", 1)};
};

// Guards invariant 7: a request with an idempotency key is sent at most once.
TEST_F(claim_table_test, second_claim_for_a_key_loses)
{
    EXPECT_EQ(apply({claim(1, first_)}).at(0).kind, claim_event_kind::won);
    const auto events = apply({claim(1, second_)});
    EXPECT_EQ(events.at(0).kind, claim_event_kind::lost);
    EXPECT_EQ(events.at(0).request, second_);
    EXPECT_EQ(table_.find(key(1)).owner, first_);
    EXPECT_EQ(table_.find(key(1)).phase, claim_phase::running);
}

// Guards against a second won event, and so a second send, when a batch is appended again after a
// lost reply.
TEST_F(claim_table_test, repeated_records_have_no_event)
{
    apply({claim(1, first_)});
    EXPECT_TRUE(apply({claim(1, first_)}).empty());
    EXPECT_TRUE(table_.apply(0, {0, {claim(1, second_)}}, wall).empty());
    EXPECT_EQ(apply({outcome(1, first_, run_state::ran)}).size(), 1U);
    EXPECT_TRUE(apply({outcome(1, first_, run_state::ran, "other")}).empty());
    EXPECT_EQ(table_.find(key(1)).outcome.payload, "ok");
    EXPECT_EQ(table_.size(), 1U);
}

TEST_F(claim_table_test, outcome_is_kept_for_repeated_requests)
{
    apply({claim(1, first_), outcome(1, first_, run_state::ran)});
    const auto state = table_.find(key(1));
    EXPECT_EQ(state.phase, claim_phase::finished);
    EXPECT_EQ(state.outcome.status, 200U);
    EXPECT_EQ(state.outcome.content_type, "text/plain");
    EXPECT_EQ(state.outcome.payload, "ok");
}

TEST_F(claim_table_test, outcome_of_a_request_that_does_not_own_the_key_is_ignored)
{
    apply({claim(1, first_)});
    EXPECT_TRUE(
        apply({outcome(1, second_, run_state::not_run), outcome(1, second_, run_state::ran)})
            .empty());
    EXPECT_EQ(table_.find(key(1)).phase, claim_phase::running);
}

TEST_F(claim_table_test, not_run_outcome_frees_the_key_for_the_next_claim)
{
    apply({claim(1, first_), outcome(1, first_, run_state::not_run)});
    EXPECT_EQ(table_.find(key(1)).phase, claim_phase::absent);
    EXPECT_EQ(apply({claim(1, second_)}).at(0).kind, claim_event_kind::won);
    EXPECT_EQ(table_.find(key(1)).owner, second_);
    EXPECT_EQ(table_.size(), 1U);
}

// Guards against a delayed release that frees the key of a request that ran.
TEST_F(claim_table_test, not_run_after_a_finished_outcome_is_ignored)
{
    apply({claim(1, first_), outcome(1, first_, run_state::ran)});
    apply({outcome(1, first_, run_state::not_run)});
    EXPECT_EQ(table_.find(key(1)).phase, claim_phase::finished);
}

TEST_F(claim_table_test, loss_of_an_incarnation_makes_its_running_claims_unknown)
{
    apply({claim(1, first_), claim(2, first_), claim(3, second_)});
    apply({outcome(2, first_, run_state::ran)});
    table_.on_process_ended({vm_id{"a-1"}, 1});
    EXPECT_EQ(table_.find(key(1)).phase, claim_phase::unknown);
    EXPECT_EQ(table_.find(key(2)).phase, claim_phase::finished);
    EXPECT_EQ(table_.find(key(3)).phase, claim_phase::running);
    // The incarnation was only partitioned, and its outcome reaches the log late.
    apply({outcome(1, first_, run_state::ran)});
    EXPECT_EQ(table_.find(key(1)).phase, claim_phase::finished);
    // A claim of d-1 reaches the log after the incarnation was declared gone.
    apply({claim(4, request("c-1", 9))});
    table_.on_process_ended({vm_id{"d-1"}, 1});
    apply({claim(5, request("d-1", 9))});
    EXPECT_EQ(table_.find(key(4)).phase, claim_phase::running);
    EXPECT_EQ(table_.find(key(5)).phase, claim_phase::unknown);
}

TEST_F(claim_table_test, claims_expire_after_retention_and_clock_difference)
{
    apply({claim(1, first_), claim(2, first_, wall + hour)}, wall + hour);
    table_.expire(wall + 24 * hour + clock_skew);
    EXPECT_EQ(table_.size(), 2U);
    table_.expire(wall + 24 * hour + clock_skew + 1000);
    EXPECT_EQ(table_.find(key(1)).phase, claim_phase::absent);
    EXPECT_EQ(table_.find(key(2)).phase, claim_phase::running);
    EXPECT_EQ(table_.horizon_ms(wall + 25 * hour), wall + hour);
}

// Guards against a VM with a wrong clock that prevents later claims from expiring, or whose own
// claims expire at once.
TEST_F(claim_table_test, claims_of_a_vm_with_a_wrong_clock_expire_in_log_order)
{
    apply({claim(1, first_), claim(2, second_, wall + 1000 * hour),
           claim(3, second_, wall - 1000 * hour), claim(4, first_)});
    table_.expire(wall + 24 * hour);
    EXPECT_EQ(table_.size(), 4U);
    table_.expire(wall + 25 * hour);
    EXPECT_EQ(table_.size(), 0U);
}

// Guards against accepting a key whose claim was in a part of the log that expired unread.
TEST_F(claim_table_test, gap_raises_the_horizon_to_the_first_record_after_it)
{
    table_.start(1000, wall);
    EXPECT_GE(table_.horizon_ms(wall), wall);
    apply({claim(1, first_, wall - 2 * hour)});
    EXPECT_EQ(table_.horizon_ms(wall), wall - 2 * hour + clock_skew);
    table_.gap(5000, wall + hour);
    EXPECT_EQ(table_.next_offset(), 5000U);
    EXPECT_GE(table_.horizon_ms(wall + hour), wall + hour);
    EXPECT_EQ(table_.find(key(1)).phase, claim_phase::running);
}

TEST_F(claim_table_test, answers_beyond_the_bound_are_dropped_and_their_claims_stay)
{
    for (std::uint64_t n = 1; n <= 100; ++n) {
        apply({claim(n, request("a-1", n)),
               outcome(n, request("a-1", n), run_state::ran, std::string(4096, 'x'))});
        ASSERT_LE(table_.outcome_bytes(), std::size_t{64} * 1024);
    }
    EXPECT_EQ(table_.find(key(1)).phase, claim_phase::finished);
    EXPECT_FALSE(table_.find(key(1)).outcome.payload_kept);
    EXPECT_TRUE(table_.find(key(100)).outcome.payload_kept);
}

// Guards the memory limit that the design sets for claims at the target size.
TEST_F(claim_table_test, claim_without_outcome_takes_at_most_64_bytes)
{
    for (const std::uint64_t count : {100'000U, 131'073U, 196'609U}) {
        claim_table table{{}};
        for (std::uint64_t n = 1; n <= count; ++n) {
            table.apply(n, {0, {claim(n, request("a-1", n))}}, wall);
        }
        EXPECT_LE(table.claim_memory_bytes(), 64 * count) << count << " claims.";
    }
}

// ---- Differential test against a map without compaction or interning.

struct reference_claim {
    request_id owner;
    bool finished{false};
};

struct operation {
    std::uint8_t kind;
    std::uint8_t key;
    std::uint8_t vm;
    std::uint8_t hours;
};

void check_against(const claim_table& table, const std::map<std::uint64_t, reference_claim>& model)
{
    std::size_t claims = 0;
    for (std::uint64_t n = 0; n < 16; ++n) {
        const auto state = table.find({n, n % 3});
        const auto it = model.find(n);
        RC_ASSERT((it == model.end()) == (state.phase == claim_phase::absent));
        if (it != model.end()) {
            ++claims;
            RC_ASSERT(state.owner == it->second.owner);
            RC_ASSERT(it->second.finished == (state.phase == claim_phase::finished));
        }
    }
    RC_ASSERT(table.size() == claims);
}

// Guards the index and the interning under deletion, reuse of a key and expiry in any order.
RC_GTEST_FIXTURE_PROP(claim_table_test, table_agrees_with_a_plain_map,
                      (const std::vector<std::uint32_t>& words))
{
    std::map<std::uint64_t, reference_claim> model;
    std::map<std::uint64_t, std::int64_t> claimed_at;
    auto now = wall;
    for (const auto word : words) {
        const operation it{static_cast<std::uint8_t>(word % 8),
                           static_cast<std::uint8_t>((word >> 3U) % 16),
                           static_cast<std::uint8_t>((word >> 7U) % 3),
                           static_cast<std::uint8_t>((word >> 9U) % 6)};
        const auto by = request("vm-" + std::to_string(it.vm), 5);
        const auto known = model.find(it.key);
        const bool owned = known != model.end() && known->second.owner == by;
        if (it.kind < 4) {
            auto record = claim(it.key, by, now);
            record.key = colliding(it.key);
            apply({record}, now);
            if (known == model.end()) {
                model[it.key] = {by, false};
                claimed_at[it.key] = now;
            }
        }
        else if (it.kind < 6) {
            const auto run = it.kind == 4 ? run_state::ran : run_state::not_run;
            auto record = outcome(it.key, by, run);
            record.key = colliding(it.key);
            apply({record}, now);
            if (owned && run == run_state::ran) {
                known->second.finished = true;
            }
            if (owned && run == run_state::not_run && !known->second.finished) {
                model.erase(known);
            }
        }
        else {
            now += it.hours * hour;
            table_.expire(now);
            std::erase_if(model, [&](const auto& entry) {
                return claimed_at[entry.first] < now - 24 * hour - clock_skew;
            });
        }
        check_against(table_, model);
    }
}

} // namespace
} // namespace wagtailhitch
