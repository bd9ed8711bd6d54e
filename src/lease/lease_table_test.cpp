#include "lease/lease_table.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailhitch {
namespace {

const std::string duty = "rollout";

class lease_table_test : public testing::Test {
protected:
    static lease_record acquire(const process_id& by, log_offset applied_up_to)
    {
        return {lease_operation::acquire, duty, by, applied_up_to, 0, 1};
    }
    static lease_record renew(const process_id& by, log_offset applied_up_to,
                              fencing_number fencing)
    {
        return {lease_operation::renew, duty, by, applied_up_to, fencing, 2};
    }
    static lease_record release(const process_id& by, log_offset applied_up_to,
                                fencing_number fencing)
    {
        return {lease_operation::release, duty, by, applied_up_to, fencing, 3};
    }

    [[nodiscard]] bool accepts(log_offset offset, const lease_record& record)
    {
        return table_.apply(offset, record) == lease_verdict::accepted;
    }

    process_id a_{vm_id{"a-1"}, 1};
    process_id b_{vm_id{"b-1"}, 1};
    lease_table table_;
};

TEST_F(lease_table_test, record_round_trips)
{
    for (const auto& record : {acquire(a_, 0), renew(b_, 41, 7)}) {
        const auto read = decode_lease_record(encode_lease_record(record));
        ASSERT_TRUE(read.has_value());
        EXPECT_EQ(*read, record);
    }
    EXPECT_FALSE(decode_lease_record("").has_value());
    EXPECT_FALSE(decode_lease_record(std::string(1000, '\x91')).has_value());
}

// Guards against two holders after a race for an expired lease.
TEST_F(lease_table_test, first_of_two_racing_acquires_wins)
{
    EXPECT_TRUE(table_.vacant(duty));
    EXPECT_TRUE(accepts(0, acquire(a_, 0)));
    EXPECT_FALSE(accepts(1, acquire(b_, 0)));
    EXPECT_TRUE(accepts(2, acquire(b_, 2)));
    EXPECT_FALSE(accepts(3, acquire(a_, 2)));
    EXPECT_EQ(table_.find(duty)->holder, b_);
    EXPECT_EQ(table_.find(duty)->fencing, 3U);
    EXPECT_FALSE(table_.vacant(duty));
}

// Guards against a paused holder whose renewal arrives after its successor's acquire.
TEST_F(lease_table_test, renewal_after_a_change_of_holder_is_rejected)
{
    EXPECT_TRUE(accepts(0, acquire(a_, 0)));
    EXPECT_TRUE(accepts(1, renew(a_, 1, 1)));
    EXPECT_TRUE(accepts(2, acquire(b_, 2)));
    EXPECT_FALSE(accepts(3, renew(a_, 2, 1)));
    EXPECT_FALSE(accepts(4, renew(a_, 4, 1)));
    EXPECT_FALSE(accepts(5, release(a_, 5, 1)));
    EXPECT_EQ(table_.find(duty)->latest, 2U);
}

TEST_F(lease_table_test, repeated_record_is_rejected_and_changes_nothing)
{
    EXPECT_TRUE(accepts(0, acquire(a_, 0)));
    EXPECT_FALSE(accepts(1, acquire(a_, 0)));
    EXPECT_FALSE(accepts(0, acquire(b_, 0)));
    EXPECT_EQ(table_.find(duty)->latest, 0U);
}

TEST_F(lease_table_test, released_lease_is_acquired_again_with_a_higher_fencing_number)
{
    EXPECT_TRUE(accepts(0, acquire(a_, 0)));
    EXPECT_TRUE(accepts(1, release(a_, 1, 1)));
    EXPECT_TRUE(table_.vacant(duty));
    EXPECT_FALSE(accepts(2, renew(a_, 2, 1)));
    EXPECT_TRUE(accepts(3, acquire(a_, 2)));
    EXPECT_EQ(table_.find(duty)->fencing, 4U);
}

TEST_F(lease_table_test, record_with_applied_offset_above_its_own_is_rejected)
{
    EXPECT_FALSE(accepts(0, acquire(a_, 1)));
    EXPECT_FALSE(accepts(1, renew(a_, 1, 1)));
    EXPECT_EQ(table_.find(duty), nullptr);
}

// Guards against a VM that started after the acquire record had expired and accepts a record that
// lost a race.
TEST_F(lease_table_test, late_start_is_undetermined_until_a_decidable_record)
{
    table_.start(100);
    EXPECT_FALSE(table_.vacant(duty));
    EXPECT_EQ(table_.apply(100, acquire(b_, 70)), lease_verdict::undetermined);
    EXPECT_EQ(table_.apply(101, renew(a_, 99, 51)), lease_verdict::undetermined);
    EXPECT_EQ(table_.find(duty), nullptr);
    EXPECT_TRUE(accepts(102, renew(a_, 102, 51)));
    EXPECT_EQ(table_.find(duty)->holder, a_);
    EXPECT_EQ(table_.find(duty)->fencing, 51U);
    EXPECT_FALSE(accepts(103, renew(b_, 103, 101)));
}

// Guards against VMs that disagree about the holder because they started to read at different
// offsets. Only the holder writes a renewal or release, any VM writes an acquire, and each record
// may be late.
RC_GTEST_FIXTURE_PROP(lease_table_test, table_started_at_any_offset_agrees_with_the_full_table,
                      (const std::vector<std::uint16_t>& words))
{
    lease_table full;
    std::vector<lease_record> records;
    std::vector<std::optional<lease_state>> states;
    std::vector<lease_table> late_tables(1);
    for (const auto word : words) {
        const auto lag =
            std::min<log_offset>(static_cast<log_offset>(word >> 4U) % 4, records.size());
        const auto applied_up_to = records.size() - lag;
        const auto& known = applied_up_to == 0 ? std::nullopt : states[applied_up_to - 1];
        auto record = acquire((word & 1U) != 0 ? a_ : b_, applied_up_to);
        if ((word & 6U) != 0 && known && !known->released) {
            record = (word & 6U) == 2 ? release(known->holder, applied_up_to, known->fencing)
                                      : renew(known->holder, applied_up_to, known->fencing);
        }
        const auto verdict = full.apply(records.size(), record);
        for (auto& table : late_tables) {
            const auto late_verdict = table.apply(records.size(), record);
            RC_ASSERT(late_verdict == verdict || late_verdict == lease_verdict::undetermined);
            // Kept outside RC_ASSERT, which evaluates both sides of an "or".
            const auto* state = table.find(duty);
            const bool agrees = state == nullptr || *state == *full.find(duty);
            RC_ASSERT(agrees);
        }
        records.push_back(record);
        const auto* full_state = full.find(duty);
        states.push_back(full_state == nullptr ? std::nullopt : std::optional{*full_state});
        late_tables.emplace_back().start(records.size());
    }
    const auto renewal = acquire(a_, records.size());
    for (auto& table : late_tables) {
        RC_ASSERT(table.apply(records.size(), renewal) == lease_verdict::accepted);
    }
}

} // namespace
} // namespace wagtailhitch
