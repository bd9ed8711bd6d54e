#include "proxy/reading_schedule.hpp"

#include <algorithm>

namespace wagtailhitch {

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
