#include "proxy/buffer_budget.hpp"

#include <algorithm>

namespace wagtailhitch {

namespace {

/// With n buffers at their share, n / (n + free_divisor) of the limit is used.
constexpr std::size_t free_divisor = 8;
/// Callers release bytes until this part of their limit, 1 / relief_divisor, is free, so that not
/// every further read searches for the next caller.
constexpr std::size_t relief_divisor = 16;

} // namespace

std::size_t buffer_budget::share() const
{
    const std::size_t free = used_ >= limit_ ? 0 : limit_ - used_;
    return std::max(minimum_share, free / free_divisor);
}

void buffer_budget::relieve(time_point now)
{
    if (used_by_callers_ - leaving_ <= caller_limit_) {
        return;
    }
    const std::size_t wanted = caller_limit_ - caller_limit_ / relief_divisor;
    while (used_by_callers_ - leaving_ > wanted) {
        caller_bytes* heaviest = nullptr;
        for (caller_bytes* it : callers_) {
            if (!it->leaving_ && (heaviest == nullptr || it->weight(now) > heaviest->weight(now))) {
                heaviest = it;
            }
        }
        if (heaviest == nullptr) {
            return;
        }
        heaviest->leaving_ = true;
        leaving_ += heaviest->size_;
        heaviest->release_();
    }
}

double caller_bytes::weight(time_point now) const
{
    // Among callers that arrive at the same time, the size decides.
    constexpr duration least_age = 1ms;
    const duration age = std::max<duration>(now - since_, least_age);
    return static_cast<double>(size_) * std::chrono::duration<double>(age).count();
}

void caller_bytes::set(std::size_t bytes, time_point now)
{
    if (bytes == 0) {
        clear();
        return;
    }
    if (bytes == size_) {
        return;
    }
    if (size_ == 0) {
        since_ = now;
        budget_.callers_.insert(this);
    }
    const bool grows = bytes > size_;
    if (std::exchange(leaving_, leaving_ && grows)) {
        budget_.leaving_ -= size_;
        budget_.leaving_ += leaving_ ? bytes : 0;
    }
    budget_.used_ = budget_.used_ - size_ + bytes;
    budget_.used_by_callers_ = budget_.used_by_callers_ - size_ + bytes;
    size_ = bytes;
    if (grows) {
        budget_.relieve(now);
    }
}

// Callers that hold nothing may outlive their budget.
void caller_bytes::clear()
{
    if (size_ == 0) {
        return;
    }
    budget_.callers_.erase(this);
    budget_.used_ -= size_;
    budget_.used_by_callers_ -= size_;
    if (leaving_) {
        budget_.leaving_ -= size_;
    }
    leaving_ = false;
    size_ = 0;
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
