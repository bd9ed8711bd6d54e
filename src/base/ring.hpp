#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <utility>

// A bounded queue from one thread to another.
//
//   ring<input> inbound{4096, [&] { wake(consumer); }};
//   if (!inbound.push(message)) { refuse(error_code::ring_full); }
//   while (auto message = inbound.pop()) { handle(*message); }
//
// push() belongs to one producer thread and pop() to one consumer thread.

namespace wagtailhitch {

/// Messages between two threads that each run one duty.
inline constexpr std::size_t ring_capacity = 4096;

template<typename T> class ring {
public:
    /// `wake` runs on the producer's thread after each push; it must not block.
    ring(std::size_t capacity, std::function<void()> wake)
        : queue_{capacity}, wake_{std::move(wake)}
    {
    }

    /// Returns false, and leaves the ring as it was, when the ring is full.
    [[nodiscard]] bool push(T value)
    {
        if (!queue_.push(std::move(value))) {
            return false;
        }
        if (wake_) {
            wake_();
        }
        return true;
    }

    [[nodiscard]] std::optional<T> pop()
    {
        std::optional<T> out;
        queue_.consume_one([&out](T& value) { out = std::move(value); });
        return out;
    }

private:
    boost::lockfree::spsc_queue<T> queue_;
    std::function<void()> wake_;
};

} // namespace wagtailhitch
