#include "proxy/buffer_budget.hpp"

#include <algorithm>

namespace wagtailhitch {

namespace {

/// With n buffers at their share, n / (n + free_divisor) of the limit is used.
constexpr std::size_t free_divisor = 8;

} // namespace

std::size_t buffer_budget::share() const
{
    const std::size_t free = used_ >= limit_ ? 0 : limit_ - used_;
    return std::max(minimum_share, free / free_divisor);
}

void buffered_bytes::set(std::size_t bytes)
{
    // Buffers that are empty may outlive their budget.
    if (bytes == size_) {
        return;
    }
    budget_.used_ -= size_;
    budget_.used_ += bytes;
    size_ = bytes;
}

} // namespace wagtailhitch
