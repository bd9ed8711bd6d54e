#include "node/stream_relay.hpp"

#include <gtest/gtest.h>

namespace wagtailhitch {
namespace {

class stream_relay_test : public testing::Test {
protected:
    stream_relay_test()
    {
        std::vector<relay_output> out;
        reader_.set_topology(true, {}, {requester_id_}, out);
        requester_.set_topology(false, {reader_id_}, {}, out);
    }

    log_batch batch_of(log_offset from, log_offset count, log_offset head)
    {
        log_batch out;
        out.stream = "claims";
        out.from = from;
        out.head = head;
        out.asked_at = clock_.now();
        for (log_offset i = 0; i < count; ++i) {
            out.records.push_back({from + i, "r" + std::to_string(from + i)});
        }
        return out;
    }
    template<typename T> static const T* first_output(const std::vector<relay_output>& out)
    {
        for (const auto& item : out) {
            if (const auto* found = std::get_if<T>(&item)) {
                return found;
            }
        }
        return nullptr;
    }
    /// Delivers the requester's poll to the reader and the answer back.
    relay_update poll()
    {
        clock_.advance(1s);
        std::vector<relay_output> out;
        requester_.tick(clock_.now(), out);
        const auto* request = first_output<relay_request>(out);
        std::vector<relay_output> answer;
        reader_.on_request(requester_id_, request->message, clock_.now(), answer);
        const auto* records = first_output<relay_records>(answer);
        return records ? requester_.on_records(reader_id_, records->message, clock_.now(), out)
                       : relay_update{};
    }

    manual_clock clock_;
    vm_id reader_id_{"a1"};
    vm_id requester_id_{"a2"};
    stream_relay reader_{"claims", {}};
    stream_relay requester_{"claims", {}};
};

// Guards against applying a record twice when both readers of a domain deliver it.
TEST_F(stream_relay_test, record_delivered_twice_is_returned_once)
{
    std::vector<relay_output> out;
    EXPECT_EQ(reader_.on_log(batch_of(0, 3, 3), clock_.now(), out).records.size(), 3U);
    EXPECT_TRUE(reader_.on_log(batch_of(0, 3, 3), clock_.now(), out).records.empty());
    const auto* push = first_output<relay_records>(out);
    ASSERT_NE(push, nullptr);
    EXPECT_EQ(requester_.on_records(reader_id_, push->message, clock_.now(), out).records.size(),
              3U);
    EXPECT_TRUE(
        requester_.on_records(reader_id_, push->message, clock_.now(), out).records.empty());
}

// Guards against a gap in the applied records after a lost push.
TEST_F(stream_relay_test, lost_push_is_repaired_by_the_next_poll)
{
    std::vector<relay_output> out;
    reader_.on_log(batch_of(0, 3, 3), clock_.now(), out);
    out.clear();
    reader_.on_log(batch_of(3, 1, 4), clock_.now(), out);
    const auto* push = first_output<relay_records>(out);
    EXPECT_TRUE(
        requester_.on_records(reader_id_, push->message, clock_.now(), out).records.empty());
    const auto update = poll();
    ASSERT_EQ(update.records.size(), 4U);
    EXPECT_EQ(update.records.back().offset, 3U);
}

// Guards against a relayed confirmation that appears newer than its read, which could make a
// not_run refusal wrong.
TEST_F(stream_relay_test, relayed_confirmation_is_never_newer_than_the_read)
{
    std::vector<relay_output> out;
    const auto read_at = clock_.now();
    reader_.on_log(batch_of(0, 3, 3), clock_.now(), out);
    clock_.advance(2s);
    poll();
    EXPECT_LE(requester_.confirmed_at(), read_at);
    EXPECT_GT(requester_.confirmed_at(), time_point{});
}

TEST_F(stream_relay_test, read_behind_the_head_does_not_confirm)
{
    std::vector<relay_output> out;
    reader_.on_log(batch_of(0, 3, 9), clock_.now(), out);
    EXPECT_EQ(reader_.confirmed_at(), time_point{});
}

// Guards against silently skipping records that expired before they were read.
TEST_F(stream_relay_test, expired_records_are_reported)
{
    std::vector<relay_output> out;
    auto batch = batch_of(7, 2, 9);
    batch.oldest = 7;
    const auto update = reader_.on_log(batch, clock_.now(), out);
    EXPECT_EQ(update.expired_before, 7U);
    EXPECT_EQ(update.records.size(), 2U);
}

// Guards against a VM that keeps polling the same failed reader.
TEST_F(stream_relay_test, unanswered_poll_goes_to_the_next_reader)
{
    std::vector<relay_output> out;
    requester_.set_topology(false, {vm_id{"a1"}, vm_id{"a3"}}, {}, out);
    std::vector<vm_id> asked;
    for (int i = 0; i < 4; ++i) {
        clock_.advance(1s);
        out.clear();
        requester_.tick(clock_.now(), out);
        asked.push_back(first_output<relay_request>(out)->to);
    }
    EXPECT_NE(asked[0], asked[1]);
}

} // namespace
} // namespace wagtailhitch
