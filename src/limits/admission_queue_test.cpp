#include "limits/admission_queue.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <random>
#include <set>
#include <vector>

namespace wagtailhitch {
namespace {

const team_id big{"big"};
const team_id small{"small"};

class admission_queue_test : public testing::Test {
protected:
    expected<void> offer(const team_id& team, request_class kind, duration deadline)
    {
        return queue_.offer({++token_, team, kind, clock_.now() + deadline, 1s}, clock_.now());
    }
    // Serves one request at a time and returns the order: the first letter of the team for short
    // requests, L for long ones.
    std::string drain()
    {
        std::string order;
        while (auto entry = queue_.next(clock_.now())) {
            order += entry->kind == request_class::short_request ? entry->team.value[0] : 'L';
            queue_.finished(*entry, 1s);
        }
        return order;
    }

    manual_clock clock_;
    std::uint64_t token_{0};
    admission_queue queue_{{.capacity = 20, .concurrency = 1}};
    static constexpr auto brief = request_class::short_request;
    static constexpr auto lengthy = request_class::long_request;
};

// Guards against one team that fills the queue and delays all others.
TEST_F(admission_queue_test, teams_are_served_in_proportion_to_their_weights)
{
    queue_.set_weight(small, 2);
    for (int i = 0; i < 6; ++i) {
        ASSERT_TRUE(offer(big, brief, 1h));
    }
    for (int i = 0; i < 6; ++i) {
        ASSERT_TRUE(offer(small, brief, 1h));
    }
    EXPECT_EQ(drain(), "bssbssbssbbb");
}

// Guards against long requests delaying short ones, and against short ones starving long ones.
TEST_F(admission_queue_test, short_requests_precede_long_ones_without_starving_them)
{
    ASSERT_TRUE(offer(big, lengthy, 1h));
    ASSERT_TRUE(offer(big, lengthy, 1h));
    for (int i = 0; i < 8; ++i) {
        ASSERT_TRUE(offer(small, brief, 1h));
    }
    EXPECT_EQ(drain(), "sssssssLsL");
}

// Guards against admitting requests that would miss their deadlines, and against refusing requests
// that would meet them. `ahead` is the number of waiting requests of the same team, in addition to
// one that runs; each takes 1 s.
TEST_F(admission_queue_test, unreachable_deadline_is_refused_at_once)
{
    struct deadline_case {
        int ahead;
        duration deadline;
        std::optional<error_code> refused;
    };
    const std::vector<deadline_case> cases{
        {0, 3s, std::nullopt},
        {0, 2s, error_code::deadline_unreachable},
        {4, 7s, std::nullopt},
        {4, 6s, error_code::deadline_unreachable},
        {10, 1h, error_code::queue_full},
    };
    for (const auto& item : cases) {
        queue_ = admission_queue{{.capacity = 20, .concurrency = 1}};
        ASSERT_TRUE(offer(big, brief, 1h));
        ASSERT_TRUE(queue_.next(clock_.now()).has_value());
        for (int i = 0; i < item.ahead; ++i) {
            ASSERT_TRUE(offer(big, brief, 1h));
        }
        const auto result = offer(big, brief, item.deadline);
        const auto code = result ? std::nullopt : std::optional{result.error().code};
        EXPECT_EQ(code, item.refused)
            << item.ahead << " waiting, deadline " << to_milliseconds(item.deadline) << " ms";
        if (!result) {
            EXPECT_TRUE(result.error().retry_after.has_value());
            EXPECT_EQ(result.error().run, run_state::not_run);
        }
    }
}

// Guards against long requests, whose deadlines are far in the future, filling the queue so that
// short ones are refused.
TEST_F(admission_queue_test, long_requests_do_not_fill_the_queue)
{
    queue_ = admission_queue{{.capacity = 20, .concurrency = 1, .team_capacity_share = 1}};
    int accepted = 0;
    for (int i = 0; i < 30; ++i) {
        accepted += offer(big, lengthy, 1h) ? 1 : 0;
    }
    EXPECT_EQ(accepted, 10);
    EXPECT_TRUE(offer(small, brief, 1h));
}

// Guards against serving late requests, and against dropping them without a response.
TEST_F(admission_queue_test, request_past_its_deadline_is_returned_by_expire_and_not_served)
{
    ASSERT_TRUE(offer(big, brief, 4s));
    ASSERT_TRUE(offer(small, brief, 1h));
    clock_.advance(3500ms);
    EXPECT_EQ(queue_.next(clock_.now())->team, small);
    const auto expired = queue_.expire(clock_.now());
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired[0].team, big);
    EXPECT_EQ(queue_.waiting(), 0U);
}

// Guards against requests that are lost or served twice, and against counts that deviate from the
// content of the queue, for random sequences of operations.
RC_GTEST_FIXTURE_PROP(admission_queue_test, each_request_leaves_the_queue_exactly_once, ())
{
    queue_ = admission_queue{{.capacity = 20, .concurrency = 3}};
    std::set<std::uint64_t> waiting;
    std::vector<queue_entry> running;
    const auto leave = [&](std::uint64_t token) { RC_ASSERT(waiting.erase(token) == 1U); };
    const auto steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
        const bool is_short = *rc::gen::inRange(0, 2) == 0;
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
        case 1:
            if (offer(is_short ? big : small, is_short ? brief : lengthy,
                      std::chrono::seconds{*rc::gen::inRange(1, 30)})) {
                waiting.insert(token_);
            }
            break;
        case 2:
            if (auto entry = queue_.next(clock_.now())) {
                RC_ASSERT(entry->deadline > clock_.now());
                leave(entry->token);
                running.push_back(*entry);
            }
            break;
        case 3:
            clock_.advance(std::chrono::milliseconds{*rc::gen::inRange(1, 4000)});
            for (const auto& entry : queue_.expire(clock_.now())) {
                leave(entry.token);
            }
            break;
        case 4:
            if (!waiting.empty()) {
                const std::uint64_t token = *waiting.begin();
                RC_ASSERT(queue_.remove(token));
                leave(token);
            }
            break;
        default:
            if (!running.empty()) {
                queue_.finished(running.back(), 1s);
                running.pop_back();
            }
        }
        RC_ASSERT(queue_.waiting() == waiting.size());
        RC_ASSERT(queue_.dispatched() == running.size());
        RC_ASSERT(running.size() <= 3U);
    }
}

