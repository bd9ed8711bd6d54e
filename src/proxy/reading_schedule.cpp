#include "proxy/reading_schedule.hpp"

#include <algorithm>

namespace wagtailhitch {

reading_settings reading_settings_for(duration apply_within)
{
    const reading_settings defaults;
    const double factor = std::chrono::duration<double>(apply_within) / 3s;
    const auto scaled = [factor](duration value) {
        return std::chrono::duration_cast<duration>(value * factor);
    };
    reading_settings out = defaults;
    out.first_due_age = scaled(defaults.first_due_age);
    out.second_due_age = scaled(defaults.second_due_age);
    out.max_due_age = scaled(defaults.max_due_age);
    return out;
}

duration reading_schedule::due_age(std::size_t rank) const
{
    if (rank == 0) {
        return settings_.first_due_age;
    }
    return std::min(settings_.max_due_age,
                    settings_.second_due_age + settings_.step * static_cast<int>(rank - 1));
}

duration reading_schedule::until_read(std::size_t rank, duration age) const
{
    return std::max(duration{0}, due_age(rank) - age);
}

duration reading_schedule::until_retry(std::size_t rank, unsigned failures) const
{
    constexpr unsigned max_doublings = 16;
    const duration doubled =
        settings_.initial_retry_delay * (1U << std::min(failures - 1, max_doublings));
    const duration own = std::min(settings_.max_retry_delay, doubled);
    return std::min(settings_.max_later_member_retry_delay, own * static_cast<int>(rank + 1));
}

} // namespace wagtailhitch
