#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <utility>

// A bounded single-producer, single-consumer queue between two threads.
//
//   ring<input> inbound{4096, [&] { wake(consumer); }};
//   if (!inbound.push(message)) { refuse(error_code::ring_full); }
//   while (auto message = inbound.pop()) { handle(*message); }
//
// push() belongs to one producer thread and pop() to one consumer thread.

namespace wagtailhitch {

/// Capacity of the queues between two threads with one role each.
inline constexpr std::size_t ring_capacity = 4096;

namespace detail {

/// boost::lockfree::spsc_queue copies what is pushed; this slot turns that one copy into a move,
/// which avoids allocating a message's strings each time it passes between threads.
template<typename T> struct ring_slot {
    explicit ring_slot(T& source) : value{std::move(source)} {}
    ring_slot(const ring_slot& other) : value{std::move(other.value)} {}
    ring_slot& operator=(const ring_slot&) = delete;
    ~ring_slot() = default;

    mutable T value;
};

} // namespace detail

template<typename T> class ring {
public:
    /// `wake` runs on the producer's thread after each push; it must not block.
    ring(std::size_t capacity, std::function<void()> wake)
        : queue_{capacity}, wake_{std::move(wake)}
    {
    }

    /// Returns false, and leaves the ring as it was, when the ring is full.
    [[nodiscard]] bool push(T value) { return try_push(value); }

    /// Like push(), and leaves `value` as it was when the ring is full.
    [[nodiscard]] bool try_push(T& value)
    {
        if (queue_.write_available() == 0) {
            return false;
        }
        queue_.push(detail::ring_slot<T>{value});
        if (wake_) {
            wake_();
        }
        return true;
    }

    [[nodiscard]] std::optional<T> pop()
    {
        std::optional<T> out;
        queue_.consume_one([&out](auto& slot) { out = std::move(slot.value); });
        return out;
    }

private:
    boost::lockfree::spsc_queue<detail::ring_slot<T>> queue_;
    std::function<void()> wake_;
};

} // namespace wagtailhitch
