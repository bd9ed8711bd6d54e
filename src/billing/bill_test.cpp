#include "billing/bill.hpp"
#include "billing/bill_ledger.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace wagtailhitch {
namespace {

class bill_test : public testing::Test {
protected:
    static bill make(std::uint64_t sequence, micro_cost cost = 250,
                     bill_outcome outcome = bill_outcome::answered)
    {
        return {{vm_id{"sierra-a-1"}, 1'700'000'000'000'000, sequence},
                team_id{"bulletins"},
                outcome,
                {{version_id{"narrator-3"}, upstream_id{"engine-12"}, 1200, 340, cost}}};
    }
};

TEST_F(bill_test, batch_round_trips)
{
    auto second = make(2, 7, bill_outcome::cancelled);
    second.lines.push_back(second.lines.front());
    const auto data = encode_bill_batch({encode_bill(make(1)), encode_bill(second)});
    const auto read = decode_bill_batch(data);
    ASSERT_TRUE(read.has_value()) << read.error().detail;
    EXPECT_EQ(*read, (std::vector<bill>{make(1), second}));
    EXPECT_EQ(total_cost(second), 14);
}

// The design assumes about 110 bytes per bill in the buffer and 100 on the wire.
TEST_F(bill_test, bill_of_one_attempt_is_compact)
{
    EXPECT_LE(encode_bill(make(1'000'000)).size(), 70U);
}

TEST_F(bill_test, truncated_data_is_an_error)
{
    const auto data = encode_bill_batch({encode_bill(make(1))});
    for (std::size_t n = 0; n < data.size(); ++n) {
        EXPECT_FALSE(decode_bill_batch(std::string_view{data}.substr(0, n)).has_value())
            << "The first " << n << " bytes were accepted.";
    }
    EXPECT_FALSE(decode_bill_batch(std::string(65'536, '\x91')).has_value());
}

TEST_F(bill_test, cost_is_rounded_to_the_nearest_millionth)
{
    EXPECT_EQ(attempt_cost(0.5, 1.5, 1000, 2000), 3'500'000);
    EXPECT_EQ(attempt_cost(0.001, 0, 1, 0), 1);
    EXPECT_EQ(attempt_cost(0.0004, 0, 1, 0), 0);
}

// Guards invariant 4: a bill that several VMs appended counts once.
RC_GTEST_FIXTURE_PROP(bill_test, ledger_counts_each_request_id_once,
                      (const std::vector<std::uint8_t>& sequences))
{
    bill_ledger ledger;
    std::set<std::uint64_t> model;
    log_offset offset = 0;
    for (const auto sequence : sequences) {
        const std::uint64_t limited = sequence % 40;
        ledger.apply(offset++, {make(limited)});
        model.insert(limited);
        RC_ASSERT(ledger.bill_ids() == model.size());
        RC_ASSERT(ledger.balanced());
    }
    for (std::uint64_t n = 0; n < 40; ++n) {
        RC_ASSERT(ledger.contains(make(n).request) == (model.count(n) > 0));
    }
    const auto total = ledger.total(team_id{"bulletins"});
    RC_ASSERT(total.answered == model.size());
    RC_ASSERT(total.cost == static_cast<micro_cost>(250 * model.size()));
    RC_ASSERT(ledger.duplicates() == sequences.size() - model.size());
}

TEST_F(bill_test, first_record_of_a_request_id_counts)
{
    bill_ledger ledger;
    ledger.apply(0, {make(1, 100), make(2, 50, bill_outcome::cancelled)});
    ledger.apply(1, {make(1, 900)});
    ledger.apply(1, {make(3)});
    EXPECT_EQ(ledger.total(), (bill_total{1, 1, 2400, 680, 150}));
    EXPECT_EQ(ledger.next_offset(), 2U);
}

} // namespace
} // namespace wagtailhitch
