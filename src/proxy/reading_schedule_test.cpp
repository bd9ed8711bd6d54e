#include "proxy/reading_schedule.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace wagtailhitch {
namespace {

class reading_schedule_test : public testing::Test {
protected:
    /// Simulates one minute and counts the reads of each member. The confirmation of a read reaches
    /// the other members after `delay`. Members below `first_alive` do not read.
    static std::vector<int> reads_in_a_minute(std::size_t members, std::size_t first_alive,
                                              duration delay)
    {
        const reading_schedule schedule{{}};
        std::vector<int> reads(members);
        std::vector<duration> confirmed(members);
        std::vector<std::pair<duration, std::size_t>> undelivered_reads;
        for (duration now{}; now < 60s; now += 10ms) {
            for (const auto& [read_at, reader] : undelivered_reads) {
                for (std::size_t i = 0; i < members; ++i) {
                    if (i == reader || now >= read_at + delay) {
                        confirmed[i] = std::max(confirmed[i], read_at);
                    }
                }
            }
            for (std::size_t i = first_alive; i < members; ++i) {
                if (schedule.until_read(i - first_alive, now - confirmed[i]) == 0s) {
                    confirmed[i] = now;
                    ++reads[i];
                    undelivered_reads.emplace_back(now, i);
                }
            }
        }
        return reads;
    }
};

TEST_F(reading_schedule_test, only_the_first_member_reads_while_its_confirmations_arrive)
{
    const auto reads = reads_in_a_minute(13, 0, 500ms);
    EXPECT_NEAR(reads[0], 60, 2) << "The first member reads every second.";
    for (std::size_t i = 1; i < reads.size(); ++i) {
        EXPECT_LE(reads[i], 1) << "Member " << i << " may read only once, at the start.";
    }
}

TEST_F(reading_schedule_test, member_without_confirmations_reads_within_its_bound)
{
    const reading_schedule schedule{{}};
    for (std::size_t rank = 0; rank < 40; ++rank) {
        EXPECT_LE(schedule.due_age(rank), 2400ms);
        EXPECT_EQ(schedule.until_read(rank, 2400ms), 0s);
    }
}

TEST_F(reading_schedule_test, reads_are_spread_over_the_time_in_which_changes_must_apply)
{
    EXPECT_EQ(reading_settings_for(3s).first_due_age, reading_settings{}.first_due_age);
    const reading_schedule schedule{reading_settings_for(4s)};
    EXPECT_NEAR(std::chrono::duration<double>(schedule.due_age(0)).count(), 4.0 / 3, 1e-6);
    for (std::size_t rank = 1; rank < 40; ++rank) {
        EXPECT_GE(schedule.due_age(rank), 2400ms);
        EXPECT_LE(schedule.due_age(rank), 3200ms);
    }
}

TEST_F(reading_schedule_test, failing_store_is_asked_by_few_members)
{
    const reading_schedule schedule{{}};
    constexpr std::size_t members = 15;
    const auto calls_of = [&schedule](std::size_t rank) {
        unsigned failures = 0;
        for (duration now{}; now < 8s; now += schedule.until_retry(rank, failures)) {
            ++failures;
        }
        return failures;
    };
    unsigned calls = 0;
    for (std::size_t rank = 0; rank < members; ++rank) {
        calls += calls_of(rank);
    }
    EXPECT_LE(calls, members * calls_of(0) / 2)
        << "At most half of the calls without a delay by rank.";
    EXPECT_EQ(schedule.until_retry(0, 100), 800ms)
        << "The first member notices soon that the store is back.";
}

} // namespace
} // namespace wagtailhitch
