#include "proxy/reading_schedule.hpp"

#include <algorithm>

namespace wagtailhitch {

reading_settings reading_within(duration apply_within)
{
    const reading_settings three_seconds;
    const double factor = std::chrono::duration<double>(apply_within) / 3s;
    const auto scaled = [factor](duration value) {
        return std::chrono::duration_cast<duration>(value * factor);
    };
    reading_settings out = three_seconds;
    out.first = scaled(three_seconds.first);
    out.second = scaled(three_seconds.second);
    out.longest = scaled(three_seconds.longest);
    return out;
}

duration reading_schedule::due_age(std::size_t rank) const
{
    if (rank == 0) {
        return settings_.first;
    }
    return std::min(settings_.longest,
                    settings_.second + settings_.step * static_cast<int>(rank - 1));
}

duration reading_schedule::until_read(std::size_t rank, duration age) const
{
    return std::max(duration{0}, due_age(rank) - age);
}

duration reading_schedule::until_retry(std::size_t rank, unsigned failures) const
{
    constexpr unsigned most_doublings = 16;
    const duration doubled = settings_.first_retry * (1U << std::min(failures - 1, most_doublings));
    const duration own = std::min(settings_.longest_retry, doubled);
    return std::min(settings_.longest_later_retry, own * static_cast<int>(rank + 1));
}

} // namespace wagtailhitch
