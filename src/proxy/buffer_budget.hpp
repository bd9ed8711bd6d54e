#pragma once

#include "base/clock.hpp"

#include <cstddef>
#include <functional>
#include <unordered_set>
#include <utility>

// Bounds the memory of buffers that others fill: answers of replicas and bytes that callers have
// not read yet. A buffer may hold a fixed part of the memory that is free, so that many large
// buffers together stay below the limit. A few kilobytes are always allowed.
//
//   buffer_budget budget{limit};
//   buffered_bytes held{budget};
//   held.set(buffer.size());
//   if (held.exceeds_share()) { drop the buffer }
//
// Bytes that callers cause (heads, bodies, pipelined requests, answers that they do not read, and
// queues of their sockets) are counted for each caller and may use `caller_fraction` of the limit
// together. Beyond that, the caller with the largest product of bytes and time is told to release
// what it holds, so that small requests find room.
//
//   caller_bytes held{budget, [] { close_caller(); }};
//   held.set(inbound.size() + body.size(), now);

namespace wagtailhitch {

class caller_bytes;

class buffer_budget {
public:
    /// A buffer of this size is always allowed, so that small answers pass while others fill the
    /// rest.
    static constexpr std::size_t minimum_share{std::size_t{8} * 1024};

    /// The rest of the limit is left for answers that are being received.
    static constexpr double caller_fraction{0.75};

    explicit buffer_budget(std::size_t limit)
        : limit_{limit}, caller_limit_{
                             static_cast<std::size_t>(static_cast<double>(limit) * caller_fraction)}
    {
    }
    buffer_budget(const buffer_budget&) = delete;
    buffer_budget& operator=(const buffer_budget&) = delete;

    /// Bytes in all buffers.
    [[nodiscard]] std::size_t used() const { return used_; }
    /// Most bytes that one buffer may hold now.
    [[nodiscard]] std::size_t share() const;
    /// Bytes of all callers.
    [[nodiscard]] std::size_t used_by_callers() const { return used_by_callers_; }

private:
    friend class buffered_bytes;
    friend class caller_bytes;

    void relieve(time_point now);

    std::size_t limit_;
    std::size_t caller_limit_;
    std::size_t used_{0};
    std::size_t used_by_callers_{0};
    std::size_t leaving_{0}; ///< bytes of the callers that were told to release theirs
    std::unordered_set<caller_bytes*> callers_;
};

/// The size of one buffer, counted in its budget for as long as this object exists.
class buffered_bytes {
public:
    explicit buffered_bytes(buffer_budget& budget) : budget_{budget} {}
    ~buffered_bytes() { set(0); }
    buffered_bytes(const buffered_bytes&) = delete;
    buffered_bytes& operator=(const buffered_bytes&) = delete;

    void set(std::size_t bytes);
    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] bool exceeds_share() const { return size_ > budget_.share(); }

private:
    buffer_budget& budget_;
    std::size_t size_{0};
};

/// The bytes that one caller causes, counted in the budget for as long as this object exists.
class caller_bytes {
public:
    /// `release` runs within set() of any caller, and again only after bytes were released; it must
    /// not change the budget itself.
    caller_bytes(buffer_budget& budget, std::function<void()> release)
        : budget_{budget}, release_{std::move(release)}
    {
    }
    ~caller_bytes() { clear(); }
    caller_bytes(const caller_bytes&) = delete;
    caller_bytes& operator=(const caller_bytes&) = delete;

    void set(std::size_t bytes, time_point now);
    void clear();
    [[nodiscard]] std::size_t size() const { return size_; }

private:
    friend class buffer_budget;

    [[nodiscard]] double weight(time_point now) const;

    buffer_budget& budget_;
    std::function<void()> release_;
    std::size_t size_{0};
    time_point since_; ///< when it began to hold any bytes
    bool leaving_{false};
};

} // namespace wagtailhitch
