#include "base/ring.hpp"

#include <gtest/gtest.h>

#include <string>
#include <thread>

namespace wagtailhitch {
namespace {

class ring_test : public testing::Test {
protected:
    static constexpr std::size_t capacity = 8;
    ring<std::string> ring_{capacity, nullptr};
};

// Guards against a queue that grows without bound when the consumer is slow.
TEST_F(ring_test, push_to_full_ring_is_refused_and_loses_nothing)
{
    for (std::size_t i = 0; i < capacity; ++i) {
        ASSERT_TRUE(ring_.push(std::to_string(i)));
    }
    EXPECT_FALSE(ring_.push("one too many"));
    for (std::size_t i = 0; i < capacity; ++i) {
        EXPECT_EQ(ring_.pop(), std::to_string(i));
    }
    EXPECT_EQ(ring_.pop(), std::nullopt);
}

// Guards against lost or reordered messages between two running threads.
TEST_F(ring_test, messages_between_threads_arrive_in_order)
{
    constexpr int total = 20000;
    std::thread producer{[this] {
        for (int i = 0; i < total; ++i) {
            while (!ring_.push(std::to_string(i))) {
                std::this_thread::yield();
            }
        }
    }};
    int next = 0;
    while (next < total) {
        if (auto value = ring_.pop()) {
            EXPECT_EQ(*value, std::to_string(next));
            ++next;
        }
    }
    producer.join();
}

} // namespace
} // namespace wagtailhitch
