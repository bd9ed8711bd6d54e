#include "billing/bill_writer.hpp"

#include <gtest/gtest.h>

namespace wagtailhitch {
namespace {

class bill_writer_test : public testing::Test {
protected:
    static std::string record(std::uint64_t first, std::size_t count)
    {
        std::vector<std::string> bills;
        for (std::uint64_t n = first; n < first + count; ++n) {
            bills.push_back(encode_bill({{vm_id{"a-1"}, 1, n}, team_id{"t"}, {}, {}}));
        }
        return encode_bill_batch(bills);
    }

    manual_clock clock_;
    process_id a_{vm_id{"a-1"}, 1};
    process_id b_{vm_id{"a-2"}, 1};
    bill_writer writer_{{1s, 5s, 500ms, 1000, 2000}};
};

TEST_F(bill_writer_test, submissions_of_several_vms_go_into_one_record)
{
    EXPECT_TRUE(writer_.accept(a_, 7, record(1, 3)));
    EXPECT_TRUE(writer_.accept(b_, 7, record(11, 2)));
    const auto append = writer_.due(clock_.now(), true);
    ASSERT_TRUE(append.has_value());
    EXPECT_EQ(split_bill_batch(append->data)->size(), 5U);
    const auto done = writer_.on_result(append->id, true, clock_.now());
    EXPECT_EQ(done, (std::vector<bill_submission>{{a_, 7}, {b_, 7}}));
    EXPECT_EQ(writer_.queued_bytes(), 0U);
}

// Guards against a lost bill after a lost reply, and against a queue that grows with repeats.
TEST_F(bill_writer_test, record_without_reply_is_repeated_and_submissions_are_queued_once)
{
    EXPECT_TRUE(writer_.accept(a_, 7, record(1, 3)));
    EXPECT_TRUE(writer_.accept(a_, 7, record(1, 3)));
    const auto first = writer_.due(clock_.now(), true);
    EXPECT_EQ(split_bill_batch(first->data)->size(), 3U);
    EXPECT_TRUE(writer_.accept(a_, 7, record(1, 3)));
    EXPECT_EQ(writer_.queued_bytes(), 0U);
    EXPECT_TRUE(writer_.on_result(first->id, false, clock_.now()).empty());
    EXPECT_FALSE(writer_.due(clock_.now(), true).has_value());
    clock_.advance(500ms);
    EXPECT_EQ(writer_.due(clock_.now(), true)->data, first->data);
    clock_.advance(5s);
    EXPECT_EQ(writer_.due(clock_.now(), true)->id, first->id);
    EXPECT_EQ(writer_.on_result(first->id, true, clock_.now()).size(), 1U);
    EXPECT_TRUE(writer_.on_result(first->id, true, clock_.now()).empty());
}

TEST_F(bill_writer_test, appends_are_a_second_apart_and_bounded_in_size)
{
    writer_.accept(a_, 1, record(1, 1));
    const auto first = writer_.due(clock_.now(), true);
    writer_.on_result(first->id, true, clock_.now());
    std::uint64_t id = 2;
    while (writer_.accept(a_, id, record(id * 10, 10))) {
        ++id;
    }
    EXPECT_LE(writer_.queued_bytes(), 2000U);
    EXPECT_FALSE(writer_.due(clock_.now() + 999ms, true).has_value());
    const auto second = writer_.due(clock_.now() + 1s, true);
    ASSERT_TRUE(second.has_value());
    EXPECT_LE(second->data.size(), 1010U);
}

TEST_F(bill_writer_test, writer_without_authority_appends_nothing)
{
    writer_.accept(a_, 1, record(1, 1));
    EXPECT_FALSE(writer_.due(clock_.now(), false).has_value());
    EXPECT_FALSE(writer_.due(clock_.now() + 10s, true).has_value());
    EXPECT_FALSE(writer_.accept(a_, 1, "not a record"));
}

} // namespace
} // namespace wagtailhitch