// Guards against a collapse of goodput under overload: at twice the load that 4 slots can serve, at
// least 90% of the peak number of requests complete within their deadlines.
TEST_F(admission_queue_test, goodput_at_twice_the_load_stays_near_the_peak)
{
    const auto goodput = [](double load) {
        manual_clock clock;
        admission_queue queue{{.capacity = 200, .concurrency = 4}};
        std::mt19937_64 generator{5};
        std::exponential_distribution<double> service{1.0};
        std::multimap<time_point, queue_entry> running;
        int in_time = 0;
        std::uint64_t token = 0;
        double due = 0;
        for (int step = 0; step < 200000; ++step) {
            clock.advance(2ms);
            for (due += 4 * load * 0.002; due >= 1; due -= 1) {
                (void)queue.offer({++token, big, brief, clock.now() + 5s, 1s}, clock.now());
            }
            while (!running.empty() && running.begin()->first <= clock.now()) {
                const queue_entry entry = running.begin()->second;
                running.erase(running.begin());
                queue.finished(entry, 1s);
                in_time += entry.deadline >= clock.now() ? 1 : 0;
            }
            (void)queue.expire(clock.now());
            while (auto entry = queue.next(clock.now())) {
                const std::chrono::duration<double> length{service(generator)};
                running.emplace(clock.now() + std::chrono::duration_cast<duration>(length), *entry);
            }
        }
        return in_time;
    };
    const int peak = std::max(goodput(0.9), goodput(1.0));
    EXPECT_GE(goodput(2.0), peak * 9 / 10) << "peak " << peak;
}

} // namespace
} // namespace wagtailhitch
