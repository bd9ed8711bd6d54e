#include "claim/claim_batcher.hpp"

#include <gtest/gtest.h>

namespace wagtailhitch {
namespace {

class claim_batcher_test : public testing::Test {
protected:
    static claim_record claim(std::uint64_t n) { return {{n, n}, n, {vm_id{"a-1"}, 1, n}, 0}; }

    static std::size_t count(const std::vector<std::vector<claim_item>>& submissions)
    {
        std::size_t n = 0;
        for (const auto& items : submissions) {
            n += items.size();
        }
        return n;
    }

    // Appends until `end` with immediate replies, and returns the number of batches.
    std::size_t batches_until(time_point end)
    {
        std::size_t n = 0;
        for (; clock_.now() < end; clock_.advance(1ms)) {
            if (const auto append = writer_.due(clock_.now(), true)) {
                writer_.on_result(append->batch, true, clock_.now());
                ++n;
            }
        }
        return n;
    }

    manual_clock clock_;
    claim_outbox outbox_{{3, 1s, 1000}};
    claim_writer writer_{{50ms, 8, 400, 2, 2s, 250ms}, 100};
};

// Guards against a claim that never reaches the stream because its submission was lost.
TEST_F(claim_batcher_test, item_is_submitted_again_until_it_is_seen_on_the_stream)
{
    EXPECT_TRUE(outbox_.add(claim(1), clock_.now()));
    EXPECT_EQ(count(outbox_.due(clock_.now())), 1U);
    EXPECT_EQ(count(outbox_.due(clock_.now())), 0U);
    clock_.advance(1s);
    EXPECT_EQ(count(outbox_.due(clock_.now())), 1U);
    outbox_.writer_changed();
    EXPECT_EQ(count(outbox_.due(clock_.now())), 1U);
    outbox_.acknowledge({0, {claim(1)}});
    clock_.advance(1s);
    EXPECT_EQ(count(outbox_.due(clock_.now())), 0U);
    EXPECT_TRUE(outbox_.empty());
}

TEST_F(claim_batcher_test, full_outbox_refuses_claims_and_takes_outcomes)
{
    for (std::uint64_t n = 1; n <= 3; ++n) {
        EXPECT_TRUE(outbox_.add(claim(n), clock_.now()));
        EXPECT_TRUE(outbox_.add(claim(n), clock_.now()));
    }
    EXPECT_FALSE(outbox_.add(claim(4), clock_.now()));
    outbox_.release(claim(1).key, claim(1).request, clock_.now());
    EXPECT_TRUE(outbox_.add(claim(4), clock_.now()));
    EXPECT_EQ(outbox_.size(), 4U);
}

// Guards against peer frames that exceed their size limit.
TEST_F(claim_batcher_test, submissions_are_split_by_size)
{
    claim_outbox outbox{{100, 1s, 1000}};
    for (std::uint64_t n = 1; n <= 30; ++n) {
        outbox.add(claim(n), clock_.now());
    }
    const auto submissions = outbox.due(clock_.now());
    EXPECT_EQ(count(submissions), 30U);
    for (const auto& items : submissions) {
        EXPECT_LE(encode_claim_batch({1, items}).size(), 1000U);
    }
}

// Guards against overloading the log, whose capacity for claims is 15 domains at 20 batches per
// second.
TEST_F(claim_batcher_test, writer_appends_at_most_20_batches_a_second)
{
    std::size_t batches = 0;
    for (std::uint64_t second = 0; second < 3; ++second) {
        for (std::uint64_t n = 1; n <= 8; ++n) {
            writer_.accept({claim(second * 8 + n)});
        }
        batches = std::max(batches, batches_until(clock_.now() + 1s));
    }
    EXPECT_GE(batches, 2U);
    claim_writer busy{{50ms, 10'000, 150, 100, 2s, 250ms}, 1};
    for (std::uint64_t n = 1; n <= 200; ++n) {
        busy.accept({claim(n)});
    }
    batches = 0;
    for (const auto end = clock_.now() + 1s; clock_.now() < end; clock_.advance(1ms)) {
        batches += busy.due(clock_.now(), true) ? 1 : 0;
    }
    EXPECT_EQ(batches, 20U);
}

TEST_F(claim_batcher_test, batch_without_reply_is_repeated_with_the_same_id_and_data)
{
    writer_.accept({claim(1)});
    const auto first = writer_.due(clock_.now(), true);
    ASSERT_TRUE(first.has_value());
    writer_.accept({claim(1)});
    EXPECT_EQ(writer_.queued(), 0U) << "An item in flight was queued again.";
    clock_.advance(1999ms);
    EXPECT_FALSE(writer_.due(clock_.now(), true).has_value());
    clock_.advance(1ms);
    const auto repeat = writer_.due(clock_.now(), true);
    ASSERT_TRUE(repeat.has_value());
    EXPECT_EQ(repeat->batch, first->batch);
    EXPECT_EQ(repeat->data, first->data);
    writer_.on_result(first->batch, false, clock_.now());
    clock_.advance(250ms);
    EXPECT_EQ(writer_.due(clock_.now(), true)->batch, first->batch);
    writer_.on_result(first->batch, true, clock_.now());
    clock_.advance(10s);
    EXPECT_FALSE(writer_.due(clock_.now(), true).has_value());
}

TEST_F(claim_batcher_test, queue_and_appends_in_flight_are_bounded)
{
    std::vector<claim_item> items;
    for (std::uint64_t n = 1; n <= 20; ++n) {
        items.emplace_back(claim(n));
    }
    EXPECT_EQ(writer_.accept(items), 12U);
    std::size_t sent = 0;
    for (int i = 0; i < 10; ++i, clock_.advance(50ms)) {
        sent += writer_.due(clock_.now(), true) ? 1 : 0;
    }
    EXPECT_EQ(sent, 2U) << "More appends are in flight than the setting allows.";
}

// Guards against a former writer that keeps appending at the same time as its successor.
TEST_F(claim_batcher_test, writer_without_authority_appends_nothing)
{
    writer_.accept({claim(1)});
    EXPECT_TRUE(writer_.due(clock_.now(), true).has_value());
    writer_.accept({claim(2)});
    clock_.advance(10s);
    EXPECT_FALSE(writer_.due(clock_.now(), false).has_value());
    EXPECT_EQ(writer_.queued() + writer_.in_flight(), 0U);
    EXPECT_FALSE(writer_.due(clock_.now(), true).has_value());
}

} // namespace
} // namespace wagtailhitch
