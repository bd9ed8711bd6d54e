#pragma once

#include <cstddef>

// Bounds the memory of buffers that others fill: answers of replicas and bytes that callers have
// not read yet. A buffer may hold a fixed part of the memory that is free, so that many large
// buffers together stay below the limit. A few kilobytes are always allowed.
//
//   buffer_budget budget{limit};
//   buffered_bytes held{budget};
//   held.set(buffer.size());
//   if (held.exceeds_share()) { drop the buffer }

namespace wagtailhitch {

class buffer_budget {
public:
    /// A buffer of this size is always allowed, so that small answers pass while others fill the
    /// rest.
    static constexpr std::size_t minimum_share{std::size_t{8} * 1024};

    explicit buffer_budget(std::size_t limit) : limit_{limit} {}
    buffer_budget(const buffer_budget&) = delete;
    buffer_budget& operator=(const buffer_budget&) = delete;

    /// Bytes in all buffers.
    [[nodiscard]] std::size_t used() const { return used_; }
    /// Most bytes that one buffer may hold now.
    [[nodiscard]] std::size_t share() const;

private:
    friend class buffered_bytes;

    std::size_t limit_;
    std::size_t used_{0};
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

} // namespace wagtailhitch
